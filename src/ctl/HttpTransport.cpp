#include "ctl/HttpTransport.h"

#include <QEventLoop>
#include <QTimer>
#include <algorithm>
#include <chrono>
#include <optional>

namespace fernlift::ctl
{
namespace
{

constexpr base::Duration kConnectTimeout = base::seconds (1);
/// Above the largest catalogue that a controller returns.
constexpr std::size_t kMaxAnswerBytes = 64UL * 1024 * 1024;

std::chrono::milliseconds toTimerInterval (base::Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds> (
        std::max (duration, base::Duration::zero()));
}

http::ClientRequest requestOf (const base::SocketAddress& address, const AdminCall& call,
                               base::Duration timeout)
{
    http::ClientRequest request;
    request.address = address;
    request.method = call.method;
    request.path = call.path;
    request.body = call.body;
    if (! call.body.empty())
        request.headers.add ("Content-Type", "application/octet-stream");
    request.connectTimeout = std::min (timeout, kConnectTimeout);
    request.headersTimeout = timeout;
    request.idleTimeout = timeout;
    request.needsFreshConnection = true;
    request.maxWholeBytes = kMaxAnswerBytes;
    return request;
}

}  // namespace

AdminCallOutcome HttpTransport::send (const base::SocketAddress& address, const AdminCall& call,
                                      base::Duration timeout)
{
    std::optional<AdminCallOutcome> outcome;
    QEventLoop loop;
    const auto finish = [&] (AdminCallOutcome result)
    {
        outcome = std::move (result);
        loop.quit();
    };
    const std::shared_ptr<http::Exchange> exchange = m_client.fetch (
        requestOf (address, call, timeout),
        [&] (const http::WholeResponse& response) {
            finish (AdminReply{ response.status, response.body });
        },
        [&] (const http::ClientError& error)
        {
            const bool mayHaveArrived = error.kind != http::ClientErrorKind::kNotSent;
            finish (AdminCallFailure{ mayHaveArrived, error.message });
        });
    QTimer::singleShot (
        toTimerInterval (timeout), &loop,
        [&]
        {
            if (outcome)
                return;
            exchange->cancel();
            finish (AdminCallFailure{ true, "no complete response within the timeout" });
        });
    loop.exec();
    return *std::move (outcome);
}

base::TimePoint HttpTransport::now() { return m_clock.now(); }

void HttpTransport::pause (base::Duration duration)
{
    QEventLoop loop;
    QTimer::singleShot (toTimerInterval (duration), &loop, [&] { loop.quit(); });
    loop.exec();
}

}  // namespace fernlift::ctl
