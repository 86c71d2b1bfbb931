#include "lab/FaultPipe.h"

#include <algorithm>
#include <limits>

namespace fernlift::lab
{
namespace
{

constexpr std::size_t kMaxHeldBytes = 256UL * 1024;
constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;
constexpr std::uint64_t kUnlimited = std::numeric_limits<std::uint64_t>::max();

}  // namespace

void FaultPipe::push (base::TimePoint now, std::string_view bytes)
{
    if (bytes.empty())
    {
        return;
    }
    if (! m_throttledSince || m_parts.empty())
    {
        m_throttledSince = now;
        m_throttledBytes = 0;
    }
    m_parts.push_back ({ now, std::string (bytes) });
    m_heldBytes += bytes.size();
}

FaultPipe::Released FaultPipe::take (base::TimePoint now)
{
    Released released;
    if (isCut())
    {
        return released;
    }
    std::uint64_t left = allowance (now);
    if (m_faults.cutAfterBytes)
    {
        left = std::min (left, *m_faults.cutAfterBytes - m_passedBytes);
    }
    bool hasResetPoint = false;
    if (m_faults.resetAfterBytes)
    {
        const std::uint64_t untilReset = *m_faults.resetAfterBytes > m_passedBytes
                                             ? *m_faults.resetAfterBytes - m_passedBytes
                                             : std::uint64_t{ 0 };
        hasResetPoint = untilReset <= left;
        left = std::min (left, untilReset);
    }
    while (! m_parts.empty() && left > 0 && m_parts.front().receivedAt + m_faults.delay <= now)
    {
        std::string& front = m_parts.front().bytes;
        const auto count = static_cast<std::size_t> (std::min<std::uint64_t> (left, front.size()));
        released.bytes.append (front, 0, count);
        front.erase (0, count);
        left -= count;
        if (front.empty())
        {
            m_parts.pop_front();
        }
    }
    m_heldBytes -= released.bytes.size();
    m_passedBytes += released.bytes.size();
    m_throttledBytes += released.bytes.size();
    released.mustReset = hasResetPoint && m_passedBytes >= *m_faults.resetAfterBytes;
    return released;
}

std::optional<base::TimePoint> FaultPipe::nextRelease (base::TimePoint now) const
{
    if (isCut() || m_parts.empty())
    {
        return std::nullopt;
    }
    base::TimePoint next = std::max (now, m_parts.front().receivedAt + m_faults.delay);
    if (m_faults.bytesPerSecond > 0 && m_throttledSince)
    {
        const std::uint64_t microseconds =
            (m_throttledBytes + 1) * kMicrosecondsPerSecond / m_faults.bytesPerSecond + 1;
        next = std::max (
            next, *m_throttledSince + base::Duration (static_cast<std::int64_t> (microseconds)));
    }
    return next;
}

bool FaultPipe::isCut() const
{
    return m_faults.isCut || (m_faults.cutAfterBytes && m_passedBytes >= *m_faults.cutAfterBytes);
}

bool FaultPipe::hasRoom() const { return m_heldBytes < kMaxHeldBytes; }

std::uint64_t FaultPipe::allowance (base::TimePoint now) const
{
    if (m_faults.bytesPerSecond == 0)
    {
        return kUnlimited;
    }
    if (! m_throttledSince)
    {
        return 0;
    }
    const auto microseconds = static_cast<std::uint64_t> ((now - *m_throttledSince).count());
    const std::uint64_t allowed = microseconds * m_faults.bytesPerSecond / kMicrosecondsPerSecond;
    return allowed > m_throttledBytes ? allowed - m_throttledBytes : 0;
}

}  // namespace fernlift::lab
