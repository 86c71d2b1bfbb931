#pragma once

/// Measurements of a quorum of real controllers on this machine, written as CSV.

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
    std::string run;       ///< Folder of logs and data; its disk is the one measured.
    std::string csvFile;   ///< Empty: no file.
    std::string catalogue = "examples/airlink.toml";  ///< apply: the text that is applied.
    std::int64_t trials = 30;                         ///< failover: of each kind. apply: applies.
    std::int64_t routers = 12;                        ///< apply: connections with leases.
    std::vector<std::string> controllerFlags;         ///< Passed on to every controller.
    std::int64_t seconds = 10;                        ///< claims: of each load.
};

/// One column of figures, in milliseconds.
class Samples
{
public:
    void add (base::Duration duration);
    /// Smallest value that at least `share` of all do not exceed; 0 when empty.
    [[nodiscard]] double quantile (double share) const;
    [[nodiscard]] std::size_t count() const { return m_milliseconds.size(); }

private:
    std::vector<double> m_milliseconds;
};

/// Time without a leader after the leader was killed, or frozen: until an apply is taken.
[[nodiscard]] base::Result<int> measureFailover (const MeasureOptions& options, std::ostream& out);
/// Claims a second through the leader, and their latency at half that rate, beside the time of a
/// synced write of the same disk.
[[nodiscard]] base::Result<int> measureClaims (const MeasureOptions& options, std::ostream& out);
/// Time from an apply until each router has the file in force and until the operator is told.
[[nodiscard]] base::Result<int> measureApply (const MeasureOptions& options, std::ostream& out);

/// Runs the measurement of that name; fails with kUsage when there is none.
[[nodiscard]] base::Result<int> runMeasurement (const std::string& name,
                                                const MeasureOptions& options, std::ostream& out);

/// Writes a file of comma-separated rows; does nothing without a path.
[[nodiscard]] base::Result<void> writeCsv (const std::string& path,
                                           const std::vector<std::string>& rows);
/// "name: median A ms, 99 in 100 B ms, worst C ms (N samples)".
[[nodiscard]] std::string summaryLine (const std::string& name, const Samples& samples);

}  // namespace fernlift::lab
