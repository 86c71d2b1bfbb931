// Metrics of RouterCore in the text format of /metrics.

#include <string>
#include <string_view>

#include "router/RouterCoreImplementation.h"

namespace fernlift::router
{
namespace
{

void appendMetric (std::string& text, std::string_view name, std::string_view type,
                   std::uint64_t value)
{
    text.append ("# TYPE ").append (name).append (" ").append (type).append ("\n");
    text.append (name).append (" ").append (std::to_string (value)).append ("\n");
}

}  // namespace

std::string RouterCore::Implementation::metricsText() const
{
    const RouterCounters current = counters();
    std::string text;
    appendMetric (text, "fernlift_router_requests_admitted_total", "counter", current.admitted);
    appendMetric (text, "fernlift_router_requests_answered_total", "counter", current.answered);
    appendMetric (text, "fernlift_router_requests_refused_total", "counter", current.refused);
    appendMetric (text, "fernlift_router_callers_gone_total", "counter",
                  current.callersDisconnected);
    appendMetric (text, "fernlift_router_requests_open", "gauge", current.open);
    appendMetric (text, "fernlift_router_requests_waiting", "gauge", m_queues.size());
    appendMetric (text, "fernlift_router_waiting_bytes", "gauge", m_queues.bytes());
    appendMetric (text, "fernlift_router_attempts_total", "counter", current.attempts);
    appendMetric (text, "fernlift_router_retries_total", "counter", current.retries);
    appendMetric (text, "fernlift_router_resumes_total", "counter", current.resumes);
    appendMetric (text, "fernlift_router_claims_total", "counter", current.claims);
    appendMetric (text, "fernlift_router_ready", "gauge", isReady() ? 1 : 0);
    appendMetric (text, "fernlift_router_configuration_version", "gauge",
                  m_configuration.version());
    text.append ("# TYPE fernlift_router_errors_total counter\n");
    for (const auto& [kind, count] : m_errorsByKind)
    {
        text.append ("fernlift_router_errors_total{kind=\"");
        text.append (base::traitsOf (kind).name).append ("\"} ");
        text.append (std::to_string (count)).append ("\n");
    }
    return text;
}

}  // namespace fernlift::router
