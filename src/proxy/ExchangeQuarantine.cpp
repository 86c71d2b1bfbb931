// What an exchange does about runners that ended under its request.

#include <algorithm>
#include <optional>

#include "proxy/Exchange.h"
#include "proxy/RequestIdentity.h"

namespace fernlift::proxy
{
namespace
{

/// After a runner broke off, so long until the request or a copy of it is sent although it is not
/// known yet whether the runner has ended and what other routers saw. A look at the runner takes
/// two ways, the commit of what was found some 20 ms.
constexpr base::Duration kLongestWaitForVerdict = base::milliseconds (100);
/// The same for what other routers saw of the runner to which all copies go, when one more end
/// would put the request into quarantine. An election takes up to 0.8 s, and routers tell the new
/// leader 0.5 s later at the latest.
constexpr base::Duration kLongestWaitForTrial = base::milliseconds (1500);

/// Until when the request waits before it is sent to a runner; none: it does not.
std::optional<base::TimePoint> heldUntil (const quarantine::Standing& standing)
{
    std::optional<base::TimePoint> until;
    // Copies wait like retries: each that is sent meanwhile may end one more runner.
    if (standing.isUndecided())
        until = *standing.undecidedSince + kLongestWaitForVerdict;
    if (standing.trialGoneSince)
        until = std::max (until, { *standing.trialGoneSince + kLongestWaitForTrial });
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

std::string Exchange::brokenIdentity() const
{
    return m_hasBrokenOff ? identity().digest : std::string();
}

quarantine::Standing Exchange::standing() const
{
    if (m_context.suspects.isEmpty())
        return {};
    if (! m_outline)
        m_outline = outlineOf (m_request, tenantName());
    return m_context.suspects.mayKnow (*m_outline) ? m_context.suspects.standingOf (identity())
                                                   : quarantine::Standing();
}

bool Exchange::isHeldBack (const quarantine::Standing& standing)
{
    m_verdictDeadline.reset();
    if (standing.isInQuarantine())
    {
        refuseQuarantined (standing);
        return true;
    }
    const std::optional<base::TimePoint> deadline = heldUntil (standing);
    if (! deadline || now() >= *deadline)
        return false;
    m_verdictDeadline = deadline;
    armTimer();
    return true;
}

void Exchange::onSuspectsChanged()
{
    if (m_isEnded)
        return;
    if (m_verdictDeadline)
    {
        tryNext();
        return;
    }
    if (! m_connection)
        return;
    const quarantine::Standing known = standing();
    if (! known.isInQuarantine())
        return;
    endAttempt (AttemptEnd::kAbandoned, false);
    refuseQuarantined (known);
}

void Exchange::noteBrokenOff()
{
    m_hasBrokenOff = true;
    // One that said that it leaves ends by its plan, and not under this request.
    if (! m_isAttemptSent || m_context.directory.isDraining (m_instance))
        return;
    const std::string incarnation = cell::Incarnation{ m_instance, m_instanceStart }.name();
    m_context.suspects.onBrokenOff (identity(), incarnation, m_attemptSentAt, now());
    m_context.checkRunner (incarnation, m_address);
}

void Exchange::noteTrialUnreachable()
{
    const std::string incarnation = cell::Incarnation{ m_instance, m_instanceStart }.name();
    m_context.suspects.onTrialUnreachable (identity(), incarnation, now());
}

void Exchange::refuseQuarantined (const quarantine::Standing& standing)
{
    ++m_context.counters.quarantined;
    log::write (log::Event::kQuarantinedRequestRefused,
                { { "request", m_request.headers.value (m_context.names.requestId) },
                  { "identity", identity().digest },
                  { "caller", callerName() },
                  { "ends", standing.ends } });
    if (m_isAnswerBegun)
        cut();
    else
        fail (base::ErrorKind::kRequestQuarantined,
              "runners ended one after the other under this request");
}

}  // namespace fernlift::proxy
