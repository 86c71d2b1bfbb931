#pragma once

/// Requests to join the cell: sent to its leader while this controller is not a voter that follows
/// a leader.

#include <QObject>
#include <QTimer>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "cell/RouterMessages.h"
#include "wire/FrameConnection.h"

namespace fernlift::controller
{

/// Opens one connection at a time, to each known controller in turn or to the leader that one of
/// them names, and sends the join request on it. Runs on the thread of the Qt event loop.
class CellJoiner
{
public:
    struct Handlers
    {
        /// Whether this controller has to request to join now.
        std::function<bool()> mustRequest;
        /// Peer addresses of the controllers to send the request to.
        std::function<std::vector<base::SocketAddress>()> controllers;
        /// Called when the leader answered at this peer address.
        std::function<void (const std::string& leaderAddress)> onLeaderFound;
    };

    CellJoiner (cell::MemberJoinRequest request, Handlers handlers);
    void start();

private:
    void requestIfDue();
    void connectTo (const base::SocketAddress& address);
    void onFrame (const wire::Frame& frame);
    [[nodiscard]] base::SocketAddress nextAddress();

    cell::MemberJoinRequest m_request;
    Handlers m_handlers;
    std::size_t m_nextIndex = 0;
    base::SocketAddress m_leader;   ///< Leader as last named; no host: unknown.
    base::SocketAddress m_current;  ///< Remote address of the connection.
    std::unique_ptr<wire::FrameConnection> m_connection;
    QObject m_context;
    QTimer m_timer;
};

}  // namespace fernlift::controller
