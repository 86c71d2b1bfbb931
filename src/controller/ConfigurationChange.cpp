#include "controller/ConfigurationChange.h"

#include <algorithm>
#include <utility>

namespace fernlift::controller
{
namespace
{

/// Number of configurations kept, including the one in force: routers are seldom further behind.
constexpr std::size_t kKeptConfigurations = 6;

cell::ConfigurationUpdate wholeUpdate (const cell::HeldConfiguration& present)
{
    cell::ConfigurationUpdate update;
    update.version = present.version;
    update.digest = present.digest;
    update.text = present.text;
    return update;
}

cell::ConfigurationUpdate changeBetween (const cell::HeldConfiguration& base,
                                         const cell::HeldConfiguration& present)
{
    cell::ConfigurationUpdate update;
    update.version = present.version;
    update.digest = present.digest;
    update.baseVersion = base.version;
    update.baseDigest = base.digest;
    update.pieces = cell::piecesBetween (base.text, present.text);
    return update;
}

}  // namespace

void ConfigurationChange::setInForce (const cell::ConfigurationIdentity& inForce,
                                      std::string_view text)
{
    const bool isKnown = ! m_recent.empty() && m_recent.back().version == inForce.version
                         && m_recent.back().digest == inForce.digest;
    if (isKnown)
        return;
    m_updates.clear();
    m_recent.push_back ({ inForce.version, inForce.digest, std::string (text) });
    if (m_recent.size() > kKeptConfigurations)
        m_recent.pop_front();
}

bool ConfigurationChange::isKept (std::uint64_t version, std::string_view digest) const
{
    return std::ranges::any_of (m_recent, [&] (const cell::HeldConfiguration& kept)
                                { return kept.version == version && kept.digest == digest; });
}

const cell::ConfigurationUpdate& ConfigurationChange::updateFrom (std::uint64_t version)
{
    const auto known = m_updates.find (version);
    if (known != m_updates.end())
        return known->second;
    cell::ConfigurationUpdate& update = m_updates[version];
    if (m_recent.empty())
        return update;
    const cell::HeldConfiguration& present = m_recent.back();
    const auto base = std::ranges::find (m_recent, version, &cell::HeldConfiguration::version);
    const bool isWhole = base == m_recent.end() || base->version == present.version;
    update = isWhole ? wholeUpdate (present) : changeBetween (*base, present);
    return update;
}

}  // namespace fernlift::controller
