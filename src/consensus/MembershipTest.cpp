#include <gtest/gtest.h>

#include "consensus/RaftTestSupport.h"

namespace fernlift::consensus
{
namespace
{

/// Majority value of voters 1 to `count`, where voter n has reached index n, and a learner.
LogIndex majorityOf (MemberId count)
{
    MemberSet members = testVoters (count);
    members.members.push_back (testMember (100, false));
    return majorityValue (members, LogIndex{ 0 }, [] (MemberId id) { return LogIndex{ id }; });
}

TEST (Membership, MajorityIsMoreThanHalfOfTheVoters)
{
    EXPECT_EQ (majorityOf (0), 0U) << "no voters";
    EXPECT_EQ (majorityOf (1), 1U);
    EXPECT_EQ (majorityOf (2), 1U) << "both voters";
    EXPECT_EQ (majorityOf (3), 2U);
    EXPECT_EQ (majorityOf (4), 2U) << "three of four voters";
    EXPECT_EQ (majorityOf (5), 3U);
}

bool isAllowed (const MemberSet& before, const MemberSet& after)
{
    return ! failureOf ([&] { return classifyChange (before, after); });
}

TEST (Membership, AllowsOnlySingleMemberSteps)
{
    const MemberSet three = testVoters (3);
    MemberSet withLearner = three;
    withLearner.members.push_back (testMember (4, false));
    EXPECT_TRUE (isAllowed (three, withLearner));
    EXPECT_TRUE (isAllowed (withLearner, testVoters (4)));
    EXPECT_TRUE (isAllowed (testVoters (4), three));
    EXPECT_TRUE (isAllowed (withLearner, three));

    EXPECT_FALSE (isAllowed (three, three)) << "no change";
    EXPECT_FALSE (isAllowed (three, testVoters (4)))
        << "added as a voter without being a learner first";
    EXPECT_FALSE (isAllowed (three, testVoters (1))) << "two members removed at once";
    EXPECT_FALSE (isAllowed (testVoters (4), withLearner)) << "a voter cannot become a learner";
    EXPECT_FALSE (isAllowed (testVoters (1), MemberSet{})) << "the only voter removed";
    MemberSet moved = three;
    moved.members[0].peerAddress = "127.0.0.1:9";
    EXPECT_FALSE (isAllowed (three, moved)) << "the address of a member cannot change";
    MemberSet nameless = three;
    nameless.members.push_back (testMember (0, false));
    EXPECT_FALSE (isAllowed (three, nameless));
}

TEST (Membership, DecodesDamagedBytesAsEmptySet)
{
    EXPECT_EQ (decodeMembers (encodeMembers (testVoters (3))), testVoters (3));
    EXPECT_TRUE (decodeMembers ("x").members.empty());
}

}  // namespace
}  // namespace fernlift::consensus
