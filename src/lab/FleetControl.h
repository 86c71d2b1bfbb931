#pragma once

/// Commands to a running fleet. The process that owns the fleet listens on loopback, and other
/// invocations of the fleet tool send it commands. Only the owner signals processes.

#include <QTimer>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "base/Error.h"
#include "base/SocketAddress.h"
#include "http/Server.h"
#include "lab/Fleet.h"

namespace fernlift::lab
{

/// One command, for example {"kill", "engine-1"}.
struct FleetCommand
{
    std::string verb;
    std::string node;  ///< Empty for "status" and "stop".
};

/// Accepts commands and executes them one after the other.
class FleetControl
{
public:
    /// Calls `onStop` after a stop was requested and answered.
    FleetControl (Fleet& fleet, std::function<void()> onStop);
    /// Removes FOLDER/control, which exists only while the fleet runs.
    ~FleetControl();
    FleetControl (const FleetControl&) = delete;
    FleetControl& operator= (const FleetControl&) = delete;

    /// Listens on a free loopback port and writes the address to FOLDER/control.
    [[nodiscard]] base::Result<void> listen (const std::string& runFolder);

private:
    struct Pending
    {
        FleetCommand command;
        std::shared_ptr<http::Responder> responder;
    };

    void handle (const http::Request& request, const std::shared_ptr<http::Responder>& responder);
    void runNext();
    [[nodiscard]] base::Result<std::string> execute (const FleetCommand& command);

    Fleet& m_fleet;
    std::function<void()> m_onStop;
    http::Server m_server;
    std::string m_file;  ///< Path of FOLDER/control; empty before listen().
    std::deque<Pending> m_pending;
    QTimer m_next;  ///< Executes a command outside the handler of its request.
    bool m_isBusy = false;
    bool m_isStopRequested = false;
};

/// Sends a command to the fleet of a run folder and returns its answer. Fails with
/// kConnectionFailed when no fleet runs there.
[[nodiscard]] base::Result<std::string> sendFleetCommand (const std::string& runFolder,
                                                          const FleetCommand& command);
/// True when the fleet of that folder answers.
[[nodiscard]] bool isFleetRunning (const std::string& runFolder);

}  // namespace fernlift::lab
