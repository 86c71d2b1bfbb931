#pragma once

/// HTTP client of the leader for runners and the platform's machine list.

#include <functional>
#include <string>

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "controller/ControlTraffic.h"
#include "engine/EngineApi.h"
#include "http/Client.h"

namespace fernlift::controller
{

/// Sends orders and polls over HTTP. Exactly one of the two handlers is called for each call,
/// asynchronously on the thread of the event loop.
class RunnerClient
{
public:
    using FailureHandler = std::function<void()>;

    /// `traffic` must outlive the client. Calls fail after `timeout`.
    RunnerClient (base::Duration timeout, ControlTraffic* traffic);

    void sendOrder (const std::string& address, const engine::Order& order,
                    std::function<void (const engine::OrderAnswer&)> onAnswer,
                    FailureHandler onFailure);
    void pollReport (const std::string& address,
                     std::function<void (const engine::Report&)> onReport,
                     FailureHandler onFailure);
    void pollMachineList (const base::SocketAddress& address,
                          std::function<void (const engine::MachineList&)> onList,
                          FailureHandler onFailure);

private:
    using Parser = std::function<bool (const http::WholeResponse& response)>;
    /// Sends `request`; calls `onFailure` when it fails or `parse` does not accept the answer.
    void call (http::ClientRequest request, std::string kind, Parser parse,
               FailureHandler onFailure);
    [[nodiscard]] http::ClientRequest requestTo (const base::SocketAddress& address,
                                                 std::string path) const;

    base::Duration m_timeout;
    ControlTraffic* m_traffic;
    http::Client m_client;
};

}  // namespace fernlift::controller
