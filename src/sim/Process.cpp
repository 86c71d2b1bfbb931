#include "sim/Process.h"

#include <utility>

namespace fernlift::sim
{
namespace
{

constexpr base::UnixMilliseconds kUnixStart = 1'764'000'000'000;

/// A call under way, at its client.
struct OpenCall
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
    const auto elapsed = queue_.now().time_since_epoch();
    const auto gained = static_cast<std::int64_t> (static_cast<double> (elapsed.count()) * drift_);
    return base::TimePoint (elapsed + base::Duration (gained));
}

base::UnixMilliseconds DriftingClock::unixNow() const
{
    return kUnixStart + base::toMilliseconds (now().time_since_epoch()) + stepMilliseconds_;
}

Process::Process (Network& network, Trace& trace, NodeId node, std::string name, double drift)
    : network_ (network),
      trace_ (trace),
      node_ (node),
      name_ (std::move (name)),
      clock_ (network.queue(), drift)
{
}

void Process::begin()
{
    isAlive_ = true;
    hasVanished_ = false;
    isFrozen_ = false;
    ++life_;
    waiting_.clear();
}

void Process::post (Action input)
{
    if (! isAlive_)
        return;
    if (isFrozen_)
    {
        waiting_.push_back (std::move (input));
        return;
    }
    input();
}

void Process::postTo (std::uint64_t life, Action input)
{
    if (life == life_)
        post (std::move (input));
}

void Process::kill (base::Duration silence)
{
    if (! isAlive_)
        return;
    note ("killed");
    isAlive_ = false;
    hasVanished_ = silence > base::Duration::zero();
    isFrozen_ = false;
    waiting_.clear();
    network_.onProcessEnded (node_, silence);
    onKilled();
}

void Process::freeze (base::Duration duration)
{
    if (! isAlive_ || isFrozen_)
        return;
    note ("frozen for " + std::to_string (base::toMilliseconds (duration)) + " ms");
    isFrozen_ = true;
    frozenTime_ += duration;
    queue().after (duration,
                   [this, life = life_]
                   {
                       if (isAlive_ && life == life_)
                           thaw();
                   });
}

void Process::thaw()
{
    isFrozen_ = false;
    while (! waiting_.empty() && isAlive_ && ! isFrozen_)
    {
        const Action input = std::move (waiting_.front());
        waiting_.pop_front();
        input();
    }
}

void call (Network& network, Process& client, Process& server, base::Duration timeout,
           std::function<void (const Respond&)> serve, Action onFailed)
{
    auto open = std::make_shared<OpenCall>();
    open->onFailed = std::move (onFailed);
    open->connection = network.open (client.node(), server.node());
    const std::uint64_t life = client.life();
    network.queue().after (timeout,
                           [open, &client, life]
                           {
                               if (open->isDone)
                                   return;
                               if (open->connection)
                                   open->connection->close (Side::kOpener, false);
                               client.postTo (life, [open] { open->fail(); });
                           });
    if (! open->connection)
        return;
    open->connection->onEnded (Side::kOpener,
                               [weak = std::weak_ptr (open), &client, life]
                               {
                                   if (const auto call = weak.lock())
                                       client.postTo (life, [call] { call->fail(); });
                               });
    open->connection->send (Side::kOpener,
                            [open, &client, &server, life, serve = std::move (serve)]
                            {
                                if (! server.isAlive())
                                {
                                    if (! server.hasVanished())
                                        open->connection->close (Side::kAcceptor, true);
                                    return;
                                }
                                const Respond respond = [open, &client, life] (Action answer)
                                {
                                    open->connection->send (
                                        Side::kAcceptor,
                                        [open, &client, life, answer = std::move (answer)]
                                        {
                                            client.postTo (
                                                life,
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
