#pragma once

/// Turns the bytes of a back end's answer into events for RouterCore.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "router/RouterCore.h"

namespace fernlift::router
{

/// Reader of one answer's body. After an AttemptEnded or AttemptBroken nothing more is wanted.
class AnswerReader
{
public:
    virtual ~AnswerReader() = default;
    AnswerReader() = default;
    AnswerReader (const AnswerReader&) = delete;
    AnswerReader& operator= (const AnswerReader&) = delete;

    /// The events that `bytes` complete.
    [[nodiscard]] virtual std::vector<AttemptEvent> read (std::string_view bytes) = 0;
    /// The event that follows from the end of the body: AttemptEnded or AttemptBroken.
    [[nodiscard]] virtual AttemptEvent readEnd() = 0;
};

/// A body that is passed on as it comes; offsets are bytes.
class PlainBodyReader final : public AnswerReader
{
public:
    [[nodiscard]] std::vector<AttemptEvent> read (std::string_view bytes) override;
    [[nodiscard]] AttemptEvent readEnd() override;

private:
    std::uint64_t m_offset = 0;
};

/// A stream of server-sent events from an engine; offsets are tokens. Each event is passed on as
/// one line of data. The stream is whole only with its last event, `[DONE]`, which is not passed
/// on.
class TokenStreamReader final : public AnswerReader
{
public:
    [[nodiscard]] std::vector<AttemptEvent> read (std::string_view bytes) override;
    [[nodiscard]] AttemptEvent readEnd() override;

private:
    /// Takes one line without its end; an empty line ends the event.
    void takeLine (std::string_view line, std::vector<AttemptEvent>& events);
    void finishEvent (std::vector<AttemptEvent>& events);

    std::string m_line;  ///< The line not yet complete.
    std::string m_data;  ///< Data of the event not yet complete.
    bool m_isFinished = false;
};

}  // namespace fernlift::router
