#include "proxy/SoftwareVersions.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fernlift::proxy
{
namespace
{

cell::SoftwareVersionUses::Time timeOf (base::TimePoint time)
{
    return base::toMilliseconds (time.time_since_epoch());
}

}  // namespace

void SoftwareVersions::add (const std::string& service, const std::string& version)
{
    m_uses.add (service, version);
}

void SoftwareVersions::remove (const std::string& service, const std::string& version,
                               base::TimePoint now)
{
    m_uses.remove (service, version, timeOf (now));
}

void SoftwareVersions::onHistory (const cell::SoftwareHistory& history, base::TimePoint now)
{
    const auto present = timeOf (now);
    const auto statedSince = present - history.knownMilliseconds;
    const auto confirmedUntil = timeOf (m_confirmedAt + kMaxUnconfirmed);
    // The time between what this router has observed and what the controller states is unknown.
    const bool isContiguous = statedSince <= confirmedUntil;
    m_uses.setCompleteSince (isContiguous ? std::min (m_uses.completeSince(), statedSince)
                                          : statedSince);
    for (const cell::DepartedVersionAge& departed : history.departed)
    {
        m_uses.addDeparted (
            { departed.service, departed.version, present - departed.ageMilliseconds });
    }
    m_confirmedAt = now;
}

bool SoftwareVersions::onLease (base::TimePoint now)
{
    const bool isAfterGap = ! m_leaseAt || now - *m_leaseAt > kMaxUnconfirmed;
    if (isAfterGap)
        m_leasesBeganAt = now;
    m_leaseAt = now;
    // After a gap, the changes that this router missed may still be under way.
    if (isConfirmed (now) || now - m_leasesBeganAt >= kMaxUpdateDelay)
        m_confirmedAt = now;
    return isAfterGap;
}

bool SoftwareVersions::isAwaitingControllers (base::TimePoint now) const
{
    const bool isAnswered = m_leaseAt && now - *m_leaseAt <= kMaxUnconfirmed;
    return ! isAnswered || now - m_leasesBeganAt < kMaxUpdateDelay;
}

SoftwareVersionsInUse SoftwareVersions::inUseSince (const std::string& service,
                                                    base::TimePoint since,
                                                    base::TimePoint now) const
{
    const auto first = timeOf (since - kMaxTableLag);
    std::vector<std::string> versions = m_uses.versionsSince (service, first);
    if (versions.size() > 1)
        return SeveralSoftwareVersions{};
    if (first < m_uses.completeSince() || ! isConfirmed (now))
        return UnknownSoftwareVersions{};
    if (versions.empty())
        return NoSoftwareVersion{};
    return OneSoftwareVersion{ std::move (versions.front()) };
}

}  // namespace fernlift::proxy
