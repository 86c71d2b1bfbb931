// Metrics of the core, as text of /metrics.

#include <algorithm>
#include <cmath>
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

void addLoadMetrics (std::string& text, const InstanceLoadTable& loads, std::size_t reporters,
                     base::TimePoint now)
{
    std::uint64_t inFlight = 0;
    std::uint64_t pendingPrefillTokens = 0;
    std::uint64_t slowNow = 0;
    std::uint32_t slowest = cell::kNominalPercent;
    std::uint32_t fastest = cell::kNominalPercent;
    const auto add = [&] (const cell::InstanceLoad& load)
    {
        inFlight += load.inFlight;
        pendingPrefillTokens += load.pendingPrefillTokens;
        slowest = std::min (slowest, load.speedPercent);
        fastest = std::max (fastest, load.speedPercent);
        const bool isSlow =
            load.slowdownPercent > cell::kNominalPercent
            && load.slowdownAgeMilliseconds < base::toMilliseconds (cell::kSlowdownLifetime);
        slowNow += isSlow ? 1 : 0;
    };
    loads.visit (now, add);
    addGauge (text, "load_reporters", "Routers and controllers that report loads of runners here.",
              reporters);
    addGauge (text, "loads_known", "Runners of which loads, speeds or slowdowns are known.",
              loads.size());
    addGauge (text, "loads_age_milliseconds", "Since loads of runners were last told here.",
              loads.lastUpdateAt() == base::TimePoint{}
                  ? 0
                  : static_cast<std::uint64_t> (base::toMilliseconds (now - loads.lastUpdateAt())));
    addGauge (text, "requests_in_flight", "Requests of all routers at runners.", inFlight);
    addGauge (text, "unread_prompt_tokens", "Of prompts whose answer has not begun.",
              pendingPrefillTokens);
    addGauge (text, "slowest_runner_percent", "Speed of the slowest runner; 100: usual.", slowest);
    addGauge (text, "fastest_runner_percent", "Speed of the fastest runner; 100: usual.", fastest);
    addGauge (text, "runners_slowed", "Runners that stated a slow moment just now.", slowNow);
}

void addRateMetrics (std::string& text, const InstanceRateLedger& rates)
{
    addGauge (text, "rate_limited_runners",
              "Runners that state how many requests a second they take, at the leader.",
              rates.size());
    addCounter (text, "permits_granted_total",
                "Requests of routers let go to runners that state a rate.", rates.granted());
    addCounter (text, "permits_refused_total",
                "Requests of routers held back from runners that state a rate.", rates.refused());
}

void addSlotMetrics (std::string& text, const BrittlenessTable& brittleness,
                     const SlotLedger* slots)
{
    addGauge (text, "brittle_services", "Services whose runners state that they are brittle.",
              brittleness.size());
    addGauge (text, "slot_claims_waiting", "Requests that wait for a slot in a brittle service.",
              slots == nullptr ? 0 : slots->waiting());
    addCounter (text, "slots_granted_total", "Slots in brittle services assigned to requests.",
                slots == nullptr ? 0 : slots->granted());
}

void addRetryReserveMetrics (std::string& text, const RetryReserveLedger& ledger,
                             base::TimePoint now)
{
    constexpr double kPerMille = 1000;
    addGauge (text, "retry_reserve_holders",
              "Routers that requested a share of the reserve of retries, at the leader.",
              ledger.holders (now));
    addGauge (text, "retry_reserve_in_use_per_mille",
              "Shares of the reserve of retries that may be in use, at the leader.",
              static_cast<std::uint64_t> (std::lround (kPerMille * ledger.sharesInUse (now))));
}

void addPlacementMetrics (std::string& text, const placement::EnginePlacementStatus& status,
                          base::Duration lastRound)
{
    addGauge (text, "engines", "Engines that placement knows, at the leader.", status.engines);
    addGauge (text, "engines_unknown",
              "Engines that have to report before an order can go to them, at the leader.",
              status.unknownEngines);
    addGauge (text, "engines_attended",
              "Engines with an order under way, planned or in doubt, at the leader.",
              status.enginesWithOrders);
    addGauge (text, "adapters_waited_for", "Adapters that requests wait for, at the leader.",
              status.waitingAdapters);
    addCounter (text, "adapter_orders_total", "Orders for adapters that requests waited for.",
                status.adapterOrders);
    addCounter (text, "adapter_order_wait_milliseconds_total",
                "From the first wait to these orders, added up.",
                static_cast<std::uint64_t> (base::toMilliseconds (status.adapterWait)));
    addGauge (text, "placement_round_milliseconds",
              "That the last look of placement at all models in use took, at the leader.",
              static_cast<std::uint64_t> (base::toMilliseconds (lastRound)));
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
                c.orphanedReplicas);
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
    if (m_leader)
        addLoadMetrics (text, m_leader->loads, m_leader->loadSum.reporters(), m_now);
    else if (m_relay)
        addLoadMetrics (text, m_relay->loads, m_relay->loadSum.reporters(), m_now);
    else
        addLoadMetrics (text, InstanceLoadTable(), 0, m_now);
    addPlacementMetrics (text,
                         m_leader ? m_leader->engines.status() : placement::EnginePlacementStatus(),
                         m_leader ? m_leader->placementTime : base::Duration::zero());
    addRateMetrics (text, m_leader ? m_leader->rates : InstanceRateLedger());
    addSlotMetrics (text, m_leader ? m_leader->brittleness : BrittlenessTable(),
                    m_leader && m_leader->slots ? &*m_leader->slots : nullptr);
    addRetryReserveMetrics (text, m_leader ? m_leader->retryReserve : RetryReserveLedger (m_now),
                            m_now);
    addGauge (text, "streams_recorded",
              "Streams whose software version is known here while versions are mixed.",
              m_streams.size());
    addCounter (text, "stream_records_dropped_total",
                "Streams dropped before they were sent to other controllers.", m_streams.dropped());
    return text;
}

}  // namespace fernlift::controller
