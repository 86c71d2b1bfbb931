#pragma once

/// Tracks claims of idempotency keys that the controller has not answered, and outcomes to report.
/// Nothing is lost with a connection: unanswered claims and recent outcomes are sent again on the
/// next one.

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
    /// Queues a claim. `claim.request` is unique to one request of one router process.
    void add (const cell::Claim& claim);
    /// The request was given up before any of its bytes was sent. A claim that was never sent is
    /// dropped; any other claim is released when the controller answers that it was granted.
    void abandon (const cell::Claim& claim);
    void recordOutcome (const cell::OutcomeRecord& outcome, base::TimePoint now);

    /// Returns the answers for requests that are still waiting for their claim.
    [[nodiscard]] std::vector<cell::ClaimAnswer> onReply (const cell::ClaimReply& reply,
                                                          base::TimePoint now);

    /// A new connection is open: everything unanswered is due again.
    void onConnected();
    /// Returns the claims to send now, or nothing.
    [[nodiscard]] std::optional<cell::ClaimRequest> takeClaims();
    [[nodiscard]] std::optional<cell::OutcomeReport> takeOutcomes (base::TimePoint now);

    [[nodiscard]] bool hasUnsentOutcomes() const { return ! m_unsent.empty(); }
    [[nodiscard]] bool hasAbandoned() const;

private:
    using ClaimId = std::pair<base::IdempotencyKey, base::RequestId>;
    struct State
    {
        cell::Claim claim;
        bool isSent = false;  ///< Whether the claim was sent on the present connection.
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
