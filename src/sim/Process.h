#pragma once

/// What every simulated process has: a life that begins and ends, freezes, and a clock of its own
/// that drifts and whose wall-clock time steps.

#include <cstdint>
#include <deque>
#include <string>

#include "sim/Network.h"
#include "sim/Trace.h"

namespace fernlift::sim
{

/// A clock that runs a little too fast or too slow.
class DriftingClock
{
public:
    DriftingClock (const EventQueue& queue, double drift) : queue_ (queue), drift_ (drift) {}

    [[nodiscard]] base::TimePoint now() const;
    [[nodiscard]] base::UnixMilliseconds unixNow() const;
    void step (std::int64_t milliseconds) { stepMilliseconds_ += milliseconds; }

private:
    const EventQueue& queue_;
    double drift_;
    std::int64_t stepMilliseconds_ = 0;
};

class Process
{
public:
    Process (Network& network, Trace& trace, NodeId node, std::string name, double drift);
    virtual ~Process() = default;
    Process (const Process&) = delete;
    Process& operator= (const Process&) = delete;

    [[nodiscard]] bool isAlive() const { return isAlive_; }
    /// The machine is gone, so that nothing there refuses connections.
    [[nodiscard]] bool hasVanished() const { return hasVanished_; }
    [[nodiscard]] bool isFrozen() const { return isFrozen_; }
    [[nodiscard]] NodeId node() const { return node_; }
    [[nodiscard]] const std::string& name() const { return name_; }
    /// Counts the starts; an input meant for an earlier life is dropped.
    [[nodiscard]] std::uint64_t life() const { return life_; }
    [[nodiscard]] DriftingClock& clock() { return clock_; }

    /// Runs an input now, after the freeze, or never if this life ends first.
    void post (Action input);
    /// As post(), for an input to one life only.
    void postTo (std::uint64_t life, Action input);
    /// Stops the process; its peers hear of it after `silence`.
    void kill (base::Duration silence);
    void freeze (base::Duration duration);
    [[nodiscard]] base::Duration frozenTime() const { return frozenTime_; }

protected:
    /// Begins a new life.
    void begin();
    /// What a derived class does when its life ends.
    virtual void onKilled() {}
    void note (std::string text) { trace_.add (queue().now(), name_ + ": " + std::move (text)); }
    [[nodiscard]] Network& network() { return network_; }
    [[nodiscard]] EventQueue& queue() { return network_.queue(); }
    [[nodiscard]] base::Random& random() { return network_.random(); }

private:
    void thaw();

    Network& network_;
    Trace& trace_;
    NodeId node_;
    std::string name_;
    DriftingClock clock_;
    bool isAlive_ = false;
    bool hasVanished_ = false;
    bool isFrozen_ = false;
    std::uint64_t life_ = 0;
    base::Duration frozenTime_{};
    std::deque<Action> waiting_;
};

/// Sends the answer of a served call back; what it is given runs at the client.
using Respond = std::function<void (Action)>;

/// One call over a connection of its own, like an HTTP request. `serve` runs at the server, the
/// action it responds with at the client. `onFailed` runs at the client when no answer comes by
/// `timeout` or the connection breaks; the call may still be served, even later.
void call (Network& network, Process& client, Process& server, base::Duration timeout,
           std::function<void (const Respond&)> serve, Action onFailed);

}  // namespace fernlift::sim
