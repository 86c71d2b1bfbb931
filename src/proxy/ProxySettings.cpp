#include "proxy/ProxySettings.h"

namespace fernlift::proxy
{
namespace
{

using base::milliseconds;
using base::seconds;

constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kMaxReserve = 1000;
constexpr std::int64_t kMaxRouters = 1'000'000;
constexpr std::int64_t kMaxPeerRequests = 100'000;
constexpr double kMaxCellReserve = 1'000'000;
constexpr std::int64_t kMinAnswerBufferBytes = 1024LL * 1024;
constexpr std::int64_t kMinRequestBufferBytes = 1024LL * 1024;
constexpr std::int64_t kMaxAnswerBufferBytes = 64LL * 1024 * 1024 * 1024;

}  // namespace

void declareSettings (config::SettingsSchema& schema, ProxySettings& settings)
{
    schema.addString ("id", &settings.id, "name of this router, unique in its cell").required();
    schema.addString ("cell", &settings.cell, "name of the cell").required();
    schema.addString ("zone", &settings.zone, "zone of this machine").required();
    schema.addAddress ("front_address", &settings.frontAddress, "listens for callers").required();
    schema.addAddress ("readiness_address", &settings.readinessAddress,
                       "listens for the platform's readiness checks");
    schema.required();
    schema.addAddress ("metrics_address", &settings.metricsAddress,
                       "listens for metrics and health checks; not set: nowhere");
    schema.addAddress ("peer_address", &settings.peerAddress,
                       "listens for requests of other routers that cannot connect to runners; not "
                       "set: routers do not serve each other's requests");
    schema.addInteger ("max_peer_requests", &settings.maxPeerRequests, 0, kMaxPeerRequests,
                       "requests of other routers that are served at the same time");
    schema.addInteger ("answer_buffer_bytes", &settings.answerBufferBytes, kMinAnswerBufferBytes,
                       kMaxAnswerBufferBytes,
                       "bytes of all answers that are held for callers which read slowly; runners "
                       "of answers beyond their share are not read meanwhile");
    schema.addInteger ("request_buffer_bytes", &settings.requestBufferBytes, kMinRequestBufferBytes,
                       kMaxAnswerBufferBytes,
                       "bytes of all requests of callers that are held until they are answered; "
                       "beyond them the largest that is being received is refused");
    schema.addAddressList ("seeds", &settings.seeds, "control addresses of some controllers");
    schema.required();
    schema.addInteger ("seed_peer_port", &settings.seedPeerPort, 1, kMaxPort,
                       "port at which every controller listens for routers");
    schema.required();
    schema.addReal ("retry_share", &settings.retryShare, 0, 1,
                    "share of this router's requests for a service that may be sent a second time");
    schema.addInteger ("retry_reserve", &settings.retryReserve, 0, kMaxReserve,
                       "second sends for each service that are allowed before there were requests");
    schema.addReal ("cell_retry_reserve", &settings.cellRetryReserve, 0, kMaxCellReserve,
                    "second sends for each service that all routers of the cell may save up "
                    "together, each of them its part, from none at its start; in place of "
                    "retry_reserve; 0: not bounded together");
    schema.addInteger ("shared_loads_from_routers", &settings.sharedLoadsFromRouters, 0,
                       kMaxRouters,
                       "in cells with at least so many routers they share what they know of the "
                       "load of runners; 0: never");
    quota::declareSettings (schema, settings.quotaTolerance);
    schema.addDuration ("connect_timeout_ms", &settings.connectTimeout, milliseconds (1),
                        seconds (60),
                        "a runner that takes no connection within this time is unreachable");
    schema.addDuration ("stop_grace_ms", &settings.stopGrace, milliseconds (0), seconds (600),
                        "a stopping router serves on for this time while it is not ready");
    schema.addDuration ("stop_timeout_ms", &settings.stopTimeout, milliseconds (1), seconds (600),
                        "longest planned stop");
    schema.addDuration (
        "unconfirmed_grace_ms", &settings.unconfirmedGrace, milliseconds (0), seconds (600),
        "after its lease on the configuration the router serves on for this time; must "
        "be below the time in which a change has to be in force");
    schema.addDuration ("isolated_grace_ms", &settings.isolatedGrace, milliseconds (0),
                        seconds (3600), "the same while the router reaches no controller at all");
    config::addLoggingSettings (schema, &settings.logging);
    schema.addCheck (
        [&settings]
        {
            std::vector<std::string> problems =
                config::findAddressClashes ({ { "front_address", settings.frontAddress },
                                              { "readiness_address", settings.readinessAddress },
                                              { "metrics_address", settings.metricsAddress },
                                              { "peer_address", settings.peerAddress } });
            if (settings.stopTimeout < settings.stopGrace)
            {
                problems.emplace_back ("stop_timeout_ms is below stop_grace_ms");
            }
            if (settings.isolatedGrace < settings.unconfirmedGrace)
            {
                problems.emplace_back ("isolated_grace_ms is below unconfirmed_grace_ms");
            }
            return problems;
        });
}

}  // namespace fernlift::proxy
