#include "http/EventSplitter.h"

#include <algorithm>
#include <utility>

namespace fernlift::http
{
namespace
{

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kLineEnds = "\r\n";
constexpr char kComment = ':';

std::string_view trimmed (std::string_view text)
{
    while (! text.empty() && text.front() == ' ')
        text.remove_prefix (1);
    while (! text.empty() && text.back() == ' ')
        text.remove_suffix (1);
    return text;
}

}  // namespace

bool isEventStream (const Headers& headers)
{
    const std::string type = headers.value ("Content-Type");
    return equalsIgnoringCase (trimmed (std::string_view (type).substr (0, type.find (';'))),
                               "text/event-stream");
}

std::string_view EventSplitter::feed (std::string_view data)
{
    m_buffer.erase (0, m_taken);
    m_lineStart -= m_taken;
    m_scanned -= m_taken;
    m_taken = 0;
    m_count = 0;
    m_buffer.append (data);
    readLines();
    return std::string_view (m_buffer).substr (0, m_taken);
}

bool EventSplitter::isInsideEvent() const { return m_hasField || m_lineStart < m_buffer.size(); }

void EventSplitter::discardIncomplete()
{
    m_buffer.resize (m_taken);
    m_lineStart = m_taken;
    m_scanned = m_taken;
    m_hasField = false;
    m_id.reset();
}

void EventSplitter::readLines()
{
    const std::string_view buffer = m_buffer;
    while (true)
    {
        m_scanned = std::min (buffer.find_first_of (kLineEnds, m_scanned), buffer.size());
        if (m_scanned == buffer.size())
            return;
        const std::size_t lineEnd = lengthOfLineEnd (m_scanned);
        if (lineEnd == 0)
            return;
        const std::string_view line = buffer.substr (m_lineStart, m_scanned - m_lineStart);
        m_scanned += lineEnd;
        m_lineStart = m_scanned;
        if (line.empty())
            onEmptyLine();
        else
            onLine (line);
    }
}

std::size_t EventSplitter::lengthOfLineEnd (std::size_t position)
{
    if (m_buffer[position] == '\n')
        return 1;
    const bool isLastByte = position + 1 == m_buffer.size();
    if (isLastByte)
        return m_isCarriageReturnAlone ? 1 : 0;
    m_isCarriageReturnAlone = m_buffer[position + 1] != '\n';
    return m_isCarriageReturnAlone ? 1 : 2;
}

void EventSplitter::onLine (std::string_view line)
{
    if (line.front() != kComment)
        m_hasField = true;
    if (line.starts_with (kIdField))
        m_id = std::string (trimmed (line.substr (kIdField.size())));
}

void EventSplitter::onEmptyLine()
{
    ++m_count;
    m_taken = m_lineStart;
    m_hasField = false;
    if (m_id)
        m_lastId = std::exchange (m_id, std::nullopt);
}

}  // namespace fernlift::http
