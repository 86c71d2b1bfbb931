#include "admission/RequestQueue.h"

#include <algorithm>

namespace fernlift::admission
{

RequestQueue::Turn RequestQueue::turnOf (const std::string& name, const Caller& caller)
{
    return Turn{ caller.turns, caller.byDeadline.begin()->first, name };
}

void RequestQueue::push (const QueuedRequest& request)
{
    const auto [entry, isNew] = m_callers.try_emplace (request.caller);
    Caller& caller = entry->second;
    if (isNew)
    {
        caller.turns = m_currentTurn + (m_servedThisTurn.contains (request.caller) ? 1 : 0);
    }
    else
    {
        m_turns.erase (turnOf (request.caller, caller));
    }
    caller.byDeadline.emplace (request.deadline, request.ticket);
    m_turns.insert (turnOf (request.caller, caller));
    m_requests[request.ticket] = request;
}

std::optional<Ticket> RequestQueue::front() const
{
    if (m_turns.empty())
        return std::nullopt;
    return m_callers.at (std::get<std::string> (*m_turns.begin())).byDeadline.begin()->second;
}

void RequestQueue::removeRequest (Ticket ticket, std::uint64_t turnsUsed)
{
    const auto request = m_requests.find (ticket);
    const std::string name = request->second.caller;
    Caller& caller = m_callers.at (name);
    m_turns.erase (turnOf (name, caller));
    if (turnsUsed > 0 && caller.turns > m_currentTurn)
    {
        m_currentTurn = caller.turns;
        m_servedThisTurn.clear();
    }
    caller.turns += turnsUsed;
    caller.byDeadline.erase ({ request->second.deadline, ticket });
    m_requests.erase (request);
    if (caller.byDeadline.empty())
    {
        if (caller.turns > m_currentTurn)
            m_servedThisTurn.insert (name);
        m_callers.erase (name);
    }
    else
    {
        m_turns.insert (turnOf (name, caller));
    }
}

void RequestQueue::popServed (Ticket ticket)
{
    if (m_requests.contains (ticket))
        removeRequest (ticket, 1);
}

bool RequestQueue::remove (Ticket ticket)
{
    if (! m_requests.contains (ticket))
        return false;
    removeRequest (ticket, 0);
    return true;
}

std::vector<Ticket> RequestQueue::inServiceOrder() const
{
    std::vector<Ticket> order;
    std::map<std::string, Caller> left = m_callers;
    std::set<Turn> turns = m_turns;
    while (! turns.empty())
    {
        const std::string name = std::get<std::string> (*turns.begin());
        Caller& caller = left.at (name);
        turns.erase (turns.begin());
        order.push_back (caller.byDeadline.begin()->second);
        caller.byDeadline.erase (caller.byDeadline.begin());
        caller.turns += 1;
        if (! caller.byDeadline.empty())
            turns.insert (turnOf (name, caller));
    }
    return order;
}

std::optional<Ticket> RequestQueue::lastToServe() const
{
    const auto largest = std::max_element (
        m_callers.begin(), m_callers.end(),
        [] (const auto& left, const auto& right)
        { return left.second.byDeadline.size() < right.second.byDeadline.size(); });
    if (largest == m_callers.end())
        return std::nullopt;
    return largest->second.byDeadline.rbegin()->second;
}

}  // namespace fernlift::admission
