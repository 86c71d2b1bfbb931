#pragma once

/**
 * Decides from the connections to runners whether this router is cut off from them.
 *
 * A router that can connect to no runner is isolated: its requests go to other routers until probes
 * show that the path is back. Answers over connections that are open already are no evidence, since
 * they may live on while new connections fail. See docs/design/peer-forwarding.md.
 */

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/Random.h"
#include "base/Time.h"

namespace fernlift::proxy
{

enum class RunnerPath : std::uint8_t
{
    kOpen,
    kIsolated,   ///< New connections to runners fail.
    kReturning,  ///< Connections open again; the share of direct requests rises.
};

/** Pure. Threading: none; owned by one router. */
class RunnerReachability
{
public:
    /** Sets the runners in the table. */
    void setRunners (std::vector<std::string> runners);

    /** Sets the number of routers in the cell. */
    void setRouters (std::uint32_t routers) { m_routers = routers; }

    /** An attempt at a runner began. */
    void onAttemptBegin (base::TimePoint now);
    /** Bytes of an answer were received from any runner. */
    void onBytes (base::TimePoint now)
    {
        m_quietSince = now;
        m_lastBytesAt = now;
    }
    void onAttemptEnd();
    /** A new connection to the runner is usable. */
    void onConnected (const std::string& runner, base::TimePoint now);
    /** A new connection to the runner did not open, or was closed before any byte of an answer.
        Returns whether this router became isolated by it.
    */
    bool onConnectFailed (const std::string& runner, base::TimePoint now);

    /** A probe of the runner got no answer within `waited`. Returns whether this router became
        isolated by it. A runner without a free slot does not answer either, so that the silence
        counts only while nothing was received from any runner; otherwise the runner is reachable.
    */
    bool onProbeUnanswered (const std::string& runner, base::Duration waited, base::TimePoint now);

    /** A router in the same zone reaches no runner, or has doubts; causes probes. */
    void onDoubtOfPeer (base::TimePoint now);

    using IsFull = std::function<bool (const std::string& runner)>;

    /** Returns the runners to probe now, by a request to each. The results have to be reported by
        onConnected(), onConnectFailed() and onProbeUnanswered(). Runners for which `isFull` holds
        are probed only when there are no others, as they may not answer in time.
    */
    [[nodiscard]] std::vector<std::string> takeProbes (
        base::TimePoint now, base::Random& random,
        const IsFull& isFull = [] (const std::string&) { return false; });

    [[nodiscard]] RunnerPath path (base::TimePoint now) const;
    /** Whether a request goes to another router, if there is one. `draw` is a random number in
        [0, 1).
    */
    [[nodiscard]] bool mustForward (double draw, base::TimePoint now) const;
    /** Whether connections have failed since the last one that opened, so that the failures may be
        this router's own.
    */
    [[nodiscard]] bool isInDoubt (base::TimePoint now) const;
    /** Number of runners whose last connection did not open. */
    [[nodiscard]] std::size_t unreachable() const { return m_unreachable.size(); }
    [[nodiscard]] bool isUnreachable (const std::string& runner) const
    {
        return m_unreachable.contains (runner);
    }
    /** Number of connections that did not open since the start of the process. */
    [[nodiscard]] std::uint64_t failedConnections() const { return m_failedConnections; }
    /** Number of probes that got no answer since the start of the process. */
    [[nodiscard]] std::uint64_t unansweredProbes() const { return m_unansweredProbes; }

private:
    /** Runners at which connections have failed recently, without one that opened since. */
    [[nodiscard]] std::size_t recentFailures (base::TimePoint now) const;
    [[nodiscard]] std::size_t failuresOfIsolation (base::TimePoint now) const;
    void isolate (base::TimePoint now);
    void addProbesInDoubt (std::vector<std::string>& probes, base::TimePoint now,
                           base::Random& random, const IsFull& isFull);
    /** Adds a probe after a time without bytes from any runner, so that a router without requests
        notices that its path has failed.
    */
    void addIdleProbe (std::vector<std::string>& probes, base::TimePoint now, base::Random& random,
                       const IsFull& isFull);
    /** Runners without a recent failure; without those that are full, if any is left. */
    [[nodiscard]] std::vector<std::string> probeCandidates (const IsFull& isFull) const;
    [[nodiscard]] base::Duration idleInterval() const;
    void addProbesOfUnreachable (std::vector<std::string>& probes, base::TimePoint now);

    std::vector<std::string> m_runners;
    /** Runners whose last connection did not open, with the time of their next probe. */
    std::map<std::string, base::TimePoint> m_unreachable;
    /** Times of the failures since the last connection that opened, by runner. */
    std::map<std::string, base::TimePoint> m_failures;
    std::uint64_t m_failedConnections = 0;
    std::uint64_t m_unansweredProbes = 0;
    std::size_t m_openAttempts = 0;
    base::TimePoint m_quietSince{};  ///< Start of the time in which open attempts got no bytes.
    base::TimePoint m_lastBytesAt{};
    base::TimePoint m_nextProbeAt{};
    base::TimePoint m_probesInDoubtAt{};  ///< Last probes that followed a failure or a quiet time.
    base::TimePoint m_nextIdleProbeAt{};
    std::uint32_t m_routers = 1;
    bool m_isDoubtedByPeer = false;  ///< A router of the zone has doubts, and no probes followed.
    bool m_isIsolated = false;
    std::uint32_t m_successes = 0;  ///< Consecutive probes that succeeded while isolated.
    std::uint32_t m_requiredSuccesses = 0;
    base::TimePoint m_returnedAt{};  ///< End of the last isolation; zero: there was none.
};

}  // namespace fernlift::proxy
