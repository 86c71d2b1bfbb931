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
    if (isLeaving_)
        return refuse (base::ErrorKind::kStopping, "the back end is leaving");
    if (faults_.refusesAll)
        return refuse (base::ErrorKind::kNoCapacity, "refused on command");
    if (waiting_.size() >= options_.maximumWaiting)
    {
        return refuse (base::ErrorKind::kQueueFull, "too many requests wait at the back end");
    }
    waiting_.push_back ({ ++lastHandle_, request });
    startWaiting (now);
    return { true, lastHandle_, {} };
}

void ApplicationModel::cancel (RequestHandle handle)
{
    std::erase_if (waiting_, [handle] (const Waiting& entry) { return entry.handle == handle; });
}

void ApplicationModel::advance (base::TimePoint now)
{
    while (! running_.empty() && running_.begin()->first <= now)
    {
        const auto [ended, request] = *running_.begin();
        running_.erase (running_.begin());
        ledger_[request.ledgerIndex].state = LedgerState::kEnded;
        if (! faults_.isSilent)
            done_.push_back ({ request.handle, faults_.closesAfterBody });
        startWaiting (ended);
    }
}

std::optional<base::TimePoint> ApplicationModel::nextEvent() const
{
    if (running_.empty())
        return std::nullopt;
    return running_.begin()->first;
}

std::vector<ApplicationDone> ApplicationModel::takeDone() { return std::exchange (done_, {}); }

engine::Report ApplicationModel::report() const
{
    engine::Report report;
    report.runner = options_.runner;
    report.incarnation = options_.incarnation;
    report.isLeaving = isLeaving_;
    report.slots = options_.slots;
    report.runningRequests = static_cast<std::uint32_t> (running_.size());
    report.waitingRequests = static_cast<std::uint32_t> (waiting_.size());
    return report;
}

void ApplicationModel::startWaiting (base::TimePoint now)
{
    while (! waiting_.empty() && running_.size() < options_.slots)
    {
        const Waiting next = std::move (waiting_.front());
        waiting_.pop_front();
        LedgerEntry entry;
        entry.requestId = next.request.id;
        entry.idempotencyKey = next.request.idempotencyKey;
        entry.target = next.request.path;
        entry.startedAt = now;
        ledger_.push_back (entry);
        if (! next.request.idempotencyKey.empty())
            ++keyCounts_[next.request.idempotencyKey];
        const auto service = static_cast<double> (options_.serviceTime.count()) * faults_.slowdown;
        const auto ends = now + base::Duration (static_cast<std::int64_t> (service));
        running_.emplace (ends, Running{ next.handle, ledger_.size() - 1 });
    }
}

}  // namespace fernlift::standin
