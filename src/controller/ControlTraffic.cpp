#include "controller/ControlTraffic.h"

#include <array>

namespace fernlift::controller
{
namespace
{

// Message names in the order of the alternatives of each variant.
constexpr std::array<std::string_view, std::variant_size_v<consensus::Payload>> kMemberKinds{
    "vote_request",   "vote_reply",     "append_request",     "append_reply",
    "snapshot_chunk", "snapshot_reply", "transfer_leadership"
};
constexpr std::array<std::string_view, std::variant_size_v<cell::RouterToController>>
    kFromRouterKinds{ "router_hello",         "lease_request",         "demand_report",
                      "claim_request",        "outcome_report",        "runner_leaving_seen",
                      "engine_demand",        "member_join",           "instance_unreachable",
                      "instance_sightings",   "quota_request",         "suspect_report",
                      "instance_load_report", "instance_rate_report",  "instance_permit_request",
                      "router_peers",         "retry_reserve_request", "stream_records",
                      "stream_lookup",        "slot_reports" };
constexpr std::array<std::string_view, std::variant_size_v<cell::ControllerToRouter>>
    kToRouterKinds{ "not_leader_reply",
                    "configuration_update",
                    "lease_grant",
                    "replica_update",
                    "claim_reply",
                    "instance_update",
                    "member_join_reply",
                    "quota_grant",
                    "suspect_update",
                    "suspect_hint",
                    "instance_load_update",
                    "instance_rate_update",
                    "instance_permit_grant",
                    "router_peers",
                    "retry_reserve_grants",
                    "stream_records",
                    "stream_lookup_reply",
                    "brittle_services",
                    "slot_grants" };

std::string_view toString (Direction direction)
{
    return direction == Direction::kIn ? "in" : "out";
}

}  // namespace

std::string_view kindOf (const consensus::Payload& payload)
{
    return kMemberKinds[payload.index()];
}

std::string_view kindOf (const cell::RouterToController& message)
{
    return kFromRouterKinds[message.index()];
}

std::string_view kindOf (const cell::ControllerToRouter& message)
{
    return kToRouterKinds[message.index()];
}

void ControlTraffic::record (Direction direction, std::string_view kind, std::size_t bytes)
{
    Totals& totals = m_totals[Key (direction, std::string (kind))];
    ++totals.messages;
    totals.bytes += bytes;
}

std::string ControlTraffic::metricsText() const
{
    return familyText ("fernlift_control_messages_total", "Messages of control, by kind.",
                       &Totals::messages)
           + familyText ("fernlift_control_bytes_total", "Bytes of control messages, by kind.",
                         &Totals::bytes);
}

std::string ControlTraffic::familyText (std::string_view name, std::string_view help,
                                        std::uint64_t Totals::*value) const
{
    std::string text;
    text.append ("# HELP ").append (name).append (" ").append (help).append ("\n");
    text.append ("# TYPE ").append (name).append (" counter\n");
    for (const auto& [key, totals] : m_totals)
    {
        text.append (name).append ("{direction=\"").append (toString (key.first));
        text.append ("\",kind=\"").append (key.second).append ("\"} ");
        text.append (std::to_string (totals.*value)).append ("\n");
    }
    return text;
}

}  // namespace fernlift::controller
