#pragma once

/// The router process: executes the effects of RouterCore with sockets and timers.

#include <QObject>
#include <QTimer>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/Error.h"
#include "base/Random.h"
#include "base/Time.h"
#include "cell/ControllerLink.h"
#include "http/Client.h"
#include "http/Metrics.h"
#include "http/Server.h"
#include "router/BackEndAttempts.h"
#include "router/CacheEventPoller.h"
#include "router/CallerExchanges.h"
#include "router/RouterCore.h"
#include "router/RouterSettings.h"

namespace fernlift::router
{

/// Used only on the thread of the Qt event loop.
class RouterProcess
{
public:
    /// `onFinished` is called once, with the exit code, when a planned stop is complete. `clock`
    /// must outlive this object.
    RouterProcess (RouterSettings settings, const base::Clock& clock, std::uint64_t randomSeed,
                   std::function<void (int exitCode)> onFinished);
    ~RouterProcess();
    RouterProcess (const RouterProcess&) = delete;
    RouterProcess& operator= (const RouterProcess&) = delete;

    /// Listens and starts to search for the leader of the cell. Returns the address for callers.
    base::Result<base::SocketAddress> start();
    /// Begins a planned stop: refuses new requests and completes open ones. Further calls have
    /// no effect.
    void beginStop();

private:
    // Callers.
    void handle (const http::Request& request, const std::shared_ptr<http::Responder>& responder);
    void handleRouterPath (const http::Request& request, const base::RequestId& id,
                           http::Responder& responder);
    [[nodiscard]] base::RequestId newRequestId();
    [[nodiscard]] std::string modelsJson() const;
    void setCallerPaused (RequestTicket ticket, bool isPaused);

    // The core.
    void createCore (const base::SocketAddress& address);
    /// Passes one input to the core and executes the resulting effects. An input that arises during
    /// the execution of effects is passed at once; its effects are executed after the current ones.
    void feed (const std::function<void (RouterCore& core)>& input);
    void carryOut (const Effect& effect);
    void startAttempt (const StartAttempt& effect);
    void onControllerMessage (const cell::ControllerToRouter& message);

    // Start, periodic work and stop.
    void createMetrics();
    [[nodiscard]] std::string trafficMetrics() const;
    void onTick();
    void updateReadiness();
    void checkStop();
    void finish (int exitCode);

    RouterSettings m_settings;
    const base::Clock& m_clock;
    base::Random m_random;
    std::function<void (int)> m_onFinished;
    std::string m_requestIdPrefix;
    std::uint64_t m_lastRequestId = 0;
    http::Metrics m_metrics;
    std::optional<RouterCore> m_core;
    bool m_isDraining = false;
    bool m_isFinished = false;
    bool m_wasReady = false;
    std::optional<base::TimePoint> m_stopBegan;
    std::optional<base::TimePoint> m_listeningEnded;
    http::Client m_client;
    BackEndAttempts m_attempts;
    CallerExchanges m_callers;
    CacheEventPoller m_cacheEvents;
    cell::ControllerLink m_controller;
    http::Server m_server;
    QObject m_context;
    QTimer m_ticker;
};

}  // namespace fernlift::router
