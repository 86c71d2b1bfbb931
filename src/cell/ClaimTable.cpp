#include "cell/ClaimTable.h"

namespace fernlift::cell
{
namespace
{

/// Verdict for a claim of a key that is already in the table.
ClaimVerdict verdictFor (const ClaimRecord& held, const Claim& claim)
{
    if (held.requestDigest != claim.requestDigest)
        return ClaimVerdict::kConflict;
    switch (held.outcome)
    {
        case ClaimOutcome::kPending:
            break;
        case ClaimOutcome::kRan:
            return ClaimVerdict::kAlreadyRan;
        case ClaimOutcome::kNotRun:
        case ClaimOutcome::kUnknown:
            return ClaimVerdict::kOutcomeUnknown;
    }
    const bool isHolder = held.request == claim.request && held.router == claim.router;
    return isHolder ? ClaimVerdict::kGranted : ClaimVerdict::kInProgress;
}

bool isTooLong (const Claim& claim)
{
    return claim.key.value.size() > ClaimTable::kMaxKeyBytes
           || claim.requestDigest.size() > ClaimTable::kMaxFieldBytes
           || claim.router.value.size() > ClaimTable::kMaxFieldBytes
           || claim.request.value.size() > ClaimTable::kMaxFieldBytes;
}

}  // namespace

ClaimAnswer ClaimTable::claim (const Claim& claim, base::UnixMilliseconds now)
{
    ClaimAnswer answer{ claim.key, claim.request, ClaimVerdict::kWindowPassed, 0 };
    const auto held = m_claims.find (claim.key);
    if (held != m_claims.end())
    {
        answer.verdict = verdictFor (held->second, claim);
        answer.httpStatus = held->second.httpStatus;
        return answer;
    }
    const bool isOutsideWindow = claim.expiresAt < now || claim.expiresAt > now + kMaxLifetime;
    if (isOutsideWindow || isTooLong (claim))
        return answer;
    if (m_claims.size() >= kMaxKeys)
    {
        answer.verdict = ClaimVerdict::kTableFull;
        return answer;
    }
    m_claims[claim.key] = ClaimRecord{ claim.requestDigest, claim.router,           claim.request,
                                       claim.expiresAt,     ClaimOutcome::kPending, 0 };
    m_expiries.emplace (claim.expiresAt, claim.key);
    answer.verdict = ClaimVerdict::kGranted;
    return answer;
}

bool ClaimTable::record (const OutcomeRecord& outcome)
{
    const auto held = m_claims.find (outcome.key);
    if (held == m_claims.end() || held->second.request != outcome.request)
        return false;
    ClaimRecord& record = held->second;
    const bool isPending = record.outcome == ClaimOutcome::kPending;
    const bool isUnknown = record.outcome == ClaimOutcome::kUnknown;
    switch (outcome.outcome)
    {
        case ClaimOutcome::kPending:
            return false;
        case ClaimOutcome::kNotRun:
            if (! isPending)
                return false;
            m_expiries.erase ({ record.expiresAt, outcome.key });
            m_claims.erase (held);
            return true;
        case ClaimOutcome::kUnknown:
            if (! isPending)
                return false;
            break;
        case ClaimOutcome::kRan:
            if (! isPending && ! isUnknown)
                return false;
            break;
    }
    record.outcome = outcome.outcome;
    record.httpStatus = outcome.httpStatus;
    return true;
}

void ClaimTable::expire (base::UnixMilliseconds now)
{
    while (! m_expiries.empty() && m_expiries.begin()->first < now)
    {
        m_claims.erase (m_expiries.begin()->second);
        m_expiries.erase (m_expiries.begin());
    }
}

const ClaimRecord* ClaimTable::find (const base::IdempotencyKey& key) const
{
    const auto found = m_claims.find (key);
    return found == m_claims.end() ? nullptr : &found->second;
}

}  // namespace fernlift::cell
