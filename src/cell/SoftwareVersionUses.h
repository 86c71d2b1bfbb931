#pragma once

/**
 * Software versions that the runners of each service have, and those that no runner has any more.
 * Streams that a runner of such a version began may still go on.
 *
 * The record says since when it is complete. A version that is missing in it is known to have had
 * no runner only for the time after that.
 */

#include <boost/serialization/map.hpp>
#include <boost/serialization/string.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace fernlift::cell
{

/** A software version that no runner of the service has any more. */
struct DepartedSoftwareVersion
{
    std::string service;
    std::string version;
    std::int64_t lastListedAt = 0;  ///< Milliseconds on the clock of the record.
};

/** Pure. Threading: none. Times are milliseconds on one clock, which the owner chooses. */
class SoftwareVersionUses
{
public:
    using Time = std::int64_t;

    /** Departed versions that are kept over all services. */
    static constexpr std::size_t kMaxDeparted = 128;
    /** Value of completeSince() while nothing is known. */
    static constexpr Time kNeverComplete = std::numeric_limits<Time>::max();

    /** Records that one more runner has the version. A runner that states none (empty) has no
        effect.
    */
    void add (const std::string& service, const std::string& version);
    /** Records that one runner fewer has the version. */
    void remove (const std::string& service, const std::string& version, Time at);
    /** Records a departed version as another record states it. */
    void addDeparted (const DepartedSoftwareVersion& departed);

    [[nodiscard]] bool isListed (const std::string& service, const std::string& version) const;
    /** Versions of the service that a runner had at any time since `since`, as far as known. */
    [[nodiscard]] std::vector<std::string> versionsSince (const std::string& service,
                                                          Time since) const;
    [[nodiscard]] std::vector<DepartedSoftwareVersion> departed() const;

    /** Time since which the record contains every version that a runner had. */
    [[nodiscard]] Time completeSince() const { return m_completeSince; }
    void setCompleteSince (Time time) { m_completeSince = time; }
    /** Records that a version may be missing that had a runner until `time`. */
    void onGapUntil (Time time);

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& m_services& m_completeSince;
    }

private:
    struct Use
    {
        std::uint32_t runners = 0;
        Time lastListedAt = 0;  ///< Set while there are no runners.

        template <class Archive>
        void serialize (Archive& archive, unsigned /*version*/)
        {
            archive& runners& lastListedAt;
        }
    };

    using Services = std::map<std::string, std::map<std::string, Use>>;

    /** Drops the version that departed first if there are more than kMaxDeparted. */
    void limitDeparted();

    Services m_services;  ///< By service and version.
    Time m_completeSince = kNeverComplete;
};

}  // namespace fernlift::cell
