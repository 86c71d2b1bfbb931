#pragma once

/// The last notable events of a run, and a digest over all of them that tells whether two runs were
/// the same.

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
    explicit Trace (std::size_t maximumLines) : maximumLines_ (maximumLines) {}

    void add (base::TimePoint at, std::string line);
    /// The latest lines, oldest first, with their times in seconds.
    [[nodiscard]] std::vector<std::string> lines() const;
    [[nodiscard]] std::uint64_t digest() const { return digest_; }

private:
    struct Line
    {
        base::TimePoint at{};
        std::string text;
    };

    std::size_t maximumLines_;
    std::deque<Line> lines_;
    std::uint64_t digest_ = 0xcbf29ce484222325;
};

}  // namespace fernlift::sim
