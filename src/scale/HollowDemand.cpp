#include "scale/HollowDemand.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "scale/ScaleCatalogue.h"

namespace fernlift::scale
{
namespace
{

constexpr double kSecondsInHour = 3600;
constexpr base::TimePoint kNever = base::TimePoint::max();
constexpr std::size_t kDigestCharacters = 64;

}  // namespace

HollowDemand::HollowDemand (HollowDemandOptions options, std::uint64_t seed, base::TimePoint now)
    : m_options (options), m_random (seed), m_nextWarm (kNever), m_nextCold (kNever)
{
    if (m_options.requestsPerSecond > 0)
        m_nextWarm = now + drawn (1 / m_options.requestsPerSecond);
    const ScaleSizes& sizes = m_options.sizes;
    const bool hasCold =
        sizes.loadsPerHour > 0 && sizes.adapters - activeAdapters (sizes.adapters) >= sizes.routers;
    if (! hasCold)
        return;
    m_nextCold = now
                 + drawn (kSecondsInHour * static_cast<double> (sizes.routers)
                          / static_cast<double> (sizes.loadsPerHour));
}

std::optional<GeneratedRequest> HollowDemand::next (base::TimePoint now)
{
    const ScaleSizes& sizes = m_options.sizes;
    if (m_nextWarm <= now)
    {
        m_nextWarm += drawn (1 / m_options.requestsPerSecond);
        return make (warmTarget());
    }
    if (m_nextCold <= now)
    {
        m_nextCold += drawn (kSecondsInHour * static_cast<double> (sizes.routers)
                             / static_cast<double> (sizes.loadsPerHour));
        return make (coldTarget());
    }
    return std::nullopt;
}

std::string HollowDemand::warmTarget()
{
    const ScaleSizes& sizes = m_options.sizes;
    const std::int64_t active = activeAdapters (sizes.adapters);
    if (active > 0 && m_random.chance (m_options.adapterShare))
    {
        return adapterName (m_random.uniformInteger (0, active - 1));
    }
    // The inverse of the distribution function of weights 1/rank, close enough for a load.
    const double rank = std::pow (static_cast<double> (sizes.models), m_random.uniformReal());
    const auto index = static_cast<std::int64_t> (rank) - 1;
    return modelName (std::clamp<std::int64_t> (index, 0, sizes.models - 1));
}

std::string HollowDemand::coldTarget()
{
    const ScaleSizes& sizes = m_options.sizes;
    const std::int64_t active = activeAdapters (sizes.adapters);
    const std::int64_t share = (sizes.adapters - active) / sizes.routers;
    const std::int64_t turn = m_coldRequests++ % share;
    return adapterName (active + m_options.router + turn * sizes.routers);
}

GeneratedRequest HollowDemand::make (std::string target)
{
    GeneratedRequest generated;
    router::RequestHead& head = generated.head;
    const std::string number =
        std::to_string (m_options.router) + "-" + std::to_string (++m_requests);
    head.id = base::RequestId ("request-" + number);
    head.target = std::move (target);
    head.caller = "caller-" + std::to_string (m_random.uniformInteger (0, 99));
    head.isStreaming = true;
    if (m_random.chance (m_options.claimShare))
    {
        head.requestClass = base::RequestClassName ("approval");
        head.idempotencyKey = base::IdempotencyKey ("key-" + number);
        head.requestDigest = std::string (kDigestCharacters, 'd');
    }
    generated.service = drawn (std::chrono::duration<double> (m_options.meanService).count());
    return generated;
}

base::Duration HollowDemand::drawn (double meanSeconds)
{
    return std::chrono::duration_cast<base::Duration> (
        std::chrono::duration<double> (m_random.exponential (meanSeconds)));
}

}  // namespace fernlift::scale
