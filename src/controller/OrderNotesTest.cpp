#include <gtest/gtest.h>

#include "controller/OrderNotes.h"

namespace fernlift::controller
{
namespace
{

constexpr base::TimePoint kStart{ base::seconds (100) };
constexpr base::TimePoint kNoted{ base::seconds (110) };

cell::NoteOrders noteOf (const std::string& instance, bool isFromStore)
{
    cell::NoteOrders note;
    note.orders.push_back ({ instance, isFromStore });
    return note;
}

TEST (OrderNotesTest, WhatIsNotKnownCountsAsOrderedJustBefore)
{
    const OrderNotes notes (kStart);
    EXPECT_EQ (notes.orderedAt ("i-1"), kStart);
}

TEST (OrderNotesTest, ANoteCountsForItsInstanceOnly)
{
    OrderNotes notes (kStart);
    notes.onNote (noteOf ("i-1", true), kNoted);
    EXPECT_EQ (notes.orderedAt ("i-1"), kNoted);
    EXPECT_EQ (notes.orderedAt ("i-2"), kStart);
    EXPECT_EQ (notes.storeLoads().size(), 1U);
}

TEST (OrderNotesTest, ASnapshotMakesEverythingBeforeItUnknown)
{
    OrderNotes notes (kStart);
    notes.onNote (noteOf ("i-1", false), kNoted);
    notes.forget (kNoted + base::seconds (5));
    EXPECT_EQ (notes.orderedAt ("i-1"), kNoted + base::seconds (5));
    EXPECT_EQ (notes.orderedAt ("i-2"), kNoted + base::seconds (5));
}

}  // namespace
}  // namespace fernlift::controller
