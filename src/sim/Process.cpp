#include "sim/Process.h"

#include <utility>

namespace fernlift::sim
{
namespace
{

constexpr base::UnixMilliseconds kUnixStart = 1'764'000'000'000;

/// Client-side state of a call in progress.
struct PendingCall
{
    ConnectionPointer connection;
    bool isDone = false;
    Action onFailed;

    void fail()
    {
        if (std::exchange (isDone, true))
            return;
        onFailed();
    }
};

}  // namespace

base::TimePoint DriftingClock::now() const
{
    const auto elapsed = m_queue.now().time_since_epoch();
    const auto gained = static_cast<std::int64_t> (static_cast<double> (elapsed.count()) * m_drift);
    return base::TimePoint (elapsed + base::Duration (gained) - m_lost);
}

base::UnixMilliseconds DriftingClock::unixNow() const
{
    return kUnixStart + base::toMilliseconds (now().time_since_epoch()) + m_stepMilliseconds;
}

Process::Process (Network& network, Trace& trace, NodeId node, std::string name, double drift)
    : m_network (network),
      m_trace (trace),
      m_node (node),
      m_name (std::move (name)),
      m_clock (network.queue(), drift)
{
}

void Process::begin()
{
    m_isAlive = true;
    m_hasVanished = false;
    m_isFrozen = false;
    ++m_runNumber;
    m_waiting.clear();
}

void Process::post (Action input)
{
    if (! m_isAlive)
        return;
    if (m_isFrozen)
    {
        m_waiting.push_back (std::move (input));
        return;
    }
    input();
}

void Process::postTo (std::uint64_t runNumber, Action input)
{
    if (runNumber == m_runNumber)
        post (std::move (input));
}

void Process::kill (base::Duration detectionDelay)
{
    if (! m_isAlive)
        return;
    addToTrace ("killed");
    m_isAlive = false;
    m_hasVanished = detectionDelay > base::Duration::zero();
    m_isFrozen = false;
    m_waiting.clear();
    m_network.onProcessEnded (m_node, detectionDelay);
    onKilled();
}

void Process::freeze (base::Duration duration)
{
    if (! m_isAlive || m_isFrozen)
        return;
    addToTrace ("frozen for " + std::to_string (base::toMilliseconds (duration)) + " ms");
    m_isFrozen = true;
    m_frozenTime += duration;
    queue().after (duration,
                   [this, duration, runNumber = m_runNumber]
                   {
                       if (! m_isAlive || runNumber != m_runNumber)
                           return;
                       if (m_stopsClockInSuspension)
                           m_clock.lose (duration);
                       thaw();
                   });
}

void Process::thaw()
{
    m_isFrozen = false;
    while (! m_waiting.empty() && m_isAlive && ! m_isFrozen)
    {
        const Action input = std::move (m_waiting.front());
        m_waiting.pop_front();
        input();
    }
}

void call (Network& network, Process& client, Process& server, base::Duration timeout,
           std::function<void (const Respond&)> serve, Action onFailed)
{
    auto open = std::make_shared<PendingCall>();
    open->onFailed = std::move (onFailed);
    open->connection = network.open (client.node(), server.node());
    const std::uint64_t runNumber = client.runNumber();
    network.queue().after (timeout,
                           [open, &client, runNumber]
                           {
                               if (open->isDone)
                                   return;
                               if (open->connection)
                                   open->connection->close (Side::kOpener, false);
                               client.postTo (runNumber, [open] { open->fail(); });
                           });
    if (! open->connection)
        return;
    open->connection->onEnded (Side::kOpener,
                               [weak = std::weak_ptr (open), &client, runNumber]
                               {
                                   if (const auto call = weak.lock())
                                       client.postTo (runNumber, [call] { call->fail(); });
                               });
    open->connection->send (Side::kOpener,
                            [open, &client, &server, runNumber, serve = std::move (serve)]
                            {
                                if (! server.isAlive())
                                {
                                    if (! server.hasVanished())
                                        open->connection->close (Side::kAcceptor, true);
                                    return;
                                }
                                const Respond respond = [open, &client, runNumber] (Action answer)
                                {
                                    open->connection->send (
                                        Side::kAcceptor,
                                        [open, &client, runNumber, answer = std::move (answer)]
                                        {
                                            client.postTo (
                                                runNumber,
                                                [open, answer]
                                                {
                                                    if (std::exchange (open->isDone, true))
                                                        return;
                                                    open->connection->close (Side::kOpener, true);
                                                    answer();
                                                });
                                        });
                                };
                                server.post ([serve, respond] { serve (respond); });
                            });
}

}  // namespace fernlift::sim
