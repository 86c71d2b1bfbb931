#pragma once

/// Latencies and outcomes of the calls of a history, by request class.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/Time.h"
#include "lab/CallRecord.h"

namespace fernlift::lab
{

/// Histogram of durations with a relative error below 2 %. Durations outside 1 microsecond to
/// 1 hour count as the nearest bound.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram (LatencyHistogram&&) noexcept;
    LatencyHistogram& operator= (LatencyHistogram&&) noexcept;

    void add (base::Duration duration);
    [[nodiscard]] std::uint64_t count() const { return m_count; }
    /// Smallest duration that at least the share `share` (0 to 1) of all samples do not exceed;
    /// zero when empty.
    [[nodiscard]] base::Duration quantile (double share) const;

private:
    struct Bins;
    std::unique_ptr<Bins> m_bins;
    std::uint64_t m_count = 0;
};

/// Counts and latencies of one request class.
struct ClassReport
{
    std::uint64_t calls = 0;
    std::uint64_t answered = 0;    ///< Complete answers with a success status.
    std::uint64_t refused = 0;     ///< Error answers that report "not_run".
    std::uint64_t failed = 0;      ///< All other calls.
    std::uint64_t resent = 0;      ///< Calls repeated at another router; in no other count.
    LatencyHistogram toFirstByte;  ///< Time to the first byte of answered calls.
    LatencyHistogram toEnd;        ///< Time to the end of answered calls.
};

/// Computes the report of each request class.
[[nodiscard]] std::map<std::string, ClassReport> reportByClass (
    const std::vector<CallRecord>& history);
/// Formats the report as a table.
[[nodiscard]] std::string renderReport (const std::map<std::string, ClassReport>& report);

}  // namespace fernlift::lab
