// Handling of suspect requests, under which runners crashed, in an exchange.

#include <algorithm>
#include <optional>

#include "proxy/Exchange.h"
#include "proxy/PromptParts.h"
#include "proxy/RequestIdentity.h"

namespace fernlift::proxy
{
namespace
{

/// Longest time after a broken answer for which the request and its copies wait for the probe of
/// the runner and for the reports of other routers. A probe takes one round trip, the commit of its
/// result some 20 ms.
constexpr base::Duration kMaxWaitForVerdict = base::milliseconds (100);
/// Time for which requests with a part of a prompt wait after its last crash that is known, before
/// they are refused. Other routers may report meanwhile that the part was at the runner for longer,
/// or has been answered.
constexpr base::Duration kMaxWaitForPromptPart = base::milliseconds (200);
/// Longest wait for the reports of other routers on an unreachable isolation runner, when one more
/// crash would put the request into quarantine. An election takes up to 0.8 s, and routers report
/// to the new leader within another 0.5 s.
constexpr base::Duration kMaxWaitForIsolationRunner = base::milliseconds (1500);

/// A runner that has sent bytes within this time has not failed.
constexpr base::Duration kMinSilenceOfCrash = base::milliseconds (100);

/// Time until which the request is not sent to a runner; none: it may be sent now.
std::optional<base::TimePoint> heldUntil (const quarantine::SuspectStatus& suspectStatus)
{
    std::optional<base::TimePoint> until;
    // Copies wait like retries, because each copy sent in the meantime may crash one more runner.
    if (suspectStatus.isUndecided())
        until = *suspectStatus.undecidedSince + kMaxWaitForVerdict;
    if (suspectStatus.isolationRunnerGoneSince)
        until = std::max (until,
                          { *suspectStatus.isolationRunnerGoneSince + kMaxWaitForIsolationRunner });
    return until;
}

}  // namespace

std::string Exchange::callerName() const
{
    return m_tenant == nullptr ? m_caller.peerAddress() : m_tenant->name;
}

std::string Exchange::tenantName() const
{
    return m_tenant == nullptr ? std::string() : m_tenant->name;
}

const cell::RequestIdentity& Exchange::identity() const
{
    if (! m_identity)
        m_identity = identityOf (m_request, tenantName());
    return *m_identity;
}

std::string Exchange::loggedIdentity() const
{
    return m_hasBrokenAnswer ? identity().digest : std::string();
}

std::string Exchange::loggedPromptParts() const
{
    std::string digests;
    if (! m_hasBrokenAnswer)
        return digests;
    for (const cell::RequestIdentity& part : sharedPartIdentities())
        digests.append (digests.empty() ? "" : ",").append (part.digest);
    return digests;
}

const std::vector<cell::RequestIdentity>& Exchange::sharedPartIdentities() const
{
    if (m_sharedParts)
        return *m_sharedParts;
    m_sharedParts.emplace();
    const std::string parts = m_request.headers.value (m_context.names.promptParts);
    for (const std::string& part : sharedPartIds (parts))
        m_sharedParts->push_back (identityOfPart (part, m_query.service, tenantName()));
    return *m_sharedParts;
}

quarantine::PromptPartStatus Exchange::promptPartStatus() const
{
    if (m_context.suspects.isEmpty())
        return {};
    return m_context.suspects.statusOfParts (sharedPartIdentities());
}

bool Exchange::hasEndedByPromptPart (const quarantine::PromptPartStatus& partStatus)
{
    const bool isOver =
        partStatus.isInQuarantine() && now() >= partStatus.changedAt + kMaxWaitForPromptPart;
    if (isOver)
        refuseQuarantinedPart (partStatus);
    return isOver;
}

bool Exchange::isBlockedByPromptPart()
{
    const quarantine::PromptPartStatus partStatus = promptPartStatus();
    if (! partStatus.isInQuarantine() || hasEndedByPromptPart (partStatus))
        return partStatus.isInQuarantine();
    m_suspectHoldDeadline = partStatus.changedAt + kMaxWaitForPromptPart;
    armTimer();
    return true;
}

void Exchange::clearPromptParts()
{
    const std::string parts = m_request.headers.value (m_context.names.promptParts);
    for (const std::string& part : sharedPartIds (parts))
    {
        const std::uint64_t fingerprint = fingerprintOfPart (part, m_query.service, tenantName());
        m_context.suspects.onPartAnswered (fingerprint, now());
        if (m_context.suspects.mayContain (fingerprint))
            m_context.suspects.onCompleteAnswer (
                identityOfPart (part, m_query.service, tenantName()));
    }
}

bool Exchange::isRecordedAsSuspect() const
{
    if (m_context.suspects.isEmpty())
        return false;
    if (! m_fingerprint)
        m_fingerprint = fingerprintOf (m_request, tenantName());
    return m_context.suspects.mayContain (*m_fingerprint);
}

quarantine::SuspectStatus Exchange::suspectStatus() const
{
    return isRecordedAsSuspect() ? m_context.suspects.suspectStatusOf (identity())
                                 : quarantine::SuspectStatus();
}

bool Exchange::isBlockedAsSuspect (const quarantine::SuspectStatus& suspectStatus)
{
    m_suspectHoldDeadline.reset();
    if (suspectStatus.isInQuarantine())
    {
        refuseQuarantinedRequest (suspectStatus);
        return true;
    }
    const std::optional<base::TimePoint> deadline = heldUntil (suspectStatus);
    if (! deadline || now() >= *deadline)
        return false;
    m_suspectHoldDeadline = deadline;
    armTimer();
    return true;
}

void Exchange::onSuspectsChanged()
{
    if (m_isEnded)
        return;
    if (m_suspectHoldDeadline)
    {
        dispatchNext();
        return;
    }
    if (! m_attempt.connection)
        return;
    const quarantine::SuspectStatus known = suspectStatus();
    if (! known.isInQuarantine())
        return;
    endAttempt (AttemptEnd::kAbandoned, false);
    refuseQuarantinedRequest (known);
}

bool Exchange::mayAccuse (const Attempt& attempt) const
{
    // The end of a draining runner is planned and not caused by this request.
    return attempt.isSent && ! m_context.directory.isDraining (attempt.instance, now());
}

void Exchange::recordMissingAnswer (const Attempt& attempt)
{
    if (attempt.peer || attempt.isPaused || ! mayAccuse (attempt))
        return;
    quarantine::SuspectRequests::MissingAnswer missing;
    missing.instance = attempt.incarnation().name();
    missing.sentAt = attempt.sentAt;
    missing.heardAt = attempt.sentAt;
    if (isCurrentIncarnation (attempt))
        missing.heardAt =
            std::max (missing.heardAt, m_context.directory.lastBytesAt (attempt.instance));
    if (now() - missing.heardAt < kMinSilenceOfCrash)
        return;
    m_context.suspects.onAnswerMissing (identity(), missing, now());
    for (const cell::RequestIdentity& part : sharedPartIdentities())
        m_context.suspects.onAnswerMissing (part, missing, now());
}

void Exchange::recordBrokenAnswer()
{
    m_hasBrokenAnswer = true;
    if (! mayAccuse (m_attempt))
        return;
    const std::string incarnation = m_attempt.incarnation().name();
    m_context.suspects.onAnswerInterrupted (identity(), incarnation, m_attempt.sentAt, now());
    for (const cell::RequestIdentity& part : sharedPartIdentities())
        m_context.suspects.onAnswerInterrupted (part, incarnation, m_attempt.sentAt, now());
    m_context.checkRunner (incarnation, m_attempt.address);
}

void Exchange::recordIsolationRunnerUnreachable()
{
    const std::string incarnation = m_attempt.incarnation().name();
    m_context.suspects.onIsolationRunnerUnreachable (identity(), incarnation, now());
}

void Exchange::refuseQuarantinedRequest (const quarantine::SuspectStatus& suspectStatus)
{
    refuseQuarantined (identity().digest, suspectStatus.crashes,
                       "runners ended one after the other under this request");
}

void Exchange::refuseQuarantinedPart (const quarantine::PromptPartStatus& partStatus)
{
    refuseQuarantined (
        partStatus.digest, partStatus.crashes,
        "runners ended one after the other under requests with a part of this prompt");
}

void Exchange::refuseQuarantined (const std::string& digest, std::uint32_t crashes,
                                  const std::string& message)
{
    ++m_context.counters.quarantined;
    log::write (log::Event::kQuarantinedRequestRefused,
                { { "request", m_request.headers.value (m_context.names.requestId) },
                  { "identity", digest },
                  { "caller", callerName() },
                  { "ends", crashes } });
    if (m_isAnswerBegun)
        abortAnswer();
    else
        fail (base::ErrorKind::kRequestQuarantined, message);
}

}  // namespace fernlift::proxy
