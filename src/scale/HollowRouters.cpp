#include "scale/HollowRouters.h"

#include <algorithm>

#include "http/ProcessEndpoints.h"
#include "scale/ScaleCatalogue.h"
#include "standin/StandinServer.h"

namespace fernlift::scale
{
namespace
{

constexpr base::milliseconds kTickInterval (10);

void append (std::string& text, const std::string& name, double value)
{
    text += "# TYPE " + name + " untyped\n" + name + " " + std::to_string (value) + "\n";
}

double inSeconds (base::Duration duration)
{
    return std::chrono::duration<double> (duration).count();
}

}  // namespace

HollowRouters::HollowRouters (HollowRoutersOptions options) : m_options (std::move (options)) {}

base::Result<base::SocketAddress> HollowRouters::start()
{
    for (std::int64_t added = 0; added < m_options.routerCount; ++added)
    {
        addRouter (m_options.firstRouter + added);
    }
    m_metrics.addText ([this] { return metricsText(); });
    m_metrics.addText ([this] { return m_meters.traffic.metricsText(); });
    m_server.setHandler (http::addProcessEndpoints (
        [] (const http::Request& request, const std::shared_ptr<http::Responder>& responder)
        { standin::answerNotFound (*responder, request.path); },
        [] { return true; }, m_metrics));
    QObject::connect (&m_ticker, &QTimer::timeout, &m_ticker,
                      [this]
                      {
                          for (const auto& router : m_routers)
                              router->tick();
                      });
    m_ticker.start (kTickInterval);
    return m_server.listen ({ "127.0.0.1", 0 });
}

void HollowRouters::addRouter (std::int64_t index)
{
    HollowRouterOptions options;
    options.core.router = base::RouterId ("router-" + std::to_string (index));
    options.core.cell = base::CellId (kCellName);
    options.core.zone = base::ZoneName (zoneName (index));
    options.core.address = "127.0.0.1:1";
    options.controllers = m_options.controllers;
    options.demand = m_options.demand;
    options.demand.router = index;
    m_routers.push_back (std::make_unique<HollowRouter> (
        std::move (options), m_options.seed + static_cast<std::uint64_t> (index), m_meters));
}

std::string HollowRouters::metricsText() const
{
    router::RouterCounters sum;
    std::int64_t ready = 0;
    for (const auto& router : m_routers)
    {
        const router::RouterCounters counters = router->counters();
        sum.admitted += counters.admitted;
        sum.answered += counters.answered;
        sum.refused += counters.refused;
        sum.open += counters.open;
        sum.claims += counters.claims;
        ready += router->isReady() ? 1 : 0;
    }
    const wire::ChannelTraffic& in = m_meters.frames.of (wire::Channel::kControllerToRouter);
    const wire::ChannelTraffic& out = m_meters.frames.of (wire::Channel::kRouterToController);
    std::string text;
    append (text, "fernlift_hollow_routers_ready", static_cast<double> (ready));
    append (text, "fernlift_hollow_admitted_total", static_cast<double> (sum.admitted));
    append (text, "fernlift_hollow_answered_total", static_cast<double> (sum.answered));
    append (text, "fernlift_hollow_refused_total", static_cast<double> (sum.refused));
    append (text, "fernlift_hollow_open", static_cast<double> (sum.open));
    append (text, "fernlift_hollow_claims_total", static_cast<double> (sum.claims));
    append (text, "fernlift_hollow_rows_told_total", static_cast<double> (m_meters.rowsTold));
    append (text, "fernlift_hollow_loads_told_total", static_cast<double> (m_meters.loadsTold));
    append (text, "fernlift_hollow_whole_tables_total", static_cast<double> (m_meters.wholeTables));
    append (text, "fernlift_hollow_connections_total", static_cast<double> (m_meters.connections));
    append (text, "fernlift_hollow_control_seconds_total", inSeconds (m_meters.controlTime));
    append (text, "fernlift_hollow_request_seconds_total", inSeconds (m_meters.requestTime));
    append (text, "fernlift_hollow_frame_bytes_in_total", static_cast<double> (in.bytesIn));
    append (text, "fernlift_hollow_frame_bytes_out_total", static_cast<double> (out.bytesOut));
    append (text, "fernlift_hollow_frames_in_total", static_cast<double> (in.messagesIn));
    append (text, "fernlift_hollow_frames_out_total", static_cast<double> (out.messagesOut));
    return text;
}

}  // namespace fernlift::scale
