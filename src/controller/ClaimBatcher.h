#pragma once

/// Gathers the claims and outcomes of all routers into few log entries (group commit).

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cell/CellState.h"
#include "cell/Commands.h"
#include "cell/RouterMessages.h"

namespace fernlift::controller
{

/// Identifies a connection of a router, as in ControllerCore.h.
using ClaimSource = std::uint64_t;

/// A reply that is due to a router.
struct DueClaimReply
{
    ClaimSource source = 0;
    cell::ClaimReply reply;
};

/// Commands that wait while others are being committed are committed together next.
class ClaimBatcher
{
public:
    /// Batches that may be in the log, not yet committed, at the same time.
    static constexpr std::size_t kMaximumBatchesInFlight = 4;
    static constexpr std::size_t kMaximumClaimsPerBatch = 2000;
    /// Claims that may wait for a batch; further ones are refused.
    static constexpr std::size_t kMaximumWaitingClaims = 50'000;

    /// Takes the claims, or returns the reply that refuses them because too many wait.
    std::optional<cell::ClaimReply> add (ClaimSource source, const cell::ClaimRequest& request);
    void add (const cell::OutcomeReport& report);

    /// The next batch of claims to propose, unless nothing waits or enough is in flight. `batch`
    /// receives its number for onCommitted.
    [[nodiscard]] std::optional<cell::ClaimKeys> takeClaims (std::uint64_t* batch);
    [[nodiscard]] std::optional<cell::RecordOutcomes> takeOutcomes();
    /// Matches the answers of a committed batch to the requests in it.
    [[nodiscard]] std::vector<DueClaimReply> onCommitted (std::uint64_t batch,
                                                          const cell::ClaimResult& result);

private:
    struct Waiting
    {
        ClaimSource source = 0;
        std::uint64_t sequence = 0;
        std::vector<cell::Claim> claims;
    };
    struct Part
    {
        ClaimSource source = 0;
        std::uint64_t sequence = 0;
        std::size_t count = 0;
    };

    std::vector<Waiting> m_waiting;
    std::size_t m_waitingClaims = 0;
    std::vector<cell::OutcomeRecord> m_outcomes;
    std::map<std::uint64_t, std::vector<Part>> m_inFlight;
    std::uint64_t m_nextBatch = 1;
};

}  // namespace fernlift::controller
