#pragma once

/// Rate-limited, non-blocking output of log lines.

#include <cstdint>
#include <map>
#include <mutex>
#include <string_view>
#include <vector>

#include "base/Time.h"
#include "log/Log.h"

namespace fernlift::log
{

/// Number of omitted lines of one event.
struct OmittedLines
{
    Event event = Event::kProcessStarted;
    std::uint64_t count = 0;
};

/// Limits the lines of each event per second. Does no I/O. The limit for severities up to info is
/// below that for warnings and errors, so that ordinary lines are dropped first.
class LineBudget
{
public:
    static constexpr std::uint64_t kOrdinaryLinesPerSecond = 100;
    static constexpr std::uint64_t kImportantLinesPerSecond = 400;

    /// Whether a line of this event may be written now; counts it as written or omitted.
    bool admit (const EventTraits& traits, base::TimePoint now);
    /// Counts an admitted line that could not be written.
    void noteOmitted (Event event);
    /// Removes and returns the omitted lines of past seconds that were not reported yet.
    [[nodiscard]] std::vector<OmittedLines> takeOmitted (base::TimePoint now);
    /// Removes and returns all omitted lines that were not reported yet, those of the current
    /// second included.
    [[nodiscard]] std::vector<OmittedLines> takeAllOmitted();

private:
    struct Counts
    {
        std::uint64_t written = 0;
        std::uint64_t omitted = 0;
    };

    void advance (base::TimePoint now);
    void closeSecond();
    std::vector<OmittedLines> takeClosed();

    std::int64_t m_second = 0;
    std::map<Event, Counts> m_counts;
    std::map<Event, std::uint64_t> m_omitted;  ///< Counts of past seconds, not reported yet.
};

/// Writes complete lines to a file descriptor and drops them while a write would block.
class LineOutput
{
public:
    explicit LineOutput (int descriptor) : m_descriptor (descriptor) {}

    /// Returns false if the line was dropped. Lines longer than an atomic pipe write are truncated.
    bool write (std::string_view line) const;

private:
    int m_descriptor;
};

}  // namespace fernlift::log
