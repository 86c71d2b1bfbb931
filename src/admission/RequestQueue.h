#pragma once

/// Queue of requests of one target and urgency: callers take turns, and each caller's requests go
/// by deadline.

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

/// Serves the caller that was served least. A caller that comes (back) starts level with the
/// callers being served: it can neither save up turns nor use two in one round.
class RequestQueue
{
public:
    void push (const QueuedRequest& request);
    /// The request to serve next.
    [[nodiscard]] std::optional<Ticket> front() const;
    /// Takes the request out as served: its caller has used one turn.
    void popServed (Ticket ticket);
    /// Takes the request out without a turn used. False when it is not here.
    bool remove (Ticket ticket);
    /// The request to give up first when there is no room: the last one, by deadline, of the caller
    /// with the most requests.
    [[nodiscard]] std::optional<Ticket> lastToServe() const;

    /// All requests in the order in which they would be served if none came or went.
    [[nodiscard]] std::vector<Ticket> inServiceOrder() const;

    [[nodiscard]] std::size_t size() const { return m_requests.size(); }
    [[nodiscard]] bool empty() const { return m_requests.empty(); }

private:
    struct Caller
    {
        std::uint64_t turns = 0;
        std::set<std::pair<base::TimePoint, Ticket>> byDeadline;
    };
    /// Callers with requests, least served first, then by the deadline of their first request.
    using Turn = std::tuple<std::uint64_t, base::TimePoint, std::string>;

    [[nodiscard]] static Turn turnOf (const std::string& name, const Caller& caller);
    void takeOut (Ticket ticket, std::uint64_t turnsUsed);

    std::map<Ticket, QueuedRequest> m_requests;
    std::map<std::string, Caller> m_callers;
    std::set<Turn> m_turns;
    std::uint64_t m_currentTurn = 0;
    /// Callers without waiting requests that have used their turn.
    std::set<std::string> m_servedThisTurn;
};

}  // namespace fernlift::admission
