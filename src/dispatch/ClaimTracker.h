#pragma once

/// Claims of idempotency keys on their way to the controller, and outcomes to report. Nothing is
/// lost with a connection: unanswered claims and recent outcomes go out again on the next one.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "base/Time.h"
#include "cell/RouterMessages.h"

namespace fernlift::dispatch
{

class ClaimTracker
{
public:
    /// Asks for a claim. `claim.request` is unique to one request of one router process.
    void add (const cell::Claim& claim);
    /// The request was given up before its bytes left. A claim that never went out is forgotten;
    /// another is released, once it is known to be granted.
    void abandon (const cell::Claim& claim);
    void recordOutcome (const cell::OutcomeRecord& outcome, base::TimePoint now);

    /// Answers that concern a request still waiting for its claim.
    [[nodiscard]] std::vector<cell::ClaimAnswer> onReply (const cell::ClaimReply& reply,
                                                          base::TimePoint now);

    /// On a new connection everything unanswered is sent again.
    void onConnected();
    /// What to send now.
    [[nodiscard]] std::optional<cell::ClaimRequest> takeClaims();
    [[nodiscard]] std::optional<cell::OutcomeReport> takeOutcomes (base::TimePoint now);

    [[nodiscard]] bool hasUnsentOutcomes() const { return ! m_unsent.empty(); }
    [[nodiscard]] bool hasAbandoned() const;

private:
    using ClaimId = std::pair<base::IdempotencyKey, base::RequestId>;
    struct State
    {
        cell::Claim claim;
        bool isSent = false;  ///< On the present connection.
        bool wasEverSent = false;
        bool isAbandoned = false;
    };
    struct SentOutcome
    {
        cell::OutcomeRecord outcome;
        base::TimePoint sentAt{};
    };

    std::map<ClaimId, State> m_claims;
    bool m_hasUnsentClaims = false;
    std::vector<cell::OutcomeRecord> m_unsent;
    std::deque<SentOutcome> m_sent;
    std::uint64_t m_lastSequence = 0;
};

}  // namespace fernlift::dispatch
