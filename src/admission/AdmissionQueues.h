#pragma once

/// All waiting requests of a router, in one queue for each target and urgency. The total is bounded
/// by count and by bytes, and each target by count. A lower urgency number is more urgent.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "admission/RequestQueue.h"

namespace fernlift::admission
{

struct QueueLimits
{
    std::size_t requests = 0;
    std::size_t bytes = 0;
    std::size_t requestsPerTarget = 0;
};

/// Result of adding a request.
struct EnqueueResult
{
    bool isAccepted = false;
    /// Less urgent requests that were removed from the queues to make room.
    std::vector<Ticket> displaced;
};

class AdmissionQueues
{
public:
    explicit AdmissionQueues (QueueLimits limits) : m_limits (limits) {}

    /// Adds a request. If the queues are full, waiting requests are displaced, the least urgent
    /// first, provided that they are less urgent than this one and free enough room; otherwise this
    /// request is not accepted.
    EnqueueResult push (const std::string& target, int urgency, const QueuedRequest& request);
    /// Adds a request that was queued before, regardless of the bounds.
    void requeue (const std::string& target, int urgency, const QueuedRequest& request);

    [[nodiscard]] std::optional<Ticket> front (const std::string& target, int urgency) const;
    void popServed (Ticket ticket);
    bool remove (Ticket ticket);

    /// Targets with waiting requests of this urgency, in the order of their names, rotated so that
    /// the one after the target served last comes first.
    [[nodiscard]] std::vector<std::string> targetsWaiting (int urgency) const;
    [[nodiscard]] std::vector<int> urgenciesWaiting() const;
    /// Number of the target's waiting requests that are at least as urgent as `urgency`, and so may
    /// be served before a new one.
    [[nodiscard]] std::size_t countAhead (const std::string& target, int urgency) const;
    [[nodiscard]] std::size_t countWaiting (const std::string& target) const;
    /// The target's requests in the order of service.
    [[nodiscard]] std::vector<Ticket> inServiceOrder (const std::string& target) const;
    /// Targets with waiting requests.
    [[nodiscard]] std::vector<std::string> targetsWaiting() const;
    [[nodiscard]] std::size_t size() const { return m_places.size(); }
    [[nodiscard]] std::size_t bytes() const { return m_bytes; }

private:
    struct Place
    {
        std::string target;
        int urgency = 0;
        std::size_t bytes = 0;
    };
    using TargetQueues = std::map<std::string, RequestQueue>;

    [[nodiscard]] bool hasRoom (const std::string& target, std::size_t bytes) const;
    [[nodiscard]] bool canMakeRoom (const std::string& target, int urgency,
                                    std::size_t bytes) const;
    [[nodiscard]] std::optional<Ticket> leastUrgent (const std::string& target, int urgency) const;
    void removeRequest (Ticket ticket, bool isServed);

    QueueLimits m_limits;
    std::map<int, TargetQueues> m_queues;
    std::map<Ticket, Place> m_places;
    std::map<std::string, std::size_t> m_waitingOfTarget;
    std::map<int, std::size_t> m_bytesOfUrgency;
    std::map<int, std::string> m_lastServed;
    std::size_t m_bytes = 0;
};

}  // namespace fernlift::admission
