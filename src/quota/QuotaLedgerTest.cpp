#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <utility>
#include <vector>

#include "quota/QuotaLedger.h"

namespace fernlift::quota
{
namespace
{

constexpr base::TimePoint kStart = base::TimePoint{} + base::seconds (100);

config::Tenant tenant (double rate, double burst)
{
    config::Tenant tenant;
    tenant.name = "farm";
    tenant.quota = { config::QuotaUnit::kTokens, rate, burst, 1 };
    return tenant;
}

QuotaTolerance tolerance()
{
    QuotaTolerance tolerance;
    tolerance.window = base::seconds (8);
    tolerance.overshoot = 0.1;
    tolerance.slack = 1000;
    return tolerance;
}

/// A ledger with one tenant, whose bucket has been idle long enough to be full.
QuotaLedger fullLedger (double rate, double burst)
{
    QuotaLedger ledger (tolerance());
    ledger.setTenants ({ tenant (rate, burst) }, kStart - base::seconds (60));
    return ledger;
}

cell::QuotaAllowance requestUnits (QuotaLedger& ledger, std::vector<std::uint64_t> claims,
                                   base::TimePoint now)
{
    return ledger.answer ({ 1, { { "farm", std::move (claims) } } }, now).allowances.at (0);
}

TEST (QuotaLedgerTest, GrantsTheBurstAndThenTheRate)
{
    QuotaLedger ledger = fullLedger (100, 200);
    EXPECT_EQ (requestUnits (ledger, { 100, 100 }, kStart).units, 200U);
    const cell::QuotaAllowance refused = requestUnits (ledger, { 10 }, kStart);
    EXPECT_EQ (refused.units, 0U);
    EXPECT_EQ (refused.waitMilliseconds, 100);
    EXPECT_EQ (requestUnits (ledger, { 10 }, kStart + base::milliseconds (100)).units, 10U);
}

TEST (QuotaLedgerTest, GrantsALargeClaimWhileUnitsAreLeftAndRepaysTheDebt)
{
    QuotaLedger ledger = fullLedger (100, 200);
    EXPECT_EQ (requestUnits (ledger, { 150, 250 }, kStart).units, 400U);
    EXPECT_EQ (requestUnits (ledger, { 1 }, kStart + base::milliseconds (1900)).units, 0U);
    EXPECT_EQ (requestUnits (ledger, { 1 }, kStart + base::milliseconds (2100)).units, 1U);
}

TEST (QuotaLedgerTest, NoClaimIsGrantedInPart)
{
    QuotaLedger ledger = fullLedger (100, 200);
    // The maximum debt of a bucket is three fifths of 0.1 x (100 x 8 + 200) + 1000: 660.
    EXPECT_EQ (requestUnits (ledger, { 150, 5000 }, kStart).units, 150U);
}

TEST (QuotaLedgerTest, ALowerLimitAppliesAtOnce)
{
    QuotaLedger ledger = fullLedger (100, 200);
    ledger.setTenants ({ tenant (10, 20) }, kStart);
    EXPECT_EQ (requestUnits (ledger, { 20 }, kStart).units, 20U);
    EXPECT_EQ (requestUnits (ledger, { 20 }, kStart + base::milliseconds (1)).units, 20U);
    EXPECT_EQ (requestUnits (ledger, { 20 }, kStart + base::milliseconds (2)).units, 0U);
}

TEST (QuotaLedgerTest, GrantsAllToATenantWithoutALimit)
{
    QuotaLedger ledger = fullLedger (100, 200);
    ledger.setTenants ({}, kStart);
    EXPECT_EQ (requestUnits (ledger, { 7000 }, kStart).units, 7000U);
}

TEST (QuotaLedgerTest, ReservesTheShareOfDisconnectedRouters)
{
    QuotaLedger ledger = fullLedger (100, 200);
    ledger.setRouters (10, kStart);
    ledger.setRouters (5, kStart);
    EXPECT_EQ (requestUnits (ledger, { 200, 100 }, kStart).units, 200U);
    EXPECT_EQ (requestUnits (ledger, { 1 }, kStart + base::seconds (1)).units, 1U);
    EXPECT_EQ (requestUnits (ledger, { 60 }, kStart + base::seconds (1)).units, 60U);
    EXPECT_EQ (requestUnits (ledger, { 1 }, kStart + base::milliseconds (1100)).units, 0U);
}

RC_GTEST_PROP (QuotaLedgerTest, NoWindowHoldsMoreThanTheLimitAndItsTolerance, ())
{
    const double rate = *rc::gen::inRange (10, 5000);
    const double burst = *rc::gen::inRange (0, 5000);
    QuotaLedger ledger = fullLedger (rate, burst);
    const QuotaTolerance allowed = tolerance();
    const config::TenantQuota quota = tenant (rate, burst).quota;
    std::vector<std::pair<base::TimePoint, double>> granted;
    base::TimePoint now = kStart;
    for (int i = 0; i < 200; ++i)
    {
        now += base::milliseconds (*rc::gen::inRange (0, 400));
        const auto claim = static_cast<std::uint64_t> (*rc::gen::inRange (1, 800));
        granted.emplace_back (now,
                              static_cast<double> (requestUnits (ledger, { claim }, now).units));
    }
    const double most = rate * 8 + burst + allowed.debtUnitsFor (quota);
    for (const auto& [begin, first] : granted)
    {
        double sum = 0;
        for (const auto& [time, units] : granted)
            sum += time >= begin && time < begin + allowed.window ? units : 0;
        RC_ASSERT (sum <= most + 1);
    }
}

}  // namespace
}  // namespace fernlift::quota
