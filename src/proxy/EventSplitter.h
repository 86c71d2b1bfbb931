#pragma once

/// Splits the body of an event stream into whole events and knows the id of the last one.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fernlift::proxy
{

class EventSplitter
{
public:
    /// Adds received bytes; returns the whole events among all bytes not yet returned, as they
    /// came.
    [[nodiscard]] std::string_view feed (std::string_view data);
    /// Number of the events that feed() returned last.
    [[nodiscard]] std::uint32_t count() const { return m_count; }
    /// Id of the last whole event; none while no event with an id has passed.
    [[nodiscard]] const std::optional<std::string>& lastId() const { return m_lastId; }
    /// Bytes of an event that is not whole.
    [[nodiscard]] std::string_view rest() const
    {
        return std::string_view (m_buffer).substr (m_taken);
    }
    /// Drops the bytes of an event that is not whole: its stream broke off.
    void dropRest();

private:
    /// Counts whole events and notes the id of the last one.
    void readLines (std::string_view events);

    std::string m_buffer;
    std::uint32_t m_count = 0;
    std::size_t m_taken = 0;  ///< Bytes at the front of the buffer that were returned.
    std::optional<std::string> m_lastId;
};

}  // namespace fernlift::proxy
