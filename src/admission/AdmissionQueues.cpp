#include "admission/AdmissionQueues.h"

#include <algorithm>

namespace fernlift::admission
{

bool AdmissionQueues::hasRoom (const std::string& target, std::size_t bytes) const
{
    return places_.size() < limits_.requests && bytes_ + bytes <= limits_.bytes
           && countWaiting (target) < limits_.requestsPerTarget;
}

/// Whether there would be room if all less urgent requests gave way.
bool AdmissionQueues::canMakeRoom (const std::string& target, int urgency, std::size_t bytes) const
{
    std::size_t staying = 0;
    std::size_t bytesStaying = 0;
    for (const auto& [queueUrgency, queues] : queues_)
    {
        if (queueUrgency > urgency)
            break;
        for (const auto& [name, queue] : queues)
            staying += queue.size();
        bytesStaying += bytesOfUrgency_.at (queueUrgency);
    }
    return staying < limits_.requests && bytesStaying + bytes <= limits_.bytes
           && countAhead (target, urgency) < limits_.requestsPerTarget;
}

/// The request to displace for one of `urgency`: of the same target when only the target's own
/// bound is reached.
std::optional<Ticket> AdmissionQueues::leastUrgent (const std::string& target, int urgency) const
{
    const bool isTargetFull = countWaiting (target) >= limits_.requestsPerTarget;
    for (auto entry = queues_.rbegin(); entry != queues_.rend(); ++entry)
    {
        if (entry->first <= urgency)
            return std::nullopt;
        const RequestQueue* longest = nullptr;
        for (const auto& [name, queue] : entry->second)
        {
            if (isTargetFull && name != target)
                continue;
            if (longest == nullptr || queue.size() > longest->size())
                longest = &queue;
        }
        if (longest != nullptr)
            return longest->lastToServe();
    }
    return std::nullopt;
}

Enqueued AdmissionQueues::push (const std::string& target, int urgency,
                                const QueuedRequest& request)
{
    Enqueued outcome;
    const bool canBeTaken =
        hasRoom (target, request.bytes) || canMakeRoom (target, urgency, request.bytes);
    if (! canBeTaken)
        return outcome;
    while (! hasRoom (target, request.bytes))
    {
        const std::optional<Ticket> victim = leastUrgent (target, urgency);
        if (! victim)
            return outcome;
        remove (*victim);
        outcome.displaced.push_back (*victim);
    }
    pushAgain (target, urgency, request);
    outcome.isAccepted = true;
    return outcome;
}

void AdmissionQueues::pushAgain (const std::string& target, int urgency,
                                 const QueuedRequest& request)
{
    queues_[urgency][target].push (request);
    places_[request.ticket] = Place{ target, urgency, request.bytes };
    waitingOfTarget_[target] += 1;
    bytesOfUrgency_[urgency] += request.bytes;
    bytes_ += request.bytes;
}

std::optional<Ticket> AdmissionQueues::front (const std::string& target, int urgency) const
{
    const auto queues = queues_.find (urgency);
    if (queues == queues_.end())
        return std::nullopt;
    const auto queue = queues->second.find (target);
    return queue == queues->second.end() ? std::nullopt : queue->second.front();
}

void AdmissionQueues::takeOut (Ticket ticket, bool isServed)
{
    const auto entry = places_.find (ticket);
    const Place place = entry->second;
    TargetQueues& queues = queues_.at (place.urgency);
    RequestQueue& queue = queues.at (place.target);
    if (isServed)
    {
        queue.popServed (ticket);
        lastServed_[place.urgency] = place.target;
    }
    else
    {
        queue.remove (ticket);
    }
    if (queue.empty())
        queues.erase (place.target);
    if (queues.empty())
        queues_.erase (place.urgency);
    const auto waiting = waitingOfTarget_.find (place.target);
    if (--waiting->second == 0)
        waitingOfTarget_.erase (waiting);
    bytesOfUrgency_.at (place.urgency) -= place.bytes;
    bytes_ -= place.bytes;
    places_.erase (entry);
}

void AdmissionQueues::popServed (Ticket ticket)
{
    if (places_.contains (ticket))
        takeOut (ticket, true);
}

bool AdmissionQueues::remove (Ticket ticket)
{
    if (! places_.contains (ticket))
        return false;
    takeOut (ticket, false);
    return true;
}

std::vector<std::string> AdmissionQueues::targetsWaiting (int urgency) const
{
    std::vector<std::string> targets;
    const auto queues = queues_.find (urgency);
    if (queues == queues_.end())
        return targets;
    for (const auto& [target, queue] : queues->second)
        targets.push_back (target);
    const auto last = lastServed_.find (urgency);
    if (last == lastServed_.end())
        return targets;
    const auto next = std::upper_bound (targets.begin(), targets.end(), last->second);
    std::rotate (targets.begin(), next, targets.end());
    return targets;
}

std::vector<int> AdmissionQueues::urgenciesWaiting() const
{
    std::vector<int> urgencies;
    for (const auto& [urgency, queues] : queues_)
        urgencies.push_back (urgency);
    return urgencies;
}

std::size_t AdmissionQueues::countAhead (const std::string& target, int urgency) const
{
    std::size_t count = 0;
    for (const auto& [queueUrgency, queues] : queues_)
    {
        if (queueUrgency > urgency)
            break;
        const auto queue = queues.find (target);
        if (queue != queues.end())
            count += queue->second.size();
    }
    return count;
}

std::vector<Ticket> AdmissionQueues::inServiceOrder (const std::string& target) const
{
    std::vector<Ticket> order;
    for (const auto& [urgency, queues] : queues_)
    {
        const auto queue = queues.find (target);
        if (queue == queues.end())
            continue;
        const std::vector<Ticket> tickets = queue->second.inServiceOrder();
        order.insert (order.end(), tickets.begin(), tickets.end());
    }
    return order;
}

std::vector<std::string> AdmissionQueues::targetsWaiting() const
{
    std::vector<std::string> targets;
    for (const auto& [target, count] : waitingOfTarget_)
        targets.push_back (target);
    return targets;
}

std::size_t AdmissionQueues::countWaiting (const std::string& target) const
{
    const auto waiting = waitingOfTarget_.find (target);
    return waiting == waitingOfTarget_.end() ? 0 : waiting->second;
}

}  // namespace fernlift::admission
