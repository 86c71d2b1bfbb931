#include "router/AnswerReader.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <optional>
#include <utility>

#include "http/Message.h"

namespace fernlift::router
{
namespace
{

constexpr std::size_t kMaxEventBytes = 1024UL * 1024;
constexpr std::string_view kDataField = "data:";
constexpr std::string_view kDone = "[DONE]";

/// Parses the data of one event of an engine; nullopt if it is not part of a token stream.
std::optional<AttemptData> partOf (const std::string& data)
{
    const QJsonDocument document = QJsonDocument::fromJson (http::byteView (data));
    const QJsonObject object = document.object();
    const qint64 offset = object.value (QLatin1String ("offset")).toInteger (-1);
    const qint64 tokens = object.value (QLatin1String ("tokens")).toInteger (1);
    if (offset < 0 || tokens < 0)
        return std::nullopt;
    AttemptData part;
    part.offset = static_cast<std::uint64_t> (offset);
    part.count = static_cast<std::uint64_t> (tokens);
    part.data = "data: " + data + "\n\n";
    return part;
}

}  // namespace

PlainBodyReader::PlainBodyReader (bool hasEvents)
{
    if (hasEvents)
        m_events.emplace();
}

std::vector<AttemptEvent> PlainBodyReader::read (std::string_view bytes)
{
    if (m_events)
        static_cast<void> (m_events->feed (bytes));
    AttemptData part{ m_offset, bytes.size(), std::string (bytes) };
    m_offset += bytes.size();
    return { std::move (part) };
}

AttemptEvent PlainBodyReader::readEnd()
{
    if (m_events && m_events->isInsideEvent())
        return AttemptBroken{};
    return AttemptEnded{};
}

std::vector<AttemptEvent> TokenStreamReader::read (std::string_view bytes)
{
    std::vector<AttemptEvent> events;
    while (! bytes.empty() && ! m_isFinished)
    {
        const std::size_t lineEnd = bytes.find ('\n');
        m_line += bytes.substr (0, lineEnd);
        if (m_line.size() + m_data.size() > kMaxEventBytes)
        {
            m_isFinished = true;
            events.emplace_back (AttemptBroken{});
            break;
        }
        if (lineEnd == std::string_view::npos)
            break;
        bytes.remove_prefix (lineEnd + 1);
        if (m_line.ends_with ('\r'))
            m_line.pop_back();
        processLine (m_line, events);
        m_line.clear();
    }
    return events;
}

void TokenStreamReader::processLine (std::string_view line, std::vector<AttemptEvent>& events)
{
    if (line.empty())
    {
        finishEvent (events);
        return;
    }
    // Comments and fields other than data are not part of the answer.
    if (! line.starts_with (kDataField))
        return;
    line.remove_prefix (kDataField.size());
    if (line.starts_with (' '))
        line.remove_prefix (1);
    m_data += line;
}

void TokenStreamReader::finishEvent (std::vector<AttemptEvent>& events)
{
    const std::string data = std::exchange (m_data, {});
    if (data.empty())
        return;
    if (data == kDone)
    {
        m_isFinished = true;
        events.emplace_back (AttemptEnded{});
        return;
    }
    auto part = partOf (data);
    if (part)
    {
        events.emplace_back (std::move (*part));
    }
    else
    {
        m_isFinished = true;
        events.emplace_back (AttemptBroken{});
    }
}

AttemptEvent TokenStreamReader::readEnd() { return AttemptBroken{}; }

}  // namespace fernlift::router
