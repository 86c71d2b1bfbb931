#include "controller/ConfigurationChange.h"

#include <algorithm>
#include <utility>

namespace fernlift::controller
{
namespace
{

/// Configurations kept, the one in force included: a router is seldom further behind.
constexpr std::size_t kKeptConfigurations = 6;

std::size_t commonPrefix (std::string_view left, std::string_view right)
{
    const auto differing = std::ranges::mismatch (left, right);
    return static_cast<std::size_t> (differing.in1 - left.begin());
}

std::size_t commonSuffix (std::string_view left, std::string_view right, std::size_t limit)
{
    std::size_t length = 0;
    while (length < limit && left[left.size() - 1 - length] == right[right.size() - 1 - length])
        ++length;
    return length;
}

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
    const std::size_t prefix = commonPrefix (base.text, present.text);
    const std::size_t shorter = std::min (base.text.size(), present.text.size());
    const std::size_t suffix = commonSuffix (base.text, present.text, shorter - prefix);
    cell::ConfigurationUpdate update;
    update.version = present.version;
    update.digest = present.digest;
    update.text = present.text.substr (prefix, present.text.size() - prefix - suffix);
    update.baseVersion = base.version;
    update.baseDigest = base.digest;
    update.keptPrefix = prefix;
    update.keptSuffix = suffix;
    return update;
}

}  // namespace

void ConfigurationChange::note (const cell::ConfigurationIdentity& inForce, std::string_view text)
{
    const bool isTold = ! m_recent.empty() && m_recent.back().version == inForce.version
                        && m_recent.back().digest == inForce.digest;
    if (isTold)
        return;
    m_recent.push_back ({ inForce.version, inForce.digest, std::string (text) });
    if (m_recent.size() > kKeptConfigurations)
        m_recent.pop_front();
}

cell::ConfigurationUpdate ConfigurationChange::updateFrom (std::uint64_t version,
                                                           std::string_view digest) const
{
    if (m_recent.empty())
        return {};
    const cell::HeldConfiguration& present = m_recent.back();
    const auto base =
        std::ranges::find_if (m_recent, [&] (const cell::HeldConfiguration& kept)
                              { return kept.version == version && kept.digest == digest; });
    if (version == 0 || base == m_recent.end() || base->version == present.version)
        return wholeUpdate (present);
    return changeBetween (*base, present);
}

}  // namespace fernlift::controller
