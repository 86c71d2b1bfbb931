#pragma once

/**
 * The tolerance by which use of a quota may exceed it within a window, as set by the operator of
 * the platform, and how the tolerance is divided among the parts of the system.
 */

#include "base/Time.h"
#include "config/Settings.h"
#include "config/Tenants.h"

namespace fernlift::quota
{

/** A tenant may use (rate x window + burst) x (1 + overshoot) + slack within any window. */
struct QuotaTolerance
{
    base::Duration window = base::seconds (8);
    double overshoot = 0.1;  ///< Tolerated excess, as a share of the limit.
    double slack = 0;        ///< Additional tolerated excess, in units.

    /** Tolerated units above the limit of `quota` within one window. */
    [[nodiscard]] double unitsFor (const config::TenantQuota& quota) const;
    /** Lifetime of granted units. The use within a window is bounded by the grants of a window that
        is longer by this lifetime, which costs a fifth of the tolerance.
    */
    [[nodiscard]] base::Duration lifetimeFor (const config::TenantQuota& quota) const;
    /** Units that new controllers may grant at once, without knowing what their predecessors
        granted: a twentieth of the tolerance.
    */
    [[nodiscard]] double firstLevelFor (const config::TenantQuota& quota) const;
    /** Units that all routers together may use at once without a grant, on top of the limit's rate:
        three twentieths of the tolerance.
    */
    [[nodiscard]] double fallbackUnitsFor (const config::TenantQuota& quota) const;
    /** Units that all controllers together may grant beyond what is left, so that the rest of a
        limit also serves requests larger than it: three fifths of the tolerance.
    */
    [[nodiscard]] double debtUnitsFor (const config::TenantQuota& quota) const;
};

/** Declares the settings of `tolerance`, which must outlive `schema`. */
void declareSettings (config::SettingsSchema& schema, QuotaTolerance& tolerance);

}  // namespace fernlift::quota
