#pragma once

/// The network of a simulation: directed links that can be slow or cut, datagrams and connections.

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

/// A place in the network: one machine.
using NodeId = std::size_t;

/// What may happen to datagrams, and by how much everything may be late.
struct Turbulence
{
    double loss = 0;
    double duplication = 0;
    base::Duration extraDelay{};  ///< Upper bound, drawn anew for each datagram or part.
};

class Network;

/// Which end of a connection.
enum class Side : std::uint8_t
{
    kOpener = 0,
    kAcceptor = 1
};
constexpr Side other (Side side) { return side == Side::kOpener ? Side::kAcceptor : Side::kOpener; }

/// Ordered bytes in both directions, like TCP: while a direction is cut they wait, and arrive in
/// order once it is healed unless the connection broke meanwhile.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection (Network& network, NodeId opener, NodeId acceptor);

    /// Runs `action` at the other end when the part arrives there.
    void send (Side from, Action action);
    /// Ends the connection from one side; the other side's end handler runs when it hears of it.
    /// Parts that wait for a cut link are discarded or still delivered before that.
    void close (Side from, bool discardsUnsent);
    /// Breaks the connection: what is on its way is lost, and both sides hear of it.
    void reset();
    /// Runs when this side hears that the connection ended. Not for its own close().
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
        // Towards this end.
        std::deque<Action> held;
        base::TimePoint lastArrival{};
        std::uint64_t epoch = 0;  ///< Raised when all that is on its way is lost.
    };

    static std::size_t index (Side side) { return static_cast<std::size_t> (side); }
    void arrive (Side to, std::uint64_t epoch, const Action& action);
    void flush (Side to);
    void loseAll (Side to);
    void hearEnd (Side side);

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
    void setTurbulence (const Turbulence& turbulence) { m_turbulence = turbulence; }

    /// Runs `action` at the other node: once, never or twice.
    void datagram (NodeId from, NodeId to, const Action& action);
    /// Opens a connection if both directions pass now, else null.
    [[nodiscard]] ConnectionPointer open (NodeId from, NodeId to);
    /// The process at a node ended. Its peers hear of it at once, or, when the whole machine
    /// vanished, after `silence`.
    void onProcessEnded (NodeId node, base::Duration silence);
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
    Turbulence m_turbulence;
    std::vector<std::weak_ptr<Connection>> m_connections;
    std::size_t m_purgeAt = 1024;
};

}  // namespace fernlift::sim
