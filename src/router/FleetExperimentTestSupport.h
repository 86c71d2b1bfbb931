#pragma once

/// Test support: routers, simulated engines and a minimal controller in one thread, for experiments
/// on the latency and refusals that callers see.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/Random.h"
#include "router/RouterTestHarness.h"
#include "routing/EngineExperimentTestSupport.h"

namespace fernlift::router::testing
{

struct FleetOptions
{
    int routers = 6;
    int runners = 20;
    std::optional<base::Duration> hedgeAfter;
    /// Time from the first demand for the model "m" until it is loaded; nullopt: loaded at the
    /// start.
    std::optional<base::Duration> coldStart;
};

/// A call with the times of its answer.
struct Call
{
    std::string target = "m";
    std::optional<base::RequestClassName> requestClass;
    bool isStreaming = true;
    std::vector<std::uint64_t> blocks;
    int tokens = 10;
    int router = 0;
    base::TimePoint sentAt{};
    std::optional<base::TimePoint> firstByteAt;
    std::optional<base::TimePoint> endedAt;
    std::optional<AnswerError> error;
};
using CallId = std::size_t;

class FleetExperiment
{
public:
    FleetExperiment (const FleetOptions& options, std::uint64_t seed) : m_options (options)
    {
        for (int number = 0; number < options.runners; ++number)
            engines.emplace_back (engineSettings());
        for (int number = 0; number < options.routers; ++number)
        {
            RouterOptions routerOptions = RouterHarness::defaultOptions();
            routerOptions.router = base::RouterId ("router-" + std::to_string (number));
            routerOptions.zone = zoneOf (number);
            routerOptions.hedgeAfter = options.hedgeAfter;
            const std::uint64_t routerSeed = seed * 100 + static_cast<std::uint64_t> (number);
            m_routers.push_back (
                Router{ std::make_unique<RouterCore> (routerOptions, routerSeed, m_now, kUnixStart),
                        {},
                        0,
                        {} });
            connect (number);
        }
    }

    CallId sendRequest (Call call)
    {
        Router& router = m_routers[static_cast<std::size_t> (call.router)];
        const CallId id = calls.size();
        RequestHead head =
            RouterHarness::completion (std::to_string (id), call.target, call.isStreaming);
        head.requestClass = call.requestClass;
        head.caller = "caller-" + std::to_string (id % 50);
        head.prefixHashes = call.blocks;
        call.sentAt = m_now;
        calls.push_back (std::move (call));
        m_sending = id;
        const RequestTicket ticket = router.core->onRequest (head);
        router.callOfTicket[ticket] = id;
        takeEffects (calls[id].router);
        return id;
    }

    /// Runs until `end` and calls `beforeStep`, which sends calls, before each step of the engines.
    void runUntil (base::TimePoint end, const std::function<void()>& beforeStep)
    {
        for (; m_now < end; m_now += routing::testing::kEngineStep)
        {
            for (int number = 0; number < m_options.routers; ++number)
            {
                RouterCore& core = *m_routers[static_cast<std::size_t> (number)].core;
                core.setTime (m_now, kUnixStart + base::toMilliseconds (m_now.time_since_epoch()));
                core.onTick();
                takeEffects (number);
            }
            beforeStep();
            if (m_now >= m_nextTable)
                sendTable();
            for (std::size_t runner = 0; runner < engines.size(); ++runner)
                stepEngine (runner);
        }
    }

    [[nodiscard]] base::TimePoint now() const { return m_now; }
    [[nodiscard]] RouterCounters counters (int router) const
    {
        return m_routers[static_cast<std::size_t> (router)].core->counters();
    }

    std::vector<routing::testing::ExperimentEngine> engines;
    std::vector<Call> calls;
    int loadDecisions = 0;
    std::optional<base::TimePoint> firstDemandAt;

private:
    static constexpr base::UnixMilliseconds kUnixStart = 1'800'000'000'000;
    static constexpr base::Duration kTableInterval = base::milliseconds (200);

    struct Router
    {
        std::unique_ptr<RouterCore> core;
        std::map<RequestTicket, CallId> callOfTicket;
        std::uint64_t tableVersion = 0;
        std::map<RequestTicket, std::vector<AttemptId>> attempts;
    };
    struct Running
    {
        int router = 0;
        AttemptId attempt = 0;
        std::size_t runner = 0;
        std::uint64_t tokens = 0;
    };

    static routing::testing::EngineSettings engineSettings() { return {}; }
    static base::ZoneName zoneOf (int number)
    {
        return base::ZoneName ("z" + std::to_string (1 + number % 2));
    }

    void connect (int number)
    {
        RouterCore& core = *m_routers[static_cast<std::size_t> (number)].core;
        core.onControllerConnected();
        core.onControllerMessage (cell::ConfigurationUpdate{ 1, "digest-1", kCatalogueText });
        takeEffects (number);
        deliver (number, table());
    }

    void deliver (int number, const cell::ControllerToRouter& message)
    {
        m_routers[static_cast<std::size_t> (number)].core->onControllerMessage (message);
        takeEffects (number);
    }

    [[nodiscard]] bool isLoaded() const
    {
        return ! m_options.coldStart || (m_readyAt && m_now >= *m_readyAt);
    }

    cell::ReplicaUpdate table()
    {
        cell::ReplicaUpdate update;
        update.toVersion = ++m_tableVersion;
        for (std::size_t runner = 0; runner < engines.size(); ++runner)
        {
            for (const std::string target : { "m", "deep-model" })
            {
                if (target == "m" && ! isLoaded())
                    continue;
                auto row = RouterHarness::replica ("r" + std::to_string (runner), target);
                row.zone = zoneOf (static_cast<int> (runner));
                row.address = std::to_string (runner);
                row.load = engines[runner].reportedLoad();
                row.credits =
                    std::max (row.slots / static_cast<std::uint32_t> (m_options.routers), 1U);
                update.upserts.push_back (row);
            }
        }
        if (m_readyAt && ! isLoaded())
        {
            update.estimates.push_back ({ "m", true, base::toMilliseconds (*m_readyAt - m_now) });
        }
        return update;
    }

    void sendTable()
    {
        m_nextTable = m_now + kTableInterval;
        const cell::ReplicaUpdate update = table();
        for (int number = 0; number < m_options.routers; ++number)
            deliver (number, update);
    }

    void stepEngine (std::size_t runner)
    {
        for (const auto& progress : engines[runner].step (m_now))
        {
            const auto entry = m_running.find (progress.id);
            if (entry == m_running.end())
                continue;
            Running& running = entry->second;
            RouterCore& core = *m_routers[static_cast<std::size_t> (running.router)].core;
            const int router = running.router;
            if (progress.isFirstToken)
            {
                core.onAttemptEvent (running.attempt, AttemptHeaders{ 200, false });
                core.onAttemptEvent (running.attempt, AttemptData{ 0, 1, "x" });
            }
            else
            {
                core.onAttemptEvent (running.attempt, AttemptEnded{});
                m_running.erase (progress.id);
            }
            takeEffects (router);
        }
    }

    void takeEffects (int router)
    {
        for (Effect& effect : m_routers[static_cast<std::size_t> (router)].core->takeEffects())
        {
            std::visit ([&] (auto& content) { take (router, content); }, effect);
        }
    }
    Call& callOf (int router, RequestTicket ticket)
    {
        const auto& known = m_routers[static_cast<std::size_t> (router)].callOfTicket;
        const auto entry = known.find (ticket);
        return calls[entry == known.end() ? m_sending : entry->second];
    }
    static std::uint64_t runningId (int router, AttemptId attempt)
    {
        return attempt * 100 + static_cast<std::uint64_t> (router);
    }

    void take (int router, const SendToController& send)
    {
        if (const auto* request = std::get_if<cell::LeaseRequest> (&send.message))
        {
            deliver (router,
                     cell::LeaseGrant{ request->sequence, request->configurationVersion,
                                       request->configurationDigest, 1, 2000, m_tableVersion });
        }
        const auto* report = std::get_if<cell::DemandReport> (&send.message);
        if (report == nullptr || ! m_options.coldStart)
            return;
        for (const cell::Demand& demand : report->demands)
        {
            if (demand.target != "m" || demand.waiting == 0 || m_readyAt)
                continue;
            loadDecisions += 1;
            firstDemandAt = m_now;
            m_readyAt = m_now + *m_options.coldStart;
            m_nextTable = m_now;
        }
    }
    void take (int /*router*/, const ConnectController& /*connect*/) {}
    void take (int router, const StartAttempt& start)
    {
        const Call& call = callOf (router, start.ticket);
        const auto runner = static_cast<std::size_t> (std::stoi (start.replica.address));
        const std::uint64_t id = runningId (router, start.attempt);
        m_running[id] = Running{ router, start.attempt, runner, 0 };
        engines[runner].submit (
            { id, start.replica.target, start.urgency, call.blocks, call.tokens });
    }
    void take (int router, const CancelAttempt& cancel)
    {
        const auto entry = m_running.find (runningId (router, cancel.attempt));
        if (entry == m_running.end())
            return;
        engines[entry->second.runner].cancel (entry->first);
        m_running.erase (entry);
    }
    void take (int router, const AnswerHeaders& headers)
    {
        callOf (router, headers.ticket).firstByteAt = m_now;
    }
    void take (int /*router*/, const AnswerData& /*data*/) {}
    void take (int router, const AnswerEnd& end) { callOf (router, end.ticket).endedAt = m_now; }
    void take (int router, const AnswerError& error)
    {
        Call& call = callOf (router, error.ticket);
        call.endedAt = m_now;
        call.error = error;
    }

    FleetOptions m_options;
    base::TimePoint m_now{ base::seconds (1) };
    std::vector<Router> m_routers;
    std::map<std::uint64_t, Running> m_running;
    CallId m_sending = 0;
    std::uint64_t m_tableVersion = 0;
    base::TimePoint m_nextTable{};
    std::optional<base::TimePoint> m_readyAt;
};

}  // namespace fernlift::router::testing
