#include "controller/RunnerClient.h"

#include <utility>

namespace fernlift::controller
{
namespace
{

constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;
constexpr int kStatusInsufficientStorage = 507;

base::SocketAddress parseOrEmpty (const std::string& address)
{
    return base::handleErrors ([&] { return base::SocketAddress::parse (address); },
                               [] (const base::Error&) { return base::SocketAddress(); });
}

/// Parses with `parser` and passes the value to `onValue`; returns false when parsing fails.
template <class Value>
bool parseInto (base::Result<Value> (*parser) (std::string_view), const std::string& body,
                const std::function<void (const Value&)>& onValue)
{
    const auto value = base::handleErrors (
        [&]() -> base::Result<std::optional<Value>>
        {
            BOOST_LEAF_AUTO (parsed, parser (body));
            return std::optional<Value> (std::move (parsed));
        },
        [] (const base::Error&) { return std::optional<Value>(); });
    if (! value)
        return false;
    onValue (*value);
    return true;
}

bool carriesOrderAnswer (int status)
{
    return status == kStatusOk || status == kStatusConflict || status == kStatusInsufficientStorage;
}

}  // namespace

RunnerClient::RunnerClient (base::Duration timeout, ControlTraffic* traffic)
    : m_timeout (timeout), m_traffic (traffic)
{
}

http::ClientRequest RunnerClient::requestTo (const base::SocketAddress& address,
                                             std::string path) const
{
    http::ClientRequest request;
    request.address = address;
    request.path = std::move (path);
    request.connectTimeout = m_timeout;
    request.headersTimeout = m_timeout;
    request.idleTimeout = m_timeout;
    return request;
}

void RunnerClient::sendOrder (const std::string& address, const engine::Order& order,
                              std::function<void (const engine::OrderAnswer&)> onAnswer,
                              FailureHandler onFailure)
{
    http::ClientRequest request = requestTo (parseOrEmpty (address), "/engine/orders");
    request.method = "POST";
    request.headers.set ("Content-Type", "application/json");
    request.body = engine::toJson (order);
    auto parse = [onAnswer = std::move (onAnswer)] (const http::WholeResponse& response)
    {
        return carriesOrderAnswer (response.status)
               && parseInto (&engine::parseOrderAnswer, response.body, onAnswer);
    };
    call (std::move (request), "order", std::move (parse), std::move (onFailure));
}

void RunnerClient::pollReport (const std::string& address,
                               std::function<void (const engine::Report&)> onReport,
                               FailureHandler onFailure)
{
    auto parse = [onReport = std::move (onReport)] (const http::WholeResponse& response)
    {
        return response.status == kStatusOk
               && parseInto (&engine::parseReport, response.body, onReport);
    };
    call (requestTo (parseOrEmpty (address), "/engine/report"), "report", std::move (parse),
          std::move (onFailure));
}

void RunnerClient::pollMachineList (const base::SocketAddress& address,
                                    std::function<void (const engine::MachineList&)> onList,
                                    FailureHandler onFailure)
{
    auto parse = [onList = std::move (onList)] (const http::WholeResponse& response)
    {
        return response.status == kStatusOk
               && parseInto (&engine::parseMachineList, response.body, onList);
    };
    call (requestTo (address, "/machines"), "machine_list", std::move (parse),
          std::move (onFailure));
}

void RunnerClient::call (http::ClientRequest request, std::string kind, Parser parse,
                         FailureHandler onFailure)
{
    m_traffic->record (Direction::kOut, kind, request.body.size());
    auto onResponse = [this, kind = std::move (kind), parse = std::move (parse),
                       onFailure] (const http::WholeResponse& response)
    {
        m_traffic->record (Direction::kIn, kind, response.body.size());
        if (! parse (response))
            onFailure();
    };
    auto onError = [onFailure = std::move (onFailure)] (const http::ClientError&) { onFailure(); };
    m_client.fetch (std::move (request), std::move (onResponse), std::move (onError));
}

}  // namespace fernlift::controller
