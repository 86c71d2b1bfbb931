#include "dispatch/ClaimTracker.h"

#include <algorithm>

namespace fernlift::dispatch
{
namespace
{

/// Outcomes are not acknowledged, so those sent within this time go out again on a new connection.
constexpr base::Duration kOutcomeResendWindow = base::seconds (10);

}  // namespace

void ClaimTracker::add (const cell::Claim& claim)
{
    claims_[{ claim.key, claim.request }] = State{ claim, false, false, false };
    hasUnsentClaims_ = true;
}

void ClaimTracker::abandon (const cell::Claim& claim)
{
    const auto entry = claims_.find ({ claim.key, claim.request });
    if (entry == claims_.end())
        return;
    if (entry->second.wasEverSent)
    {
        entry->second.isAbandoned = true;
    }
    else
    {
        claims_.erase (entry);
    }
}

void ClaimTracker::recordOutcome (const cell::OutcomeRecord& outcome, base::TimePoint /*now*/)
{
    unsent_.push_back (outcome);
}

std::vector<cell::ClaimAnswer> ClaimTracker::onReply (const cell::ClaimReply& reply,
                                                      base::TimePoint now)
{
    std::vector<cell::ClaimAnswer> wanted;
    for (const cell::ClaimAnswer& answer : reply.answers)
    {
        const auto entry = claims_.find ({ answer.key, answer.request });
        if (entry == claims_.end())
            continue;
        const bool isAbandoned = entry->second.isAbandoned;
        claims_.erase (entry);
        if (! isAbandoned)
        {
            wanted.push_back (answer);
        }
        else if (answer.verdict == cell::ClaimVerdict::kGranted)
        {
            recordOutcome ({ answer.key, answer.request, cell::ClaimOutcome::kNotRun, 0 }, now);
        }
    }
    return wanted;
}

void ClaimTracker::onConnected()
{
    for (auto& [id, state] : claims_)
        state.isSent = false;
    hasUnsentClaims_ = true;
    std::vector<cell::OutcomeRecord> again;
    for (const SentOutcome& outcome : sent_)
        again.push_back (outcome.outcome);
    unsent_.insert (unsent_.begin(), again.begin(), again.end());
    sent_.clear();
}

std::optional<cell::ClaimRequest> ClaimTracker::takeClaims()
{
    if (! hasUnsentClaims_)
        return std::nullopt;
    hasUnsentClaims_ = false;
    cell::ClaimRequest request;
    for (auto& [id, state] : claims_)
    {
        if (state.isSent)
            continue;
        state.isSent = true;
        state.wasEverSent = true;
        request.claims.push_back (state.claim);
    }
    if (request.claims.empty())
        return std::nullopt;
    request.sequence = ++lastSequence_;
    return request;
}

std::optional<cell::OutcomeReport> ClaimTracker::takeOutcomes (base::TimePoint now)
{
    while (! sent_.empty() && sent_.front().sentAt + kOutcomeResendWindow < now)
        sent_.pop_front();
    if (unsent_.empty())
        return std::nullopt;
    cell::OutcomeReport report{ std::move (unsent_) };
    unsent_.clear();
    for (const cell::OutcomeRecord& outcome : report.outcomes)
        sent_.push_back ({ outcome, now });
    return report;
}

bool ClaimTracker::hasAbandoned() const
{
    return std::any_of (claims_.begin(), claims_.end(),
                        [] (const auto& entry) { return entry.second.isAbandoned; });
}

}  // namespace fernlift::dispatch
