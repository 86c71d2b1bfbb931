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
/// Retry-After time; the caller then probably reaches another router.
constexpr base::Duration kRetryElsewhere = base::milliseconds (100);

}  // namespace

std::string_view toString (PinSource source)
{
    switch (source)
    {
        case PinSource::kNone:
            return "";
        case PinSource::kNotice:
            return "notice";
        case PinSource::kTable:
            break;
    }
    return "table";
}

base::Duration Exchange::streamLifetime() const
{
    const base::Duration longest = std::max (m_route->timeout, m_callerTimeout);
    return std::min (kLifetimeInTimeouts * longest, SoftwareVersions::kMaxAge);
}

void Exchange::pinSoftwareVersion()
{
    const bool hasEvents = m_lastEventAt != base::TimePoint{};
    if (! hasEvents || (m_query.softwareVersion && ! m_query.softwareVersion->empty()))
        return;
    const SoftwareVersions& versions = m_context.directory.softwareVersions();
    std::string version = m_softwareVersion;
    // The version may have become known after the attempt began.
    if (version.empty())
        version = m_context.directory.softwareVersionOf (m_instance);
    if (version.empty() && ! m_peer)
        version = versions.onlySince (m_query.service, m_arrivedAt).value_or ("");
    m_query.softwareVersion = version;
}

std::optional<std::string> Exchange::onlySoftwareVersion() const
{
    const SoftwareVersions& versions = m_context.directory.softwareVersions();
    return versions.onlySince (m_query.service, now() - streamLifetime());
}

std::string Exchange::streamKey (const std::string& request) const
{
    return streamKeyOf (tenantName(), m_route->name, request);
}

bool Exchange::pinResumedStream()
{
    const bool isResumed =
        m_route->isResumable && m_request.headers.contains (m_context.names.lastEventId);
    if (m_servedPeer || ! isResumed)
        return true;
    // Looked up first: the router that began the stream may have known a version that the table of
    // this one doesn't list yet.
    m_query.softwareVersion = m_context.streams.find (streamKey (resumedRequest()), now());
    if (m_query.softwareVersion)
    {
        m_pinSource = PinSource::kNotice;
        ++m_context.counters.resumedByCallers;
        return true;
    }
    const std::optional<std::string> only = onlySoftwareVersion();
    if (only)
    {
        m_pinSource = PinSource::kTable;
        if (! only->empty())
            m_query.softwareVersion = only;
        return true;
    }
    ++m_context.counters.unknownStreams;
    refuse (base::ErrorKind::kNoCapacity, "the software version of the stream is not known here",
            kRetryElsewhere);
    return false;
}

void Exchange::announceStream()
{
    const bool hasEvents = m_lastEventAt != base::TimePoint{};
    if (! hasEvents || m_isStreamAnnounced || m_servedPeer || ! m_route->isResumable)
        return;
    if (m_softwareVersion.empty() || onlySoftwareVersion() || ! resumedRequest().empty())
        return;
    m_isStreamAnnounced = true;
    StreamNotice notice;
    notice.key = streamKey (m_request.headers.value (m_context.names.requestId));
    notice.softwareVersion = m_query.softwareVersion.value_or (m_softwareVersion);
    notice.lifetime = streamLifetime();
    m_context.streams.record (notice.key, notice.softwareVersion, now() + notice.lifetime);
    m_context.announceStream (notice);
}

bool Exchange::isSoftwareVersionGone() const
{
    if (! m_query.softwareVersion || m_query.softwareVersion->empty())
        return false;
    const SoftwareVersions& versions = m_context.directory.softwareVersions();
    return ! versions.isListed (m_query.service, *m_query.softwareVersion);
}

}  // namespace fernlift::proxy
