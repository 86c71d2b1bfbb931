#include "admission/AdmissionQueues.h"

#include <algorithm>

namespace fernlift::admission
{

bool AdmissionQueues::hasRoom (const std::string& target, std::size_t bytes) const
{
    return m_places.size() < m_limits.requests && m_bytes + bytes <= m_limits.bytes
           && countWaiting (target) < m_limits.requestsPerTarget;
}

/// Whether the request would fit if all less urgent requests were displaced.
bool AdmissionQueues::canMakeRoom (const std::string& target, int urgency, std::size_t bytes) const
{
    std::size_t staying = 0;
    std::size_t bytesStaying = 0;
    for (const auto& [queueUrgency, queues] : m_queues)
    {
        if (queueUrgency > urgency)
            break;
        for (const auto& [name, queue] : queues)
            staying += queue.size();
        bytesStaying += m_bytesOfUrgency.at (queueUrgency);
    }
    return staying < m_limits.requests && bytesStaying + bytes <= m_limits.bytes
           && countAhead (target, urgency) < m_limits.requestsPerTarget;
}

/// Returns the request to displace for a request of `urgency`: one of the same target if the
/// target's own bound is reached.
std::optional<Ticket> AdmissionQueues::leastUrgent (const std::string& target, int urgency) const
{
    const bool isTargetFull = countWaiting (target) >= m_limits.requestsPerTarget;
    for (auto entry = m_queues.rbegin(); entry != m_queues.rend(); ++entry)
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

EnqueueResult AdmissionQueues::push (const std::string& target, int urgency,
                                     const QueuedRequest& request)
{
    EnqueueResult outcome;
    const bool canBeAccepted =
        hasRoom (target, request.bytes) || canMakeRoom (target, urgency, request.bytes);
    if (! canBeAccepted)
        return outcome;
    while (! hasRoom (target, request.bytes))
    {
        const std::optional<Ticket> candidate = leastUrgent (target, urgency);
        if (! candidate)
            return outcome;
        remove (*candidate);
        outcome.displaced.push_back (*candidate);
    }
    requeue (target, urgency, request);
    outcome.isAccepted = true;
    return outcome;
}

void AdmissionQueues::requeue (const std::string& target, int urgency, const QueuedRequest& request)
{
    m_queues[urgency][target].push (request);
    m_places[request.ticket] = Place{ target, urgency, request.bytes };
    m_waitingOfTarget[target] += 1;
    m_bytesOfUrgency[urgency] += request.bytes;
    m_bytes += request.bytes;
}

std::optional<Ticket> AdmissionQueues::front (const std::string& target, int urgency) const
{
    const auto queues = m_queues.find (urgency);
    if (queues == m_queues.end())
        return std::nullopt;
    const auto queue = queues->second.find (target);
    return queue == queues->second.end() ? std::nullopt : queue->second.front();
}

void AdmissionQueues::removeRequest (Ticket ticket, bool isServed)
{
    const auto entry = m_places.find (ticket);
    const Place place = entry->second;
    TargetQueues& queues = m_queues.at (place.urgency);
    RequestQueue& queue = queues.at (place.target);
    if (isServed)
    {
        queue.popServed (ticket);
        m_lastServed[place.urgency] = place.target;
    }
    else
    {
        queue.remove (ticket);
    }
    if (queue.empty())
        queues.erase (place.target);
    if (queues.empty())
        m_queues.erase (place.urgency);
    const auto waiting = m_waitingOfTarget.find (place.target);
    if (--waiting->second == 0)
        m_waitingOfTarget.erase (waiting);
    m_bytesOfUrgency.at (place.urgency) -= place.bytes;
    m_bytes -= place.bytes;
    m_places.erase (entry);
}

void AdmissionQueues::popServed (Ticket ticket)
{
    if (m_places.contains (ticket))
        removeRequest (ticket, true);
}

bool AdmissionQueues::remove (Ticket ticket)
{
    if (! m_places.contains (ticket))
        return false;
    removeRequest (ticket, false);
    return true;
}

std::vector<std::string> AdmissionQueues::targetsWaiting (int urgency) const
{
    std::vector<std::string> targets;
    const auto queues = m_queues.find (urgency);
    if (queues == m_queues.end())
        return targets;
    for (const auto& [target, queue] : queues->second)
        targets.push_back (target);
    const auto last = m_lastServed.find (urgency);
    if (last == m_lastServed.end())
        return targets;
    const auto next = std::upper_bound (targets.begin(), targets.end(), last->second);
    std::rotate (targets.begin(), next, targets.end());
    return targets;
}

std::vector<int> AdmissionQueues::urgenciesWaiting() const
{
    std::vector<int> urgencies;
    for (const auto& [urgency, queues] : m_queues)
        urgencies.push_back (urgency);
    return urgencies;
}

std::size_t AdmissionQueues::countAhead (const std::string& target, int urgency) const
{
    std::size_t count = 0;
    for (const auto& [queueUrgency, queues] : m_queues)
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
    for (const auto& [urgency, queues] : m_queues)
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
    for (const auto& [target, count] : m_waitingOfTarget)
        targets.push_back (target);
    return targets;
}

std::size_t AdmissionQueues::countWaiting (const std::string& target) const
{
    const auto waiting = m_waitingOfTarget.find (target);
    return waiting == m_waitingOfTarget.end() ? 0 : waiting->second;
}

}  // namespace fernlift::admission
