#include <gtest/gtest.h>

#include "controller/OrderNotes.h"

namespace fernlift::controller
{
namespace
{

constexpr base::TimePoint kStart{ base::seconds (100) };
constexpr base::TimePoint kRecordedAt{ base::seconds (110) };

cell::NoteOrders recordOf (const std::string& instance, bool isFromStore)
{
    cell::NoteOrders command;
    command.orders.push_back ({ instance, isFromStore });
    return command;
}

TEST (OrderNotesTest, AssumesAnOrderAtTheStart)
{
    const OrderNotes history (kStart);
    EXPECT_EQ (history.orderedAt ("i-1"), kStart);
}

TEST (OrderNotesTest, RecordAppliesToItsInstanceOnly)
{
    OrderNotes history (kStart);
    history.onNote (recordOf ("i-1", true), kRecordedAt);
    EXPECT_EQ (history.orderedAt ("i-1"), kRecordedAt);
    EXPECT_EQ (history.orderedAt ("i-2"), kStart);
    EXPECT_EQ (history.storeLoads().size(), 1U);
}

TEST (OrderNotesTest, SnapshotDiscardsEarlierRecords)
{
    OrderNotes history (kStart);
    history.onNote (recordOf ("i-1", false), kRecordedAt);
    history.forget (kRecordedAt + base::seconds (5));
    EXPECT_EQ (history.orderedAt ("i-1"), kRecordedAt + base::seconds (5));
    EXPECT_EQ (history.orderedAt ("i-2"), kRecordedAt + base::seconds (5));
}

}  // namespace
}  // namespace fernlift::controller
