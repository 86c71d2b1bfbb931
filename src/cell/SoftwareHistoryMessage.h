#pragma once

/**
 * What a controller states to routers and relays about the software versions that services had
 * before. Sent behind the table of runners; see InstanceUpdate.
 */

#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "base/Time.h"

namespace fernlift::cell
{

/** A software version that no registered runner of the service has any more. */
struct DepartedVersionAge
{
    std::string service;
    std::string version;
    std::int64_t ageMilliseconds = 0;  ///< Time since a runner of the version was registered.

    bool operator== (const DepartedVersionAge&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& service& version& ageMilliseconds;
    }
};

/** Any version that is in neither the table nor this list had no runner in the known time. */
struct SoftwareHistory
{
    /** States a known time that includes the whole past of a cell: ten years. */
    static constexpr std::int64_t kWholePast = 10LL * 365 * 24 * 3600 * 1000;

    std::int64_t knownMilliseconds = 0;  ///< 0: the sender states no history.
    std::vector<DepartedVersionAge> departed;

    bool operator== (const SoftwareHistory&) const = default;
    [[nodiscard]] bool isStated() const { return knownMilliseconds > 0; }
    /** The same history, stated this much later. */
    [[nodiscard]] SoftwareHistory aged (base::Duration time) const
    {
        SoftwareHistory later = *this;
        for (DepartedVersionAge& version : later.departed)
            version.ageMilliseconds += base::toMilliseconds (time);
        return later;
    }
};

}  // namespace fernlift::cell
