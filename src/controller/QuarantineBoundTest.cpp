// Requests that end runners, beside healthy ones, over a whole cell: routers that report what they
// see, controllers that are killed, racks that are lost, connections that are reset.
//
// Two bounds hold together: one deadly request ends few runners, and no healthy request is refused
// because of others. Planted faults show that each of the checks can fail.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "base/Digest.h"
#include "base/Random.h"
#include "controller/ControllerCore.h"
#include "controller/TestCell.h"
#include "quarantine/SuspectRequests.h"

namespace fernlift::controller
{
namespace
{

using base::milliseconds;
using base::seconds;
using quarantine::RunnerFate;
using quarantine::SuspectRequests;
using test::TestCell;

constexpr std::size_t kRouters = 6;
constexpr std::size_t kRunners = 16;
constexpr std::size_t kRack = 4;  ///< Runners that are lost together.
constexpr base::Duration kStep = milliseconds (5);
constexpr base::Duration kRun = seconds (20);
constexpr base::Duration kTimeToEnd = milliseconds (50);
constexpr base::Duration kVerdictWait = milliseconds (100);
/// In which what ended at one router must be known at all, as platforms want it.
constexpr base::Duration kContact = seconds (3);
constexpr std::uint32_t kMostAttempts = 2;

enum class Fault : std::uint8_t
{
    kNone,
    kNotShared,       ///< Routers report nothing.
    kInnocentBlamed,  ///< Every answer that breaks off counts, and those that end together do too.
    kLostWithLeader,  ///< What a leader knows ends with it, and routers forget it too.
};

/// What happens beside the requests.
struct Weather
{
    bool hasCrashes = false;  ///< A quarter of the runners, racks, and reset connections.
    bool killsControllers = false;
    std::size_t copies = 1;  ///< Of each deadly request, at routers at once.
};

struct Runner
{
    std::string name;
    std::uint32_t incarnation = 1;
    bool isAlive = true;
    base::TimePoint backAt{};

    [[nodiscard]] std::string instance() const { return name + "-" + std::to_string (incarnation); }
};

struct Request
{
    cell::RequestIdentity identity;
    bool isDeadly = false;
    std::size_t router = 0;
    std::uint32_t attempts = 0;
    // Of the attempt under way.
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
    std::uint32_t endedByDeadly = 0;     ///< Runners.
    std::uint32_t sentAfterContact = 0;  ///< Deadly ones, later than kContact after the third end.
};

class QuarantineCell
{
public:
    QuarantineCell (std::uint64_t seed, Weather weather, Fault fault)
        : m_random (seed), m_weather (weather), m_fault (fault), m_cell (options (seed))
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
            if (m_weather.hasCrashes)
                crashSomething();
            if (m_weather.killsControllers)
                killSomething();
            restartRunners();
            follow();
            report();
        }
        return m_outcome;
    }

private:
    static TestCell::Options options (std::uint64_t seed)
    {
        TestCell::Options options = test::testOptions();
        options.routers = kRouters;
        options.controller.hasMachineList = false;
        options.seed = seed;
        return options;
    }
    static cell::RequestIdentity identityOf (const std::string& name)
    {
        return { base::stableHash (name), base::sha256Hex (name).substr (0, 32) };
    }
    bool chance (double share) { return m_random.uniformReal() < share; }
    std::size_t below (std::size_t limit)
    {
        return static_cast<std::size_t> (
            m_random.uniformInteger (0, static_cast<std::int64_t> (limit) - 1));
    }

    void sendRequests()
    {
        // One request that many callers send alike, and others of their own.
        begin (identityOf (chance (0.2) ? "popular" : "own" + std::to_string (m_outcome.healthy)),
               false, below (kRouters));
        if (m_cell.now() < m_nextDeadly)
            return;
        m_nextDeadly = m_cell.now() + base::Duration (m_random.uniformInteger (200'000, 2'900'000));
        for (std::size_t copy = 0; copy < m_weather.copies; ++copy)
            begin (identityOf ("deadly"), true, (below (kRouters) + copy) % kRouters);
    }
    void begin (cell::RequestIdentity identity, bool isDeadly, std::size_t router)
    {
        Request request;
        request.identity = std::move (identity);
        request.isDeadly = isDeadly;
        request.router = router;
        if (! isDeadly)
            ++m_outcome.healthy;
        if (! isHeldBack (request))
            send (request);
        m_requests.push_back (std::move (request));
    }
    void send (Request& request)
    {
        const quarantine::Standing known = m_suspects[request.router].standingOf (request.identity);
        if (known.isInQuarantine())
        {
            request.isEnded = true;
            m_outcome.healthyRefused += request.isDeadly ? 0 : 1;
            return;
        }
        const Runner* runner = choose (request, known);
        if (runner == nullptr)
        {
            request.isEnded = true;
            return;
        }
        request.runner = static_cast<std::size_t> (runner - m_runners.data());
        request.instance = runner->instance();
        request.sentAt = m_cell.now();
        const base::Duration work =
            request.isDeadly ? kTimeToEnd
                             : base::Duration (m_random.uniformInteger (30'000, 900'000));
        request.endsAt = m_cell.now() + work;
        request.isRunning = true;
        ++request.attempts;
        if (request.isDeadly && m_thirdEndAt != base::TimePoint{}
            && m_cell.now() > m_thirdEndAt + kContact)
        {
            ++m_outcome.sentAfterContact;
        }
    }
    const Runner* choose (const Request& request, const quarantine::Standing& known)
    {
        const Runner* chosen = nullptr;
        std::uint64_t highest = 0;
        for (const Runner& runner : m_runners)
        {
            const bool hasEnded =
                std::ranges::find (known.instances, runner.instance()) != known.instances.end();
            if (! runner.isAlive || hasEnded)
                continue;
            const std::uint64_t rank =
                known.isSuspect() ? base::stableHash (runner.instance() + request.identity.digest)
                                  : m_random.bits();
            if (chosen != nullptr && rank <= highest)
                continue;
            highest = rank;
            chosen = &runner;
        }
        return chosen;
    }

    void crashSomething()
    {
        const double perStep = std::chrono::duration<double> (kStep).count();
        if (chance (0.15 * perStep))
        {
            const std::size_t rack = below (kRunners / kRack);
            for (std::size_t number = rack * kRack; number < (rack + 1) * kRack; ++number)
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
        runner.backAt =
            m_cell.now() + base::Duration (m_random.uniformInteger (1'000'000, 3'000'000));
        breakOff (number, true);
    }
    void resetConnections (std::size_t number) { breakOff (number, false); }
    void breakOff (std::size_t number, bool hasEnded)
    {
        const bool counts = hasEnded || m_fault == Fault::kInnocentBlamed;
        for (Request& request : m_requests)
        {
            if (! request.isRunning || request.runner != number)
                continue;
            request.isRunning = false;
            SuspectRequests& suspects = m_suspects[request.router];
            // The planted fault takes each end as one that began after the one before.
            const base::TimePoint sentAt =
                m_fault == Fault::kInnocentBlamed ? m_cell.now() : request.sentAt;
            const std::string instance = m_fault == Fault::kInnocentBlamed
                                             ? request.instance + std::to_string (m_random.bits())
                                             : request.instance;
            suspects.onBrokenOff (request.identity, instance, sentAt, m_cell.now());
            suspects.onFate (instance, counts ? RunnerFate::kGone : RunnerFate::kAlive);
            request.isEnded = request.attempts >= kMostAttempts;
        }
    }
    void restartRunners()
    {
        for (Runner& runner : m_runners)
        {
            if (runner.isAlive || m_cell.now() < runner.backAt)
                continue;
            runner.isAlive = true;
            ++runner.incarnation;
        }
    }
    void killSomething()
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
        // A router starts anew and knows nothing.
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

    /// As Exchange does it: retries and new copies wait alike for what a break meant.
    [[nodiscard]] bool isHeldBack (const Request& request) const
    {
        const quarantine::Standing standing =
            m_suspects[request.router].standingOf (request.identity);
        return standing.isUndecided() && m_cell.now() < *standing.undecidedSince + kVerdictWait;
    }

    void follow()
    {
        for (Request& request : m_requests)
        {
            if (request.isRunning && m_cell.now() >= request.endsAt)
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
        if (request.isDeadly)
        {
            if (++m_outcome.endedByDeadly == cell::kEndsBeforeQuarantine)
                m_thirdEndAt = m_cell.now();
            crash (request.runner);
            return;
        }
        request.isRunning = false;
        request.isEnded = true;
        SuspectRequests& suspects = m_suspects[request.router];
        if (suspects.standingOf (request.identity).isSuspect())
            suspects.onWholeAnswer (request.identity);
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
    Weather m_weather;
    Fault m_fault;
    TestCell m_cell;
    std::vector<Runner> m_runners;
    std::vector<SuspectRequests> m_suspects;  ///< Of each router.
    std::deque<Request> m_requests;
    base::TimePoint m_nextDeadly{};
    base::TimePoint m_thirdEndAt{};
    base::MemberId m_downMember = 0;
    base::TimePoint m_backAt{};
    base::MemberId m_lastLeader = 0;
    Outcome m_outcome;
};

/// Seeds to run; more by hand with QUARANTINE_SEEDS.
std::uint64_t seeds()
{
    constexpr std::uint64_t kSeedsInCi = 8;
    const char* const text = std::getenv ("QUARANTINE_SEEDS");
    return text == nullptr ? kSeedsInCi : std::strtoull (text, nullptr, 10);
}

Outcome sumOver (const Weather& weather, Fault fault,
                 const std::function<void (std::uint64_t, const Outcome&)>& check)
{
    Outcome sum;
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed)
    {
        const Outcome outcome = QuarantineCell (seed, weather, fault).run();
        check (seed, outcome);
        sum.healthy += outcome.healthy;
        sum.healthyRefused += outcome.healthyRefused;
        sum.endedByDeadly = std::max (sum.endedByDeadly, outcome.endedByDeadly);
        sum.sentAfterContact = std::max (sum.sentAfterContact, outcome.sentAfterContact);
    }
    std::cout << sum.healthy << " healthy requests, " << sum.healthyRefused << " refused; at most "
              << sum.endedByDeadly << " runners ended by one deadly request, "
              << sum.sentAfterContact << " sends of it later\n";
    return sum;
}

constexpr auto kNoCheck = [] (std::uint64_t, const Outcome&) {};

TEST (QuarantineBoundTest, InCalmTimeARequestEndsThreeRunners)
{
    sumOver ({}, Fault::kNone,
             [] (std::uint64_t seed, const Outcome& outcome)
             {
                 EXPECT_EQ (outcome.endedByDeadly, 3) << "seed " << seed;
                 EXPECT_EQ (outcome.sentAfterContact, 0) << "seed " << seed;
                 EXPECT_EQ (outcome.healthyRefused, 0) << "seed " << seed;
             });
}

TEST (QuarantineBoundTest, CopiesAtThreeRoutersAtOnceEndFiveAtMost)
{
    sumOver ({ .copies = 3 }, Fault::kNone,
             [] (std::uint64_t seed, const Outcome& outcome)
             {
                 EXPECT_LE (outcome.endedByDeadly, 5) << "seed " << seed;
                 EXPECT_EQ (outcome.healthyRefused, 0) << "seed " << seed;
             });
}

TEST (QuarantineBoundTest, NoHealthyRequestIsRefusedBesideCrashesAndLostRacks)
{
    const Outcome sum = sumOver ({ .hasCrashes = true, .killsControllers = true }, Fault::kNone,
                                 [] (std::uint64_t seed, const Outcome& outcome)
                                 { EXPECT_LE (outcome.sentAfterContact, 3) << "seed " << seed; });
    // None in 10,000.
    EXPECT_LE (sum.healthyRefused * 10'000, sum.healthy);
}

TEST (QuarantineBoundTest, EvidenceThatIsNotSharedIsNoticed)
{
    EXPECT_GT (sumOver ({}, Fault::kNotShared, kNoCheck).endedByDeadly, 5);
}

TEST (QuarantineBoundTest, BlameOfInnocentsIsNoticed)
{
    const Outcome sum = sumOver ({ .hasCrashes = true }, Fault::kInnocentBlamed, kNoCheck);
    EXPECT_GT (sum.healthyRefused * 10'000, sum.healthy);
}

TEST (QuarantineBoundTest, EvidenceThatIsLostWithTheLeaderIsNoticed)
{
    EXPECT_GT (
        sumOver ({ .killsControllers = true }, Fault::kLostWithLeader, kNoCheck).endedByDeadly, 5);
}

}  // namespace
}  // namespace fernlift::controller
