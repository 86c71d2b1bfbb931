#pragma once

/// The weight store as a state machine without I/O. It limits the rate of new transfers; transfers
/// beyond a certain number share the total bandwidth.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/Time.h"
#include "engine/EngineApi.h"

namespace fernlift::standin
{

using TransferId = std::uint64_t;

struct WeightStoreOptions
{
    double loadsPerSecond = 3.0;
    std::uint32_t fullSpeedTransfers = 6;
    double megabytesPerSecond = 2000;  ///< Full speed of one transfer.
};

struct WeightStoreFaults
{
    bool isStalled = false;  ///< No transfer makes progress.
    double slowdown = 1.0;   ///< Divides the speed of each transfer.
};

/// Single-threaded. Call advance() before every other input.
class WeightStoreModel
{
public:
    WeightStoreModel (const WeightStoreOptions& options, base::TimePoint now);

    /// Begins a transfer. Returns nothing on success, otherwise the time after which to retry.
    std::optional<base::Duration> begin (TransferId transfer, engine::Megabytes size);
    void cancel (TransferId transfer);
    void setFaults (const WeightStoreFaults& faults) { m_faults = faults; }
    [[nodiscard]] const WeightStoreFaults& faults() const { return m_faults; }

    /// Advances the transfers to `now`.
    void advance (base::TimePoint now);
    /// Time at which the next transfer ends if nothing changes; none when no transfer will end.
    [[nodiscard]] std::optional<base::TimePoint> nextEvent() const;
    /// Returns the transfers that ended since the last call.
    [[nodiscard]] std::vector<TransferId> takeFinished();
    [[nodiscard]] std::size_t transfers() const { return m_remaining.size(); }

private:
    /// Speed of each transfer in megabytes per microsecond.
    [[nodiscard]] double speed() const;

    WeightStoreOptions m_options;
    WeightStoreFaults m_faults;
    base::TimePoint m_now;
    double m_tokens;                           ///< Number of transfers that may begin now.
    std::map<TransferId, double> m_remaining;  ///< Megabytes left of each transfer.
    std::vector<TransferId> m_finished;
};

}  // namespace fernlift::standin
