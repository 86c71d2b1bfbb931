#pragma once

/**
 * Keeps this router's requests to runners of brittle services within the slots that the leader
 * assigns: it reports which requests are open and which wait, and hands out the granted slots.
 *
 * Such a runner fails when it has to decline requests, which no router can prevent by what it knows
 * itself. Without a reachable leader nothing new is sent to these runners. With controllers of an
 * earlier version, which assign no slots, requests are sent without.
 */

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/Time.h"
#include "cell/ServiceInstances.h"
#include "cell/SlotMessages.h"

namespace fernlift::proxy
{

/** What one answer of a runner shows about its brittleness. */
struct BrittleObservation
{
    cell::Incarnation runner;
    std::string service;
    base::TimePoint sentAt{};  ///< When the request was sent.
    bool isBrittle = false;    ///< The answer states that the runner is brittle.
    bool isDecline = false;    ///< The runner had no room for the request.
    bool isSuccess = false;    ///< The runner executed the request without a failure.
};

/** A request that needs a slot. */
struct SlotNeed
{
    std::string service;
    std::string queue;  ///< Key of the requests that wait for the same runners.
    base::TimePoint waitsSince{};
    std::vector<std::string> instances;  ///< Runners that could serve it, the best one first.
    int priority = 0;                    ///< 0: most urgent.
    base::Duration lasts{};              ///< Longest time for which it may use the slot.
};

/** Counts since the start of the process. */
struct SlotCounters
{
    std::uint64_t granted = 0;
    std::uint64_t unused = 0;  ///< Grants that came too late, or for requests that had ended.
};

/** Pure: time is passed in. Threading: none; owned by one router. */
class RunnerSlots
{
public:
    /** `holder` is a number that no other process has drawn. `onSendNeeded` is called when a report
        should be sent soon.
    */
    RunnerSlots (std::string router, std::uint64_t holder, std::function<void()> onSendNeeded)
        : m_router (std::move (router)),
          m_holder (holder),
          m_onSendNeeded (std::move (onSendNeeded))
    {
    }

    void onAnswer (const BrittleObservation& observation, base::TimePoint now);
    /** Whether requests to runners of the service need a slot. */
    [[nodiscard]] bool isNeeded (const std::string& service) const;

    // Open requests at runners of any service:
    /** `claim` is the one whose slot the request uses; 0: it has none. */
    void onAttemptBegin (const cell::Incarnation& runner, const std::string& service,
                         base::TimePoint deadline, std::uint64_t claim);
    void onAttemptEnd (const cell::Incarnation& runner);

    /** Adds a request that waits. Returns the id of its claim. */
    [[nodiscard]] std::uint64_t addClaim (SlotNeed need);
    /** Removes the claim, and gives up its slot if it has one. */
    void removeClaim (std::uint64_t claim);
    /** Runner at which the request has a slot; none: it waits, or its claim was removed. */
    [[nodiscard]] std::optional<std::string> grantOf (std::uint64_t claim,
                                                      base::TimePoint now) const;
    /** The request of a claim that waits for a slot; null for any other claim. */
    [[nodiscard]] const SlotNeed* find (std::uint64_t claim) const
    {
        const auto found = m_claims.find (claim);
        return found == m_claims.end() ? nullptr : &found->second;
    }
    /** Estimated time until a request that begins to wait gets a slot; zero if it is not known. */
    [[nodiscard]] base::Duration expectedWait (const std::string& queue, base::TimePoint now) const;

    // Events of the connection to the controller:
    void onLinkLost();
    /** Called for a message that is not about slots. If no list of services came before it, the
        controller is of an earlier version.
    */
    void onOtherMessage();
    void apply (const cell::BrittleServices& services);
    void onGrants (const cell::SlotGrants& grants, base::TimePoint now);
    /** The report that is due. It must be sent at `now`. */
    [[nodiscard]] std::optional<cell::SlotReports> takeReport (base::TimePoint now);

    /** Number of services that are brittle. */
    [[nodiscard]] std::size_t size() const { return m_services.size(); }
    [[nodiscard]] std::size_t waiting() const { return m_claims.size(); }
    [[nodiscard]] const SlotCounters& counters() const { return m_counters; }

private:
    /** Source of the slots. */
    enum class SlotSource : std::uint8_t
    {
        kUnknown,  ///< The controller has not sent anything yet.
        kLeader,
        kNone,  ///< The leader or the controller is of a version that assigns no slots.
    };
    using Runner = std::pair<std::string, base::UnixMilliseconds>;  ///< Instance and its start.

    struct OpenRequests
    {
        std::string service;
        std::uint32_t count = 0;
        base::TimePoint deadline{};  ///< Latest deadline of any of them.
    };
    struct Granted
    {
        Runner runner;
        base::TimePoint validUntil{};
        base::Duration lasts{};
    };
    struct Service
    {
        bool isInList = false;  ///< Listed by the leader, which then alone removes it.
        base::TimePoint statedAt{};
    };
    struct Statement
    {
        cell::BrittleStatement content;  ///< Complete except for the age.
        base::TimePoint madeAt{};
    };

    void setChanged();
    void addStatement (const BrittleObservation& observation, base::TimePoint now);
    void removeLateGrants (base::TimePoint now);
    /// Removes services that the leader did not list in time.
    void removeUnlisted (base::TimePoint now);
    [[nodiscard]] bool isReportDue (base::TimePoint now) const;
    [[nodiscard]] std::vector<cell::SlotUse> uses (base::TimePoint now) const;
    [[nodiscard]] std::vector<cell::SlotClaim> claims (base::TimePoint now) const;
    void useGrant (const cell::SlotGrant& grant, base::TimePoint validUntil, base::TimePoint now);
    void removeOldGrantTimes (base::TimePoint now);
    /// First report whose answer may still be used.
    [[nodiscard]] std::uint64_t firstValidSequence (base::TimePoint now);

    std::string m_router;
    std::uint64_t m_holder;
    std::function<void()> m_onSendNeeded;
    SlotSource m_source = SlotSource::kUnknown;
    base::Term m_term = 0;           ///< Term of the last list or grants.
    std::uint64_t m_version = 0;     ///< Version of the last list.
    std::uint64_t m_grantsSeen = 0;  ///< Last grant of this term.
    std::map<std::string, Service> m_services;
    std::map<Runner, OpenRequests> m_open;
    std::map<std::uint64_t, SlotNeed> m_claims;  ///< Requests that wait, by id.
    std::map<std::string, std::deque<base::TimePoint>> m_grantTimes;  ///< Last grants by queue.
    std::map<std::uint64_t, Granted> m_granted;  ///< Slots not in use yet, by claim.
    std::uint64_t m_nextClaim = 1;
    std::vector<Statement> m_statements;
    std::map<std::string, base::TimePoint> m_statementSentAt;  ///< By instance.
    std::uint64_t m_sequence = 0;                              ///< Last report.
    std::uint64_t m_firstSequence = 1;  ///< First report sent over the present connection.
    std::map<std::uint64_t, base::TimePoint> m_sentAt;  ///< Times of reports that are still valid.
    base::TimePoint m_reportedAt{};
    bool m_isChanged = false;
    bool m_hadContent = false;  ///< Whether the last report stated any use or claim.
    SlotCounters m_counters;
};

/** The claim of one request. Removes it at the end of its life. Move-only. */
class SlotTicket
{
public:
    SlotTicket() = default;
    SlotTicket (RunnerSlots& slots, std::uint64_t claim) : m_slots (&slots), m_claim (claim) {}
    ~SlotTicket() { reset(); }
    SlotTicket (const SlotTicket&) = delete;
    SlotTicket& operator= (const SlotTicket&) = delete;
    SlotTicket (SlotTicket&& other) noexcept
        : m_slots (other.m_slots), m_claim (std::exchange (other.m_claim, 0))
    {
    }
    SlotTicket& operator= (SlotTicket&& other) noexcept
    {
        if (this == &other)
            return *this;
        reset();
        m_slots = other.m_slots;
        m_claim = std::exchange (other.m_claim, 0);
        return *this;
    }

    void reset()
    {
        if (m_claim != 0)
            m_slots->removeClaim (std::exchange (m_claim, 0));
    }
    /** Returns the claim, which the caller uses up; 0: none. */
    [[nodiscard]] std::uint64_t release() { return std::exchange (m_claim, 0); }
    /** The request while it waits; null otherwise. */
    [[nodiscard]] const SlotNeed* need() const
    {
        return m_claim == 0 ? nullptr : m_slots->find (m_claim);
    }
    /** Runner at which the request has a slot; none: it waits, or there is no claim. */
    [[nodiscard]] std::optional<std::string> grant (base::TimePoint now) const
    {
        return m_claim == 0 ? std::nullopt : m_slots->grantOf (m_claim, now);
    }

private:
    RunnerSlots* m_slots = nullptr;
    std::uint64_t m_claim = 0;
};

}  // namespace fernlift::proxy
