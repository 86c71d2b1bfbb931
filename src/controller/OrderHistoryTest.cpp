#include <gtest/gtest.h>

#include "controller/OrderHistory.h"

namespace fernlift::controller
{
namespace
{

constexpr base::TimePoint kStart{ base::seconds (100) };
constexpr base::TimePoint kRecordedAt{ base::seconds (110) };

cell::RecordOrders recordOf (const std::string& instance, bool isFromStore)
{
    cell::RecordOrders command;
    command.orders.push_back ({ instance, isFromStore });
    return command;
}

TEST (OrderHistoryTest, AssumesAnOrderAtTheStart)
{
    const OrderHistory history (kStart);
    EXPECT_EQ (history.orderedAt ("i-1"), kStart);
}

TEST (OrderHistoryTest, RecordAppliesToItsInstanceOnly)
{
    OrderHistory history (kStart);
    history.onOrdersRecorded (recordOf ("i-1", true), kRecordedAt);
    EXPECT_EQ (history.orderedAt ("i-1"), kRecordedAt);
    EXPECT_EQ (history.orderedAt ("i-2"), kStart);
    EXPECT_EQ (history.storeLoads().size(), 1U);
}

TEST (OrderHistoryTest, SnapshotDiscardsEarlierRecords)
{
    OrderHistory history (kStart);
    history.onOrdersRecorded (recordOf ("i-1", false), kRecordedAt);
    history.forget (kRecordedAt + base::seconds (5));
    EXPECT_EQ (history.orderedAt ("i-1"), kRecordedAt + base::seconds (5));
    EXPECT_EQ (history.orderedAt ("i-2"), kRecordedAt + base::seconds (5));
}

}  // namespace
}  // namespace fernlift::controller
