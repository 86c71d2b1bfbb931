#pragma once

/// Measurements of a cluster of real controllers on this machine: failover time, claim throughput
/// and apply latency. Summaries go to a stream, the individual samples to a CSV file.

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "base/Error.h"
#include "base/Time.h"

namespace fernlift::lab
{

struct MeasureOptions
{
    std::string programs;  ///< Folder of the executables.
    std::string run;       ///< Folder of logs and data, whose disk the measurements use.
    std::string csvFile;   ///< Path of the CSV file; empty for none.
    std::string catalogue = "examples/airlink.toml";  ///< apply: path of the catalogue to apply.
    std::int64_t trials = 30;   ///< failover: trials of each failure. apply: number of applies.
    std::int64_t routers = 12;  ///< apply: number of connected routers with leases.
    std::vector<std::string> controllerFlags;  ///< Additional flags of every controller.
    std::int64_t seconds = 10;                 ///< claims: duration of each load.
};

/// Durations of one measured quantity, in milliseconds.
class Samples
{
public:
    void add (base::Duration duration);
    /// Smallest value that at least the share `share` of all samples do not exceed; 0 when empty.
    [[nodiscard]] double quantile (double share) const;
    [[nodiscard]] std::size_t count() const { return m_milliseconds.size(); }

private:
    std::vector<double> m_milliseconds;
};

/// Measures the time without a leader: from the kill, freeze or planned stop of the leader until an
/// apply succeeds.
[[nodiscard]] base::Result<int> measureFailover (const MeasureOptions& options, std::ostream& out);
/// Measures the claims per second through the leader and their latency at steady rates of
/// half of it and half of the target rate, and for comparison the time of a synced write to the
/// same disk.
[[nodiscard]] base::Result<int> measureClaims (const MeasureOptions& options, std::ostream& out);
/// Measures the time from an apply until the version is in force at each router, and until the
/// operator receives the answer.
[[nodiscard]] base::Result<int> measureApply (const MeasureOptions& options, std::ostream& out);

/// Runs the measurement `name`; fails with kUsage when there is none of that name.
[[nodiscard]] base::Result<int> runMeasurement (const std::string& name,
                                                const MeasureOptions& options, std::ostream& out);

/// Writes a file of comma-separated rows; does nothing without a path.
[[nodiscard]] base::Result<void> writeCsv (const std::string& path,
                                           const std::vector<std::string>& rows);
/// Formats "name: median A ms, 99 in 100 B ms, worst C ms (N samples)".
[[nodiscard]] std::string summaryLine (const std::string& name, const Samples& samples);

}  // namespace fernlift::lab
