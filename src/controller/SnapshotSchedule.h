#pragma once

/// When a member takes a snapshot of its state and compacts its log.

#include <cstddef>

namespace fernlift::controller
{

/// A snapshot is due after a number of entries, or once the log is so long that a restart would
/// take long to read and apply it. A large state is written out whole each time, which holds up the
/// member: it is due only once the log since the last snapshot is several times as large, so that
/// the cost of each log byte stays bounded.
class SnapshotSchedule
{
public:
    /// States up to this size are cheap to write.
    static constexpr std::size_t kSmallSnapshotBytes = 1024UL * 1024;
    /// A log of this size is slow to apply on a small machine.
    static constexpr std::size_t kLongLogBytes = 256UL * 1024;
    /// Log bytes for each byte of the last snapshot that make a log long.
    static constexpr std::size_t kLongLogToSnapshot = 2;
    /// Log bytes for each byte of the last large snapshot.
    static constexpr std::size_t kLogToSnapshot = 4;

    explicit SnapshotSchedule (std::size_t entriesBetween) : m_entriesBetween (entriesBetween) {}

    void onEntry (std::size_t bytes);
    /// A snapshot of `bytes` was taken, installed or recovered.
    void onSnapshot (std::size_t bytes);
    [[nodiscard]] bool isDue() const;

private:
    std::size_t m_entriesBetween;
    std::size_t m_entries = 0;
    std::size_t m_logBytes = 0;
    std::size_t m_snapshotBytes = 0;
};

}  // namespace fernlift::controller
