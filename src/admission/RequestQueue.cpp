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
    const auto [entry, isNew] = callers_.try_emplace (request.caller);
    Caller& caller = entry->second;
    if (isNew)
    {
        caller.turns = currentTurn_ + (servedThisTurn_.contains (request.caller) ? 1 : 0);
    }
    else
    {
        turns_.erase (turnOf (request.caller, caller));
    }
    caller.byDeadline.emplace (request.deadline, request.ticket);
    turns_.insert (turnOf (request.caller, caller));
    requests_[request.ticket] = request;
}

std::optional<Ticket> RequestQueue::front() const
{
    if (turns_.empty())
        return std::nullopt;
    return callers_.at (std::get<std::string> (*turns_.begin())).byDeadline.begin()->second;
}

void RequestQueue::takeOut (Ticket ticket, std::uint64_t turnsUsed)
{
    const auto request = requests_.find (ticket);
    const std::string name = request->second.caller;
    Caller& caller = callers_.at (name);
    turns_.erase (turnOf (name, caller));
    if (turnsUsed > 0 && caller.turns > currentTurn_)
    {
        currentTurn_ = caller.turns;
        servedThisTurn_.clear();
    }
    caller.turns += turnsUsed;
    caller.byDeadline.erase ({ request->second.deadline, ticket });
    requests_.erase (request);
    if (caller.byDeadline.empty())
    {
        if (caller.turns > currentTurn_)
            servedThisTurn_.insert (name);
        callers_.erase (name);
    }
    else
    {
        turns_.insert (turnOf (name, caller));
    }
}

void RequestQueue::popServed (Ticket ticket)
{
    if (requests_.contains (ticket))
        takeOut (ticket, 1);
}

bool RequestQueue::remove (Ticket ticket)
{
    if (! requests_.contains (ticket))
        return false;
    takeOut (ticket, 0);
    return true;
}

std::vector<Ticket> RequestQueue::inServiceOrder() const
{
    std::vector<Ticket> order;
    std::map<std::string, Caller> left = callers_;
    std::set<Turn> turns = turns_;
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
        callers_.begin(), callers_.end(),
        [] (const auto& left, const auto& right)
        { return left.second.byDeadline.size() < right.second.byDeadline.size(); });
    if (largest == callers_.end())
        return std::nullopt;
    return largest->second.byDeadline.rbegin()->second;
}

}  // namespace fernlift::admission
