// Text of /metrics that only the core knows.

#include <string_view>

#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{
namespace
{

void addMetric (std::string& text, std::string_view name, std::string_view type,
                std::string_view help, std::uint64_t value)
{
    const std::string fullName = "fernlift_controller_" + std::string (name);
    text += "# HELP " + fullName + ' ';
    text += help;
    text += "\n# TYPE " + fullName + ' ';
    text += type;
    text += '\n' + fullName + ' ' + std::to_string (value) + '\n';
}

void addCounter (std::string& text, std::string_view name, std::string_view help,
                 std::uint64_t value)
{
    addMetric (text, name, "counter", help, value);
}

void addGauge (std::string& text, std::string_view name, std::string_view help, std::uint64_t value)
{
    addMetric (text, name, "gauge", help, value);
}

}  // namespace

std::string ControllerCore::Implementation::metricsText() const
{
    std::string text;
    const ControllerCounters& c = m_counters;
    addCounter (text, "proposals_total", "Commands proposed to the log.", c.proposals);
    addCounter (text, "entries_applied_total", "Log entries applied.", c.entriesApplied);
    addCounter (text, "orders_sent_total", "Orders sent to runners.", c.ordersSent);
    addCounter (text, "orders_accepted_total", "Orders that runners accepted.", c.ordersAccepted);
    addCounter (text, "orders_refused_total", "Orders that runners refused.", c.ordersRefused);
    addCounter (text, "orders_failed_total", "Orders without an answer.", c.ordersFailed);
    addCounter (text, "reports_total", "Reports of runners.", c.reports);
    addCounter (text, "reports_failed_total", "Polls of runners without a report.",
                c.reportsFailed);
    addCounter (text, "leases_granted_total", "Leases granted to routers.", c.leasesGranted);
    addCounter (text, "leases_withheld_total", "Lease requests left unanswered.", c.leasesWithheld);
    addCounter (text, "claims_total", "Idempotency keys that routers asked for.", c.claims);
    addCounter (text, "replica_updates_total", "Replica tables sent to routers.", c.replicaUpdates);
    addCounter (text, "placement_rounds_total", "Runs of the placement policy.", c.placementRounds);
    addCounter (text, "stray_replicas_total", "Replicas that engines held without a decision.",
                c.strayReplicas);
    addCounter (text, "leaderships_total", "Terms in which this controller led.", c.leaderships);
    addGauge (text, "leading", "1 while this controller leads.", m_leader ? 1 : 0);
    addGauge (text, "term", "Current term.", m_status.term);
    addGauge (text, "commit_index", "Last committed log index.", m_status.commitIndex);
    addGauge (text, "applied_index", "Last applied log index.", m_status.appliedIndex);
    addGauge (text, "last_index", "Last log index.", m_status.lastIndex);
    addGauge (text, "configuration_version", "Version of the configuration in force.",
              m_state.configuration().identity().version);
    addGauge (text, "configurations_open",
              "Configurations committed by this leader and not in force at every router.",
              m_leader ? m_leader->rollout.openVersions() : 0);
    addGauge (text, "configuration_rollout_milliseconds",
              "From the commit until the last configuration was in force at every router.",
              m_leader ? static_cast<std::uint64_t> (
                  base::toMilliseconds (m_leader->rollout.lastDuration()))
                       : 0);
    addGauge (text, "runners", "Runners known.", m_state.replicas().runners().size());
    addGauge (text, "replicas", "Replicas that count.", m_state.replicas().replicas().size());
    addGauge (text, "claims_held", "Idempotency keys held.", m_state.claims().size());
    addGauge (text, "router_sessions", "Routers connected to this leader.",
              m_leader ? m_leader->sessions.sessions().size() : 0);
    return text;
}

}  // namespace fernlift::controller
