#pragma once

/// Software versions of the runners of each service, with those that are gone since a short time.
/// Streams that a runner of such a version began may still go on.

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "base/Time.h"

namespace fernlift::proxy
{

/// Pure. Threading: none; owned by one InstanceDirectory.
class SoftwareVersions
{
public:
    /// Longest time for which a version that no runner has any more is kept.
    static constexpr base::Duration kMaxAge = base::seconds (120);

    /// Records that a runner of this version is listed. Unknown versions (empty) are ignored.
    void add (const std::string& service, const std::string& version);
    /// Records that a listed runner of this version isn't any more.
    void remove (const std::string& service, const std::string& version, base::TimePoint now);

    /// The version of all runners that were listed at any time since `since`. None if there are
    /// several; empty if none is known.
    [[nodiscard]] std::optional<std::string> onlySince (const std::string& service,
                                                        base::TimePoint since) const;

    /// Whether a runner of the service has the version.
    [[nodiscard]] bool isListed (const std::string& service, const std::string& version) const;

private:
    struct Use
    {
        std::size_t runners = 0;
        base::TimePoint lastListedAt{};  ///< Set while there are no runners.
    };

    std::map<std::string, std::map<std::string, Use>> m_services;  ///< By service and version.
};

}  // namespace fernlift::proxy
