#include "cell/ControllerSession.h"

#include <algorithm>
#include <utility>

namespace fernlift::cell
{
namespace
{

/// Time-out for opening a connection; another address is tried after it.
constexpr base::Duration kConnectLimit = base::milliseconds (400);
/// Time after which another controller is tried if the current one has no leader, because it may be
/// partitioned from the leader.
constexpr base::Duration kLeaderWaitLimit = base::milliseconds (400);
/// Delays before the next connection, which limit the rate of connections to a cell without a
/// leader.
constexpr base::Duration kRedirectDelay = base::milliseconds (10);
constexpr base::Duration kMinDelay = base::milliseconds (50);
constexpr base::Duration kMaxDelay = base::milliseconds (150);
/// Divisor of the delay for a router that has not found a leader since its start. It retries sooner
/// because callers wait for its first configuration.
constexpr int kFirstDelayShare = 3;
/// Time-out for an answer of the leader; after it the leader may have failed.
constexpr base::Duration kReplyLimit = base::milliseconds (660);
constexpr int kRequestsInLease = 3;

base::Duration randomDelay (base::Random& random)
{
    return base::Duration (random.uniformInteger (kMinDelay.count(), kMaxDelay.count()));
}

}  // namespace

void ControllerSession::scheduleConnect (base::TimePoint at, std::string address)
{
    m_isConnected = false;
    m_connectAt = at;
    m_connectAddress = std::move (address);
    m_unanswered.clear();
}

void ControllerSession::onConnected (base::TimePoint now)
{
    m_isConnected = true;
    m_connectAt.reset();
    m_unanswered.clear();
    m_requestAt = now;
}

void ControllerSession::onLost (base::TimePoint now, base::Random& random)
{
    const bool isNew = m_highestTerm == 0;
    scheduleConnect (now + randomDelay (random) / (isNew ? kFirstDelayShare : 1), "");
}

void ControllerSession::onNotLeader (const NotLeaderReply& reply, base::TimePoint now,
                                     base::Random& random)
{
    if (! reply.leaderAddress.empty())
        scheduleConnect (now + kRedirectDelay, reply.leaderAddress);
    else if (m_highestTerm != 0 && m_leaderWaitLimitAfterLoss < kLeaderWaitLimit)
        scheduleConnect (now + m_leaderWaitLimitAfterLoss, "");
    else
        scheduleConnect (now + kLeaderWaitLimit + randomDelay (random), "");
}

void ControllerSession::onGrant (const LeaseGrant& grant)
{
    const auto sent = m_unanswered.find (grant.sequence);
    if (sent == m_unanswered.end() || grant.term < m_highestTerm)
        return;
    const base::Duration length = base::milliseconds (grant.durationMilliseconds);
    const base::TimePoint until = sent->second + length;
    m_leases.extend (grant.configurationVersion, until, sent->second);
    m_unanswered.erase (m_unanswered.begin(), std::next (sent));
    m_highestTerm = grant.term;
    m_requestInterval =
        std::max<base::Duration> (length / kRequestsInLease, base::milliseconds (10));
    m_requestAt = std::min (m_requestAt, until - length + m_requestInterval);
    if (grant.configurationVersion < m_lease.version)
        return;
    const bool isSame = grant.configurationVersion == m_lease.version
                        && grant.configurationDigest == m_lease.digest;
    m_lease.until = isSame ? std::max (m_lease.until, until) : until;
    m_lease.version = grant.configurationVersion;
    m_lease.digest = grant.configurationDigest;
}

void ControllerSession::requestSoon (base::TimePoint now) { m_requestAt = now; }

void ControllerSession::requestBy (base::TimePoint at) { m_requestAt = std::min (m_requestAt, at); }

std::optional<std::variant<ConnectController, LeaseRequest>> ControllerSession::poll (
    base::TimePoint now)
{
    if (! m_isConnected)
    {
        if (! m_connectAt || now < *m_connectAt)
            return std::nullopt;
        ConnectController connect{ std::exchange (m_connectAddress, "") };
        m_connectAt = now + kConnectLimit;
        return connect;
    }
    const bool isSilent =
        ! m_unanswered.empty()
        && now - std::max (m_unanswered.begin()->second, m_lastMessageAt) >= kReplyLimit;
    if (isSilent)
    {
        // Another controller may have become the leader. The current lease remains valid long
        // enough to find it.
        scheduleConnect (now + kConnectLimit, "");
        return ConnectController{};
    }
    if (now < m_requestAt)
        return std::nullopt;
    m_requestAt = now + m_requestInterval;
    LeaseRequest request;
    request.sequence = ++m_lastSequence;
    m_unanswered[request.sequence] = now;
    return request;
}

bool ControllerSession::hasLease (base::TimePoint now, std::uint64_t heldVersion,
                                  const std::string& heldDigest) const
{
    if (heldVersion == 0 || now >= m_lease.until)
        return false;
    if (m_lease.version == heldVersion)
        return m_lease.digest == heldDigest;
    return m_lease.version != 0 && m_lease.version < heldVersion;
}

}  // namespace fernlift::cell
