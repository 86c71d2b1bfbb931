#pragma once

/// Splits the body of an event stream into complete events and tracks the id of the last one.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fernlift::proxy
{

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
    /// Discards the bytes of the incomplete event after its stream broke off.
    void discardIncomplete();

private:
    /// Counts the complete events and stores the id of the last one.
    void readLines (std::string_view events);

    std::string m_buffer;
    std::uint32_t m_count = 0;
    std::size_t m_taken = 0;  ///< Bytes at the front of the buffer that were returned already.
    std::optional<std::string> m_lastId;
};

}  // namespace fernlift::proxy
