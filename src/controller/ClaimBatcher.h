#pragma once

/// Combines the claims and outcomes of all routers into few log entries (group commit).

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

/// A reply to be sent to a router.
struct DueClaimReply
{
    ClaimSource source = 0;
    cell::ClaimReply reply;
};

/// Claims and outcomes that arrive while earlier batches are being committed form the next batch.
class ClaimBatcher
{
public:
    /// Maximum number of batches that are in the log and not yet committed.
    static constexpr std::size_t kMaxBatchesInFlight = 4;
    static constexpr std::size_t kMaxClaimsPerBatch = 2000;
    /// Maximum number of claims that wait for a batch; further ones are refused.
    static constexpr std::size_t kMaxWaitingClaims = 50'000;

    /// Queues the claims, or returns the reply that refuses them because too many are waiting.
    std::optional<cell::ClaimReply> add (ClaimSource source, const cell::ClaimRequest& request);
    void add (const cell::OutcomeReport& report);

    /// Returns the next batch of claims to propose, unless no claims wait or the maximum number of
    /// batches is in flight. Stores the number of the batch, for onCommitted(), in `batch`.
    [[nodiscard]] std::optional<cell::ClaimKeys> takeClaims (std::uint64_t* batch);
    [[nodiscard]] std::optional<cell::RecordOutcomes> takeOutcomes();
    /// Splits the answers of a committed batch into one reply for each request in it.
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
