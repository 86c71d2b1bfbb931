#pragma once

/// Test support: a whole cell in which some requests crash the runners that run them, beside
/// healthy ones: routers report what they observe, controllers are killed, racks fail, connections
/// are reset. The same request may come again and again, or one part of different prompts.

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <functional>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "base/Digest.h"
#include "base/Random.h"
#include "controller/ControllerCore.h"
#include "controller/TestCell.h"
#include "quarantine/SuspectRequests.h"

namespace fernlift::controller::test
{

using base::milliseconds;
using base::seconds;
using quarantine::RunnerProbeResult;
using quarantine::SuspectRequests;

constexpr std::size_t kRouters = 6;
constexpr std::size_t kRunners = 16;
constexpr std::int64_t kSubjects = 40;      ///< Second parts of prompts of healthy requests.
constexpr std::size_t kRunnersPerRack = 4;  ///< Runners of a rack fail together.
constexpr base::Duration kStep = milliseconds (5);
constexpr base::Duration kRun = seconds (20);
constexpr base::Duration kTimeToCrash = milliseconds (50);
constexpr base::Duration kProbeWait = milliseconds (100);
/// Time within which all routers must have the crashes observed at one router, as platforms
/// require.
constexpr base::Duration kPropagationLimit = seconds (3);
/// Wait after the last change of a part in quarantine before requests with it are refused.
constexpr base::Duration kPartWait = milliseconds (200);
constexpr std::uint32_t kMaxAttempts = 2;
/// Time limit of a request whose runner is dark.
constexpr base::Duration kDeadline = milliseconds (1500);
/// Time for which routers go on to send requests to a runner that is dark.
constexpr base::Duration kUnnoticed = milliseconds (700);

enum class Fault : std::uint8_t
{
    kNone,
    kNotShared,        ///< Routers send no reports.
    kHealthyBlamed,    ///< Every interrupted answer counts, also those interrupted together.
    kLostWithLeader,   ///< Suspects are dropped with each leader, by the routers too.
    kNeighbourBlamed,  ///< A part gets every crash, whatever else explains it.
    kNotCleared,       ///< Whole answers don't clear parts of prompts.
};

/// Faults injected during a run.
struct FaultConditions
{
    bool hasCrashes = false;  ///< Crashes of a quarter of the runners and of racks; resets.
    bool killsControllers = false;
    std::size_t copies = 1;  ///< Copies of each poison request, sent at once by different routers.
    /// Whether poison comes every 0.1 to 0.2 s, while answers take 2 to 6 s.
    bool isFast = false;
    /// Whether one part of the prompt is the poison, in requests of which no two are equal.
    bool poisonsPart = false;
    /// Whether the machines of runners fail: their requests hang until their deadline.
    bool goDark = false;
};

struct Runner
{
    std::string name;
    std::uint32_t incarnation = 1;
    bool isAlive = true;
    base::TimePoint crashedAt{};
    base::TimePoint backAt{};

    [[nodiscard]] std::string instance() const { return name + "-" + std::to_string (incarnation); }
};

struct Request
{
    cell::RequestIdentity identity;
    std::vector<cell::RequestIdentity> parts;  ///< Of the prompt, without the last one.
    bool isPoison = false;
    std::size_t router = 0;
    std::uint32_t attempts = 0;
    // The members below describe the attempt under way.
    std::size_t runner = 0;
    std::string instance;
    base::TimePoint sentAt{};
    base::TimePoint endsAt{};
    bool isRunning = false;
    bool isEnded = false;
};

struct Outcome
{
    std::uint64_t healthy = 0;
    std::uint64_t healthyRefused = 0;
    std::uint32_t crashedByPoison = 0;  ///< Runners that a poison request crashed.
    /// Poison requests sent later than kPropagationLimit after the third crash.
    std::uint32_t sentAfterPropagation = 0;
};

class QuarantineCell
{
public:
    QuarantineCell (std::uint64_t seed, FaultConditions conditions, Fault fault)
        : m_random (seed), m_conditions (conditions), m_fault (fault), m_cell (options (seed))
    {
        for (std::size_t number = 0; number < kRunners; ++number)
        {
            Runner runner;
            runner.name = "runner" + std::to_string (number);
            m_runners.push_back (std::move (runner));
        }
        m_suspects.resize (kRouters);
        m_cell.awaitLeader();
        for (std::size_t number = 0; number < kRouters; ++number)
        {
            m_cell.router (number).acceptsLastKnownState = true;
            m_cell.reconnect (number, 1 + number % 3);
            m_cell.router (number).onSuspects = [this, number] (const cell::SuspectUpdate& update)
            { m_suspects[number].apply (update, m_cell.now()); };
        }
        m_cell.run (seconds (1));
        m_lastLeader = m_cell.leader();
    }

    Outcome run()
    {
        const base::TimePoint end = m_cell.now() + kRun;
        while (m_cell.now() < end)
        {
            m_cell.run (kStep);
            sendRequests();
            if (m_conditions.hasCrashes)
                injectRunnerFaults();
            if (m_conditions.killsControllers)
                injectControllerFaults();
            restartRunners();
            stepRequests();
            report();
        }
        return m_outcome;
    }

private:
    static TestCell::Options options (std::uint64_t seed)
    {
        TestCell::Options options = testOptions();
        options.routers = kRouters;
        options.controller.hasMachineList = false;
        options.seed = seed;
        return options;
    }
    static cell::RequestIdentity identityOf (const std::string& name)
    {
        return { base::stableHash (name), base::sha256Hex (name).substr (0, 32) };
    }
    static cell::RequestIdentity partOf (const std::string& name)
    {
        return { base::stableHash ("part " + name),
                 std::string (cell::kPromptPartPrefix) + base::sha256Hex (name).substr (0, 32) };
    }
    bool chance (double share) { return m_random.uniformReal() < share; }
    std::size_t below (std::size_t limit)
    {
        return static_cast<std::size_t> (
            m_random.uniformInteger (0, static_cast<std::int64_t> (limit) - 1));
    }

    void sendRequests()
    {
        // A popular request, sent identically by many callers, and unique requests.
        const std::string head = m_partRandom.uniformReal() < 0.7 ? "head" : "other head";
        const std::string subject =
            "subject" + std::to_string (m_partRandom.uniformInteger (0, kSubjects - 1));
        begin (identityOf (chance (0.2) ? "popular" : "own" + std::to_string (m_outcome.healthy)),
               { partOf (head), partOf (subject) }, false, below (kRouters));
        if (m_cell.now() < m_nextPoison)
            return;
        m_nextPoison =
            m_cell.now()
            + base::Duration (m_conditions.isFast ? m_random.uniformInteger (100'000, 200'000)
                                                  : m_random.uniformInteger (200'000, 2'900'000));
        for (std::size_t copy = 0; copy < m_conditions.copies; ++copy)
            beginPoison ((below (kRouters) + copy) % kRouters);
    }
    void beginPoison (std::size_t router)
    {
        if (m_conditions.poisonsPart)
            begin (identityOf ("poison" + std::to_string (m_partRandom.bits())),
                   { partOf ("head"), partOf ("deadly") }, true, router);
        else
            begin (identityOf ("deadly"), { partOf ("head") }, true, router);
    }
    void begin (cell::RequestIdentity identity, std::vector<cell::RequestIdentity> parts,
                bool isPoison, std::size_t router)
    {
        Request request;
        request.identity = std::move (identity);
        request.parts = std::move (parts);
        request.isPoison = isPoison;
        request.router = router;
        if (! isPoison)
            ++m_outcome.healthy;
        if (! isHeldBack (request))
            send (request);
        m_requests.push_back (std::move (request));
    }
    void send (Request& request)
    {
        const quarantine::SuspectStatus status =
            m_suspects[request.router].suspectStatusOf (request.identity);
        if (status.isInQuarantine() || partStatusOf (request).isInQuarantine())
        {
            request.isEnded = true;
            m_outcome.healthyRefused += request.isPoison ? 0 : 1;
            return;
        }
        const Runner* runner = choose (request, status);
        if (runner == nullptr)
        {
            request.isEnded = true;
            return;
        }
        request.runner = static_cast<std::size_t> (runner - m_runners.data());
        request.instance = runner->instance();
        request.sentAt = m_cell.now();
        base::Duration work = kTimeToCrash;
        if (! request.isPoison)
            work =
                base::Duration (m_conditions.isFast ? m_random.uniformInteger (2'000'000, 6'000'000)
                                                    : m_random.uniformInteger (30'000, 900'000));
        request.endsAt = m_cell.now() + work;
        request.isRunning = true;
        ++request.attempts;
        if (request.isPoison && m_thirdCrashAt != base::TimePoint{}
            && m_cell.now() > m_thirdCrashAt + kPropagationLimit)
        {
            ++m_outcome.sentAfterPropagation;
        }
    }
    [[nodiscard]] quarantine::PromptPartStatus partStatusOf (const Request& request) const
    {
        const SuspectRequests& suspects = m_suspects[request.router];
        if (m_fault != Fault::kNeighbourBlamed)
            return suspects.statusOfParts (request.parts);
        for (const cell::RequestIdentity& part : request.parts)
        {
            const quarantine::SuspectStatus status = suspects.suspectStatusOf (part);
            if (status.isInQuarantine())
                return { part.digest, status.crashes, {} };
        }
        return {};
    }
    const Runner* choose (const Request& request, const quarantine::SuspectStatus& status)
    {
        const Runner* chosen = nullptr;
        std::uint64_t highest = 0;
        for (const Runner& runner : m_runners)
        {
            const bool hasCrashed =
                std::ranges::find (status.instances, runner.instance()) != status.instances.end();
            const bool isUnnoticed =
                m_conditions.goDark && m_cell.now() < runner.crashedAt + kUnnoticed;
            if ((! runner.isAlive && ! isUnnoticed) || hasCrashed)
                continue;
            const std::uint64_t rank =
                status.isSuspect() ? base::stableHash (runner.instance() + request.identity.digest)
                                   : m_random.bits();
            if (chosen != nullptr && rank <= highest)
                continue;
            highest = rank;
            chosen = &runner;
        }
        return chosen;
    }

    void injectRunnerFaults()
    {
        const double perStep = std::chrono::duration<double> (kStep).count();
        if (chance (0.15 * perStep))
        {
            const std::size_t rack = below (kRunners / kRunnersPerRack);
            for (std::size_t number = rack * kRunnersPerRack; number < (rack + 1) * kRunnersPerRack;
                 ++number)
                crash (number);
        }
        if (chance (0.3 * perStep))
        {
            for (std::size_t number = 0; number < kRunners; ++number)
            {
                if (chance (0.25))
                    crash (number);
            }
        }
        if (chance (0.5 * perStep))
            resetConnections (below (kRunners));
    }
    void crash (std::size_t number)
    {
        Runner& runner = m_runners[number];
        if (! runner.isAlive)
            return;
        runner.isAlive = false;
        runner.crashedAt = m_cell.now();
        runner.backAt =
            m_cell.now() + base::Duration (m_random.uniformInteger (1'000'000, 3'000'000));
        if (! m_conditions.goDark)
            interruptAnswers (number, true);
    }
    /// Whether the runner of the request has gone dark under it.
    [[nodiscard]] bool hangs (const Request& request) const
    {
        const Runner& runner = m_runners[request.runner];
        return m_conditions.goDark && (! runner.isAlive || runner.instance() != request.instance);
    }
    void giveUp (Request& request)
    {
        request.isRunning = false;
        request.isEnded = true;
        SuspectRequests& suspects = m_suspects[request.router];
        // Requests that were sent to a dark runner got no sign of life from it.
        const base::TimePoint heardAt =
            std::max (request.sentAt, m_runners[request.runner].crashedAt);
        const SuspectRequests::MissingAnswer missing{ request.instance, request.sentAt, heardAt };
        suspects.onAnswerMissing (request.identity, missing, m_cell.now());
        for (const cell::RequestIdentity& part : request.parts)
            suspects.onAnswerMissing (part, missing, m_cell.now());
    }
    void resetConnections (std::size_t number) { interruptAnswers (number, false); }
    void interruptAnswers (std::size_t number, bool hasCrashed)
    {
        const bool counts = hasCrashed || m_fault == Fault::kHealthyBlamed;
        for (Request& request : m_requests)
        {
            if (! request.isRunning || request.runner != number)
                continue;
            request.isRunning = false;
            SuspectRequests& suspects = m_suspects[request.router];
            // With the planted fault, each crash counts as consecutive to the one before.
            const base::TimePoint sentAt =
                m_fault == Fault::kHealthyBlamed ? m_cell.now() : request.sentAt;
            const std::string instance = m_fault == Fault::kHealthyBlamed
                                             ? request.instance + std::to_string (m_random.bits())
                                             : request.instance;
            suspects.onAnswerInterrupted (request.identity, instance, sentAt, m_cell.now());
            for (const cell::RequestIdentity& part : request.parts)
            {
                const bool isBlamed = m_fault == Fault::kNeighbourBlamed;
                suspects.onAnswerInterrupted (part, instance, isBlamed ? m_cell.now() : sentAt,
                                              m_cell.now());
            }
            suspects.onProbeResult (instance,
                                    counts ? RunnerProbeResult::kGone : RunnerProbeResult::kAlive);
            request.isEnded = request.attempts >= kMaxAttempts;
        }
    }
    void restartRunners()
    {
        for (Runner& runner : m_runners)
        {
            if (runner.isAlive || m_cell.now() < runner.backAt)
                continue;
            // A replaced runner that refuses connections was found by a probe before.
            for (SuspectRequests& suspects : m_suspects)
            {
                if (m_conditions.goDark)
                    suspects.onReplaced (runner.instance(), m_cell.now());
            }
            runner.isAlive = true;
            ++runner.incarnation;
        }
    }
    void injectControllerFaults()
    {
        const double perStep = std::chrono::duration<double> (kStep).count();
        if (m_downMember != 0 && m_cell.now() >= m_backAt)
            m_cell.restart (std::exchange (m_downMember, 0));
        if (m_downMember == 0 && chance (0.2 * perStep))
        {
            const base::MemberId leader = m_cell.leader();
            m_downMember = chance (0.6) && leader != 0 ? leader : 1 + below (3);
            m_backAt = m_cell.now() + base::Duration (m_random.uniformInteger (500'000, 2'500'000));
            m_cell.kill (m_downMember);
        }
        // A router restarts with an empty state.
        if (chance (0.2 * perStep))
        {
            const std::size_t number = below (kRouters);
            m_suspects[number] = SuspectRequests();
            m_cell.reconnect (number, 1 + below (3));
        }
        if (m_cell.leader() == 0
            || std::exchange (m_lastLeader, m_cell.leader()) == m_cell.leader())
            return;
        if (m_fault != Fault::kLostWithLeader)
            return;
        m_cell.ask (m_cell.leader(), AdminRelease{}, seconds (1));
        for (SuspectRequests& suspects : m_suspects)
            suspects = SuspectRequests();
    }

    /// As in Exchange: retries and new copies both wait until the cause of an interrupted answer is
    /// known.
    [[nodiscard]] bool isHeldBack (const Request& request) const
    {
        const quarantine::SuspectStatus suspectStatus =
            m_suspects[request.router].suspectStatusOf (request.identity);
        const quarantine::PromptPartStatus partStatus = partStatusOf (request);
        const bool isPartUndecided =
            partStatus.isInQuarantine() && m_cell.now() < partStatus.changedAt + kPartWait;
        return isPartUndecided
               || (suspectStatus.isUndecided()
                   && m_cell.now() < *suspectStatus.undecidedSince + kProbeWait);
    }

    void stepRequests()
    {
        for (Request& request : m_requests)
        {
            const bool isHung = request.isRunning && hangs (request);
            if (isHung && m_cell.now() >= request.sentAt + kDeadline)
                giveUp (request);
            if (! isHung && request.isRunning && m_cell.now() >= request.endsAt)
                finish (request);
            if (request.isRunning || request.isEnded)
                continue;
            if (! isHeldBack (request))
                send (request);
        }
        std::erase_if (m_requests, [] (const Request& request) { return request.isEnded; });
    }
    void finish (Request& request)
    {
        if (request.isPoison)
        {
            if (++m_outcome.crashedByPoison == cell::kCrashesBeforeQuarantine)
                m_thirdCrashAt = m_cell.now();
            crash (request.runner);
            return;
        }
        request.isRunning = false;
        request.isEnded = true;
        SuspectRequests& suspects = m_suspects[request.router];
        if (suspects.hasMissingAnswers())
            suspects.onBytes (request.instance);
        if (suspects.mayContain (request.identity.fingerprint))
            suspects.onCompleteAnswer (request.identity);
        for (const cell::RequestIdentity& part : request.parts)
        {
            if (m_fault == Fault::kNotCleared)
                continue;
            suspects.onPartAnswered (part.fingerprint, m_cell.now());
            if (suspects.mayContain (part.fingerprint))
                suspects.onCompleteAnswer (part);
        }
    }
    void report()
    {
        for (std::size_t number = 0; number < kRouters; ++number)
        {
            m_suspects[number].expire (m_cell.now());
            auto report = m_suspects[number].takeReport (m_cell.now());
            if (report && m_fault != Fault::kNotShared)
                m_cell.sendFromRouter (number, *report);
        }
    }

    base::Random m_random;
    base::Random m_partRandom{ 1 };  ///< Draws parts of prompts.
    FaultConditions m_conditions;
    Fault m_fault;
    TestCell m_cell;
    std::vector<Runner> m_runners;
    std::vector<SuspectRequests> m_suspects;  ///< By router.
    std::deque<Request> m_requests;
    base::TimePoint m_nextPoison{};
    base::TimePoint m_thirdCrashAt{};
    base::MemberId m_downMember = 0;
    base::TimePoint m_backAt{};
    base::MemberId m_lastLeader = 0;
    Outcome m_outcome;
};

/// Number of seeds to run: kSeedsInCi, or the value of QUARANTINE_SEEDS if set.
inline std::uint64_t seeds()
{
    constexpr std::uint64_t kSeedsInCi = 8;
    const char* const text = std::getenv ("QUARANTINE_SEEDS");
    return text == nullptr ? kSeedsInCi : std::strtoull (text, nullptr, 10);
}

inline Outcome sumOver (const FaultConditions& conditions, Fault fault,
                        const std::function<void (std::uint64_t, const Outcome&)>& check)
{
    Outcome sum;
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed)
    {
        const Outcome outcome = QuarantineCell (seed, conditions, fault).run();
        check (seed, outcome);
        sum.healthy += outcome.healthy;
        sum.healthyRefused += outcome.healthyRefused;
        sum.crashedByPoison = std::max (sum.crashedByPoison, outcome.crashedByPoison);
        sum.sentAfterPropagation =
            std::max (sum.sentAfterPropagation, outcome.sentAfterPropagation);
    }
    std::cout << sum.healthy << " healthy requests, " << sum.healthyRefused << " refused; at most "
              << sum.crashedByPoison << " runners crashed by one poison request, "
              << sum.sentAfterPropagation << " later sends of it\n";
    return sum;
}

constexpr auto kNoCheck = [] (std::uint64_t, const Outcome&) {};

}  // namespace fernlift::controller::test
