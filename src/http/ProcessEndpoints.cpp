#include "http/ProcessEndpoints.h"

#include <utility>

namespace fernlift::http
{
namespace
{

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;

void sendText (Responder& responder, int status, std::string_view contentType,
               std::string_view text)
{
    responder.send (status, { { "Content-Type", std::string (contentType) } }, text);
}

}  // namespace

Handler addProcessEndpoints (Handler next, std::function<bool()> isReady, Metrics& metrics)
{
    return [next = std::move (next), isReady = std::move (isReady), &metrics] (
               const Request& request, std::shared_ptr<Responder> responder)
    {
        const bool isRead = request.method == "GET" || request.method == "HEAD";
        if (isRead && request.path == "/healthz")
        {
            sendText (*responder, kOk, "text/plain", "ok\n");
        }
        else if (isRead && request.path == "/readyz")
        {
            const bool ready = isReady();
            sendText (*responder, ready ? kOk : kServiceUnavailable, "text/plain",
                      ready ? "ready\n" : "not ready\n");
        }
        else if (isRead && request.path == "/metrics")
        {
            sendText (*responder, kOk, "text/plain; version=0.0.4", metrics.text());
        }
        else
        {
            next (request, std::move (responder));
        }
    };
}

}  // namespace fernlift::http
