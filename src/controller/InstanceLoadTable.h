#pragma once

/**
 * What all routers together know of each runner, as it goes to routers: the leader fills it from
 * sums, another controller from the leader's updates.
 *
 * Which version a row last changed in is kept for each row, so that each receiver gets what changed
 * since it was last sent something, and all that are equally far get the same message.
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
    /** Takes over sums of uses, and slowdowns against the usual of each runner. Differences that
        change no choice are left out.
    */
    void onReport (const cell::InstanceLoadReport& report, base::TimePoint now);
    void setSpeed (const std::string& instance, std::uint32_t percent);
    /** Takes over what the leader sent. */
    void apply (const cell::InstanceLoadUpdate& update, base::TimePoint now);
    /** Forgets the other runners: they are gone. */
    void keepOnly (const std::function<bool (const std::string& instance)>& isKept);

    /** Grows with each change; above 0. */
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] std::size_t size() const { return m_rows.size(); }
    [[nodiscard]] std::size_t rowsSince (std::uint64_t version) const;
    /** What changed since a version; 0: all that differs from an idle runner of usual speed. */
    [[nodiscard]] cell::InstanceLoadUpdate updateSince (std::uint64_t version,
                                                        base::TimePoint now) const;
    /** Of an idle runner of usual speed when nothing is known. */
    [[nodiscard]] cell::InstanceLoad loadOf (const std::string& instance,
                                             base::TimePoint now) const;
    /** When something was last told here; the begin of time before that. */
    [[nodiscard]] base::TimePoint toldAt() const { return m_toldAt; }
    /** Calls `visit` with each row, as updateSince() would tell it. */
    void visit (base::TimePoint now,
                const std::function<void (const cell::InstanceLoad& load)>& visit) const;

private:
    struct Row
    {
        std::uint32_t inFlight = 0;
        std::uint64_t unreadTokens = 0;
        std::uint32_t speedPercent = 100;
        std::uint32_t slowdownPercent = 100;
        base::TimePoint slowdownAt{};      ///< When it was stated last.
        base::TimePoint slowdownToldAt{};  ///< The same of what receivers were told.
        std::uint64_t changedAt = 0;       ///< Version.
    };

    void setSlowdown (Row& row, std::uint32_t percent, base::TimePoint statedAt);
    void markChanged (Row& row) { row.changedAt = ++m_version; }
    [[nodiscard]] static bool isUsual (const Row& row);
    [[nodiscard]] static cell::InstanceLoad toMessage (const std::string& instance, const Row& row,
                                                       base::TimePoint now);

    std::uint64_t m_version = 1;
    base::TimePoint m_toldAt{};
    std::map<std::string, Row> m_rows;
};

}  // namespace fernlift::controller
