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
    if (whole_.version == inForce.version && whole_.digest == inForce.digest)
        return;
    const cell::ConfigurationUpdate before =
        std::exchange (whole_, cell::ConfigurationUpdate{ inForce.version, inForce.digest, text });
    change_ = cell::ConfigurationUpdate{};
    if (before.version == 0)
        return;
    const std::size_t prefix = commonPrefix (before.text, text);
    const std::size_t suffix =
        commonSuffix (before.text, text, std::min (before.text.size(), text.size()) - prefix);
    change_.version = inForce.version;
    change_.digest = inForce.digest;
    change_.text = text.substr (prefix, text.size() - prefix - suffix);
    change_.baseVersion = before.version;
    change_.baseDigest = before.digest;
    change_.keptPrefix = prefix;
    change_.keptSuffix = suffix;
}

cell::ConfigurationUpdate ConfigurationChange::updateFrom (std::uint64_t version,
                                                           const std::string& digest) const
{
    const bool holdsBase =
        version != 0 && version == change_.baseVersion && digest == change_.baseDigest;
    return holdsBase ? change_ : whole_;
}

}  // namespace fernlift::controller
