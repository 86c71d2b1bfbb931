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
    : options_ (options), random_ (seed), nextWarm_ (kNever), nextCold_ (kNever)
{
    if (options_.requestsPerSecond > 0)
        nextWarm_ = now + drawn (1 / options_.requestsPerSecond);
    const ScaleSizes& sizes = options_.sizes;
    const bool hasCold =
        sizes.loadsPerHour > 0 && sizes.adapters - activeAdapters (sizes.adapters) >= sizes.routers;
    if (! hasCold)
        return;
    nextCold_ = now
                + drawn (kSecondsInHour * static_cast<double> (sizes.routers)
                         / static_cast<double> (sizes.loadsPerHour));
}

std::optional<GeneratedRequest> HollowDemand::next (base::TimePoint now)
{
    const ScaleSizes& sizes = options_.sizes;
    if (nextWarm_ <= now)
    {
        nextWarm_ += drawn (1 / options_.requestsPerSecond);
        return make (warmTarget());
    }
    if (nextCold_ <= now)
    {
        nextCold_ += drawn (kSecondsInHour * static_cast<double> (sizes.routers)
                            / static_cast<double> (sizes.loadsPerHour));
        return make (coldTarget());
    }
    return std::nullopt;
}

std::string HollowDemand::warmTarget()
{
    const ScaleSizes& sizes = options_.sizes;
    const std::int64_t active = activeAdapters (sizes.adapters);
    if (active > 0 && random_.chance (options_.adapterShare))
    {
        return adapterName (random_.uniformInteger (0, active - 1));
    }
    // The inverse of the distribution function of weights 1/rank, close enough for a load.
    const double rank = std::pow (static_cast<double> (sizes.models), random_.uniformReal());
    const auto index = static_cast<std::int64_t> (rank) - 1;
    return modelName (std::clamp<std::int64_t> (index, 0, sizes.models - 1));
}

std::string HollowDemand::coldTarget()
{
    const ScaleSizes& sizes = options_.sizes;
    const std::int64_t active = activeAdapters (sizes.adapters);
    const std::int64_t share = (sizes.adapters - active) / sizes.routers;
    const std::int64_t turn = coldRequests_++ % share;
    return adapterName (active + options_.router + turn * sizes.routers);
}

GeneratedRequest HollowDemand::make (std::string target)
{
    GeneratedRequest generated;
    router::RequestHead& head = generated.head;
    const std::string number =
        std::to_string (options_.router) + "-" + std::to_string (++requests_);
    head.id = base::RequestId ("request-" + number);
    head.target = std::move (target);
    head.caller = "caller-" + std::to_string (random_.uniformInteger (0, 99));
    head.isStreaming = true;
    if (random_.chance (options_.claimShare))
    {
        head.requestClass = base::RequestClassName ("approval");
        head.idempotencyKey = base::IdempotencyKey ("key-" + number);
        head.requestDigest = std::string (kDigestCharacters, 'd');
    }
    generated.service = drawn (std::chrono::duration<double> (options_.meanService).count());
    return generated;
}

base::Duration HollowDemand::drawn (double meanSeconds)
{
    return std::chrono::duration_cast<base::Duration> (
        std::chrono::duration<double> (random_.exponential (meanSeconds)));
}

}  // namespace fernlift::scale
