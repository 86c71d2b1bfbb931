#pragma once

/// Queue of requests of one target and urgency. Callers take turns, and the requests of each caller
/// are served in the order of their deadlines.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/Time.h"

namespace fernlift::admission
{

using Ticket = std::uint64_t;

/// A waiting request.
struct QueuedRequest
{
    Ticket ticket = 0;
    std::string caller;
    base::TimePoint deadline{};
    std::size_t bytes = 0;
};

/// Serves the caller with the fewest turns used. A caller that joins or returns starts at the
/// current round: it can neither save up turns nor use two in one round.
class RequestQueue
{
public:
    void push (const QueuedRequest& request);
    /// Returns the request to serve next, if any.
    [[nodiscard]] std::optional<Ticket> front() const;
    /// Removes a request that was served, which uses one turn of its caller.
    void popServed (Ticket ticket);
    /// Removes a request without using a turn. False if the queue does not contain it.
    bool remove (Ticket ticket);
    /// Returns the request to displace first: the one with the latest deadline of the caller with
    /// the most requests.
    [[nodiscard]] std::optional<Ticket> lastToServe() const;

    /// All requests in the order of service, provided that none is added or removed.
    [[nodiscard]] std::vector<Ticket> inServiceOrder() const;

    [[nodiscard]] std::size_t size() const { return m_requests.size(); }
    [[nodiscard]] bool empty() const { return m_requests.empty(); }

private:
    struct Caller
    {
        std::uint64_t turns = 0;
        std::set<std::pair<base::TimePoint, Ticket>> byDeadline;
    };
    /// Sort key of callers with requests: turns used, then the deadline of their first request.
    using Turn = std::tuple<std::uint64_t, base::TimePoint, std::string>;

    [[nodiscard]] static Turn turnOf (const std::string& name, const Caller& caller);
    void removeRequest (Ticket ticket, std::uint64_t turnsUsed);

    std::map<Ticket, QueuedRequest> m_requests;
    std::map<std::string, Caller> m_callers;
    std::set<Turn> m_turns;
    std::uint64_t m_currentTurn = 0;
    /// Callers without waiting requests that have used their turn of the current round.
    std::set<std::string> m_servedThisTurn;
};

}  // namespace fernlift::admission
