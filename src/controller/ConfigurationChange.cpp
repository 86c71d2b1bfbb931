#include "controller/ConfigurationChange.h"

#include <algorithm>
#include <utility>

namespace fernlift::controller
{
namespace
{

std::size_t commonPrefix (const std::string& left, const std::string& right)
{
    const std::size_t limit = std::min (left.size(), right.size());
    const auto end = left.begin() + static_cast<std::ptrdiff_t> (limit);
    return static_cast<std::size_t> (std::mismatch (left.begin(), end, right.begin()).first
                                     - left.begin());
}

std::size_t commonSuffix (const std::string& left, const std::string& right, std::size_t limit)
{
    std::size_t length = 0;
    while (length < limit && left[left.size() - 1 - length] == right[right.size() - 1 - length])
    {
        ++length;
    }
    return length;
}

}  // namespace

void ConfigurationChange::note (const cell::ConfigurationIdentity& inForce, const std::string& text)
{
    if (m_whole.version == inForce.version && m_whole.digest == inForce.digest)
        return;
    const cell::ConfigurationUpdate before =
        std::exchange (m_whole, cell::ConfigurationUpdate{ inForce.version, inForce.digest, text });
    m_change = cell::ConfigurationUpdate{};
    if (before.version == 0)
        return;
    const std::size_t prefix = commonPrefix (before.text, text);
    const std::size_t suffix =
        commonSuffix (before.text, text, std::min (before.text.size(), text.size()) - prefix);
    m_change.version = inForce.version;
    m_change.digest = inForce.digest;
    m_change.text = text.substr (prefix, text.size() - prefix - suffix);
    m_change.baseVersion = before.version;
    m_change.baseDigest = before.digest;
    m_change.keptPrefix = prefix;
    m_change.keptSuffix = suffix;
}

cell::ConfigurationUpdate ConfigurationChange::updateFrom (std::uint64_t version,
                                                           const std::string& digest) const
{
    const bool holdsBase =
        version != 0 && version == m_change.baseVersion && digest == m_change.baseDigest;
    return holdsBase ? m_change : m_whole;
}

}  // namespace fernlift::controller
