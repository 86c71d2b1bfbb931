#include <gtest/gtest.h>

#include "consensus/RaftTestSupport.h"

namespace fernlift::consensus
{
namespace
{

/// Voters 1 to `count` that have reached the indexes 1 to `count`.
LogIndex majorityOf (MemberId count)
{
    MemberSet members = testVoters (count);
    members.members.push_back (testMember (100, false));
    return majorityValue (members, LogIndex{ 0 }, [] (MemberId id) { return LogIndex{ id }; });
}

TEST (Membership, aMajorityIsMoreThanHalfOfTheVoters)
{
    EXPECT_EQ (majorityOf (0), 0U) << "nobody";
    EXPECT_EQ (majorityOf (1), 1U);
    EXPECT_EQ (majorityOf (2), 1U) << "both";
    EXPECT_EQ (majorityOf (3), 2U);
    EXPECT_EQ (majorityOf (4), 2U) << "three of four";
    EXPECT_EQ (majorityOf (5), 3U);
}

bool isAllowed (const MemberSet& before, const MemberSet& after)
{
    return ! failureOf ([&] { return classifyChange (before, after); });
}

TEST (Membership, changesByOneStepOfOneMember)
{
    const MemberSet three = testVoters (3);
    MemberSet withLearner = three;
    withLearner.members.push_back (testMember (4, false));
    EXPECT_TRUE (isAllowed (three, withLearner));
    EXPECT_TRUE (isAllowed (withLearner, testVoters (4)));
    EXPECT_TRUE (isAllowed (testVoters (4), three));
    EXPECT_TRUE (isAllowed (withLearner, three));

    EXPECT_FALSE (isAllowed (three, three)) << "no change";
    EXPECT_FALSE (isAllowed (three, testVoters (4))) << "not through a learner";
    EXPECT_FALSE (isAllowed (three, testVoters (1))) << "two at once";
    EXPECT_FALSE (isAllowed (testVoters (4), withLearner)) << "a voter is not made a learner";
    EXPECT_FALSE (isAllowed (testVoters (1), MemberSet{})) << "nobody would be left";
    MemberSet moved = three;
    moved.members[0].peerAddress = "127.0.0.1:9";
    EXPECT_FALSE (isAllowed (three, moved)) << "an address belongs to its identity";
    MemberSet nameless = three;
    nameless.members.push_back (testMember (0, false));
    EXPECT_FALSE (isAllowed (three, nameless));
}

TEST (Membership, ofDamagedBytesIsEmpty)
{
    EXPECT_EQ (decodeMembers (encodeMembers (testVoters (3))), testVoters (3));
    EXPECT_TRUE (decodeMembers ("x").members.empty());
}

}  // namespace
}  // namespace fernlift::consensus
