#include <gtest/gtest.h>

#include "controller/MemberAdmission.h"

namespace fernlift::controller
{
namespace
{

constexpr base::TimePoint kNow{ base::seconds (100) };
constexpr base::Duration kSilent = base::seconds (2);

consensus::Member memberOf (base::MemberId id, const std::string& address, bool isVoter = true)
{
    return { id, address, "", "z1", isVoter };
}

class MemberAdmissionTest : public ::testing::Test
{
protected:
    MemberAdmissionTest()
    {
        m_status.self = 1;
        m_status.commitIndex = 10;
        m_status.members.targetSize = 3;
        add (memberOf (1, "a"), {});
        add (memberOf (2, "b"), {});
        add (memberOf (3, "c"), {});
    }

    void add (const consensus::Member& member, base::Duration silence)
    {
        m_status.members.members.push_back (member);
        if (member.id == m_status.self)
            return;
        m_status.progress.push_back ({ member, m_status.commitIndex, silence, false });
    }
    void silence (base::MemberId id, base::Duration duration)
    {
        for (consensus::MemberProgress& progress : m_status.progress)
        {
            if (progress.member.id == id)
                progress.sinceLastReply = duration;
        }
    }
    std::vector<base::MemberId> nextIds()
    {
        std::vector<base::MemberId> ids;
        const auto change = m_admission.nextChange (m_status, kNow);
        if (! change)
            return ids;
        for (const consensus::Member& member : change->members)
            ids.push_back (member.id);
        return ids;
    }

    consensus::RaftStatus m_status;
    MemberAdmission m_admission;
};

using Ids = std::vector<base::MemberId>;

TEST_F (MemberAdmissionTest, KeepsSilentVoterWithoutSuccessor)
{
    silence (3, base::seconds (60));
    EXPECT_TRUE (nextIds().empty());
}

TEST_F (MemberAdmissionTest, JoiningControllerBecomesLearnerAndThenVoter)
{
    m_admission.onJoinRequest (memberOf (9, "d"), false, kNow);
    const auto added = m_admission.nextChange (m_status, kNow);
    ASSERT_TRUE (added);
    EXPECT_FALSE (added->members.back().isVoter);
    EXPECT_EQ (added->targetSize, 3U);
    add (memberOf (9, "d", false), {});
    const auto promoted = m_admission.nextChange (m_status, kNow);
    ASSERT_TRUE (promoted);
    EXPECT_TRUE (promoted->members.back().isVoter);
}

TEST_F (MemberAdmissionTest, FounderIncreasesTargetSize)
{
    m_admission.onJoinRequest (memberOf (9, "d"), true, kNow);
    const auto added = m_admission.nextChange (m_status, kNow);
    ASSERT_TRUE (added);
    EXPECT_EQ (added->targetSize, 4U);
}

TEST_F (MemberAdmissionTest, LaggingLearnerIsNotPromoted)
{
    add (memberOf (9, "d", false), {});
    m_status.progress.back().matchIndex = 9;
    EXPECT_TRUE (nextIds().empty());
}

TEST_F (MemberAdmissionTest, LostVoterIsRemovedOnceSuccessorIsVoter)
{
    silence (3, kSilent);
    add (memberOf (9, "d", false), {});
    EXPECT_EQ (nextIds(), (Ids{ 1, 2, 3, 9 }));  // The promotion comes first.
    m_status.members.members.back().isVoter = true;
    EXPECT_EQ (nextIds(), (Ids{ 1, 2, 9 }));
}

TEST_F (MemberAdmissionTest, RemovesLongestSilentVoterFirst)
{
    silence (2, kSilent);
    silence (3, 2 * kSilent);
    add (memberOf (9, "d"), {});
    EXPECT_EQ (nextIds(), (Ids{ 1, 2, 9 }));
}

TEST_F (MemberAdmissionTest, RemovesMemberReplacedAtItsAddress)
{
    silence (2, 2 * kSilent);
    silence (3, kSilent);
    m_status.members.targetSize = 4;
    add (memberOf (9, "c"), {});
    EXPECT_EQ (nextIds(), (Ids{ 1, 2, 9 }));
}

TEST_F (MemberAdmissionTest, JoinRequestExpires)
{
    m_admission.onJoinRequest (memberOf (9, "d"), false, kNow - base::seconds (10));
    EXPECT_TRUE (nextIds().empty());
}

}  // namespace
}  // namespace fernlift::controller
