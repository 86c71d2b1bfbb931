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
    : m_clock (clock), m_model (options, clock.now()), m_timer (clock, [this] { advanceModel(); })
{
}

void WeightStoreServer::handle (const http::Request& request,
                                const std::shared_ptr<http::Responder>& responder)
{
    m_model.advance (m_clock.now());
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
        state[QLatin1String ("transfers")] = engine::jsonInteger (m_model.transfers());
        state[QLatin1String ("fetches")] = engine::jsonInteger (m_fetches);
        state[QLatin1String ("refusals")] = engine::jsonInteger (m_refusals);
        http::jsonResponse (200, engine::writeJson (state)).sendTo (*responder);
    }
    else
    {
        answerNotFound (*responder, request.path);
    }
    advanceModel();
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
    ++m_fetches;
    const TransferId transfer = ++m_lastTransfer;
    if (const auto retryAfter = m_model.begin (transfer, size))
    {
        ++m_refusals;
        QJsonObject body;
        body[QLatin1String ("retry_after_ms")] =
            static_cast<qint64> (base::toMilliseconds (*retryAfter) + 1);
        auto response = http::jsonResponse (kTooManyRequests, engine::writeJson (body));
        response.headers.set ("Retry-After", wholeSeconds (m_clock.toReal (*retryAfter)));
        response.sendTo (*responder);
        return;
    }
    m_transfers[transfer] = responder;
    responder->onClosed (
        [this, transfer]
        {
            if (m_transfers.erase (transfer) == 0)
                return;
            m_model.advance (m_clock.now());
            m_model.cancel (transfer);
            advanceModel();
        });
}

void WeightStoreServer::handleFault (const http::Request& request, http::Responder& responder)
{
    withBody (
        responder, [&] { return parseFaultCommand (request.body); },
        [&] (const FaultCommand& command)
        {
            WeightStoreFaults faults = m_model.faults();
            if (! applyFault (command, faults))
                return false;
            m_model.setFaults (faults);
            log::write (log::Event::kStandinFault, { { "fault", command.fault } });
            answerDone (responder);
            return true;
        });
}

void WeightStoreServer::advanceModel()
{
    m_model.advance (m_clock.now());
    for (const TransferId transfer : m_model.takeFinished())
    {
        const auto found = m_transfers.find (transfer);
        if (found == m_transfers.end())
            continue;
        const auto responder = std::move (found->second);
        m_transfers.erase (found);
        http::jsonResponse (200, "{}").sendTo (*responder);
    }
    if (const auto next = m_model.nextEvent())
    {
        m_timer.setNext (*next);
    }
    else
    {
        m_timer.stop();
    }
}

}  // namespace fernlift::standin
