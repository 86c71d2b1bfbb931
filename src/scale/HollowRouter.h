#pragma once

/// A router without callers and back ends: a true RouterCore on a true connection to the
/// controllers, with requests that it generates itself and attempts that end by a timer.

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "controller/ControlTraffic.h"
#include "router/RouterCore.h"
#include "scale/HollowDemand.h"
#include "wire/FrameConnection.h"

namespace fernlift::scale
{

/// Sums over the hollow routers of a process.
struct HollowRouterMeters
{
    controller::ControlTraffic traffic;  ///< Messages by kind, without frame headers.
    wire::FrameTraffic frames;           ///< With frame headers.
    std::uint64_t rowsTold = 0;          ///< Rows of replica tables, in whole tables too.
    std::uint64_t loadsTold = 0;         ///< Loads of runners apart from rows.
    std::uint64_t wholeTables = 0;
    std::uint64_t connections = 0;  ///< Opened to a controller.
    /// Processor time of this thread in the core and the codec for the controllers' messages,
    /// leases, demand and timers; without the sockets.
    base::Duration controlTime{};
    /// The same for the generated requests and their attempts.
    base::Duration requestTime{};
};

struct HollowRouterOptions
{
    router::RouterOptions core;
    std::vector<base::SocketAddress> controllers;
    HollowDemandOptions demand;
};

class HollowRouter
{
public:
    /// `meters` must outlive the router.
    HollowRouter (HollowRouterOptions options, std::uint64_t seed, HollowRouterMeters& meters);

    /// Advances timers and generates what is due.
    void tick();
    [[nodiscard]] bool isReady() const { return m_core.isReady(); }
    [[nodiscard]] router::RouterCounters counters() const { return m_core.counters(); }

private:
    struct OpenAttempt
    {
        base::TimePoint endsAt{};
        std::uint64_t offset = 0;
    };

    void generateRequests();
    void runAttempts();
    void advanceAttempt (router::AttemptId id);
    void carryOut();
    void carryOut (const router::SendToController& effect);
    void carryOut (const router::ConnectController& effect);
    void carryOut (const router::StartAttempt& effect);
    void carryOut (const router::CancelAttempt& effect) { m_attempts.erase (effect.attempt); }
    void carryOut (const router::AnswerHeaders& /*effect*/) {}
    void carryOut (const router::AnswerData& /*effect*/) {}
    void carryOut (const router::AnswerEnd& effect) { m_services.erase (effect.ticket); }
    void carryOut (const router::AnswerError& effect) { m_services.erase (effect.ticket); }
    void onFrame (const wire::Frame& frame);
    void meter (const cell::ControllerToRouter& message, std::size_t bytes);
    /// Calls the core and carries out its effects; the processor time is added to `meter`.
    template <class Input>
    void feed (base::Duration& meter, const Input& input);

    HollowRouterOptions m_options;
    HollowRouterMeters& m_meters;
    base::SystemClock m_clock;
    router::RouterCore m_core;
    HollowDemand m_demand;
    std::size_t m_nextController = 0;
    std::map<router::RequestTicket, base::Duration> m_services;  ///< Of requests without an end.
    std::map<router::AttemptId, OpenAttempt> m_attempts;
    std::multimap<base::TimePoint, router::AttemptId> m_due;
    std::unique_ptr<wire::FrameConnection> m_connection;
};

}  // namespace fernlift::scale
