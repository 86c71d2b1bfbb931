#include "standin/ApplicationModel.h"

#include <algorithm>
#include <utility>

namespace fernlift::standin
{

SubmitOutcome ApplicationModel::submit (const ApplicationRequest& request, base::TimePoint now)
{
    const auto refuse = [] (base::ErrorKind kind, std::string message) {
        return SubmitOutcome{ false, 0, { kind, std::move (message) } };
    };
    if (m_isLeaving)
        return refuse (base::ErrorKind::kStopping, "the back end is leaving");
    if (m_faults.refusesAll)
        return refuse (base::ErrorKind::kNoCapacity, "refused by an injected fault");
    if (m_waiting.size() >= m_options.maximumWaiting)
    {
        return refuse (base::ErrorKind::kQueueFull, "too many requests wait at the back end");
    }
    m_waiting.push_back ({ ++m_lastHandle, request });
    startWaiting (now);
    return { true, m_lastHandle, {} };
}

void ApplicationModel::cancel (RequestHandle handle)
{
    std::erase_if (m_waiting, [handle] (const Waiting& entry) { return entry.handle == handle; });
}

void ApplicationModel::advance (base::TimePoint now)
{
    while (! m_running.empty() && m_running.begin()->first <= now)
    {
        const auto [ended, request] = *m_running.begin();
        m_running.erase (m_running.begin());
        m_ledger[request.ledgerIndex].state = LedgerState::kEnded;
        if (! m_faults.isSilent)
            m_done.push_back ({ request.handle, m_faults.closesAfterBody });
        startWaiting (ended);
    }
}

std::optional<base::TimePoint> ApplicationModel::nextEvent() const
{
    if (m_running.empty())
        return std::nullopt;
    return m_running.begin()->first;
}

std::vector<ApplicationDone> ApplicationModel::takeDone() { return std::exchange (m_done, {}); }

engine::Report ApplicationModel::report() const
{
    engine::Report report;
    report.runner = m_options.runner;
    report.incarnation = m_options.incarnation;
    report.isLeaving = m_isLeaving;
    report.slots = m_options.slots;
    report.runningRequests = static_cast<std::uint32_t> (m_running.size());
    report.waitingRequests = static_cast<std::uint32_t> (m_waiting.size());
    return report;
}

void ApplicationModel::startWaiting (base::TimePoint now)
{
    while (! m_waiting.empty() && m_running.size() < m_options.slots)
    {
        const Waiting next = std::move (m_waiting.front());
        m_waiting.pop_front();
        LedgerEntry entry;
        entry.requestId = next.request.id;
        entry.idempotencyKey = next.request.idempotencyKey;
        entry.target = next.request.path;
        entry.startedAt = now;
        m_ledger.push_back (entry);
        if (! next.request.idempotencyKey.empty())
            ++m_keyCounts[next.request.idempotencyKey];
        const auto service =
            static_cast<double> (m_options.serviceTime.count()) * m_faults.slowdown;
        const auto ends = now + base::Duration (static_cast<std::int64_t> (service));
        m_running.emplace (ends, Running{ next.handle, m_ledger.size() - 1 });
    }
}

}  // namespace fernlift::standin
