#include <gtest/gtest.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <memory>

#include "controller/TestCell.h"

namespace fernlift::controller
{
namespace
{

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

class MembersAdminTest : public testing::Test
{
protected:
    MembersAdminTest()
    {
        test::TestCell::Options options;
        options.controller.cell = base::CellId ("c");
        m_cell = std::make_unique<test::TestCell> (options);
    }

    std::unique_ptr<test::TestCell> m_cell;
};

TEST_F (MembersAdminTest, PromotionOfAnUnknownMemberIsNotFound)
{
    ASSERT_TRUE (m_cell->awaitLeader());
    const auto answer = m_cell->ask (m_cell->leader(), AdminPromoteMember{ 77 });
    ASSERT_TRUE (answer);
    EXPECT_EQ (answer->httpStatus, kNotFound) << answer->json;
}

TEST_F (MembersAdminTest, ChangeIsAnsweredOnlyOnceCommitted)
{
    ASSERT_TRUE (m_cell->awaitLeader());
    const base::MemberId leader = m_cell->leader();
    const base::MemberId first = leader % 3 + 1;
    const base::MemberId second = first % 3 + 1;
    m_cell->cut (first, true);
    m_cell->cut (second, true);
    const auto uncommitted = m_cell->ask (leader, AdminRemoveMember{ first });
    ASSERT_TRUE (uncommitted) << "the request must be answered when leadership ends";
    EXPECT_EQ (uncommitted->httpStatus, kUnavailable) << uncommitted->json;
    m_cell->cut (first, false);
    m_cell->cut (second, false);
    ASSERT_TRUE (m_cell->awaitLeader());
    const base::MemberId removed = m_cell->leader() % 3 + 1;
    const auto committed = m_cell->ask (m_cell->leader(), AdminRemoveMember{ removed });
    ASSERT_TRUE (committed);
    EXPECT_EQ (committed->httpStatus, kOk) << committed->json;
}

TEST_F (MembersAdminTest, ErrorsContainLeaderAndProblems)
{
    ASSERT_TRUE (m_cell->awaitLeader());
    const base::MemberId follower = m_cell->leader() % 3 + 1;
    const auto refused =
        m_cell->ask (follower, AdminApply{ "version = 1", false, base::seconds (1) });
    ASSERT_TRUE (refused);
    const QJsonObject error = QJsonDocument::fromJson (QByteArray::fromStdString (refused->json))
                                  .object()
                                  .value (u"error")
                                  .toObject();
    EXPECT_FALSE (error.value (u"leader").toString().isEmpty()) << refused->json;
    const auto invalid =
        m_cell->ask (m_cell->leader(), AdminApply{ "version = 1", false, base::seconds (1) });
    ASSERT_TRUE (invalid);
    EXPECT_FALSE (QJsonDocument::fromJson (QByteArray::fromStdString (invalid->json))
                      .object()
                      .value (u"error")
                      .toObject()
                      .value (u"problems")
                      .toArray()
                      .isEmpty())
        << invalid->json;
}

}  // namespace
}  // namespace fernlift::controller
