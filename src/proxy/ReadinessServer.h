#pragma once

/// Answers the platform's readiness checks: 200 while ready, else 503. Kept minimal: only the path
/// is evaluated, and each connection serves one request at a time.

#include <QTcpServer>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/Error.h"
#include "base/SocketAddress.h"
#include "proxy/CallerConnection.h"

namespace fernlift::proxy
{

class ReadinessServer
{
public:
    /// `path` is answered from `isReady`; every other path gets 404.
    ReadinessServer (std::string path, std::function<bool()> isReady);

    /// Starts listening; fails with kConnectionFailed.
    base::Result<void> listen (const base::SocketAddress& address);

private:
    void acceptAll();
    void answer (CallerConnection& connection, const ParsedRequest& request);

    std::string m_path;
    std::function<bool()> m_isReady;
    CallerConnection::Handlers m_handlers;
    http::BufferBudget m_answerBuffers;
    http::RequestBudget m_requestBuffers;
    std::map<CallerConnection*, std::shared_ptr<CallerConnection>> m_connections;
    QTcpServer m_server;
};

}  // namespace fernlift::proxy
