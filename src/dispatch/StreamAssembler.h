#pragma once

/// Reassembles an answer from its parts by offset.

#include <cstdint>

namespace fernlift::dispatch
{

/// Result of checking the offset of a part.
enum class PartVerdict : std::uint8_t
{
    kPass,       ///< The part starts at the next offset.
    kDuplicate,  ///< All of the part was passed before.
    kGap,        ///< An earlier part is missing, or this one overlaps the passed parts in part.
};

class StreamAssembler
{
public:
    /// Checks a part of `count` units (tokens or bytes) at `offset`, and advances past it if it
    /// passes.
    PartVerdict accept (std::uint64_t offset, std::uint64_t count);
    /// Offset of the next expected unit.
    [[nodiscard]] std::uint64_t nextOffset() const { return m_nextOffset; }
    /// Restarts at offset 0; allowed only while no part was passed on to the caller.
    void restart() { m_nextOffset = 0; }

private:
    std::uint64_t m_nextOffset = 0;
};

}  // namespace fernlift::dispatch
