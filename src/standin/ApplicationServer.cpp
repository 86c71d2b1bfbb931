#include "standin/ApplicationServer.h"

#include <utility>

#include "base/Digest.h"
#include "engine/JsonFields.h"
#include "log/Log.h"
#include "standin/Faults.h"

namespace fernlift::standin
{
namespace
{

/// Returns the request as JSON, so that the caller can check that the answer belongs to it.
std::string echoJson (const http::Request& request)
{
    QJsonObject object;
    object[QLatin1String ("request_id")] =
        engine::jsonText (request.headers.value ("X-Request-Id"));
    object[QLatin1String ("idempotency_key")] =
        engine::jsonText (request.headers.value ("Idempotency-Key"));
    object[QLatin1String ("method")] = engine::jsonText (request.method);
    object[QLatin1String ("path")] = engine::jsonText (request.path);
    object[QLatin1String ("query")] = engine::jsonText (request.query);
    object[QLatin1String ("body_digest")] = engine::jsonText (base::sha256Hex (request.body));
    object[QLatin1String ("body")] = engine::jsonText (request.body);
    return engine::writeJson (object);
}

}  // namespace

ApplicationServer::ApplicationServer (const ApplicationOptions& options,
                                      const SimulatedClock& clock)
    : m_clock (clock), m_model (options), m_timer (clock, [this] { advanceModel(); })
{
}

void ApplicationServer::handle (const http::Request& request,
                                const std::shared_ptr<http::Responder>& responder)
{
    m_model.advance (m_clock.now());
    if (request.path.starts_with ("/standin/"))
    {
        routeStandin (request, *responder);
    }
    else if (request.path == "/engine/report")
    {
        responder->send (200, commonHeaders(), engine::toJson (m_model.report()));
    }
    else
    {
        perform (request, responder);
    }
    advanceModel();
}

std::string ApplicationServer::ledgerJson() const
{
    QJsonObject counts;
    for (const auto& [key, count] : m_model.keyCounts())
    {
        counts[QString::fromStdString (key)] = engine::jsonInteger (count);
    }
    // toJson() returns a complete object; the key counts are added as a second member.
    std::string json = toJson (m_model.ledger());
    json.pop_back();
    return json + ",\"keys\":" + engine::writeJson (counts) + "}";
}

void ApplicationServer::routeStandin (const http::Request& request, http::Responder& responder)
{
    if (request.path == "/standin/ledger")
    {
        http::jsonResponse (200, ledgerJson()).sendTo (responder);
        return;
    }
    if (request.path != "/standin/faults" || request.method != "POST")
    {
        answerNotFound (responder, request.path);
        return;
    }
    withBody (
        responder, [&] { return parseFaultCommand (request.body); },
        [&] (const FaultCommand& command)
        {
            ApplicationFaults faults = m_model.faults();
            if (command.fault == "leaving")
            {
                m_model.setLeaving (command.isEnabled);
            }
            else if (! applyFault (command, faults))
            {
                return false;
            }
            m_model.setFaults (faults);
            log::write (log::Event::kStandinFault, { { "fault", command.fault } });
            answerDone (responder);
            return true;
        });
}

void ApplicationServer::perform (const http::Request& request,
                                 const std::shared_ptr<http::Responder>& responder)
{
    ApplicationRequest input;
    input.id = request.headers.value ("X-Request-Id");
    input.idempotencyKey = request.headers.value ("Idempotency-Key");
    input.path = request.path;
    const auto outcome = m_model.submit (input, m_clock.now());
    if (! outcome.accepted)
    {
        answerRefused (*responder, outcome.refusal, m_model.isLeaving());
        return;
    }
    const RequestHandle handle = outcome.handle;
    m_answers[handle] = { request, responder };
    responder->onClosed (
        [this, handle]
        {
            if (m_answers.erase (handle) != 0)
                m_model.cancel (handle);
        });
}

void ApplicationServer::advanceModel()
{
    m_model.advance (m_clock.now());
    for (const auto& done : m_model.takeDone())
        answer (done);
    if (const auto next = m_model.nextEvent())
        m_timer.setNext (*next);
}

void ApplicationServer::answer (const ApplicationDone& done)
{
    const auto found = m_answers.find (done.handle);
    if (found == m_answers.end())
        return;
    const OpenAnswer open = std::move (found->second);
    m_answers.erase (found);
    if (done.closesWithoutAnswer)
    {
        open.responder->abort();
        return;
    }
    open.responder->send (200, commonHeaders(), echoJson (open.request));
}

http::Headers ApplicationServer::commonHeaders() const
{
    http::Headers headers{ { "Content-Type", "application/json" } };
    if (m_model.isLeaving())
        headers.set (kLeavingHeader, "1");
    return headers;
}

}  // namespace fernlift::standin
