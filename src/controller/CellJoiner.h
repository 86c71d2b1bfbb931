#pragma once

/// Asks the leader of the cell to take this controller in, while it is not a voter that follows
/// one.

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

/// Thin adapter: one connection at a time, to each known controller in turn or to the leader that
/// one of them names.
class CellJoiner
{
public:
    struct Handlers
    {
        /// Whether this controller has to ask now.
        std::function<bool()> mustAsk;
        /// Controllers to ask, by peer address.
        std::function<std::vector<base::SocketAddress>()> controllers;
        /// The leader answered from this peer address.
        std::function<void (const std::string& leaderAddress)> onLeaderFound;
    };

    CellJoiner (cell::MemberJoinRequest request, Handlers handlers);
    void start();

private:
    void askIfDue();
    void connectTo (const base::SocketAddress& address);
    void onFrame (const wire::Frame& frame);
    [[nodiscard]] base::SocketAddress nextAddress();

    cell::MemberJoinRequest m_request;
    Handlers m_handlers;
    std::size_t m_nextIndex = 0;
    base::SocketAddress m_leader;   ///< As last named; without host: unknown.
    base::SocketAddress m_current;  ///< At the other end of the connection.
    std::unique_ptr<wire::FrameConnection> m_connection;
    QObject m_context;
    QTimer m_timer;
};

}  // namespace fernlift::controller
