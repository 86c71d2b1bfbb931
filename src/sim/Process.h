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
    DriftingClock (const EventQueue& queue, double drift) : m_queue (queue), m_drift (drift) {}

    [[nodiscard]] base::TimePoint now() const;
    [[nodiscard]] base::UnixMilliseconds unixNow() const;
    void step (std::int64_t milliseconds) { m_stepMilliseconds += milliseconds; }
    /// The clock did not count this time, as the steady clock of a suspended machine does not.
    void lose (base::Duration time) { m_lost += time; }

private:
    const EventQueue& m_queue;
    double m_drift;
    std::int64_t m_stepMilliseconds = 0;
    base::Duration m_lost{};
};

class Process
{
public:
    Process (Network& network, Trace& trace, NodeId node, std::string name, double drift);
    virtual ~Process() = default;
    Process (const Process&) = delete;
    Process& operator= (const Process&) = delete;

    [[nodiscard]] bool isAlive() const { return m_isAlive; }
    /// The machine is gone, so that nothing there refuses connections.
    [[nodiscard]] bool hasVanished() const { return m_hasVanished; }
    [[nodiscard]] bool isFrozen() const { return m_isFrozen; }
    [[nodiscard]] NodeId node() const { return m_node; }
    [[nodiscard]] const std::string& name() const { return m_name; }
    /// Counts the starts; an input meant for an earlier life is dropped.
    [[nodiscard]] std::uint64_t life() const { return m_life; }
    [[nodiscard]] DriftingClock& clock() { return m_clock; }

    /// Runs an input now, after the freeze, or never if this life ends first.
    void post (Action input);
    /// As post(), for an input to one life only.
    void postTo (std::uint64_t life, Action input);
    /// Stops the process; its peers hear of it after `silence`.
    void kill (base::Duration silence);
    void freeze (base::Duration duration);
    /// From now on the clock stands still while the process is frozen.
    void stopClockInSuspension() { m_stopsClockInSuspension = true; }
    [[nodiscard]] base::Duration frozenTime() const { return m_frozenTime; }

protected:
    /// Begins a new life.
    void begin();
    /// What a derived class does when its life ends.
    virtual void onKilled() {}
    void note (std::string text) { m_trace.add (queue().now(), m_name + ": " + std::move (text)); }
    [[nodiscard]] Network& network() { return m_network; }
    [[nodiscard]] EventQueue& queue() { return m_network.queue(); }
    [[nodiscard]] base::Random& random() { return m_network.random(); }

private:
    void thaw();

    Network& m_network;
    Trace& m_trace;
    NodeId m_node;
    std::string m_name;
    DriftingClock m_clock;
    bool m_isAlive = false;
    bool m_hasVanished = false;
    bool m_isFrozen = false;
    bool m_stopsClockInSuspension = false;
    std::uint64_t m_life = 0;
    base::Duration m_frozenTime{};
    std::deque<Action> m_waiting;
};

/// Sends the answer of a served call back; what it is given runs at the client.
using Respond = std::function<void (Action)>;

/// One call over a connection of its own, like an HTTP request. `serve` runs at the server, the
/// action it responds with at the client. `onFailed` runs at the client when no answer comes by
/// `timeout` or the connection breaks; the call may still be served, even later.
void call (Network& network, Process& client, Process& server, base::Duration timeout,
           std::function<void (const Respond&)> serve, Action onFailed);

}  // namespace fernlift::sim
