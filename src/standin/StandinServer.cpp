#include "standin/StandinServer.h"

namespace fernlift::standin
{
namespace
{

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

}  // namespace

void answerNotFound (http::Responder& responder, const std::string& path)
{
    http::errorResponse ({ base::ErrorKind::kNotFound, "nothing at " + path }).sendTo (responder);
}

void answerInvalid (http::Responder& responder, const std::string& message)
{
    http::errorResponse ({ base::ErrorKind::kInvalidRequest, message }).sendTo (responder);
}

void answerRefused (http::Responder& responder, const base::Error& refusal, bool isLeaving)
{
    auto response = http::errorResponse (refusal, base::Execution::kNotRun);
    response.status =
        refusal.kind == base::ErrorKind::kQueueFull ? kTooManyRequests : kServiceUnavailable;
    response.headers.set (kExecutionHeader, "not_run");
    if (isLeaving)
        response.headers.set (kLeavingHeader, "1");
    response.sendTo (responder);
}

void answerDone (http::Responder& responder)
{
    http::jsonResponse (200, "{\"done\":true}").sendTo (responder);
}

}  // namespace fernlift::standin
