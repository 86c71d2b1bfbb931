#pragma once

/// Latencies and ends of a history, by request class.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/Time.h"
#include "lab/CallRecord.h"

namespace fernlift::lab
{

/// Distribution of durations with a relative error under two in a hundred. Durations outside
/// 1 microsecond to 1 hour count as the nearest bound.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram (LatencyHistogram&&) noexcept;
    LatencyHistogram& operator= (LatencyHistogram&&) noexcept;

    void add (base::Duration duration);
    [[nodiscard]] std::uint64_t count() const { return m_count; }
    /// Smallest duration that at least `share` (0 to 1) of all do not exceed; zero when empty.
    [[nodiscard]] base::Duration quantile (double share) const;

private:
    struct Bins;
    std::unique_ptr<Bins> m_bins;
    std::uint64_t m_count = 0;
};

/// Figures of one request class.
struct ClassReport
{
    std::uint64_t calls = 0;
    std::uint64_t answered = 0;    ///< Whole answers with a success status.
    std::uint64_t refused = 0;     ///< Error answers that say "not_run".
    std::uint64_t failed = 0;      ///< Everything else.
    std::uint64_t resent = 0;      ///< Made again at another router; in no other count.
    LatencyHistogram toFirstByte;  ///< Of answered calls.
    LatencyHistogram toEnd;        ///< Of answered calls.
};

/// Keyed by request class.
[[nodiscard]] std::map<std::string, ClassReport> reportByClass (
    const std::vector<CallRecord>& history);
/// A table for a person.
[[nodiscard]] std::string renderReport (const std::map<std::string, ClassReport>& report);

}  // namespace fernlift::lab
