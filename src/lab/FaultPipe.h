#pragma once

/// One direction of a proxied connection, with the faults that are on.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "base/Time.h"

namespace fernlift::lab
{

/// Faults of one direction. The default is none.
struct DirectionFaults
{
    bool isCut = false;                ///< Nothing passes, and nobody is told.
    base::Duration delay{};            ///< Added to each byte.
    std::uint64_t bytesPerSecond = 0;  ///< Upper bound; 0: none.
    std::optional<std::uint64_t>
        resetAfterBytes{};                         ///< The connection is reset after so many bytes.
    std::optional<std::uint64_t> cutAfterBytes{};  ///< Cut once so many bytes have passed.

    bool operator== (const DirectionFaults&) const = default;
};

/// Holds the bytes between the two sockets and says when they may pass. Pure.
class FaultPipe
{
public:
    /// What may be written now.
    struct Released
    {
        std::string bytes;
        bool mustReset = false;  ///< After writing `bytes`, both sockets are to be reset.
    };

    /// Applies to bytes already held too.
    void setFaults (const DirectionFaults& faults) { m_faults = faults; }
    void push (base::TimePoint now, std::string_view bytes);
    [[nodiscard]] Released take (base::TimePoint now);
    /// When take() may give more; nothing while cut or empty.
    [[nodiscard]] std::optional<base::TimePoint> nextRelease (base::TimePoint now) const;
    /// True when more bytes should be read from the source.
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
    std::uint64_t m_throttledBytes = 0;               ///< Passed since then.
};

}  // namespace fernlift::lab
