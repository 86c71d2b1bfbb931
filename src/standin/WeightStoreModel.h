#pragma once

/// The weight store as a pure state machine: a limited rate of new transfers, and a number of
/// transfers that run at full speed; more than that share it.

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
    double megabytesPerSecond = 2000;  ///< Of each transfer at full speed.
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

    /// Begins a transfer. Empty on success, else the time after which to ask again.
    std::optional<base::Duration> begin (TransferId transfer, engine::Megabytes size);
    void cancel (TransferId transfer);
    void setFaults (const WeightStoreFaults& faults) { m_faults = faults; }
    [[nodiscard]] const WeightStoreFaults& faults() const { return m_faults; }

    /// Moves time on.
    void advance (base::TimePoint now);
    /// When the next transfer ends if nothing changes; empty when none will.
    [[nodiscard]] std::optional<base::TimePoint> nextEvent() const;
    /// Transfers that ended since the last call.
    [[nodiscard]] std::vector<TransferId> takeFinished();
    [[nodiscard]] std::size_t transfers() const { return m_remaining.size(); }

private:
    /// Megabytes each transfer receives in a microsecond.
    [[nodiscard]] double speed() const;

    WeightStoreOptions m_options;
    WeightStoreFaults m_faults;
    base::TimePoint m_now;
    double m_tokens;                           ///< Transfers that may begin now.
    std::map<TransferId, double> m_remaining;  ///< Megabytes.
    std::vector<TransferId> m_finished;
};

}  // namespace fernlift::standin
