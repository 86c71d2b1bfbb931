#include "proxy/EventSplitter.h"

namespace fernlift::proxy
{
namespace
{

constexpr std::string_view kIdField = "id:";

/// Position after the last empty line of `text`; 0 without one.
std::size_t endOfLastEvent (std::string_view text)
{
    const std::size_t plain = text.rfind ("\n\n");
    const std::size_t carriage = text.rfind ("\n\r\n");
    std::size_t end = 0;
    if (plain != std::string_view::npos)
        end = plain + 2;
    if (carriage != std::string_view::npos)
        end = std::max (end, carriage + 3);
    return end;
}

std::string_view trimmed (std::string_view text)
{
    while (! text.empty() && text.front() == ' ')
        text.remove_prefix (1);
    while (! text.empty() && (text.back() == '\r' || text.back() == ' '))
        text.remove_suffix (1);
    return text;
}

}  // namespace

std::string_view EventSplitter::feed (std::string_view data)
{
    m_buffer.erase (0, m_taken);
    m_buffer.append (data);
    m_taken = endOfLastEvent (m_buffer);
    const std::string_view events = std::string_view (m_buffer).substr (0, m_taken);
    readLines (events);
    return events;
}

void EventSplitter::discardIncomplete() { m_buffer.resize (m_taken); }

void EventSplitter::readLines (std::string_view events)
{
    m_count = 0;
    while (! events.empty())
    {
        const std::size_t end = events.find ('\n');
        const std::string_view line = events.substr (0, end);
        if (line.starts_with (kIdField))
            m_lastId = std::string (trimmed (line.substr (kIdField.size())));
        if (trimmed (line).empty())
            ++m_count;
        events.remove_prefix (end == std::string_view::npos ? events.size() : end + 1);
    }
}

}  // namespace fernlift::proxy
