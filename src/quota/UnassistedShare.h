#pragma once

/**
 * What one router may admit of a tenant's quota while nobody grants it any: an equal part of the
 * limit, so that all routers together keep it.
 *
 * Requests are often larger than such a part. One is then admitted with the probability by which
 * the part covers it, which on average admits as much as the parts allow; every draw spends the
 * whole part, or repeated draws would admit more.
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

/** Pure: time and randomness are passed in. Threading: none; owned by one router. */
class UnassistedShare
{
public:
    explicit UnassistedShare (const QuotaTolerance& tolerance) : m_tolerance (tolerance) {}

    /** Routers of the cell; 0 while that is not known: nothing is admitted. */
    void setRouters (std::uint32_t routers) { m_routers = routers; }

    /** A controller answered a request for units: what it granted is this router's part of the
       limit until now, and the own part grows only from now on. Without this both count when
       answers are late: a window held up to 1.15 of the bound in 100 of 100 seeds of a cell with
       nine controllers, one in twenty messages late.
    */
    void onAssisted (base::TimePoint now);
    /** Whether a request of so many units is admitted. */
    [[nodiscard]] bool admits (const config::Tenant& tenant, std::uint64_t units,
                               base::TimePoint now, base::Random& random);

private:
    struct Part
    {
        double level = 0;
        base::TimePoint filledAt{};  ///< Zero: it was never drawn on, and is full.
    };

    QuotaTolerance m_tolerance;
    std::uint32_t m_routers = 0;
    base::TimePoint m_assistedAt{};
    std::map<std::string, Part> m_parts;
};

}  // namespace fernlift::quota
