#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "admission/SlotReservation.h"

namespace fernlift::admission
{
namespace
{

config::RequestClass classOf (int urgency, double share)
{
    config::RequestClass requestClass;
    requestClass.urgency = urgency;
    requestClass.reservedSlotShare = share;
    return requestClass;
}

SlotReservation reservation()
{
    return SlotReservation ({ classOf (0, 0.25), classOf (1, 0.25), classOf (8, 0) });
}

TEST (SlotReservationTest, KeepsFreeWhatMoreUrgentClassesHaveNotTaken)
{
    EXPECT_TRUE (reservation().mayStart (8, 8, 3, { { 8, 3 } }));
    EXPECT_FALSE (reservation().mayStart (8, 8, 4, { { 8, 4 } }));
    EXPECT_TRUE (reservation().mayStart (8, 8, 6, { { 0, 2 }, { 1, 1 }, { 8, 3 } }));
    EXPECT_FALSE (reservation().mayStart (8, 8, 7, { { 0, 3 }, { 1, 1 }, { 8, 3 } }));
}

TEST (SlotReservationTest, AClassIsNotHeldBackByItsOwnShareNorByLessUrgentOnes)
{
    EXPECT_TRUE (reservation().mayStart (0, 8, 7, { { 8, 7 } }));
    EXPECT_FALSE (reservation().mayStart (0, 8, 8, { { 8, 8 } }));
    EXPECT_TRUE (reservation().mayStart (1, 8, 5, { { 8, 5 } }));
    EXPECT_FALSE (reservation().mayStart (1, 8, 6, { { 8, 6 } }));
}

TEST (SlotReservationTest, ReturnsTheReservedSlotsOfAClass)
{
    EXPECT_EQ (reservation().reservedSlots (0, 8), 2U);
    EXPECT_EQ (reservation().reservedSlots (8, 8), 0U);
    EXPECT_FALSE (reservation().hasReservation (8));
}

TEST (SlotReservationTest, ASmallRunnerStillServesEveryClass)
{
    const SlotReservation all ({ classOf (0, 1.0) });
    EXPECT_TRUE (all.mayStart (8, 1, 0, {}));
    EXPECT_TRUE (all.mayStart (8, 4, 0, {}));
    EXPECT_FALSE (all.mayStart (8, 4, 1, { { 8, 1 } }));
    EXPECT_FALSE (all.mayStart (8, 0, 0, {}));
}

// A runner filled with less urgent requests alone still has the reserved slots for the urgent
// class.
RC_GTEST_PROP (SlotReservationProperty, LessUrgentWorkLeavesTheShareFree, ())
{
    const auto capacity = static_cast<std::uint32_t> (*rc::gen::inRange (2, 64));
    const SlotReservation quarter ({ classOf (0, 0.25) });
    std::uint32_t lessUrgent = 0;
    while (quarter.mayStart (8, capacity, lessUrgent, { { 8, lessUrgent } }))
        lessUrgent += 1;
    std::uint32_t urgent = 0;
    while (
        quarter.mayStart (0, capacity, lessUrgent + urgent, { { 0, urgent }, { 8, lessUrgent } }))
        urgent += 1;
    RC_ASSERT (lessUrgent + urgent == capacity);
    RC_ASSERT (lessUrgent >= 1U);
    RC_ASSERT (4 * urgent + 2 >= capacity);
}

}  // namespace
}  // namespace fernlift::admission
