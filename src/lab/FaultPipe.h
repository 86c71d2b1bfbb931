#pragma once

/// One direction of a proxied connection, with the faults in force. Does no input or output itself.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "base/Time.h"

namespace fernlift::lab
{

/// Faults of one direction; without any by default.
struct DirectionFaults
{
    bool isCut = false;                ///< No bytes pass, and neither side gets an error.
    base::Duration delay{};            ///< Delay added to each byte.
    std::uint64_t bytesPerSecond = 0;  ///< Rate limit; 0 for none.
    std::optional<std::uint64_t> resetAfterBytes{};  ///< Byte count that triggers a reset.
    std::optional<std::uint64_t> cutAfterBytes{};    ///< Byte count that triggers a cut.

    bool operator== (const DirectionFaults&) const = default;
};

/// Buffers the bytes between the two sockets and decides when they may pass. Reads no clock.
class FaultPipe
{
public:
    /// Bytes that may be written now.
    struct Released
    {
        std::string bytes;
        bool mustReset = false;  ///< True when both sockets must be reset after writing `bytes`.
    };

    /// Replaces the faults, also for bytes that are already buffered.
    void setFaults (const DirectionFaults& faults) { m_faults = faults; }
    void push (base::TimePoint now, std::string_view bytes);
    [[nodiscard]] Released take (base::TimePoint now);
    /// Time at which take() may return more bytes; nullopt while the direction is cut or empty.
    [[nodiscard]] std::optional<base::TimePoint> nextRelease (base::TimePoint now) const;
    /// True while the buffer has space for more bytes of the source.
    [[nodiscard]] bool hasRoom() const;
    [[nodiscard]] bool isEmpty() const { return m_heldBytes == 0; }
    [[nodiscard]] bool isCut() const;
    [[nodiscard]] std::uint64_t passedBytes() const { return m_passedBytes; }

private:
    struct Part
    {
        base::TimePoint receivedAt;
        std::string bytes;
    };

    [[nodiscard]] std::uint64_t allowance (base::TimePoint now) const;

    DirectionFaults m_faults;
    std::deque<Part> m_parts;
    std::size_t m_heldBytes = 0;
    std::uint64_t m_passedBytes = 0;
    std::optional<base::TimePoint> m_throttledSince;  ///< Start of the current throttled period.
    std::uint64_t m_throttledBytes = 0;               ///< Bytes passed since m_throttledSince.
};

}  // namespace fernlift::lab
