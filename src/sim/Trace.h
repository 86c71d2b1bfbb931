#pragma once

/// Keeps the latest notable events of a run and a digest over all of them, which shows whether two
/// runs were equal.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "base/Time.h"

namespace fernlift::sim
{

class Trace
{
public:
    explicit Trace (std::size_t maximumLines) : m_maximumLines (maximumLines) {}

    void add (base::TimePoint at, std::string line);
    /// Returns the latest lines, oldest first, with their times in seconds.
    [[nodiscard]] std::vector<std::string> lines() const;
    [[nodiscard]] std::uint64_t digest() const { return m_digest; }

private:
    struct Line
    {
        base::TimePoint at{};
        std::string text;
    };

    std::size_t m_maximumLines;
    std::deque<Line> m_lines;
    std::uint64_t m_digest = 0xcbf29ce484222325;
};

}  // namespace fernlift::sim
