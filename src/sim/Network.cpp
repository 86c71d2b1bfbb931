#include "sim/Network.h"

#include <algorithm>
#include <utility>

namespace fernlift::sim
{
namespace
{

constexpr std::int64_t kMinDelayMicroseconds = 200;
constexpr std::int64_t kMaxDelayMicroseconds = 1800;
/// Maximum time until a healed link delivers segments that were held back.
constexpr std::int64_t kMaxRetransmissionMicroseconds = 300'000;

}  // namespace

Connection::Connection (Network& network, NodeId opener, NodeId acceptor) : m_network (network)
{
    m_sides[0].node = opener;
    m_sides[1].node = acceptor;
}

void Connection::send (Side from, Action action)
{
    if (! isOpen (from))
        return;
    const Side to = other (from);
    End& end = m_sides[index (to)];
    if (! end.held.empty() || m_network.isCut (node (from), node (to)))
    {
        end.held.push_back (std::move (action));
        return;
    }
    const base::TimePoint arrival =
        m_network.queue().now() + m_network.delay (node (from), node (to));
    end.lastArrival = std::max (arrival, end.lastArrival);
    m_network.queue().at (end.lastArrival,
                          [self = shared_from_this(), to, epoch = end.epoch,
                           action = std::move (action)] { self->arrive (to, epoch, action); });
}

void Connection::arrive (Side to, std::uint64_t epoch, const Action& action)
{
    End& end = m_sides[index (to)];
    if (epoch != end.epoch)
        return;
    if (! end.held.empty() || m_network.isCut (node (other (to)), node (to)))
    {
        end.held.push_back (action);
        return;
    }
    if (! end.isClosed)
        action();
}

void Connection::flush (Side to)
{
    End& end = m_sides[index (to)];
    while (! end.held.empty() && ! m_network.isCut (node (other (to)), node (to)))
    {
        const Action action = std::move (end.held.front());
        end.held.pop_front();
        if (! end.isClosed)
            action();
    }
}

void Connection::loseAll (Side to)
{
    m_sides[index (to)].held.clear();
    m_sides[index (to)].epoch += 1;
}

void Connection::handleEnd (Side side)
{
    End& end = m_sides[index (side)];
    if (end.isClosed)
        return;
    end.isClosed = true;
    if (end.onEnded)
        end.onEnded();
}

void Connection::close (Side from, bool discardsUnsent)
{
    if (! isOpen (from))
        return;
    if (discardsUnsent)
        m_sides[index (other (from))].held.clear();
    send (from,
          [self = weak_from_this(), to = other (from)]
          {
              if (const auto connection = self.lock())
                  connection->handleEnd (to);
          });
    m_sides[index (from)].isClosed = true;
    m_sides[index (from)].onEnded = nullptr;
}

void Connection::reset()
{
    for (const Side side : { Side::kOpener, Side::kAcceptor })
    {
        if (! isOpen (side))
            continue;
        loseAll (side);
        send (other (side),
              [self = weak_from_this(), side]
              {
                  if (const auto connection = self.lock())
                      connection->handleEnd (side);
              });
    }
}

Network::Network (EventQueue& queue, base::Random& random, std::size_t nodes)
    : m_queue (queue), m_random (random), m_nodes (nodes), m_links (nodes * nodes)
{
}

Network::~Network()
{
    // Actions held by a connection own the connection, which would keep it alive.
    for (const auto& entry : m_connections)
    {
        const ConnectionPointer connection = entry.lock();
        if (! connection)
            continue;
        for (Connection::End& end : connection->m_sides)
        {
            end.held.clear();
            end.onEnded = nullptr;
        }
    }
}

bool Network::isCut (NodeId from, NodeId to) const { return m_links[from * m_nodes + to].cuts > 0; }

void Network::heal (NodeId from, NodeId to)
{
    Link& healed = link (from, to);
    if (healed.cuts == 0)
        return;
    healed.cuts -= 1;
    if (healed.cuts > 0)
        return;
    for (const ConnectionPointer& connection : connectionsOf (from))
    {
        for (const Side side : { Side::kOpener, Side::kAcceptor })
        {
            const bool isDirection =
                connection->node (other (side)) == from && connection->node (side) == to;
            if (! isDirection || connection->m_sides[Connection::index (side)].held.empty())
                continue;
            const auto wait =
                base::Duration (m_random.uniformInteger (0, kMaxRetransmissionMicroseconds));
            m_queue.after (wait, [connection, side] { connection->flush (side); });
        }
    }
}

void Network::healAll()
{
    for (NodeId from = 0; from < m_nodes; ++from)
    {
        for (NodeId to = 0; to < m_nodes; ++to)
        {
            while (isCut (from, to))
                heal (from, to);
            link (from, to).extraDelay = base::Duration::zero();
        }
    }
    m_conditions = {};
}

base::Duration Network::delay (NodeId from, NodeId to)
{
    auto delay =
        base::Duration (m_random.uniformInteger (kMinDelayMicroseconds, kMaxDelayMicroseconds));
    const base::Duration extra = link (from, to).extraDelay + m_conditions.extraDelay;
    if (extra > base::Duration::zero())
    {
        delay += base::Duration (m_random.uniformInteger (0, extra.count()));
    }
    return delay;
}

void Network::datagram (NodeId from, NodeId to, const Action& action)
{
    if (isCut (from, to))
        return;
    if (m_conditions.loss > 0 && m_random.chance (m_conditions.loss))
        return;
    const bool isTwice = m_conditions.duplication > 0 && m_random.chance (m_conditions.duplication);
    for (int copy = 0; copy < (isTwice ? 2 : 1); ++copy)
    {
        m_queue.after (delay (from, to),
                       [this, from, to, action]
                       {
                           if (! isCut (from, to))
                               action();
                       });
    }
}

ConnectionPointer Network::open (NodeId from, NodeId to)
{
    if (isCut (from, to) || isCut (to, from))
        return nullptr;
    if (m_connections.size() >= m_purgeAt)
    {
        std::erase_if (m_connections, [] (const auto& entry) { return entry.expired(); });
        m_purgeAt = m_connections.size() * 2 + 1024;
    }
    auto connection = std::make_shared<Connection> (*this, from, to);
    m_connections.push_back (connection);
    return connection;
}

std::vector<ConnectionPointer> Network::connectionsOf (NodeId node)
{
    std::vector<ConnectionPointer> found;
    for (const auto& entry : m_connections)
    {
        ConnectionPointer connection = entry.lock();
        if (! connection)
            continue;
        const bool isAtNode =
            connection->node (Side::kOpener) == node || connection->node (Side::kAcceptor) == node;
        if (isAtNode)
            found.push_back (std::move (connection));
    }
    return found;
}

void Network::onProcessEnded (NodeId node, base::Duration detectionDelay)
{
    for (const ConnectionPointer& connection : connectionsOf (node))
    {
        const Side side =
            connection->node (Side::kOpener) == node ? Side::kOpener : Side::kAcceptor;
        if (! connection->isOpen (side))
            continue;
        connection->m_sides[Connection::index (side)].onEnded = nullptr;
        if (detectionDelay == base::Duration::zero())
        {
            connection->close (side, true);
            continue;
        }
        connection->loseAll (other (side));
        m_queue.after (detectionDelay, [connection, side] { connection->close (side, true); });
        connection->loseAll (side);
    }
}

void Network::resetBetween (NodeId first, NodeId second)
{
    for (const ConnectionPointer& connection : connectionsOf (first))
    {
        const bool isBetween = connection->node (Side::kOpener) == second
                               || connection->node (Side::kAcceptor) == second;
        if (isBetween)
            connection->reset();
    }
}

}  // namespace fernlift::sim
