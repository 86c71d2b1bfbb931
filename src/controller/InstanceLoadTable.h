#pragma once

/**
 * Table of the load and speed of each runner, over all routers, that controllers send to routers.
 * The leader fills it from sums of reports, another controller from the leader's updates.
 *
 * Each row keeps the version in which it last changed, so that a receiver gets only the changes
 * since the last update it was sent, and all receivers at the same version get the same message.
 */

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/Time.h"
#include "cell/InstanceLoadMessages.h"

namespace fernlift::controller
{

/** Pure: time is passed in. Threading: none; owned by one ControllerCore. */
class InstanceLoadTable
{
public:
    /** Applies sums of uses, and slowdowns relative to the nominal speed of each runner. Ignores
        differences that are too small to affect routing.
    */
    void onReport (const cell::InstanceLoadReport& report, base::TimePoint now);
    void setSpeed (const std::string& instance, std::uint32_t percent);
    /** Applies an update of the leader. */
    void apply (const cell::InstanceLoadUpdate& update, base::TimePoint now);
    /** Removes the rows of all other runners, which have been removed from the cell. */
    void keepOnly (const std::function<bool (const std::string& instance)>& isKept);

    /** Increases with each change; starts at 1. */
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] std::size_t size() const { return m_rows.size(); }
    [[nodiscard]] std::size_t rowsSince (std::uint64_t version) const;
    /** Returns the rows changed since a version. For version 0, returns all rows that differ from
        an idle runner of nominal speed.
    */
    [[nodiscard]] cell::InstanceLoadUpdate updateSince (std::uint64_t version,
                                                        base::TimePoint now) const;
    /** Returns the load of a runner; for an unknown one, that of an idle runner of nominal speed.
     */
    [[nodiscard]] cell::InstanceLoad loadOf (const std::string& instance,
                                             base::TimePoint now) const;
    /** Time of the last report or update; the epoch before the first. */
    [[nodiscard]] base::TimePoint lastUpdateAt() const { return m_lastUpdateAt; }
    /** Calls `visit` with each row, in the form in which updateSince() returns it. */
    void visit (base::TimePoint now,
                const std::function<void (const cell::InstanceLoad& load)>& visit) const;

private:
    struct Row
    {
        std::uint32_t inFlight = 0;
        std::uint64_t pendingPrefillTokens = 0;
        std::uint32_t speedPercent = 100;
        std::uint32_t slowdownPercent = 100;
        base::TimePoint slowdownAt{};      ///< Time of the last report of it.
        base::TimePoint slowdownSentAt{};  ///< Time of the report last sent to receivers.
        std::uint64_t changedAt = 0;       ///< Version of the last change.
    };

    void setSlowdown (Row& row, std::uint32_t percent, base::TimePoint statedAt);
    void markChanged (Row& row) { row.changedAt = ++m_version; }
    [[nodiscard]] static bool isNominal (const Row& row);
    [[nodiscard]] static cell::InstanceLoad toMessage (const std::string& instance, const Row& row,
                                                       base::TimePoint now);

    std::uint64_t m_version = 1;
    base::TimePoint m_lastUpdateAt{};
    std::map<std::string, Row> m_rows;
};

}  // namespace fernlift::controller
