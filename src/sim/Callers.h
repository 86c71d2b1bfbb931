#pragma once

/// Callers of a simulated cell, with a history of every request, and the checks over it: one final
/// answer each in time, the whole text of its own request, "not run" never in a ledger, no key run
/// twice, nothing left in any queue.

#include <cstdint>
#include <vector>

#include "sim/CallerRequest.h"
#include "sim/CatalogueText.h"
#include "sim/Process.h"
#include "sim/World.h"

namespace fernlift::sim
{

/// What became of the requests of a run.
struct RequestTotals
{
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    std::uint64_t refusedNotRun = 0;
    std::uint64_t failedUnknown = 0;  ///< Outcome unknown, or known to have run.
    std::uint64_t callersLeft = 0;
    std::uint64_t lostWithRouter = 0;  ///< Their router was killed.
};

class Callers
{
public:
    explicit Callers (World& world) : m_world (world) {}

    /// Sends requests until `end`.
    void begin (base::TimePoint end);
    /// Many requests for one target, or some for each, at many routers at once.
    void burst();
    /// Some requests at each router of a healed cell, all of which must be served.
    void sendProbes();

    void onArrived (RouterNode& router, const CallerRequestPointer& request);
    void onFinal (RouterNode& router, const CallerRequestPointer& request);
    void onRouterLost (const CallerRequestPointer& request);
    void checkEnd();
    [[nodiscard]] RequestTotals totals() const;

private:
    void scheduleNext (std::size_t router, base::TimePoint end);
    CallerRequestPointer makeRequest (const SimulatedTarget& target);
    /// A patient caller does not leave before its answer.
    void send (std::size_t router, const CallerRequestPointer& request, bool isPatient = false);
    void sendNew (std::size_t router);
    /// Sends the key of a request again, at another router, as a caller without an answer does.
    void sendAgain (const CallerRequestPointer& request);
    void checkText (const CallerRequestPointer& request);
    void checkInTime (RouterNode& router, std::uint64_t life, base::Duration frozenBefore,
                      const CallerRequestPointer& request);
    void checkLedgers();
    void checkQueues();

    World& m_world;
    std::vector<CallerRequestPointer> m_history;
    std::vector<CallerRequestPointer> m_probes;
    std::uint64_t m_lastId = 0;
};

}  // namespace fernlift::sim
