#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "admission/AdmissionQueues.h"

namespace fernlift::admission
{
namespace
{

QueuedRequest entry (Ticket ticket, std::size_t bytes = 1)
{
    return QueuedRequest{ ticket, "caller", base::TimePoint (base::milliseconds (100 + ticket)),
                          bytes };
}

TEST (AdmissionQueuesTest, AcceptsNoMoreThanItsBounds)
{
    AdmissionQueues queues ({ 3, 10, 2 });
    EXPECT_TRUE (queues.push ("m", 1, entry (1)).isAccepted);
    EXPECT_TRUE (queues.push ("m", 1, entry (2)).isAccepted);
    EXPECT_FALSE (queues.push ("m", 1, entry (3)).isAccepted) << "bound of one target";
    EXPECT_FALSE (queues.push ("n", 1, entry (4, 9)).isAccepted) << "bound by bytes";
    EXPECT_TRUE (queues.push ("n", 1, entry (5, 8)).isAccepted);
    EXPECT_FALSE (queues.push ("o", 1, entry (6)).isAccepted) << "bound by count";
    EXPECT_EQ (queues.size(), 3U);
    EXPECT_EQ (queues.bytes(), 10U);
}

TEST (AdmissionQueuesTest, DisplacesLessUrgentRequestsButNoEquallyUrgentOnes)
{
    AdmissionQueues queues ({ 2, 100, 2 });
    queues.push ("m", 8, entry (1));
    queues.push ("n", 5, entry (2));
    const EnqueueResult urgent = queues.push ("o", 0, entry (3));
    EXPECT_TRUE (urgent.isAccepted);
    EXPECT_EQ (urgent.displaced, std::vector<Ticket>{ 1 });
    EXPECT_FALSE (queues.push ("o", 5, entry (4)).isAccepted);
}

TEST (AdmissionQueuesTest, DisplacesFromTheSameTargetAtTheBoundOfATarget)
{
    AdmissionQueues queues ({ 10, 100, 1 });
    queues.push ("other", 9, entry (1));
    queues.push ("m", 5, entry (2));
    EXPECT_EQ (queues.push ("m", 0, entry (3)).displaced, std::vector<Ticket>{ 2 });
}

TEST (AdmissionQueuesTest, DisplacesNothingIfTheRequestStillDoesNotFit)
{
    AdmissionQueues queues ({ 10, 10, 10 });
    queues.push ("m", 0, entry (1, 6));
    queues.push ("m", 8, entry (2, 2));
    const EnqueueResult outcome = queues.push ("m", 0, entry (3, 5));
    EXPECT_FALSE (outcome.isAccepted);
    EXPECT_TRUE (outcome.displaced.empty());
    EXPECT_EQ (queues.size(), 2U);
}

TEST (AdmissionQueuesTest, TargetsOfOneUrgencyTakeTurns)
{
    AdmissionQueues queues ({ 10, 100, 10 });
    queues.push ("a", 1, entry (1));
    queues.push ("a", 1, entry (2));
    queues.push ("b", 1, entry (3));
    EXPECT_EQ (queues.targetsWaiting (1), (std::vector<std::string>{ "a", "b" }));
    queues.popServed (1);
    EXPECT_EQ (queues.targetsWaiting (1), (std::vector<std::string>{ "b", "a" }));
}

TEST (AdmissionQueuesTest, CountsRequestsAheadOfANewOne)
{
    AdmissionQueues queues ({ 10, 100, 10 });
    queues.push ("a", 0, entry (1));
    queues.push ("a", 5, entry (2));
    queues.push ("a", 8, entry (3));
    queues.push ("b", 0, entry (4));
    EXPECT_EQ (queues.countAhead ("a", 5), 2U);
    EXPECT_EQ (queues.urgenciesWaiting(), (std::vector<int>{ 0, 5, 8 }));
}

// The bounds hold, counts and bytes are exact, and only less urgent requests are displaced.
RC_GTEST_PROP (AdmissionQueuesProperty, BoundsHoldAndNothingIsLost, ())
{
    AdmissionQueues queues ({ 6, 20, 4 });
    std::map<Ticket, std::pair<int, std::size_t>> model;  // Urgency and bytes.
    const auto steps = *rc::gen::container<std::vector<int>> (rc::gen::inRange (0, 10));
    Ticket next = 0;
    for (const int step : steps)
    {
        if (step < 8)
        {
            const int urgency = *rc::gen::inRange (0, 4);
            const auto bytes = static_cast<std::size_t> (*rc::gen::inRange (1, 9));
            const EnqueueResult outcome =
                queues.push (step % 2 == 0 ? "m" : "n", urgency, entry (++next, bytes));
            RC_ASSERT (outcome.isAccepted || outcome.displaced.empty());
            for (const Ticket displaced : outcome.displaced)
            {
                RC_ASSERT (model.at (displaced).first > urgency);
                model.erase (displaced);
            }
            if (outcome.isAccepted)
                model[next] = { urgency, bytes };
        }
        else if (! model.empty())
        {
            RC_ASSERT (queues.remove (model.begin()->first));
            model.erase (model.begin());
        }
        std::size_t bytes = 0;
        for (const auto& [ticket, item] : model)
            bytes += item.second;
        RC_ASSERT (queues.size() == model.size());
        RC_ASSERT (queues.bytes() == bytes);
        RC_ASSERT (bytes <= 20U);
        RC_ASSERT (model.size() <= 6U);
        RC_ASSERT (queues.countWaiting ("m") <= 4U);
        RC_ASSERT (queues.countWaiting ("m") + queues.countWaiting ("n") == model.size());
    }
}

}  // namespace
}  // namespace fernlift::admission
