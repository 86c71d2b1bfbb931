#include "standin/MachineListServer.h"

#include <utility>

#include "engine/JsonFields.h"
#include "log/Log.h"

namespace fernlift::standin
{
namespace
{

/// Body of POST /standin/machines: {"machine": FLAG TEXT} adds or replaces a machine,
/// {"id","state":"live"|"leaving"|"gone"} changes its state or removes it, {"lag_ms"} changes the
/// lag.
struct MachineChange
{
    std::string id;
    std::string state;
    std::string machine;
    std::uint64_t lagMilliseconds = 0;
    bool hasLag = false;
};

base::Result<MachineChange> parseChange (std::string_view json)
{
    auto object = engine::parseJsonObject (json);
    if (! object)
        return object.error();
    engine::JsonFields fields (object.value());
    MachineChange change;
    change.hasLag = fields.has ("lag_ms");
    if (change.hasLag)
    {
        fields.readInteger ("lag_ms", &change.lagMilliseconds);
    }
    else if (fields.has ("machine"))
    {
        fields.readText ("machine", &change.machine);
    }
    else
    {
        fields.readText ("id", &change.id).readText ("state", &change.state);
    }
    auto finished = fields.finish();
    if (! finished)
        return finished.error();
    return change;
}

bool putMachine (const std::string& text, MachineListModel& model, base::TimePoint now)
{
    return base::handleErrors (
        [&]() -> base::Result<bool>
        {
            auto machine = parseMachineFlag (text);
            if (! machine)
                return machine.error();
            model.put (machine.value(), now);
            return true;
        },
        [] (const base::Error&) { return false; });
}

bool applyChange (const MachineChange& change, MachineListModel& model, base::TimePoint now)
{
    const base::RunnerId runner (change.id);
    if (change.hasLag)
    {
        model.setLag (base::milliseconds (change.lagMilliseconds));
        return true;
    }
    if (! change.machine.empty())
        return putMachine (change.machine, model, now);
    if (change.state == "gone")
        return model.remove (runner, now);
    if (change.state == "leaving")
    {
        return model.setState (runner, engine::MachineState::kLeaving, now);
    }
    return change.state == "live" && model.setState (runner, engine::MachineState::kLive, now);
}

}  // namespace

MachineListServer::MachineListServer (engine::MachineList machines, base::Duration lag,
                                      const SimulatedClock& clock)
    : m_clock (clock), m_model (std::move (machines), lag)
{
}

void MachineListServer::handle (const http::Request& request,
                                const std::shared_ptr<http::Responder>& responder)
{
    if (request.path == "/machines")
    {
        http::jsonResponse (200, engine::toJson (m_model.visible (m_clock.now())))
            .sendTo (*responder);
    }
    else if (request.path == "/standin/machines" && request.method == "POST")
    {
        handleChange (request, *responder);
    }
    else if (request.path == "/standin/machines")
    {
        http::jsonResponse (200, engine::toJson (m_model.current())).sendTo (*responder);
    }
    else
    {
        answerNotFound (*responder, request.path);
    }
}

void MachineListServer::handleChange (const http::Request& request, http::Responder& responder)
{
    withBody (
        responder, [&] { return parseChange (request.body); },
        [&] (const MachineChange& change)
        {
            if (! applyChange (change, m_model, m_clock.now()))
                return false;
            log::write (log::Event::kStandinMachineChanged,
                        { { "machine", change.id }, { "state", change.state } });
            answerDone (responder);
            return true;
        });
}

}  // namespace fernlift::standin
