// Requests that one router serves for another, which cannot connect to the runners itself: the side
// that sends them and the side that serves them. See docs/design/peer-forwarding.md.

#include <algorithm>
#include <utility>
#include <variant>

#include "proxy/Exchange.h"

namespace fernlift::proxy
{
namespace
{

using base::ErrorKind;

/// Retry-After time of a request that neither this router nor another one can serve now. Long
/// enough for probes to find a path that is back, and for the caller to reach another router.
constexpr base::Duration kRetryIsolated = base::milliseconds (100);

}  // namespace

std::string Exchange::peerTarget() const
{
    return m_query.service + "/" + m_query.model + "/" + m_query.adapter;
}

bool Exchange::needsPeer (const InstanceChoice& choice) const
{
    if (choice.reason == NoRunnerReason::kUnreachable)
        return true;
    return choice.reason == NoRunnerReason::kNone
           && m_context.reachability.mustForward (m_query.draw.value_or (0), now());
}

bool Exchange::mayGoOnAtPeer() const
{
    return ! m_query.softwareVersion
           || onlyVersionIn (softwareVersionsOfStreams()) == m_query.softwareVersion;
}

bool Exchange::forwardToPeer()
{
    if (! mayGoOnAtPeer())
        return false;
    const std::optional<PeerChoice> peer = m_peerSearch.next (
        m_context.peers, peerTarget(), m_context.random.uniformReal(), now(), m_deadline);
    if (! peer)
        return false;
    if (! takePostponedRetry())
        return true;
    endWait();
    startPeerAttempt (*peer);
    return true;
}

bool Exchange::refuseIfIsolated()
{
    const bool isIsolated = m_context.reachability.path (now()) == RunnerPath::kIsolated;
    // Where no other router may be asked, a path that is back is all that a request can hope for.
    if (! isIsolated || m_context.peers.size() == 0 || ! mayGoOnAtPeer())
        return false;
    endWait();
    endWithoutRunner (ErrorKind::kNoCapacity,
                      "neither this router nor another one reaches the runners", kRetryIsolated);
    return true;
}

void Exchange::startPeerAttempt (const PeerChoice& peer)
{
    m_attempt.peer = peer;
    m_attempt.address = peer.address;
    m_attempt.instance.clear();
    m_attempt.instanceStart = 0;
    m_attempt.softwareVersion.clear();
    m_attempt.peerAnswer = {};
    m_attempt.peerRetryAfter.reset();
    PeerRequestFields fields;
    fields.statement.router = m_context.router;
    fields.statement.key = peer.key;
    fields.statement.configurationVersion = m_routes->version();
    fields.statement.avoidedInstance = m_query.avoidedInstance;
    fields.statement.softwareVersion = m_query.softwareVersion.value_or ("");
    fields.timeLeft = timeLeftForAttempt();
    if (m_events)
        fields.lastEventId = m_events->lastId();
    ++m_context.counters.forwardedToPeers;
    m_context.peers.onBegin (peer.router);
    log::write (log::Event::kRequestForwardedToPeer,
                { { "request", m_request.headers.value (m_context.names.requestId) },
                  { "router", peer.router },
                  { "service", m_query.service },
                  { "model", m_query.model } });
    sendAttempt (peerRequestBytes (m_request, m_context.names, fields));
}

void Exchange::onPeerHead (http::AnswerHead& head)
{
    m_attempt.peerAnswer = base::handleErrors ([&] { return takePeerAnswer (head.headers); },
                                               [] (const base::Error&) { return PeerAnswer(); });
    m_attempt.instance = m_attempt.peerAnswer.runner;
    m_attempt.softwareVersion = m_attempt.peerAnswer.softwareVersion
                                    ? *m_attempt.peerAnswer.softwareVersion
                                    : m_context.directory.softwareVersionOf (m_attempt.instance);
    const bool isSent =
        m_attempt.peerAnswer.attempts > 0 || m_attempt.peerAnswer.outcome == PeerOutcome::kFailed;
    if (! isSent)
        --m_sentAttempts;
    switch (m_attempt.peerAnswer.outcome)
    {
        case PeerOutcome::kAnswered:
            m_context.peers.onServing (m_attempt.peer->router, now());
            return;
        case PeerOutcome::kRefused:
            m_attempt.use = AnswerUse::kRefusal;
            if (const http::RetryAfter stated = http::readRetryAfter (head.headers);
                const auto* delay = std::get_if<http::RetryAfterDelay> (&stated))
                m_attempt.peerRetryAfter = delay->delay;
            return;
        case PeerOutcome::kFailed:
            m_attempt.use = AnswerUse::kRetry;
            return;
        case PeerOutcome::kUnreachable:
        case PeerOutcome::kUnavailable:
            m_attempt.use = AnswerUse::kDeclined;
            return;
    }
}

void Exchange::onPeerDeclined()
{
    m_attempt.isSent = false;
    endAttempt (AttemptEnd::kAbandoned, true);
    ++m_context.counters.declinedByPeers;
    PeerDecline reason = PeerDecline::kNoRunner;
    if (m_attempt.peerAnswer.isIsolated)
        reason = PeerDecline::kIsolated;
    else if (m_attempt.peerAnswer.outcome == PeerOutcome::kUnavailable)
        reason = PeerDecline::kUnavailable;
    m_peerSearch.onDeclined (m_context.peers, m_attempt.peer->router, reason, peerTarget(), now());
    const bool hasArrived = m_attempt.peerAnswer.attempts > 0;
    if (hasArrived)
    {
        afterRefusal();
        return;
    }
    m_attempt.peer.reset();
    dispatchNext();
}

void Exchange::onPeerFailed (http::BackEndFailure failure)
{
    const bool isUnsent = failure == http::BackEndFailure::kNotConnected;
    // A router whose runner broke off in the middle of an answer may serve the rest of it.
    const bool hasBegunAnswer = m_attempt.peerAnswer.outcome == PeerOutcome::kAnswered;
    if (! hasBegunAnswer)
    {
        m_peerSearch.onDeclined (m_context.peers, m_attempt.peer->router,
                                 isUnsent ? PeerDecline::kUnreachable : PeerDecline::kFailed,
                                 peerTarget(), now());
    }
    endAttempt (AttemptEnd::kFailed, false);
    if (! isUnsent)
    {
        afterFailure();
        return;
    }
    m_attempt.peer.reset();
    dispatchNext();
}

bool Exchange::canServePeer()
{
    if (! m_context.routes || m_context.freshness() != Freshness::kConfirmed)
    {
        declinePeer (PeerOutcome::kUnavailable, "the configuration is not confirmed here");
        return false;
    }
    if (m_context.routes->version() < m_servedPeer->configurationVersion)
    {
        declinePeer (PeerOutcome::kUnavailable, "the configuration here is older");
        return false;
    }
    if (m_context.reachability.path (now()) != RunnerPath::kOpen)
    {
        declinePeer (PeerOutcome::kUnreachable, "this router cannot connect to the runners");
        return false;
    }
    m_query.avoidedInstance = m_servedPeer->avoidedInstance;
    if (! m_servedPeer->softwareVersion.empty())
        m_query.softwareVersion = m_servedPeer->softwareVersion;
    return true;
}

void Exchange::declinePeer (PeerOutcome outcome, const std::string& message)
{
    ++m_context.counters.declinedToPeers;
    const ErrorKind kind = outcome == PeerOutcome::kUnreachable ? ErrorKind::kUpstreamUnreachable
                                                                : ErrorKind::kStopping;
    logEnd (log::Event::kRequestRefused, message);
    sendError ({ kind, message }, std::nullopt);
}

PeerAnswer Exchange::peerAnswer (PeerOutcome outcome) const
{
    PeerAnswer answer;
    answer.outcome = outcome;
    answer.attempts = std::min<std::uint32_t> (m_sentAttempts, 1);
    answer.runner = m_attempt.instance;
    answer.softwareVersion = m_attempt.softwareVersion;
    answer.isIsolated = m_context.reachability.path (now()) != RunnerPath::kOpen;
    return answer;
}

}  // namespace fernlift::proxy
