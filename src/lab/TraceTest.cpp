#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "lab/Trace.h"

namespace fernlift::lab
{
namespace
{

TraceOptions optionsOf (TraceShape shape)
{
    TraceOptions options;
    options.shape = shape;
    options.callsPerSecond = 200;
    options.length = base::seconds (100);
    options.targets = { { CallKind::kChat, "first", "", 1, true },
                        { CallKind::kChat, "second", "", 3, true } };
    return options;
}

std::size_t countBetween (const std::vector<Arrival>& arrivals, int from, int to)
{
    return static_cast<std::size_t> (std::count_if (arrivals.begin(), arrivals.end(),
                                                    [&] (const Arrival& arrival) {
                                                        return arrival.at >= base::seconds (from)
                                                               && arrival.at < base::seconds (to);
                                                    }));
}

RC_GTEST_PROP (Trace, ArrivalsAreInOrderAndWithinTheLength, (std::uint64_t seed))
{
    base::Random random (seed);
    const auto shape = *rc::gen::element (TraceShape::kConstant, TraceShape::kDaily,
                                          TraceShape::kStorm, TraceShape::kMonthEnd);
    const TraceOptions options = optionsOf (shape);
    const std::vector<Arrival> arrivals = generateTrace (options, random);
    base::Duration previous{};
    for (const Arrival& arrival : arrivals)
    {
        RC_ASSERT (arrival.at >= previous);
        RC_ASSERT (arrival.at < options.length);
        RC_ASSERT (arrival.target < options.targets.size());
        RC_ASSERT (arrival.maxTokens >= options.minimumTokens);
        RC_ASSERT (arrival.maxTokens <= options.maximumTokens);
        previous = arrival.at;
    }
}

TEST (Trace, ConstantRateAndWeights)
{
    base::Random random (1);
    const std::vector<Arrival> arrivals = generateTrace (optionsOf (TraceShape::kConstant), random);
    EXPECT_NEAR (static_cast<double> (arrivals.size()), 20000, 600);
    const auto second = std::count_if (arrivals.begin(), arrivals.end(),
                                       [] (const Arrival& arrival) { return arrival.target == 1; });
    EXPECT_NEAR (static_cast<double> (second) / static_cast<double> (arrivals.size()), 0.75, 0.02);
}

TEST (Trace, AStormHitsTheFirstTargetAtTheFullRate)
{
    base::Random random (2);
    const std::vector<Arrival> arrivals = generateTrace (optionsOf (TraceShape::kStorm), random);
    EXPECT_NEAR (static_cast<double> (countBetween (arrivals, 45, 55)), 2000, 200);
    EXPECT_NEAR (static_cast<double> (countBetween (arrivals, 20, 30)), 200, 60);
    for (const Arrival& arrival : arrivals)
    {
        if (arrival.at >= base::seconds (45) && arrival.at < base::seconds (55))
        {
            EXPECT_EQ (arrival.target, 0U);
        }
    }
}

TEST (Trace, TheMonthEndRisesToTheFullRate)
{
    base::Random random (3);
    const std::vector<Arrival> arrivals = generateTrace (optionsOf (TraceShape::kMonthEnd), random);
    EXPECT_LT (countBetween (arrivals, 0, 10), 500U);
    EXPECT_NEAR (static_cast<double> (countBetween (arrivals, 80, 90)), 2000, 200);
}

TEST (TraceTarget, ReadsEveryOption)
{
    const auto parse = [] (std::string_view text)
    {
        return base::handleErrors (
            [&]() -> base::Result<std::optional<TraceTarget>>
            {
                BOOST_LEAF_AUTO (target, parseTraceTarget (text));
                return std::optional<TraceTarget> (target);
            },
            [] (const base::Error&) { return std::optional<TraceTarget>(); });
    };
    const TraceTarget expected{ CallKind::kApplication, "portal", "approval", 2.5, false };
    EXPECT_EQ (parse ("portal,class=approval,weight=2.5,kind=application,once"), expected);
    EXPECT_EQ (parse ("small"), (TraceTarget{ CallKind::kChat, "small", "", 1, true }));
    EXPECT_EQ (parse ("small,weight=-1"), std::nullopt);
    EXPECT_EQ (parse ("small,colour=red"), std::nullopt);
    EXPECT_EQ (parse (""), std::nullopt);
}

}  // namespace
}  // namespace fernlift::lab
