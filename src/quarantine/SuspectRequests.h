#pragma once

/**
 * What one router knows of requests under which runners ended: the table of the cell, and what it
 * saw itself and the cell has not taken yet.
 *
 * An answer that breaks off is no proof: the connection may have been reset. It counts once the
 * runner was found gone, or is replaced at its address soon after. What is proved is told to the
 * controllers until their table shows it. See docs/design/quarantine.md.
 */

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/Time.h"
#include "cell/QuarantineMessages.h"
#include "cell/QuarantineTable.h"
#include "quarantine/RunnerFate.h"

namespace fernlift::quarantine
{

/** What is known of one request. */
struct Standing
{
    std::uint32_t ends = 0;  ///< Runners that ended under it one after the other.
    /** When a runner last broke off its answer of which it is not known yet what that means, or not
       to the other routers: worth a moment before the request or a copy of it is sent.
    */
    std::optional<base::TimePoint> undecidedSince;
    /** When the runner to which all its copies go was found gone, while one more end would put it
        into quarantine: another router may have seen that end.
    */
    std::optional<base::TimePoint> trialGoneSince;
    std::vector<std::string> instances;  ///< That ended under it.

    [[nodiscard]] bool isUndecided() const { return undecidedSince.has_value(); }
    [[nodiscard]] bool isSuspect() const { return ends > 0; }
    [[nodiscard]] bool isInQuarantine() const { return ends >= cell::kEndsBeforeQuarantine; }
};

/** Pure: time is passed in. Threading: none; owned by one ProxyProcess. */
class SuspectRequests
{
public:
    /** Breaks that are not settled yet; more are not kept, the oldest make way. */
    static constexpr std::size_t kMostOwn = 1024;

    /** Whether nothing at all is known: the usual case, in which requests need no identity. */
    [[nodiscard]] bool isEmpty() const { return m_outlines.empty(); }
    /** Whether something may be known about a request of this outline. */
    [[nodiscard]] bool mayKnow (std::uint64_t outline) const
    {
        return m_outlines.contains (outline);
    }
    [[nodiscard]] Standing standingOf (const cell::RequestIdentity& request) const;

    /** A runner broke off its answer. */
    void onBrokenOff (const cell::RequestIdentity& request, const std::string& instance,
                      base::TimePoint sentAt, base::TimePoint now);
    /** What a look at a runner that broke off has found. Returns whether requests are suspects
        because of it.
    */
    bool onFate (const std::string& instance, RunnerFate fate);
    /** The runner is no longer registered, and had not said that it would leave. */
    void onReplaced (const std::string& instance);
    /** The runner to which all copies of the request go cannot be reached. */
    void onTrialUnreachable (const cell::RequestIdentity& request, std::string instance,
                             base::TimePoint now);
    /** The leader was told of ends, and the log takes long to agree on them. */
    void onTold (const cell::SuspectReport& report, base::TimePoint now);
    /** A runner has answered the request whole. */
    void onWholeAnswer (const cell::RequestIdentity& request);

    /** Takes over a change of the table, unless it is older than what is held. */
    void apply (const cell::SuspectUpdate& update, base::TimePoint now);
    /** What the controllers are to be told now; none when they know all. */
    [[nodiscard]] std::optional<cell::SuspectReport> takeReport (base::TimePoint now);
    /** What was told may be lost. */
    void onLinkLost();
    /** Drops what is too old to be proved or told. */
    void expire (base::TimePoint now);

    /** Of the cell's table, as far as held. */
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] std::size_t size() const { return m_rows.size(); }
    [[nodiscard]] std::uint64_t forgotten() const { return m_forgotten; }

private:
    enum class Proof : std::uint8_t
    {
        kLooking,  ///< The runner is being looked at.
        kOpen,     ///< It could not be reached: it may still show that it was replaced.
        kProved,
    };
    struct OwnEnd
    {
        cell::RequestIdentity request;
        std::string instance;
        base::TimePoint sentAt{};
        base::TimePoint endedAt{};
        Proof proof = Proof::kLooking;
        base::TimePoint toldAt{};  ///< To the controllers; the begin of time: not yet.
        bool isForeign = false;    ///< Seen by another router, which tells the controllers.
    };
    struct Row
    {
        cell::SuspectRow told;
        base::TimePoint receivedAt{};  ///< The last change of it.
    };
    struct Acquittal
    {
        base::TimePoint since{};
        base::TimePoint toldAt{};
    };

    struct GoneTrial
    {
        std::string instance;
        base::TimePoint since{};
    };

    void keepOnly (const std::vector<cell::SuspectRow>& rows);
    void put (const cell::SuspectRow& row, base::TimePoint now);
    void remove (const std::string& digest);
    void makeRoom();
    void dropSettled();
    void indexOutlines();

    std::uint64_t m_version = 0;
    std::unordered_map<std::string, Row> m_rows;  ///< By digest.
    std::vector<OwnEnd> m_own;                    ///< The oldest first.
    std::map<std::string, Acquittal> m_acquittals;
    std::map<std::string, GoneTrial> m_goneTrials;  ///< By digest.
    std::unordered_set<std::uint64_t> m_outlines;   ///< Of rows and own ends.
    std::uint64_t m_forgotten = 0;
};

}  // namespace fernlift::quarantine
