#pragma once

/// Answers the platform's readiness checks: 200 while ready, else 503. Small on purpose: it reads
/// nothing but the request line and answers one request a connection at a time.

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
    /// `path` is answered by `isReady`; every other path is unknown.
    ReadinessServer (std::string path, std::function<bool()> isReady);

    /// Listens; fails with kConnectionFailed.
    base::Result<void> listen (const base::SocketAddress& address);

private:
    void acceptAll();
    void answer (CallerConnection& connection, const ParsedRequest& request);

    std::string m_path;
    std::function<bool()> m_isReady;
    CallerConnection::Handlers m_handlers;
    std::map<CallerConnection*, std::shared_ptr<CallerConnection>> m_connections;
    QTcpServer m_server;
};

}  // namespace fernlift::proxy
