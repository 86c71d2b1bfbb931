#include "router/ControllerSession.h"

#include <algorithm>
#include <utility>

namespace fernlift::router
{
namespace
{

/// How long an opened connection may take before another address is tried.
constexpr base::Duration kConnectLimit = base::seconds (1);
/// Waits before the next connection, so that a cell without a leader is not flooded.
constexpr base::Duration kRedirectDelay = base::milliseconds (10);
constexpr base::Duration kShortestDelay = base::milliseconds (50);
constexpr base::Duration kLongestDelay = base::milliseconds (150);
constexpr int kRequestsInLease = 3;

base::Duration randomDelay (base::Random& random)
{
    return base::Duration (random.uniformInteger (kShortestDelay.count(), kLongestDelay.count()));
}

}  // namespace

void ControllerSession::scheduleConnect (base::TimePoint at, std::string address)
{
    isConnected_ = false;
    connectAt_ = at;
    connectAddress_ = std::move (address);
    unanswered_.clear();
}

void ControllerSession::onConnected (base::TimePoint now)
{
    isConnected_ = true;
    connectAt_.reset();
    unanswered_.clear();
    requestAt_ = now;
}

void ControllerSession::onLost (base::TimePoint now, base::Random& random)
{
    scheduleConnect (now + randomDelay (random), "");
}

void ControllerSession::onNotLeader (const cell::NotLeaderReply& reply, base::TimePoint now,
                                     base::Random& random)
{
    const bool knowsLeader = ! reply.leaderAddress.empty();
    scheduleConnect (now + (knowsLeader ? kRedirectDelay : randomDelay (random)),
                     reply.leaderAddress);
}

void ControllerSession::onGrant (const cell::LeaseGrant& grant)
{
    const auto sent = unanswered_.find (grant.sequence);
    if (sent == unanswered_.end() || grant.term < highestTerm_)
        return;
    const base::Duration length = base::milliseconds (grant.durationMilliseconds);
    const base::TimePoint until = sent->second + length;
    unanswered_.erase (unanswered_.begin(), std::next (sent));
    highestTerm_ = grant.term;
    requestInterval_ =
        std::max<base::Duration> (length / kRequestsInLease, base::milliseconds (10));
    requestAt_ = std::min (requestAt_, until - length + requestInterval_);
    if (grant.configurationVersion < lease_.version)
        return;
    const bool isSame =
        grant.configurationVersion == lease_.version && grant.configurationDigest == lease_.digest;
    lease_.until = isSame ? std::max (lease_.until, until) : until;
    lease_.version = grant.configurationVersion;
    lease_.digest = grant.configurationDigest;
}

void ControllerSession::requestSoon (base::TimePoint now) { requestAt_ = now; }

std::optional<std::variant<ConnectController, cell::LeaseRequest>> ControllerSession::poll (
    base::TimePoint now)
{
    if (! isConnected_)
    {
        if (! connectAt_ || now < *connectAt_)
            return std::nullopt;
        ConnectController connect{ std::exchange (connectAddress_, "") };
        connectAt_ = now + kConnectLimit;
        return connect;
    }
    if (now < requestAt_)
        return std::nullopt;
    const bool isSilent =
        ! unanswered_.empty() && now - unanswered_.begin()->second >= requestInterval_;
    if (isSilent)
    {
        // Another controller may have become the leader; the lease leaves time to find it.
        scheduleConnect (now + kConnectLimit, "");
        return ConnectController{};
    }
    requestAt_ = now + requestInterval_;
    cell::LeaseRequest request;
    request.sequence = ++lastSequence_;
    unanswered_[request.sequence] = now;
    return request;
}

bool ControllerSession::hasLease (base::TimePoint now, std::uint64_t heldVersion,
                                  const std::string& heldDigest) const
{
    if (heldVersion == 0 || now >= lease_.until)
        return false;
    if (lease_.version == heldVersion)
        return lease_.digest == heldDigest;
    return lease_.version != 0 && lease_.version < heldVersion;
}

}  // namespace fernlift::router
