#pragma once

/// Decides when a member takes a snapshot of its state and compacts its log.

#include <cstddef>

namespace fernlift::controller
{

/// A snapshot is due after a number of entries, or when the log is so long that a restart would
/// take long to read and apply it. A snapshot writes the whole state, which blocks the member for a
/// large state: it is then due only when the log since the last snapshot is several times as large,
/// so that the snapshot cost per log byte stays bounded.
class SnapshotSchedule
{
public:
    /// Maximum size of a snapshot that is cheap to write.
    static constexpr std::size_t kSmallSnapshotBytes = 1024UL * 1024;
    /// Size from which a log is slow to apply on a small machine.
    static constexpr std::size_t kLongLogBytes = 256UL * 1024;
    /// Minimum ratio of log size to the last snapshot when the log is due by its size.
    static constexpr std::size_t kLongLogToSnapshot = 2;
    /// Minimum ratio of log size to a large last snapshot when the log is due by its entries.
    static constexpr std::size_t kLogToSnapshot = 4;

    explicit SnapshotSchedule (std::size_t entriesBetween) : m_entriesBetween (entriesBetween) {}

    void onEntry (std::size_t bytes);
    /// Records that a snapshot of `bytes` was taken, installed or recovered.
    void onSnapshot (std::size_t bytes);
    [[nodiscard]] bool isDue() const;

private:
    std::size_t m_entriesBetween;
    std::size_t m_entries = 0;
    std::size_t m_logBytes = 0;
    std::size_t m_snapshotBytes = 0;
};

}  // namespace fernlift::controller
