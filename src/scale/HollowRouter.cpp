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
    : options_ (std::move (options)),
      meters_ (meters),
      core_ (options_.core, seed, clock_.now(), clock_.unixNow()),
      demand_ (options_.demand, seed, clock_.now()),
      nextController_ (seed % std::max<std::size_t> (options_.controllers.size(), 1))
{
}

template <class Input>
void HollowRouter::feed (base::Duration& meter, const Input& input)
{
    const base::Duration begin = threadTime();
    core_.setTime (clock_.now(), clock_.unixNow());
    input();
    carryOut();
    meter += threadTime() - begin;
}

void HollowRouter::tick()
{
    feed (meters_.controlTime, [this] { core_.onTick(); });
    feed (meters_.requestTime,
          [this]
          {
              if (core_.isReady())
                  generateRequests();
              runAttempts();
          });
}

void HollowRouter::generateRequests()
{
    while (auto request = demand_.next (clock_.now()))
    {
        const router::RequestTicket ticket = core_.onRequest (request->head);
        services_[ticket] = request->service;
        carryOut();
    }
}

void HollowRouter::runAttempts()
{
    const base::TimePoint now = clock_.now();
    while (! due_.empty() && due_.begin()->first <= now)
    {
        const router::AttemptId id = due_.begin()->second;
        due_.erase (due_.begin());
        advanceAttempt (id);
    }
}

void HollowRouter::advanceAttempt (router::AttemptId id)
{
    const auto found = attempts_.find (id);
    if (found == attempts_.end())
        return;
    const base::TimePoint now = clock_.now();
    if (found->second.endsAt <= now)
    {
        attempts_.erase (found);
        core_.onAttemptEvent (id, router::AttemptEnded{});
    }
    else
    {
        const std::uint64_t offset = found->second.offset++;
        due_.emplace (std::min (found->second.endsAt, now + kPartInterval), id);
        if (offset == 0)
            core_.onAttemptEvent (id, router::AttemptHeaders{ kOk, false });
        core_.onAttemptEvent (id, router::AttemptData{ offset, 1, "token" });
    }
    carryOut();
}

void HollowRouter::carryOut()
{
    for (const router::Effect& effect : core_.takeEffects())
    {
        std::visit ([this] (const auto& content) { carryOut (content); }, effect);
    }
}

void HollowRouter::carryOut (const router::SendToController& effect)
{
    if (! connection_)
        return;
    const std::string payload = wire::encodeMessage (effect.message);
    meters_.traffic.record (controller::Direction::kOut, controller::kindOf (effect.message),
                            payload.size());
    connection_->send (wire::Channel::kRouterToController, payload);
}

void HollowRouter::carryOut (const router::ConnectController& effect)
{
    base::SocketAddress address = options_.controllers[nextController_];
    nextController_ = (nextController_ + 1) % options_.controllers.size();
    if (! effect.address.empty())
    {
        address = base::handleErrors ([&] { return base::SocketAddress::parse (effect.address); },
                                      [&] (const base::Error&) { return address; });
    }
    ++meters_.connections;
    wire::FrameConnection::Handlers handlers;
    handlers.onConnected = [this]
    { feed (meters_.controlTime, [this] { core_.onControllerConnected(); }); };
    handlers.onFrame = [this] (const wire::Frame& frame) { onFrame (frame); };
    handlers.onClosed = [this]
    { feed (meters_.controlTime, [this] { core_.onControllerLost(); }); };
    connection_ =
        wire::FrameConnection::connectTo (address, {}, std::move (handlers), &meters_.frames);
}

void HollowRouter::carryOut (const router::StartAttempt& effect)
{
    const auto service = services_.find (effect.ticket);
    if (service == services_.end())
        return;
    const base::TimePoint now = clock_.now();
    attempts_[effect.attempt] = { now + service->second, effect.resumeFrom };
    due_.emplace (now, effect.attempt);
}

void HollowRouter::onFrame (const wire::Frame& frame)
{
    if (frame.channel != wire::Channel::kControllerToRouter)
        return;
    feed (meters_.controlTime,
          [&]
          {
              base::handleErrors (
                  [&]() -> base::Result<void>
                  {
                      BOOST_LEAF_AUTO (
                          message, wire::decodeMessage<cell::ControllerToRouter> (frame.payload));
                      meter (message, frame.payload.size());
                      core_.onControllerMessage (message);
                      return {};
                  },
                  [] (const base::Error&) {});
          });
}

void HollowRouter::meter (const cell::ControllerToRouter& message, std::size_t bytes)
{
    meters_.traffic.record (controller::Direction::kIn, controller::kindOf (message), bytes);
    const auto* update = std::get_if<cell::ReplicaUpdate> (&message);
    if (update == nullptr)
        return;
    meters_.rowsTold += update->upserts.size();
    meters_.loadsTold += update->loads.size();
    meters_.wholeTables += update->fromVersion == 0 ? 1 : 0;
}

}  // namespace fernlift::scale
