#include "log/LineOutput.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <string>
#include <utility>

namespace fernlift::log
{

bool LineBudget::admit (const EventTraits& traits, base::TimePoint now)
{
    advance (now);
    const bool isImportant = traits.severity >= Severity::kWarning;
    const std::uint64_t bound = isImportant ? kImportantLinesPerSecond : kOrdinaryLinesPerSecond;
    Counts& counts = m_counts[static_cast<Event> (traits.number)];
    if (counts.written >= bound)
    {
        ++counts.omitted;
        return false;
    }
    ++counts.written;
    return true;
}

void LineBudget::noteOmitted (Event event) { ++m_counts[event].omitted; }

void LineBudget::advance (base::TimePoint now)
{
    const std::int64_t second =
        std::chrono::duration_cast<std::chrono::seconds> (now.time_since_epoch()).count();
    if (second == m_second)
        return;
    m_second = second;
    closeSecond();
}

void LineBudget::closeSecond()
{
    for (const auto& [event, counts] : m_counts)
    {
        if (counts.omitted > 0)
            m_omitted[event] += counts.omitted;
    }
    m_counts.clear();
}

std::vector<OmittedLines> LineBudget::takeOmitted (base::TimePoint now)
{
    advance (now);
    return takeClosed();
}

std::vector<OmittedLines> LineBudget::takeAllOmitted()
{
    closeSecond();
    return takeClosed();
}

std::vector<OmittedLines> LineBudget::takeClosed()
{
    std::vector<OmittedLines> taken;
    for (const auto& [event, count] : std::exchange (m_omitted, {}))
        taken.push_back ({ event, count });
    return taken;
}

bool LineOutput::write (std::string_view line) const
{
    // A pipe that polls writable accepts up to PIPE_BUF bytes without blocking.
    std::string whole (line.substr (0, PIPE_BUF - 1));
    whole.push_back ('\n');
    pollfd readiness{ m_descriptor, POLLOUT, 0 };
    if (::poll (&readiness, 1, 0) != 1 || (readiness.revents & POLLOUT) == 0)
        return false;
    return ::write (m_descriptor, whole.data(), whole.size())
           == static_cast<ssize_t> (whole.size());
}

}  // namespace fernlift::log
