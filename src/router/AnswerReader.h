#pragma once

/// Parsers that turn the body of a back end's answer into events for RouterCore.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/EventSplitter.h"
#include "router/RouterCore.h"

namespace fernlift::router
{

/// Reader of the body of one answer. AttemptEnded and AttemptBroken are final; the caller reads
/// nothing after them.
class AnswerReader
{
public:
    virtual ~AnswerReader() = default;
    AnswerReader() = default;
    AnswerReader (const AnswerReader&) = delete;
    AnswerReader& operator= (const AnswerReader&) = delete;

    /// Returns the events that are complete with `bytes`.
    [[nodiscard]] virtual std::vector<AttemptEvent> read (std::string_view bytes) = 0;
    /// Returns the final event for the end of the body: AttemptEnded or AttemptBroken.
    [[nodiscard]] virtual AttemptEvent readEnd() = 0;
};

/// Reader of a body that is forwarded unchanged; offsets count bytes. A stream of events is broken
/// if it ends inside an event, however the message ended.
class PlainBodyReader final : public AnswerReader
{
public:
    explicit PlainBodyReader (bool hasEvents);

    [[nodiscard]] std::vector<AttemptEvent> read (std::string_view bytes) override;
    [[nodiscard]] AttemptEvent readEnd() override;

private:
    std::uint64_t m_offset = 0;
    std::optional<http::EventSplitter> m_events;  ///< Set for a stream of events.
};

/// Reader of a stream of server-sent events from an engine; offsets count tokens. Each event is
/// forwarded as one data line. The stream is complete only after its last event, `[DONE]`, which is
/// not forwarded.
class TokenStreamReader final : public AnswerReader
{
public:
    [[nodiscard]] std::vector<AttemptEvent> read (std::string_view bytes) override;
    [[nodiscard]] AttemptEvent readEnd() override;

private:
    /// Parses one line without its line break; an empty line ends the event.
    void processLine (std::string_view line, std::vector<AttemptEvent>& events);
    void finishEvent (std::vector<AttemptEvent>& events);

    std::string m_line;  ///< Start of an incomplete line.
    std::string m_data;  ///< Data of an incomplete event.
    bool m_isFinished = false;
};

}  // namespace fernlift::router
