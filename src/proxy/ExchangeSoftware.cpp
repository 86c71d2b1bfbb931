// Software versions of the runners that write a stream. What two versions write does not fit
// together, so that a stream goes on only at the version that began it.

#include <algorithm>

#include "proxy/Exchange.h"

namespace fernlift::proxy
{
namespace
{

/// A caller may resume a stream until its deadline, which can be later than the end of the route's
/// time.
constexpr int kLifetimeInTimeouts = 2;
/// An election takes up to a second, and routers connect to the new leader within two more.
constexpr base::Duration kMaxWaitForStreamVersion = base::seconds (3);
/// Retry-After time; the caller then probably reaches another router.
constexpr base::Duration kRetryElsewhere = base::milliseconds (100);

std::string causeOfUnknownStream (const SoftwareVersionsInUse& versions)
{
    if (std::holds_alternative<UnknownSoftwareVersions> (versions))
        return "this router does not know which software versions the service had before";
    return "the software version of the stream is not known here";
}

}  // namespace

base::Duration Exchange::streamLifetime() const
{
    const base::Duration longest = std::max (m_route->timeout, m_callerTimeout);
    return kLifetimeInTimeouts * longest;
}

void Exchange::pinSoftwareVersion()
{
    const bool hasEvents = m_lastEventAt != base::TimePoint{};
    if (! hasEvents || (m_query.softwareVersion && ! m_query.softwareVersion->empty()))
        return;
    std::string version = m_attempt.softwareVersion;
    // The version may have become known after the attempt began.
    if (version.empty())
        version = m_context.directory.softwareVersionOf (m_attempt.instance);
    if (version.empty() && ! m_attempt.peer)
        version = onlyVersionIn (softwareVersionsSince (m_arrivedAt)).value_or ("");
    m_query.softwareVersion = version;
}

SoftwareVersionsInUse Exchange::softwareVersionsSince (base::TimePoint since) const
{
    return m_context.directory.softwareVersions().inUseSince (m_query.service, since, now());
}

SoftwareVersionsInUse Exchange::softwareVersionsOfStreams() const
{
    return softwareVersionsSince (now() - streamLifetime());
}

std::string Exchange::streamKey (const std::string& request) const
{
    return cell::streamKeyOf (tenantName(), m_route->name, request);
}

bool Exchange::pinResumedStream()
{
    const bool isResumed =
        m_route->isResumable && m_request.headers.contains (m_context.names.lastEventId);
    if (m_servedPeer || ! isResumed)
        return true;
    const SoftwareVersionsInUse inUse = softwareVersionsOfStreams();
    const std::optional<StreamPin> pin = proxy::pinResumedStream (
        m_context.streams.find (streamKey (resumedRequest()), now()), inUse);
    if (! pin)
    {
        if (! isStreamVersionAwaited (inUse) || ! waitForStreamVersion())
            refuseUnknownStream (inUse);
        return false;
    }
    m_streamVersionDeadline.reset();
    m_pinSource = pin->source;
    if (pin->source == PinSource::kNotice)
        ++m_context.counters.resumedByCallers;
    if (! pin->version.empty())
        m_query.softwareVersion = pin->version;
    return true;
}

bool Exchange::isStreamVersionAwaited (const SoftwareVersionsInUse& inUse)
{
    const bool isUnknown = std::holds_alternative<UnknownSoftwareVersions> (inUse);
    if (isUnknown && m_context.directory.softwareVersions().isAwaitingControllers (now()))
        return true;
    return m_context.streamRecorder.lookUp (streamKey (resumedRequest()), now());
}

bool Exchange::waitForStreamVersion()
{
    if (! m_streamVersionDeadline)
    {
        const base::Duration longest =
            std::min<base::Duration> (m_callerTimeout / 2, kMaxWaitForStreamVersion);
        m_streamVersionDeadline = std::min (m_deadline, m_arrivedAt + longest);
    }
    armTimer();
    return now() < *m_streamVersionDeadline;
}

void Exchange::refuseUnknownStream (const SoftwareVersionsInUse& inUse)
{
    m_streamVersionDeadline.reset();
    ++m_context.counters.unknownStreams;
    refuse (base::ErrorKind::kNoCapacity, causeOfUnknownStream (inUse), kRetryElsewhere);
}

void Exchange::announceStream()
{
    const bool hasEvents = m_lastEventAt != base::TimePoint{};
    if (! hasEvents || m_isStreamAnnounced || m_servedPeer || ! m_route->isResumable)
        return;
    if (m_attempt.softwareVersion.empty() || ! needsNotice (softwareVersionsOfStreams()))
        return;
    m_isStreamAnnounced = true;
    const std::string resumed = resumedRequest();
    const std::string begunAs =
        resumed.empty() ? m_request.headers.value (m_context.names.requestId) : resumed;
    StreamNotice notice;
    notice.key = streamKey (begunAs);
    // The router that began a resumed stream has announced it if its version is known.
    if (m_context.streams.find (notice.key, now()))
        return;
    notice.softwareVersion = m_query.softwareVersion.value_or (m_attempt.softwareVersion);
    notice.lifetime = streamLifetime();
    m_context.streams.record (notice, now());
    m_context.announceStream (notice);
    m_context.streamRecorder.record (notice);
}

bool Exchange::isSoftwareVersionGone() const
{
    if (! m_query.softwareVersion || m_query.softwareVersion->empty())
        return false;
    const SoftwareVersions& versions = m_context.directory.softwareVersions();
    return ! versions.isListed (m_query.service, *m_query.softwareVersion);
}

}  // namespace fernlift::proxy
