#pragma once

/// Control traffic of a process as its /metrics states it.

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace fernlift::scale
{

/// Which way and what: the labels of one series of control traffic.
struct TrafficKind
{
    std::string direction;  ///< "in" or "out".
    std::string kind;       ///< For example "lease_request".

    // clang-tidy 14 takes the zero of a defaulted comparison for a pointer.
    auto operator<=> (const TrafficKind&) const = default;  // NOLINT(modernize-use-nullptr)
};

struct TrafficCount
{
    double messages = 0;
    double bytes = 0;
};

using TrafficByKind = std::map<TrafficKind, TrafficCount>;

/// Reads the families fernlift_control_messages_total and fernlift_control_bytes_total of a text in
/// the Prometheus format. Lines that are not of them are passed over.
[[nodiscard]] TrafficByKind parseTraffic (std::string_view metrics);
/// What was added between two readings of the same process.
[[nodiscard]] TrafficByKind trafficBetween (const TrafficByKind& before,
                                            const TrafficByKind& after);

}  // namespace fernlift::scale
