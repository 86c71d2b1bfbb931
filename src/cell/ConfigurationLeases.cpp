#include "cell/ConfigurationLeases.h"

#include <algorithm>

namespace fernlift::cell
{

void ConfigurationLeases::extend (std::uint64_t version, base::TimePoint until, base::TimePoint now)
{
    std::erase_if (m_ends, [&] (const auto& lease) { return lease.second <= now; });
    base::TimePoint& end = m_ends[version];
    end = std::max (end, until);
}

base::TimePoint ConfigurationLeases::endUpTo (std::uint64_t version) const
{
    base::TimePoint latest{};
    for (const auto& [leased, end] : m_ends)
    {
        if (leased <= version)
            latest = std::max (latest, end);
    }
    return latest;
}

bool ConfigurationLeases::isHeldBelow (std::uint64_t version, base::TimePoint now) const
{
    return version > 0 && endUpTo (version - 1) > now;
}

bool ConfigurationLeases::isOver (base::TimePoint now) const
{
    return std::ranges::all_of (m_ends, [&] (const auto& lease) { return lease.second <= now; });
}

}  // namespace fernlift::cell
