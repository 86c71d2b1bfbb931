#include "quota/UnassistedShare.h"

#include <algorithm>
#include <chrono>

namespace fernlift::quota
{

bool UnassistedShare::admits (const config::Tenant& tenant, std::uint64_t units,
                              base::TimePoint now, base::Random& random)
{
    if (m_routers == 0)
        return false;
    const double capacity = m_tolerance.unassistedUnitsFor (tenant.quota) / m_routers;
    const double rate = tenant.quota.ratePerSecond / m_routers;
    Part& part = m_parts[tenant.name];
    const std::chrono::duration<double> age = now - part.filledAt;
    part.level = std::min (part.level + rate * age.count(), capacity);
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
