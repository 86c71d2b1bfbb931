#pragma once

/**
 * How far the use of a quota may lie above it within a window, as the operator of the platform
 * allows, and what of that each part of the system may use up.
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
    double overshoot = 0.1;  ///< Share of the limit.
    double slack = 0;        ///< Units on top.

    /** Units above the limit of `quota` within one window. */
    [[nodiscard]] double unitsFor (const config::TenantQuota& quota) const;
    /** How long units that were granted may be used. A window of use holds the grants of a window
        that is longer by this: a fifth of the tolerance.
    */
    [[nodiscard]] base::Duration lifetimeFor (const config::TenantQuota& quota) const;
    /** What new controllers may grant at once, without knowing what was granted before them: a
        twentieth of the tolerance.
    */
    [[nodiscard]] double firstLevelFor (const config::TenantQuota& quota) const;
    /** What all routers together may use without a grant at once, on top of the limit's rate: three
        twentieths of the tolerance.
    */
    [[nodiscard]] double unassistedUnitsFor (const config::TenantQuota& quota) const;
    /** By how much all controllers together may have granted more than was left, so that what is
        left of a limit serves large requests too: three fifths of the tolerance.
    */
    [[nodiscard]] double debtUnitsFor (const config::TenantQuota& quota) const;
};

/** Declares the settings of a tolerance, which must outlive `schema`. */
void declareSettings (config::SettingsSchema& schema, QuotaTolerance& tolerance);

}  // namespace fernlift::quota
