#pragma once

/// Puts the parts of an answer together by offset.

#include <cstdint>

namespace fernlift::dispatch
{

/// What to do with a part.
enum class PartVerdict : std::uint8_t
{
    kPass,       ///< It is the next one.
    kDuplicate,  ///< All of it was passed before.
    kGap,        ///< Something before it is missing, or it straddles what was passed.
};

class StreamAssembler
{
public:
    /// Judges a part of `count` units (tokens or bytes) from `offset`, and moves on if it passes.
    PartVerdict accept (std::uint64_t offset, std::uint64_t count);
    /// Offset of the next unit wanted.
    [[nodiscard]] std::uint64_t nextOffset() const { return m_nextOffset; }
    /// Starts again; allowed only while nothing was passed on to the caller.
    void restart() { m_nextOffset = 0; }

private:
    std::uint64_t m_nextOffset = 0;
};

}  // namespace fernlift::dispatch
