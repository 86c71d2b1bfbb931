#pragma once

/// Callers of a simulated cell. They record every request and check that each one gets exactly one
/// final answer before its deadline with the complete text that belongs to it, that no request
/// reported as not run is in a ledger, that no idempotency key runs twice, and that all queues are
/// empty at the end.

#include <cstdint>
#include <vector>

#include "sim/CallerRequest.h"
#include "sim/CatalogueText.h"
#include "sim/Process.h"
#include "sim/World.h"

namespace fernlift::sim
{

/// Numbers of requests of a run by outcome.
struct RequestTotals
{
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    std::uint64_t refusedNotRun = 0;
    std::uint64_t failedUnknown = 0;  ///< Failed after running or with unknown outcome.
    std::uint64_t disconnectedCallers = 0;
    std::uint64_t lostWithRouter = 0;  ///< Open when their router was killed.
};

class Callers
{
public:
    explicit Callers (World& world) : m_world (world) {}

    /// Sends requests to all routers until `end`.
    void begin (base::TimePoint end);
    /// Sends many requests at once: either four for one random target to each router, or one for
    /// each target to every second router.
    void burst();
    /// Sends requests to each router of the healed cell; checkEnd() requires all of them to be
    /// served.
    void sendProbes();

    void onArrived (RouterNode& router, const CallerRequestPointer& request);
    void onFinal (RouterNode& router, const CallerRequestPointer& request);
    void onRouterLost (const CallerRequestPointer& request);
    void checkEnd();
    [[nodiscard]] RequestTotals totals() const;

private:
    void scheduleNext (std::size_t router, base::TimePoint end);
    CallerRequestPointer makeRequest (const SimulatedTarget& target);
    /// Unless `waitsForAnswer` is set, the caller may disconnect before its answer.
    void send (std::size_t router, const CallerRequestPointer& request,
               bool waitsForAnswer = false);
    void sendNew (std::size_t router);
    /// Sends a new request with the same idempotency key to a random router, like a caller that
    /// received no answer.
    void resend (const CallerRequestPointer& request);
    void checkText (const CallerRequestPointer& request);
    void checkInTime (RouterNode& router, std::uint64_t runNumber, base::Duration frozenBefore,
                      const CallerRequestPointer& request);
    void checkLedgers();
    void checkQueues();

    World& m_world;
    std::vector<CallerRequestPointer> m_history;
    std::vector<CallerRequestPointer> m_probes;
    std::uint64_t m_lastId = 0;
};

}  // namespace fernlift::sim
