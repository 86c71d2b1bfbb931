#pragma once

/**
 * Test support: network faults between one router and all runners of a ForwardingCell.
 *
 * All routers get the same address of a runner from the controllers. RouterNetwork stands between
 * one router and the controllers and replaces these addresses in the messages, so that this router
 * reaches each runner through a RunnerLink of its own, which can fail for this router alone.
 */

#include <QTcpServer>
#include <QTcpSocket>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/SocketAddress.h"
#include "cell/RouterMessages.h"
#include "lab/FaultProxy.h"
#include "lab/PortReservations.h"
#include "wire/FrameConnection.h"

namespace fernlift::lab::test
{

/// How the path from a router to a runner has failed.
enum class LinkFault : std::uint8_t
{
    kNone,
    kHangs,           ///< New connections neither open nor fail, open ones deliver nothing.
    kResets,          ///< New connections are refused, open ones were reset when the fault began.
    kRefusesNew,      ///< New connections are refused, open ones are not affected.
    kResetsLater,     ///< Connections open and are reset a little later; open ones were reset.
    kResetsRequests,  ///< Connections open and are reset when the runner has read a request.
    kSilent,          ///< Connections open and deliver nothing.
};

[[nodiscard]] std::string toString (LinkFault fault);

/// The path from one router to one runner.
class RunnerLink
{
public:
    explicit RunnerLink (const base::SocketAddress& runner);
    ~RunnerLink();
    RunnerLink (const RunnerLink&) = delete;
    RunnerLink& operator= (const RunnerLink&) = delete;

    void setFault (LinkFault fault);
    [[nodiscard]] const base::SocketAddress& address() const { return m_address; }

private:
    /// Listens with a full queue, so that the kernel drops every further opening packet.
    void startDropping();
    void stopDropping();
    void acceptAndReset();

    FaultProxy m_proxy;
    PortReservations m_ports;  ///< Keeps the port while the proxy does not listen on it.
    base::SocketAddress m_address;
    int m_droppingListener = -1;
    QTcpServer m_resetting;  ///< Listens in place of the proxy with LinkFault::kResetsLater.
    std::vector<std::unique_ptr<QTcpSocket>> m_queued;  ///< Fill the queue of the listener.
};

/// The network as one router sees it. Controllers listen at 127.0.0.N; the router connects to them
/// at 127.0.PREFIX.N.
class RouterNetwork
{
public:
    RouterNetwork (std::uint8_t prefix, std::size_t controllers, std::uint16_t peerPort);
    ~RouterNetwork();
    RouterNetwork (const RouterNetwork&) = delete;
    RouterNetwork& operator= (const RouterNetwork&) = delete;

    /// Sets the fault of the links to all runners, also to those that register later.
    void setFault (LinkFault fault);
    /// Address at which the router reaches a controller.
    [[nodiscard]] std::string hostOf (std::size_t controller) const;

private:
    class ControllerPath;

    [[nodiscard]] std::string linkTo (const std::string& runnerAddress);
    [[nodiscard]] std::string viewOf (const std::string& controllerAddress) const;
    void rewrite (cell::ControllerToRouter& message);

    std::uint8_t m_prefix;
    LinkFault m_fault = LinkFault::kNone;
    std::map<std::string, std::unique_ptr<RunnerLink>> m_links;  ///< Keyed by runner address.
    std::vector<std::unique_ptr<ControllerPath>> m_paths;
};

}  // namespace fernlift::lab::test
