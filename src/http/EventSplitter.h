#pragma once

/// Splits the body of an event stream into complete events and tracks the id of the last one. Lines
/// end with a line feed, a carriage return, or both; an empty line ends an event.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http/Message.h"

namespace fernlift::http
{

/// Whether the content of a message with these fields is a stream of server-sent events.
[[nodiscard]] bool isEventStream (const Headers& headers);

class EventSplitter
{
public:
    /// Adds received bytes. Returns the complete events among all bytes not returned before,
    /// unchanged.
    [[nodiscard]] std::string_view feed (std::string_view data);
    /// Number of events in the last result of feed().
    [[nodiscard]] std::uint32_t count() const { return m_count; }
    /// Id of the last complete event; none before the first event with an id.
    [[nodiscard]] const std::optional<std::string>& lastId() const { return m_lastId; }
    /// Bytes of the incomplete event at the end.
    [[nodiscard]] std::string_view incompleteBytes() const
    {
        return std::string_view (m_buffer).substr (m_taken);
    }
    /// Whether the stream ends inside an event. Comments at its end are no part of one.
    [[nodiscard]] bool isInsideEvent() const;
    /// Discards the bytes of the incomplete event after its stream broke off.
    void discardIncomplete();

private:
    /// Reads the lines that are complete with the bytes in the buffer.
    void readLines();
    /// Bytes of the line end at this position; 0 if that depends on the next byte to be received.
    [[nodiscard]] std::size_t lengthOfLineEnd (std::size_t position);
    void onLine (std::string_view line);
    void onEmptyLine();

    std::string m_buffer;
    std::uint32_t m_count = 0;
    std::size_t m_taken = 0;      ///< Bytes at the front of the buffer that were returned already.
    std::size_t m_lineStart = 0;  ///< Position of the first line that is not complete.
    std::size_t m_scanned = 0;    ///< Position up to which there is no further line end.
    bool m_hasField = false;      ///< The incomplete event has a complete line with a field.
    /// The last carriage return was followed by a byte other than a line feed.
    bool m_isCarriageReturnAlone = false;
    std::optional<std::string> m_id;  ///< Id of the incomplete event.
    std::optional<std::string> m_lastId;
};

}  // namespace fernlift::http
