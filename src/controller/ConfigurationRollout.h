#pragma once

/**
 * Rollout of configurations from the commit to the routers, as recorded by one leader.
 *
 * A configuration is committed, sent to every router, and confirmed once no router may serve under
 * an earlier one. This class records the time of each step, so that logs and metrics show where a
 * change was delayed. Sending is done in ControllerConfiguration.cpp; RouterSessions keeps the
 * version that each router holds.
 */

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"

namespace fernlift::controller
{

/** A configuration was committed and is sent to the connected routers. */
struct ConfigurationCommitted
{
    std::uint64_t version = 0;
    base::Term term = 0;
    std::size_t routers = 0;
};

/** No router may serve under an earlier configuration than this one any more. */
struct ConfigurationConfirmed
{
    std::uint64_t version = 0;
    std::size_t routers = 0;
    base::Duration sinceCommit{};
};

/** A configuration was not confirmed in the expected time. */
struct ConfigurationLate
{
    std::uint64_t version = 0;
    std::size_t routers = 0;
    std::size_t behind = 0;     ///< Connected routers that have not confirmed it.
    std::string router;         ///< One of these; empty when only disconnected routers are missing.
    std::uint64_t holds = 0;    ///< Version that this router has in force.
    std::uint64_t wasSent = 0;  ///< Version that it was last sent.
    base::Duration sinceCommit{};
};

/** The operator got an answer. */
struct ConfigurationAnswered
{
    std::uint64_t version = 0;  ///< Version in the operator's file; 0 when it cannot be parsed.
    std::string outcome;
    base::Duration sinceArrival{};
};

using ConfigurationEvent = std::variant<ConfigurationCommitted, ConfigurationConfirmed,
                                        ConfigurationLate, ConfigurationAnswered>;

/** Has no clock: time is passed in. Threading: none; owned by the Leadership of one ControllerCore.
 */
class ConfigurationRollout
{
public:
    /** Records a commit; versions not above the last one are ignored. */
    void onCommitted (std::uint64_t version, base::TimePoint now);

    /** Marks all versions up to `version` as confirmed. Returns the newest of them with the time
       since its commit; nothing when none was open.
    */
    std::optional<ConfigurationConfirmed> onConfirmed (std::uint64_t version, base::TimePoint now);

    /** Returns the newest version that is late; nothing when it was returned before. */
    [[nodiscard]] std::optional<ConfigurationLate> takeLate (base::TimePoint now);

    [[nodiscard]] bool isOpen() const { return ! m_open.empty(); }
    /** Versions that are committed and not confirmed. */
    [[nodiscard]] std::size_t openVersions() const { return m_open.size(); }
    /** Time from commit to confirmation of the last version confirmed. */
    [[nodiscard]] base::Duration lastDuration() const { return m_lastDuration; }

private:
    struct Open
    {
        std::uint64_t version = 0;
        base::TimePoint committedAt{};
    };

    std::deque<Open> m_open;       ///< Open versions, in ascending order of version and time.
    std::uint64_t m_lastLate = 0;  ///< Version last returned as late.
    base::Duration m_lastDuration{};
};

}  // namespace fernlift::controller
