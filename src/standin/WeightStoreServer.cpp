#include "standin/WeightStoreServer.h"

#include <algorithm>
#include <utility>

#include "engine/JsonFields.h"
#include "log/Log.h"
#include "standin/Faults.h"

namespace fernlift::standin
{
namespace
{

constexpr int kTooManyRequests = 429;

base::Result<engine::Megabytes> parseFetch (std::string_view json)
{
    auto object = engine::parseJsonObject (json);
    if (! object)
        return object.error();
    engine::JsonFields fields (object.value());
    std::string artifact;
    engine::Megabytes size = 0;
    fields.readText ("artifact", &artifact).readInteger ("size_mb", &size);
    auto finished = fields.finish();
    if (! finished)
        return finished.error();
    return size;
}

std::string wholeSeconds (base::Duration duration)
{
    const auto seconds = std::chrono::ceil<base::seconds> (duration).count();
    return std::to_string (std::max<std::int64_t> (1, seconds));
}

}  // namespace

WeightStoreServer::WeightStoreServer (const WeightStoreOptions& options,
                                      const SimulatedClock& clock)
    : clock_ (clock), model_ (options, clock.now()), timer_ (clock, [this] { settle(); })
{
}

void WeightStoreServer::handle (const http::Request& request,
                                const std::shared_ptr<http::Responder>& responder)
{
    model_.advance (clock_.now());
    if (request.path == "/weights/fetch" && request.method == "POST")
    {
        handleFetch (request, responder);
    }
    else if (request.path == "/standin/faults" && request.method == "POST")
    {
        handleFault (request, *responder);
    }
    else if (request.path == "/standin/state")
    {
        QJsonObject state;
        state[QLatin1String ("transfers")] = engine::jsonInteger (model_.transfers());
        state[QLatin1String ("fetches")] = engine::jsonInteger (fetches_);
        state[QLatin1String ("refusals")] = engine::jsonInteger (refusals_);
        http::jsonResponse (200, engine::writeJson (state)).sendTo (*responder);
    }
    else
    {
        answerNotFound (*responder, request.path);
    }
    settle();
}

void WeightStoreServer::handleFetch (const http::Request& request,
                                     const std::shared_ptr<http::Responder>& responder)
{
    withBody (
        *responder, [&] { return parseFetch (request.body); },
        [&] (engine::Megabytes size)
        {
            begin (size, responder);
            return true;
        });
}

void WeightStoreServer::begin (engine::Megabytes size,
                               const std::shared_ptr<http::Responder>& responder)
{
    ++fetches_;
    const TransferId transfer = ++lastTransfer_;
    if (const auto retryAfter = model_.begin (transfer, size))
    {
        ++refusals_;
        QJsonObject body;
        body[QLatin1String ("retry_after_ms")] =
            static_cast<qint64> (base::toMilliseconds (*retryAfter) + 1);
        auto response = http::jsonResponse (kTooManyRequests, engine::writeJson (body));
        response.headers.set ("Retry-After", wholeSeconds (clock_.toReal (*retryAfter)));
        response.sendTo (*responder);
        return;
    }
    transfers_[transfer] = responder;
    responder->onClosed (
        [this, transfer]
        {
            if (transfers_.erase (transfer) == 0)
                return;
            model_.advance (clock_.now());
            model_.cancel (transfer);
            settle();
        });
}

void WeightStoreServer::handleFault (const http::Request& request, http::Responder& responder)
{
    withBody (
        responder, [&] { return parseFaultCommand (request.body); },
        [&] (const FaultCommand& command)
        {
            WeightStoreFaults faults = model_.faults();
            if (! applyFault (command, faults))
                return false;
            model_.setFaults (faults);
            log::write (log::Event::kStandinFault, { { "fault", command.fault } });
            answerDone (responder);
            return true;
        });
}

void WeightStoreServer::settle()
{
    model_.advance (clock_.now());
    for (const TransferId transfer : model_.takeFinished())
    {
        const auto found = transfers_.find (transfer);
        if (found == transfers_.end())
            continue;
        const auto responder = std::move (found->second);
        transfers_.erase (found);
        http::jsonResponse (200, "{}").sendTo (*responder);
    }
    if (const auto next = model_.nextEvent())
    {
        timer_.setNext (*next);
    }
    else
    {
        timer_.stop();
    }
}

}  // namespace fernlift::standin
