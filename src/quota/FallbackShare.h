#pragma once

/**
 * Fallback share of a tenant's quota that one router may admit while no controller grants it any
 * units: an equal part of the limit, so that all routers together stay within it.
 *
 * Requests are often larger than such a part. A request is then admitted with a probability equal
 * to the fraction of it that the part covers, which on average admits as much as the parts allow.
 * Every draw spends the whole part; otherwise repeated draws would admit more.
 */

#include <cstdint>
#include <map>
#include <string>

#include "base/Random.h"
#include "base/Time.h"
#include "config/Tenants.h"
#include "quota/QuotaTolerance.h"

namespace fernlift::quota
{

/** Pure: time and randomness are passed in. Not thread-safe; owned by one router. */
class FallbackShare
{
public:
    explicit FallbackShare (const QuotaTolerance& tolerance) : m_tolerance (tolerance) {}

    /** Sets the number of routers of the cell. While it is 0 (unknown), nothing is admitted. */
    void setRouters (std::uint32_t routers) { m_routers = routers; }

    /** A controller answered a request for units. Its grants cover this router's part of the limit
       until now, and the fallback share refills only from now on. Otherwise both count when answers
       are late: in a cell with nine controllers and one in twenty messages late, a window held up
       to 1.15 of the bound in 100 of 100 seeds.
    */
    void onControllerAnswer (base::TimePoint now);
    /** Whether a request of so many units is admitted. */
    [[nodiscard]] bool admits (const config::Tenant& tenant, std::uint64_t units,
                               base::TimePoint now, base::Random& random);

private:
    struct Part
    {
        double level = 0;
        base::TimePoint filledAt{};  ///< Zero if the part was never drawn on and is full.
    };

    QuotaTolerance m_tolerance;
    std::uint32_t m_routers = 0;
    base::TimePoint m_lastControllerAnswerAt{};
    std::map<std::string, Part> m_parts;
};

}  // namespace fernlift::quota
