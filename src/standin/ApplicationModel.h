#pragma once

/// Application back end as a state machine without I/O. A request occupies a slot for the service
/// time and is recorded in a ledger.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "engine/EngineApi.h"
#include "standin/EngineTypes.h"
#include "standin/Ledger.h"

namespace fernlift::standin
{

struct ApplicationOptions
{
    base::RunnerId runner;
    base::Incarnation incarnation = 1;
    std::uint32_t slots = 32;
    std::uint32_t maximumWaiting = 256;
    base::Duration serviceTime = base::milliseconds (5);
};

struct ApplicationFaults
{
    bool closesAfterBody = false;  ///< Runs requests and closes the connection without an answer.
    bool isSilent = false;         ///< Runs requests and never answers.
    bool refusesAll = false;
    double slowdown = 1.0;  ///< Factor on the service time.
};

struct ApplicationRequest
{
    std::string id;
    std::string idempotencyKey;
    std::string path;
};

/// A completed request, to be answered, or to be closed without an answer if a fault demands it.
struct ApplicationDone
{
    RequestHandle handle = 0;
    bool closesWithoutAnswer = false;
};

/// Single-threaded. Call advance() before every other input.
class ApplicationModel
{
public:
    explicit ApplicationModel (const ApplicationOptions& options) : m_options (options) {}

    SubmitOutcome submit (const ApplicationRequest& request, base::TimePoint now);
    /// Removes a waiting request whose caller disconnected. A request that has begun keeps running.
    void cancel (RequestHandle handle);
    void advance (base::TimePoint now);
    [[nodiscard]] std::optional<base::TimePoint> nextEvent() const;
    [[nodiscard]] std::vector<ApplicationDone> takeDone();

    [[nodiscard]] engine::Report report() const;
    [[nodiscard]] const std::vector<LedgerEntry>& ledger() const { return m_ledger; }
    /// Number of executions of each idempotency key.
    [[nodiscard]] const std::map<std::string, std::uint64_t>& keyCounts() const
    {
        return m_keyCounts;
    }
    void setFaults (const ApplicationFaults& faults) { m_faults = faults; }
    [[nodiscard]] const ApplicationFaults& faults() const { return m_faults; }
    void setLeaving (bool isLeaving) { m_isLeaving = isLeaving; }
    [[nodiscard]] bool isLeaving() const { return m_isLeaving; }

private:
    struct Waiting
    {
        RequestHandle handle = 0;
        ApplicationRequest request;
    };
    struct Running
    {
        RequestHandle handle = 0;
        std::size_t ledgerIndex = 0;
    };

    void startWaiting (base::TimePoint now);

    ApplicationOptions m_options;
    ApplicationFaults m_faults;
    bool m_isLeaving = false;
    RequestHandle m_lastHandle = 0;
    std::deque<Waiting> m_waiting;
    std::multimap<base::TimePoint, Running> m_running;  ///< Running requests by completion time.
    std::vector<LedgerEntry> m_ledger;
    std::map<std::string, std::uint64_t> m_keyCounts;
    std::vector<ApplicationDone> m_done;
};

}  // namespace fernlift::standin
