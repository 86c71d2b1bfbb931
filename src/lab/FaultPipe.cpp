#include "lab/FaultPipe.h"

#include <algorithm>
#include <limits>

namespace fernlift::lab
{
namespace
{

constexpr std::size_t kMaximumHeldBytes = 256UL * 1024;
constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;
constexpr std::uint64_t kUnlimited = std::numeric_limits<std::uint64_t>::max();

}  // namespace

void FaultPipe::push (base::TimePoint now, std::string_view bytes)
{
    if (bytes.empty())
    {
        return;
    }
    if (! throttledSince_ || parts_.empty())
    {
        throttledSince_ = now;
        throttledBytes_ = 0;
    }
    parts_.push_back ({ now, std::string (bytes) });
    heldBytes_ += bytes.size();
}

FaultPipe::Released FaultPipe::take (base::TimePoint now)
{
    Released released;
    if (isCut())
    {
        return released;
    }
    std::uint64_t left = allowance (now);
    if (faults_.cutAfterBytes)
    {
        left = std::min (left, *faults_.cutAfterBytes - passedBytes_);
    }
    bool hasResetPoint = false;
    if (faults_.resetAfterBytes)
    {
        const std::uint64_t untilReset = *faults_.resetAfterBytes > passedBytes_
                                             ? *faults_.resetAfterBytes - passedBytes_
                                             : std::uint64_t{ 0 };
        hasResetPoint = untilReset <= left;
        left = std::min (left, untilReset);
    }
    while (! parts_.empty() && left > 0 && parts_.front().receivedAt + faults_.delay <= now)
    {
        std::string& front = parts_.front().bytes;
        const auto count = static_cast<std::size_t> (std::min<std::uint64_t> (left, front.size()));
        released.bytes.append (front, 0, count);
        front.erase (0, count);
        left -= count;
        if (front.empty())
        {
            parts_.pop_front();
        }
    }
    heldBytes_ -= released.bytes.size();
    passedBytes_ += released.bytes.size();
    throttledBytes_ += released.bytes.size();
    released.mustReset = hasResetPoint && passedBytes_ >= *faults_.resetAfterBytes;
    return released;
}

std::optional<base::TimePoint> FaultPipe::nextRelease (base::TimePoint now) const
{
    if (isCut() || parts_.empty())
    {
        return std::nullopt;
    }
    base::TimePoint next = std::max (now, parts_.front().receivedAt + faults_.delay);
    if (faults_.bytesPerSecond > 0 && throttledSince_)
    {
        const std::uint64_t microseconds =
            (throttledBytes_ + 1) * kMicrosecondsPerSecond / faults_.bytesPerSecond + 1;
        next = std::max (
            next, *throttledSince_ + base::Duration (static_cast<std::int64_t> (microseconds)));
    }
    return next;
}

bool FaultPipe::isCut() const
{
    return faults_.isCut || (faults_.cutAfterBytes && passedBytes_ >= *faults_.cutAfterBytes);
}

bool FaultPipe::hasRoom() const { return heldBytes_ < kMaximumHeldBytes; }

std::uint64_t FaultPipe::allowance (base::TimePoint now) const
{
    if (faults_.bytesPerSecond == 0)
    {
        return kUnlimited;
    }
    if (! throttledSince_)
    {
        return 0;
    }
    const auto microseconds = static_cast<std::uint64_t> ((now - *throttledSince_).count());
    const std::uint64_t allowed = microseconds * faults_.bytesPerSecond / kMicrosecondsPerSecond;
    return allowed > throttledBytes_ ? allowed - throttledBytes_ : 0;
}

}  // namespace fernlift::lab
