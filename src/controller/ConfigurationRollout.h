#pragma once

/**
 * The way of configurations from the commit to the routers, as one leader sees it.
 *
 * A configuration is committed, sent to every router, and confirmed once no router may serve under
 * an earlier one. This class keeps the time of each step, so that logs and metrics can tell where a
 * change was held up. It leaves sending to ControllerRouters.cpp and who holds what to
 * RouterSessions.
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

/** A configuration was committed and goes to the routers that are connected. */
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

/** A configuration is not confirmed although it should be by now. */
struct ConfigurationLate
{
    std::uint64_t version = 0;
    std::size_t routers = 0;
    std::size_t behind = 0;     ///< Of the connected routers.
    std::string router;         ///< One of these; empty when only routers that left are waited for.
    std::uint64_t holds = 0;    ///< What that router has in force.
    std::uint64_t wasSent = 0;  ///< What it was sent last.
    base::Duration sinceCommit{};
};

/** The operator was answered. */
struct ConfigurationAnswered
{
    std::uint64_t version = 0;  ///< Of the file sent; 0 when it cannot be read.
    std::string outcome;
    base::Duration sinceArrival{};
};

using ConfigurationNews = std::variant<ConfigurationCommitted, ConfigurationConfirmed,
                                       ConfigurationLate, ConfigurationAnswered>;

/** Pure: time is passed in. Threading: none; owned by the Leadership of one ControllerCore. */
class ConfigurationRollout
{
public:
    /** Notes a commit; lower versions than the last one are passed over. */
    void onCommitted (std::uint64_t version, base::TimePoint now);

    /** Takes all versions up to `version` as confirmed. Returns the newest of them with the time
       since its commit; nothing when none was open.
    */
    std::optional<ConfigurationConfirmed> onConfirmed (std::uint64_t version, base::TimePoint now);

    /** The newest version that is open for long and was not told as late yet; each is told once. */
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

    std::deque<Open> m_open;       ///< Rising versions, rising times.
    std::uint64_t m_toldLate = 0;  ///< Version last told as late.
    base::Duration m_lastDuration{};
};

}  // namespace fernlift::controller
