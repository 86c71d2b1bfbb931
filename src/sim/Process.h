#pragma once

/// Base class of simulated processes, which can be started, killed and frozen. Each has a clock of
/// its own that drifts and whose wall-clock time can step.

#include <cstdint>
#include <deque>
#include <string>

#include "sim/Network.h"
#include "sim/Trace.h"

namespace fernlift::sim
{

/// A clock that runs faster or slower than simulated time by the factor `drift`.
class DriftingClock
{
public:
    DriftingClock (const EventQueue& queue, double drift) : m_queue (queue), m_drift (drift) {}

    [[nodiscard]] base::TimePoint now() const;
    [[nodiscard]] base::UnixMilliseconds unixNow() const;
    void step (std::int64_t milliseconds) { m_stepMilliseconds += milliseconds; }
    /// Sets the clock back by `time`, like a steady clock that stops while the machine is
    /// suspended.
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
    /// True when the whole machine vanished, so that connections to it are not refused but time
    /// out.
    [[nodiscard]] bool hasVanished() const { return m_hasVanished; }
    [[nodiscard]] bool isFrozen() const { return m_isFrozen; }
    [[nodiscard]] NodeId node() const { return m_node; }
    [[nodiscard]] const std::string& name() const { return m_name; }
    /// Number of starts; inputs addressed to an earlier run are dropped.
    [[nodiscard]] std::uint64_t runNumber() const { return m_runNumber; }
    [[nodiscard]] DriftingClock& clock() { return m_clock; }

    /// Runs an input at once, or after the end of a freeze; drops it if the process ends first.
    void post (Action input);
    /// As post(), but drops the input unless `runNumber` is the current run.
    void postTo (std::uint64_t runNumber, Action input);
    /// Kills the process; its peers are notified after `detectionDelay`. A delay above zero means
    /// that the whole machine vanished.
    void kill (base::Duration detectionDelay);
    void freeze (base::Duration duration);
    /// Makes the clock stop while the process is frozen, from now on.
    void stopClockInSuspension() { m_stopsClockInSuspension = true; }
    [[nodiscard]] base::Duration frozenTime() const { return m_frozenTime; }

protected:
    /// Begins a new run.
    void begin();
    /// Called when the process is killed.
    virtual void onKilled() {}
    void addToTrace (std::string text)
    {
        m_trace.add (queue().now(), m_name + ": " + std::move (text));
    }
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
    std::uint64_t m_runNumber = 0;
    base::Duration m_frozenTime{};
    std::deque<Action> m_waiting;
};

/// Sends the answer to a call; the action passed to it runs at the client.
using Respond = std::function<void (Action)>;

/// Makes a call over a connection of its own, like an HTTP request. `serve` runs at the server, and
/// the action it responds with at the client. `onFailed` runs at the client when no answer arrives
/// within `timeout` or the connection breaks; the server may still serve the call afterwards.
void call (Network& network, Process& client, Process& server, base::Duration timeout,
           std::function<void (const Respond&)> serve, Action onFailed);

}  // namespace fernlift::sim
