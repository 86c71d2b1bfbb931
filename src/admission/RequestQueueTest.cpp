#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "admission/RequestQueue.h"

namespace fernlift::admission
{
namespace
{

using base::milliseconds;

base::TimePoint at (std::int64_t time) { return base::TimePoint (milliseconds (time)); }

QueuedRequest entry (Ticket ticket, const std::string& caller, std::int64_t deadline)
{
    return QueuedRequest{ ticket, caller, at (deadline), 1 };
}

Ticket serve (RequestQueue& queue)
{
    const Ticket ticket = *queue.front();
    queue.popServed (ticket);
    return ticket;
}

std::vector<Ticket> serveAll (RequestQueue& queue)
{
    const std::vector<Ticket> expected = queue.inServiceOrder();
    std::vector<Ticket> served;
    while (! queue.empty())
        served.push_back (serve (queue));
    EXPECT_EQ (served, expected);
    return served;
}

TEST (RequestQueueTest, OneCallerIsServedByDeadline)
{
    RequestQueue queue;
    queue.push (entry (1, "a", 300));
    queue.push (entry (2, "a", 100));
    queue.push (entry (3, "a", 200));
    EXPECT_EQ (serveAll (queue), (std::vector<Ticket>{ 2, 3, 1 }));
    EXPECT_FALSE (queue.front());
}

TEST (RequestQueueTest, CallersTakeTurnsWhateverTheirLoad)
{
    RequestQueue queue;
    for (Ticket ticket = 1; ticket <= 100; ++ticket)
        queue.push (entry (ticket, "greedy", 10));
    queue.push (entry (201, "modest", 900));
    queue.push (entry (202, "modest", 950));
    serve (queue);
    EXPECT_EQ (serve (queue), 201U);
    serve (queue);
    EXPECT_EQ (serve (queue), 202U);
}

TEST (RequestQueueTest, ACallerThatComesBackCannotUseTwoTurnsInOneRound)
{
    RequestQueue queue;
    queue.push (entry (1, "a", 100));
    queue.push (entry (2, "b", 200));
    EXPECT_EQ (serve (queue), 1U);
    queue.push (entry (3, "a", 50));
    EXPECT_EQ (serve (queue), 2U);
    EXPECT_EQ (serve (queue), 3U);
}

TEST (RequestQueueTest, ARemovedRequestUsesNoTurn)
{
    RequestQueue queue;
    queue.push (entry (1, "a", 100));
    queue.push (entry (2, "a", 110));
    queue.push (entry (3, "b", 120));
    EXPECT_TRUE (queue.remove (1));
    EXPECT_FALSE (queue.remove (1));
    EXPECT_EQ (serveAll (queue), (std::vector<Ticket>{ 2, 3 }));
}

TEST (RequestQueueTest, DisplacesTheLastRequestOfTheCallerWithMostRequests)
{
    RequestQueue queue;
    queue.push (entry (1, "a", 100));
    queue.push (entry (2, "a", 300));
    queue.push (entry (3, "b", 900));
    EXPECT_EQ (queue.lastToServe(), 2U);
}

// While two callers both have requests, neither is ahead of the other by more than two turns, each
// is served by deadline, and no request is lost.
RC_GTEST_PROP (RequestQueueProperty, IsFairAndLosesNothing, ())
{
    RequestQueue queue;
    std::map<Ticket, QueuedRequest> waiting;
    std::map<std::string, int> servedSinceBothWait;
    const auto steps = *rc::gen::container<std::vector<int>> (rc::gen::inRange (0, 12));
    Ticket next = 0;
    for (const int step : steps)
    {
        const std::string caller = step % 2 == 0 ? "a" : "b";
        if (step < 7)
        {
            const auto request = entry (++next, caller, *rc::gen::inRange (0, 50));
            queue.push (request);
            waiting[next] = request;
        }
        else if (step < 11 && ! queue.empty())
        {
            const Ticket served = serve (queue);
            RC_ASSERT (waiting.contains (served));
            const QueuedRequest request = waiting[served];
            for (const auto& [ticket, other] : waiting)
            {
                RC_ASSERT (other.caller != request.caller || other.deadline >= request.deadline);
            }
            waiting.erase (served);
            servedSinceBothWait[request.caller] += 1;
        }
        else if (! waiting.empty())
        {
            RC_ASSERT (queue.remove (waiting.begin()->first));
            waiting.erase (waiting.begin());
        }
        RC_ASSERT (queue.size() == waiting.size());
        const auto waits = [&] (const std::string& name)
        {
            return std::any_of (waiting.begin(), waiting.end(),
                                [&] (const auto& item) { return item.second.caller == name; });
        };
        const auto order = queue.inServiceOrder();
        RC_ASSERT (order.size() == waiting.size());
        if (! order.empty())
            RC_ASSERT (order.front() == *queue.front());
        if (! waits ("a") || ! waits ("b"))
            servedSinceBothWait.clear();
        RC_ASSERT (std::abs (servedSinceBothWait["a"] - servedSinceBothWait["b"]) <= 2);
    }
}

}  // namespace
}  // namespace fernlift::admission
