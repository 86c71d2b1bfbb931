#pragma once

/// Simulated network with directed links that can be slowed or cut, datagrams and connections.

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "base/Random.h"
#include "sim/EventQueue.h"

namespace fernlift::sim
{

/// Identifies a machine in the network.
using NodeId = std::size_t;

/// Probabilities of loss and duplication of datagrams, and additional delay of all traffic.
struct NetworkConditions
{
    double loss = 0;
    double duplication = 0;
    base::Duration extraDelay{};  ///< Maximum; drawn for each datagram or segment.
};

class Network;

/// The two ends of a connection.
enum class Side : std::uint8_t
{
    kOpener = 0,
    kAcceptor = 1
};
constexpr Side other (Side side) { return side == Side::kOpener ? Side::kAcceptor : Side::kOpener; }

/// Reliable ordered connection in both directions, like TCP. Segments sent while a direction is cut
/// are held back and arrive in order once it is healed, unless the connection broke in between.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection (Network& network, NodeId opener, NodeId acceptor);

    /// Sends a segment; `action` runs at the other end when it arrives.
    void send (Side from, Action action);
    /// Closes the connection from one side; the end handler of the other side runs when the close
    /// arrives there. Segments held back by a cut link are discarded if `discardsUnsent` is
    /// set, otherwise delivered before it.
    void close (Side from, bool discardsUnsent);
    /// Resets the connection: segments in flight are lost, and both sides are notified.
    void reset();
    /// Sets the handler that runs when this side is notified of the end of the connection; it does
    /// not run for a close() from this side.
    void onEnded (Side side, Action action) { m_sides[index (side)].onEnded = std::move (action); }

    [[nodiscard]] bool isOpen (Side side) const { return ! m_sides[index (side)].isClosed; }
    [[nodiscard]] NodeId node (Side side) const { return m_sides[index (side)].node; }

private:
    friend class Network;
    struct End
    {
        NodeId node = 0;
        bool isClosed = false;
        Action onEnded;
        // Segments sent towards this end.
        std::deque<Action> held;
        base::TimePoint lastArrival{};
        std::uint64_t epoch = 0;  ///< Incremented when all segments in flight are lost.
    };

    static std::size_t index (Side side) { return static_cast<std::size_t> (side); }
    void arrive (Side to, std::uint64_t epoch, const Action& action);
    void flush (Side to);
    void loseAll (Side to);
    void handleEnd (Side side);

    Network& m_network;
    std::array<End, 2> m_sides;
};
using ConnectionPointer = std::shared_ptr<Connection>;

class Network
{
public:
    Network (EventQueue& queue, base::Random& random, std::size_t nodes);
    ~Network();
    Network (const Network&) = delete;
    Network& operator= (const Network&) = delete;

    void cut (NodeId from, NodeId to) { link (from, to).cuts += 1; }
    void heal (NodeId from, NodeId to);
    void healAll();
    [[nodiscard]] bool isCut (NodeId from, NodeId to) const;
    /// Adds up to `extra` to every delay on the link.
    void slow (NodeId from, NodeId to, base::Duration extra) { link (from, to).extraDelay = extra; }
    void setConditions (const NetworkConditions& turbulence) { m_conditions = turbulence; }

    /// Sends a datagram; `action` runs at the other node once, or twice or never under the current
    /// network conditions.
    void datagram (NodeId from, NodeId to, const Action& action);
    /// Opens a connection; null when the link is cut in either direction.
    [[nodiscard]] ConnectionPointer open (NodeId from, NodeId to);
    /// Called when the process at a node ended. Its peers are notified at once, or after
    /// `detectionDelay` when the whole machine vanished.
    void onProcessEnded (NodeId node, base::Duration detectionDelay);
    /// Resets every open connection between two nodes.
    void resetBetween (NodeId first, NodeId second);

    [[nodiscard]] base::Duration delay (NodeId from, NodeId to);
    [[nodiscard]] EventQueue& queue() { return m_queue; }
    [[nodiscard]] base::Random& random() { return m_random; }

private:
    struct Link
    {
        int cuts = 0;
        base::Duration extraDelay{};
    };

    Link& link (NodeId from, NodeId to) { return m_links[from * m_nodes + to]; }
    [[nodiscard]] std::vector<ConnectionPointer> connectionsOf (NodeId node);

    EventQueue& m_queue;
    base::Random& m_random;
    std::size_t m_nodes;
    std::vector<Link> m_links;
    NetworkConditions m_conditions;
    std::vector<std::weak_ptr<Connection>> m_connections;
    std::size_t m_purgeAt = 1024;
};

}  // namespace fernlift::sim
