#include "controller/ClaimBatcher.h"

#include <iterator>
#include <utility>

namespace fernlift::controller
{

std::optional<cell::ClaimReply> ClaimBatcher::add (ClaimSource source,
                                                   const cell::ClaimRequest& request)
{
    if (m_waitingClaims + request.claims.size() > kMaxWaitingClaims)
    {
        cell::ClaimReply refusal{ request.sequence, {} };
        for (const cell::Claim& claim : request.claims)
        {
            refusal.answers.push_back (
                { claim.key, claim.request, cell::ClaimVerdict::kTableFull, 0 });
        }
        return refusal;
    }
    m_waitingClaims += request.claims.size();
    m_waiting.push_back (Waiting{ source, request.sequence, request.claims });
    return std::nullopt;
}

void ClaimBatcher::add (const cell::OutcomeReport& report)
{
    m_outcomes.insert (m_outcomes.end(), report.outcomes.begin(), report.outcomes.end());
}

std::optional<cell::ClaimKeys> ClaimBatcher::takeClaims (std::uint64_t* batch)
{
    if (m_waiting.empty() || m_inFlight.size() >= kMaxBatchesInFlight)
        return std::nullopt;
    cell::ClaimKeys command;
    std::vector<Part> parts;
    std::size_t taken = 0;
    for (Waiting& waiting : m_waiting)
    {
        const bool isFull = command.claims.size() + waiting.claims.size() > kMaxClaimsPerBatch;
        if (isFull && taken > 0)
            break;
        ++taken;
        parts.push_back (Part{ waiting.source, waiting.sequence, waiting.claims.size() });
        std::move (waiting.claims.begin(), waiting.claims.end(),
                   std::back_inserter (command.claims));
    }
    m_waiting.erase (m_waiting.begin(), m_waiting.begin() + static_cast<std::ptrdiff_t> (taken));
    m_waitingClaims -= command.claims.size();
    *batch = m_nextBatch++;
    m_inFlight[*batch] = std::move (parts);
    return command;
}

std::optional<cell::RecordOutcomes> ClaimBatcher::takeOutcomes()
{
    if (m_outcomes.empty())
        return std::nullopt;
    cell::RecordOutcomes command;
    command.outcomes.swap (m_outcomes);
    return command;
}

std::vector<DueClaimReply> ClaimBatcher::onCommitted (std::uint64_t batch,
                                                      const cell::ClaimResult& result)
{
    const auto found = m_inFlight.find (batch);
    if (found == m_inFlight.end())
        return {};
    std::vector<DueClaimReply> replies;
    auto answer = result.answers.begin();
    for (const Part& part : found->second)
    {
        DueClaimReply due{ part.source, { part.sequence, {} } };
        const auto end = answer + static_cast<std::ptrdiff_t> (part.count);
        due.reply.answers.assign (answer, end);
        answer = end;
        replies.push_back (std::move (due));
    }
    m_inFlight.erase (found);
    return replies;
}

}  // namespace fernlift::controller
