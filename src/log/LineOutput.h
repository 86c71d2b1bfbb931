#pragma once

/// Where log lines go: a bounded flow that never blocks the process.

#include <cstdint>
#include <map>
#include <mutex>
#include <string_view>
#include <vector>

#include "base/Time.h"
#include "log/Log.h"

namespace fernlift::log
{

/// Lines that were left out, by event.
struct OmittedLines
{
    Event event = Event::kProcessStarted;
    std::uint64_t count = 0;
};

/// Bounds the lines of each event in each second. Pure. Events of the severity info or lower have a
/// bound of their own below that of warnings and errors, so that ordinary lines give way first.
class LineBudget
{
public:
    static constexpr std::uint64_t kOrdinaryLinesASecond = 100;
    static constexpr std::uint64_t kImportantLinesASecond = 400;

    /// Whether a line of this event may be written now.
    bool admit (const EventTraits& traits, base::TimePoint now);
    /// A line could not be written after all.
    void noteOmitted (Event event);
    /// The counts of an ended second in which lines were left out; empty while there are none.
    [[nodiscard]] std::vector<OmittedLines> takeOmitted (base::TimePoint now);

private:
    struct Counts
    {
        std::uint64_t written = 0;
        std::uint64_t omitted = 0;
    };

    void advance (base::TimePoint now);

    std::int64_t m_second = 0;
    std::map<Event, Counts> m_counts;
    std::map<Event, std::uint64_t> m_omitted;  ///< Of ended seconds, not reported yet.
};

/// Writes whole lines to a file descriptor, or drops them while its reader does not take any.
class LineOutput
{
public:
    explicit LineOutput (int descriptor) : m_descriptor (descriptor) {}

    /// False when the line was dropped. Longer lines than a pipe takes at once are cut.
    bool write (std::string_view line) const;

private:
    int m_descriptor;
};

}  // namespace fernlift::log
