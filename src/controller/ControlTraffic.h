#pragma once

/// Counts the control messages that this controller sent and received, and their bytes, by kind of
/// message.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "cell/RouterMessages.h"
#include "consensus/Messages.h"

namespace fernlift::controller
{

enum class Direction : std::uint8_t
{
    kIn,
    kOut
};

/// Returns the name of a message in metrics, for example "append_request".
[[nodiscard]] std::string_view kindOf (const consensus::Payload& payload);
[[nodiscard]] std::string_view kindOf (const cell::RouterToController& message);
[[nodiscard]] std::string_view kindOf (const cell::ControllerToRouter& message);

/// Counters of control messages for /metrics.
class ControlTraffic
{
public:
    /// Counts one message of `bytes` bytes, frame header excluded.
    void record (Direction direction, std::string_view kind, std::size_t bytes);
    /// Returns the metric families fernlift_control_messages_total and
    /// fernlift_control_bytes_total.
    [[nodiscard]] std::string metricsText() const;

private:
    struct Totals
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };
    using Key = std::pair<Direction, std::string>;
    [[nodiscard]] std::string familyText (std::string_view name, std::string_view help,
                                          std::uint64_t Totals::*value) const;

    std::map<Key, Totals> m_totals;
};

}  // namespace fernlift::controller
