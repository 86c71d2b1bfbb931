#include "dispatch/ClaimTracker.h"

#include <algorithm>

namespace fernlift::dispatch
{
namespace
{

/// Outcomes are not acknowledged, so those sent within this time are sent again on a new
/// connection.
constexpr base::Duration kOutcomeResendWindow = base::seconds (10);

}  // namespace

void ClaimTracker::add (const cell::Claim& claim)
{
    m_claims[{ claim.key, claim.request }] = State{ claim, false, false, false };
    m_hasUnsentClaims = true;
}

void ClaimTracker::abandon (const cell::Claim& claim)
{
    const auto entry = m_claims.find ({ claim.key, claim.request });
    if (entry == m_claims.end())
        return;
    if (entry->second.wasEverSent)
    {
        entry->second.isAbandoned = true;
    }
    else
    {
        m_claims.erase (entry);
    }
}

void ClaimTracker::recordOutcome (const cell::OutcomeRecord& outcome, base::TimePoint /*now*/)
{
    m_unsent.push_back (outcome);
}

std::vector<cell::ClaimAnswer> ClaimTracker::onReply (const cell::ClaimReply& reply,
                                                      base::TimePoint now)
{
    std::vector<cell::ClaimAnswer> wanted;
    for (const cell::ClaimAnswer& answer : reply.answers)
    {
        const auto entry = m_claims.find ({ answer.key, answer.request });
        if (entry == m_claims.end())
            continue;
        const bool isAbandoned = entry->second.isAbandoned;
        m_claims.erase (entry);
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
    for (auto& [id, state] : m_claims)
        state.isSent = false;
    m_hasUnsentClaims = true;
    std::vector<cell::OutcomeRecord> again;
    for (const SentOutcome& outcome : m_sent)
        again.push_back (outcome.outcome);
    m_unsent.insert (m_unsent.begin(), again.begin(), again.end());
    m_sent.clear();
}

std::optional<cell::ClaimRequest> ClaimTracker::takeClaims()
{
    if (! m_hasUnsentClaims)
        return std::nullopt;
    m_hasUnsentClaims = false;
    cell::ClaimRequest request;
    for (auto& [id, state] : m_claims)
    {
        if (state.isSent)
            continue;
        state.isSent = true;
        state.wasEverSent = true;
        request.claims.push_back (state.claim);
    }
    if (request.claims.empty())
        return std::nullopt;
    request.sequence = ++m_lastSequence;
    return request;
}

std::optional<cell::OutcomeReport> ClaimTracker::takeOutcomes (base::TimePoint now)
{
    while (! m_sent.empty() && m_sent.front().sentAt + kOutcomeResendWindow < now)
        m_sent.pop_front();
    if (m_unsent.empty())
        return std::nullopt;
    cell::OutcomeReport report{ std::move (m_unsent) };
    m_unsent.clear();
    for (const cell::OutcomeRecord& outcome : report.outcomes)
        m_sent.push_back ({ outcome, now });
    return report;
}

bool ClaimTracker::hasAbandoned() const
{
    return std::any_of (m_claims.begin(), m_claims.end(),
                        [] (const auto& entry) { return entry.second.isAbandoned; });
}

}  // namespace fernlift::dispatch
