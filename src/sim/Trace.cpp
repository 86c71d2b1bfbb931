#include "sim/Trace.h"

#include <array>
#include <cstdio>
#include <utility>

namespace fernlift::sim
{
namespace
{

constexpr std::uint64_t kFnvPrime = 0x100000001b3;

std::string formatTime (base::TimePoint at)
{
    std::array<char, 32> buffer{};
    const double seconds = static_cast<double> (at.time_since_epoch().count()) / 1e6;
    std::snprintf (buffer.data(), buffer.size(), "%.6f", seconds);
    return buffer.data();
}

}  // namespace

void Trace::add (base::TimePoint at, std::string line)
{
    const auto mix = [this] (std::uint64_t value) { m_digest = (m_digest ^ value) * kFnvPrime; };
    mix (static_cast<std::uint64_t> (at.time_since_epoch().count()));
    for (const char letter : line)
        mix (static_cast<unsigned char> (letter));
    m_lines.push_back ({ at, std::move (line) });
    if (m_lines.size() > m_maximumLines)
        m_lines.pop_front();
}

std::vector<std::string> Trace::lines() const
{
    std::vector<std::string> formatted;
    for (const Line& line : m_lines)
        formatted.push_back (formatTime (line.at) + " " + line.text);
    return formatted;
}

}  // namespace fernlift::sim
