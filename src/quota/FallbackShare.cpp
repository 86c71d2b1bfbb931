#include "quota/FallbackShare.h"

#include <algorithm>
#include <chrono>

namespace fernlift::quota
{
namespace
{

/// Part of the limit shared by routers without a controller. The leader reserves its half for
/// disconnected routers; the other controllers continue to grant their half in full.
constexpr double kPart = 0.5;

}  // namespace

void FallbackShare::onControllerAnswer (base::TimePoint now)
{
    m_lastControllerAnswerAt = std::max (m_lastControllerAnswerAt, now);
}

bool FallbackShare::admits (const config::Tenant& tenant, std::uint64_t units, base::TimePoint now,
                            base::Random& random)
{
    if (m_routers == 0)
        return false;
    const double capacity = m_tolerance.fallbackUnitsFor (tenant.quota) / m_routers;
    const double rate = kPart * tenant.quota.ratePerSecond / m_routers;
    Part& part = m_parts[tenant.name];
    const bool isNew = part.filledAt == base::TimePoint{};
    const std::chrono::duration<double> refillTime =
        now - std::max (part.filledAt, m_lastControllerAnswerAt);
    part.level = isNew ? capacity : std::min (part.level + rate * refillTime.count(), capacity);
    part.filledAt = now;
    const auto wanted = static_cast<double> (units);
    if (part.level >= wanted)
    {
        part.level -= wanted;
        return true;
    }
    const bool isAdmitted = random.uniformReal() * wanted < part.level;
    part.level = 0;
    return isAdmitted;
}

}  // namespace fernlift::quota
