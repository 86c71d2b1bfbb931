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

}  // namespace

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
    if (version.empty())
        version = versions.onlySince (m_query.service, m_arrivedAt).value_or ("");
    m_query.softwareVersion = version;
}

bool Exchange::isSoftwareVersionGone() const
{
    if (! m_query.softwareVersion || m_query.softwareVersion->empty())
        return false;
    const SoftwareVersions& versions = m_context.directory.softwareVersions();
    return ! versions.isListed (m_query.service, *m_query.softwareVersion);
}

}  // namespace fernlift::proxy
