// Metrics of a router that forwards requests, and the address at which they are served.

#include "http/ProcessEndpoints.h"
#include "proxy/ProxyProcess.h"

namespace fernlift::proxy
{

void ProxyProcess::updateRetryMetrics()
{
    const auto set =
        [this] (const char* name, const char* help, double value, const http::Labels& labels)
    { m_metrics.gauge (name, help, labels).set (value); };
    set ("fernlift_proxy_retry_reserve_part",
         "Retries of each service that this router may save up of the cell's reserve.",
         m_retryBudgets.limit().value_or (0), {});
    const base::Duration left = m_retryReserve.end() - m_clock.now();
    set ("fernlift_proxy_retry_reserve_left_milliseconds",
         "Until this router's part of the cell's reserve of retries ends; 0: it has none.",
         m_retryBudgets.limit() ? static_cast<double> (base::toMilliseconds (left)) : 0, {});
    for (const auto& [service, budget] : m_retryBudgets.all())
    {
        const http::Labels labels{ { "service", service } };
        const dispatch::RetryCounts& counts = budget.counts();
        set ("fernlift_proxy_service_requests", "Requests for the service.",
             static_cast<double> (counts.firstAttempts), labels);
        set ("fernlift_proxy_service_retries", "Retries at the service.",
             static_cast<double> (counts.retries), labels);
        set ("fernlift_proxy_service_retries_denied",
             "Retries that the budget of the service did not allow.",
             static_cast<double> (counts.denied), labels);
        set ("fernlift_proxy_service_retry_balance", "Retries that may be made now.",
             budget.balance(), labels);
    }
}

void ProxyProcess::createMetrics()
{
    m_metrics.addProcessMetrics();
    m_metrics.addUpdate (
        [this]
        {
            const auto set = [this] (const char* name, const char* help, std::uint64_t value)
            { m_metrics.gauge (name, help).set (static_cast<double> (value)); };
            set ("fernlift_proxy_requests", "Requests of callers.", m_counters.requests);
            set ("fernlift_proxy_answered", "Answers of runners passed on whole.",
                 m_counters.answered);
            set ("fernlift_proxy_refused", "Requests refused without having run.",
                 m_counters.refused);
            set ("fernlift_proxy_over_quota", "Requests refused for the quota of their tenant.",
                 m_counters.overQuota);
            set ("fernlift_proxy_quarantined",
                 "Requests not passed on, as runners ended under them.", m_counters.quarantined);
            set ("fernlift_proxy_suspects", "Requests under which runners ended, as known here.",
                 m_suspects.size());
            set ("fernlift_proxy_failed", "Requests that ended without a whole answer.",
                 m_counters.failed);
            set ("fernlift_proxy_cut_answers",
                 "Connections closed before their caller had received the last answer.",
                 m_counters.cutAnswers);
            set ("fernlift_proxy_open_requests", "Requests that are open now.",
                 m_server.openExchanges());
            set ("fernlift_proxy_unsent_bytes", "Bytes of answers that callers have not taken yet.",
                 m_server.unsentBytes());
            set ("fernlift_proxy_buffered_answer_bytes",
                 "The same, and bytes of answers that are kept back until they are complete.",
                 m_context.answerBuffers.used());
            set ("fernlift_proxy_buffered_request_bytes",
                 "Bytes of requests of callers that are not answered yet.",
                 m_context.requestBuffers.used());
            set ("fernlift_proxy_requests_refused_for_memory",
                 "Requests refused while they were received, as others filled the memory.",
                 m_context.requestBuffers.refused());
            set ("fernlift_proxy_paused_answers",
                 "Pauses of runners whose answers were not read, as their callers were behind.",
                 m_counters.pausedAnswers);
            set ("fernlift_proxy_left", "Requests whose caller went away.",
                 m_counters.disconnected);
            set ("fernlift_proxy_attempts", "Attempts at runners.", m_counters.attempts);
            set ("fernlift_proxy_retries", "Attempts after the first.", m_counters.retries);
            set ("fernlift_proxy_resumed", "Streams whose rest was requested from another runner.",
                 m_counters.resumed);
            set ("fernlift_proxy_incomplete_streams",
                 "Streams of runners that ended inside an event.", m_counters.incompleteStreams);
            set ("fernlift_proxy_resumed_by_callers",
                 "Streams of mixed software versions that callers resumed at their version.",
                 m_counters.resumedByCallers);
            set ("fernlift_proxy_unknown_streams",
                 "Streams that callers could not resume, as their software version is not known.",
                 m_counters.unknownStreams);
            set ("fernlift_proxy_streams_recorded",
                 "Streams whose software version is known here while versions are mixed.",
                 m_context.streams.size());
            set ("fernlift_proxy_streams_fetched",
                 "Streams received from other routers after a start, or after a time without them.",
                 m_streamFetcher.received());
            set ("fernlift_proxy_streams_looked_up",
                 "Streams that this router did not know and asked its controller for.",
                 m_context.streamRecorder.lookups());
            set ("fernlift_proxy_streams_found", "Those of them that the controllers had.",
                 m_context.streamRecorder.found());
            set ("fernlift_proxy_stream_records_dropped",
                 "Streams dropped before a controller received them.",
                 m_context.streamRecorder.dropped());
            set ("fernlift_proxy_stream_notices_lost",
                 "Notices to other routers that were not sent or not answered.",
                 m_server.lostNotices());
            set ("fernlift_proxy_connections_opened", "Connections opened to runners.",
                 m_pool.opened());
            set ("fernlift_proxy_rate_limited_runners",
                 "Runners that state how many requests a second they take, as known here.",
                 m_rates.size());
            set ("fernlift_proxy_permits_granted", "Requests let go to runners that state a rate.",
                 m_rates.counters().granted);
            set ("fernlift_proxy_permits_refused",
                 "Requests held back from runners that state a rate.", m_rates.counters().refused);
            set ("fernlift_proxy_permits_unanswered",
                 "Requests for permits that no leader answered in time.",
                 m_rates.counters().unanswered);
            set ("fernlift_proxy_brittle_services",
                 "Services whose runners state that they are brittle, as known here.",
                 m_context.slots.size());
            set ("fernlift_proxy_slot_waits", "Requests that wait for a slot in such a service.",
                 m_context.slots.waiting());
            set ("fernlift_proxy_slots_granted", "Slots that the leader assigned to requests.",
                 m_context.slots.counters().granted);
            set ("fernlift_proxy_slots_unused",
                 "Those that came too late, or for requests that had ended.",
                 m_context.slots.counters().unused);
            routing::RunnerAvailability& availability = m_directory.availability();
            set ("fernlift_proxy_backoff_runners",
                 "Runners that accept no request from this router for now (Retry-After).",
                 availability.backingOff (m_clock.now()));
            set ("fernlift_proxy_leaving_runners",
                 "Runners that state in their answers that they are leaving.",
                 availability.leaving (m_clock.now()));
            set ("fernlift_proxy_backoff_answers",
                 "Answers of runners that declined a request with Retry-After.",
                 availability.counters().backoffAnswers);
            set ("fernlift_proxy_declined", "Attempts that a runner had no room for.",
                 m_counters.declined);
            set ("fernlift_proxy_declined_by_brittle",
                 "Those at runners that state how many declines in a second they bear.",
                 m_counters.declinedByBrittle);
            set ("fernlift_proxy_attempts_during_backoff",
                 "Attempts at runners that had asked for none at that time.",
                 availability.counters().attemptsDuringBackoff);
            set ("fernlift_proxy_retry_budgets_spent",
                 "Services whose retry budget allows no retry now.", m_retryBudgets.spent());
            updateRetryMetrics();
            set ("fernlift_proxy_unreachable_runners",
                 "Runners that this router cannot connect to.",
                 m_context.reachability.unreachable());
            set ("fernlift_proxy_connections_failed", "Connections to runners that did not open.",
                 m_context.reachability.failedConnections());
            set ("fernlift_proxy_probes_unanswered",
                 "Probes that opened a connection to a runner and got no answer.",
                 m_context.reachability.unansweredProbes());
            set ("fernlift_proxy_isolated",
                 "1 while requests go to other routers, as connections to runners fail.",
                 m_context.reachability.path (m_clock.now()) == RunnerPath::kIsolated ? 1 : 0);
            set ("fernlift_proxy_peers", "Other routers known here.", m_context.peers.size());
            set ("fernlift_proxy_peer_requests_sent", "Attempts sent to other routers.",
                 m_counters.forwardedToPeers);
            set ("fernlift_proxy_peer_requests_sent_declined",
                 "Attempts sent to other routers that those did not serve.",
                 m_counters.declinedByPeers);
            set ("fernlift_proxy_peer_requests_received", "Requests received from other routers.",
                 m_counters.servedForPeers);
            set ("fernlift_proxy_peer_requests_received_declined",
                 "Requests received from other routers and not served.",
                 m_counters.declinedToPeers);
            set ("fernlift_proxy_configuration_version", "Configuration in force.", m_held.version);
            set ("fernlift_proxy_configuration_unconfirmed_milliseconds",
                 "Since the lease on the configuration ended; 0 while it lasts.",
                 static_cast<std::uint64_t> (
                     base::toMilliseconds (m_freshness.unconfirmedFor (m_clock.now()))));
        });
    m_metricsServer = std::make_unique<http::Server>();
    m_metricsServer->setHandler (http::addProcessEndpoints (
        [] (const http::Request&, const std::shared_ptr<http::Responder>& responder)
        {
            constexpr int kNotFound = 404;
            responder->send (kNotFound, {}, "");
        },
        [this] { return isReady(); }, m_metrics));
}

}  // namespace fernlift::proxy
