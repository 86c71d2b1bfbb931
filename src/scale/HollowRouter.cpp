#include "scale/HollowRouter.h"

#include <time.h>

#include <algorithm>
#include <utility>

#include "wire/Codec.h"

namespace fernlift::scale
{
namespace
{

/// Parts of an answer come at this interval, so that the core sees the stream alive.
constexpr base::Duration kPartInterval = base::seconds (2);
constexpr int kOk = 200;

base::Duration threadTime()
{
    timespec time{};
    ::clock_gettime (CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::duration_cast<base::Duration> (std::chrono::seconds (time.tv_sec)
                                                       + std::chrono::nanoseconds (time.tv_nsec));
}

}  // namespace

HollowRouter::HollowRouter (HollowRouterOptions options, std::uint64_t seed,
                            HollowRouterMeters& meters)
    : m_options (std::move (options)),
      m_meters (meters),
      m_core (m_options.core, seed, m_clock.now(), m_clock.unixNow()),
      m_demand (m_options.demand, seed, m_clock.now()),
      m_nextController (seed % std::max<std::size_t> (m_options.controllers.size(), 1))
{
}

template <class Input>
void HollowRouter::feed (base::Duration& meter, const Input& input)
{
    const base::Duration begin = threadTime();
    m_core.setTime (m_clock.now(), m_clock.unixNow());
    input();
    carryOut();
    meter += threadTime() - begin;
}

void HollowRouter::tick()
{
    feed (m_meters.controlTime, [this] { m_core.onTick(); });
    feed (m_meters.requestTime,
          [this]
          {
              if (m_core.isReady())
                  generateRequests();
              runAttempts();
          });
}

void HollowRouter::generateRequests()
{
    while (auto request = m_demand.next (m_clock.now()))
    {
        const router::RequestTicket ticket = m_core.onRequest (request->head);
        m_services[ticket] = request->service;
        carryOut();
    }
}

void HollowRouter::runAttempts()
{
    const base::TimePoint now = m_clock.now();
    while (! m_due.empty() && m_due.begin()->first <= now)
    {
        const router::AttemptId id = m_due.begin()->second;
        m_due.erase (m_due.begin());
        advanceAttempt (id);
    }
}

void HollowRouter::advanceAttempt (router::AttemptId id)
{
    const auto found = m_attempts.find (id);
    if (found == m_attempts.end())
        return;
    const base::TimePoint now = m_clock.now();
    if (found->second.endsAt <= now)
    {
        m_attempts.erase (found);
        m_core.onAttemptEvent (id, router::AttemptEnded{});
    }
    else
    {
        const std::uint64_t offset = found->second.offset++;
        m_due.emplace (std::min (found->second.endsAt, now + kPartInterval), id);
        if (offset == 0)
            m_core.onAttemptEvent (id, router::AttemptHeaders{ kOk, false });
        m_core.onAttemptEvent (id, router::AttemptData{ offset, 1, "token" });
    }
    carryOut();
}

void HollowRouter::carryOut()
{
    for (const router::Effect& effect : m_core.takeEffects())
    {
        std::visit ([this] (const auto& content) { carryOut (content); }, effect);
    }
}

void HollowRouter::carryOut (const router::SendToController& effect)
{
    if (! m_connection)
        return;
    const std::string payload = wire::encodeMessage (effect.message);
    m_meters.traffic.record (controller::Direction::kOut, controller::kindOf (effect.message),
                             payload.size());
    m_connection->send (wire::Channel::kRouterToController, payload);
}

void HollowRouter::carryOut (const router::ConnectController& effect)
{
    base::SocketAddress address = m_options.controllers[m_nextController];
    m_nextController = (m_nextController + 1) % m_options.controllers.size();
    if (! effect.address.empty())
    {
        address = base::handleErrors ([&] { return base::SocketAddress::parse (effect.address); },
                                      [&] (const base::Error&) { return address; });
    }
    ++m_meters.connections;
    wire::FrameConnection::Handlers handlers;
    handlers.onConnected = [this]
    { feed (m_meters.controlTime, [this] { m_core.onControllerConnected(); }); };
    handlers.onFrame = [this] (const wire::Frame& frame) { onFrame (frame); };
    handlers.onClosed = [this]
    { feed (m_meters.controlTime, [this] { m_core.onControllerLost(); }); };
    m_connection =
        wire::FrameConnection::connectTo (address, {}, std::move (handlers), &m_meters.frames);
}

void HollowRouter::carryOut (const router::StartAttempt& effect)
{
    const auto service = m_services.find (effect.ticket);
    if (service == m_services.end())
        return;
    const base::TimePoint now = m_clock.now();
    m_attempts[effect.attempt] = { now + service->second, effect.resumeFrom };
    m_due.emplace (now, effect.attempt);
}

void HollowRouter::onFrame (const wire::Frame& frame)
{
    if (frame.channel != wire::Channel::kControllerToRouter)
        return;
    feed (m_meters.controlTime,
          [&]
          {
              base::handleErrors (
                  [&]() -> base::Result<void>
                  {
                      BOOST_LEAF_AUTO (
                          message, wire::decodeMessage<cell::ControllerToRouter> (frame.payload));
                      meter (message, frame.payload.size());
                      m_core.onControllerMessage (message);
                      return {};
                  },
                  [] (const base::Error&) {});
          });
}

void HollowRouter::meter (const cell::ControllerToRouter& message, std::size_t bytes)
{
    m_meters.traffic.record (controller::Direction::kIn, controller::kindOf (message), bytes);
    const auto* update = std::get_if<cell::ReplicaUpdate> (&message);
    if (update == nullptr)
        return;
    m_meters.rowsTold += update->upserts.size();
    m_meters.loadsTold += update->loads.size();
    m_meters.wholeTables += update->fromVersion == 0 ? 1 : 0;
}

}  // namespace fernlift::scale
