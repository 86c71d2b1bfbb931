#include <gtest/gtest.h>

#include "controller/DemandTable.h"

namespace fernlift::controller
{
namespace
{

cell::Demand demandOf (const std::string& target, std::uint32_t waiting, std::uint32_t running,
                       int urgency = 9)
{
    cell::Demand demand;
    demand.target = target;
    demand.waiting = waiting;
    demand.running = running;
    demand.mostUrgent = urgency;
    return demand;
}

class DemandTableTest : public ::testing::Test
{
protected:
    void report (DemandSource source, const cell::Demand& demand)
    {
        m_table.report (source, { { demand } }, m_now);
    }
    DemandTable m_table;
    base::TimePoint m_now{ base::seconds (1) };
};

TEST_F (DemandTableTest, AddsUpSourcesAndReplacesEarlierReports)
{
    report (1, demandOf ("a", 3, 1, 5));
    report (2, demandOf ("a", 2, 0, 1));
    report (1, demandOf ("a", 4, 2, 5));
    const placement::TargetDemand total = m_table.total ("a");
    EXPECT_EQ (total.waiting, 6U);
    EXPECT_EQ (total.running, 2U);
    EXPECT_EQ (total.mostUrgent, 1);
    EXPECT_EQ (m_table.sourcesOf ("a"), (std::vector<DemandSource>{ 1, 2 }));
}

TEST_F (DemandTableTest, RemovesDemandOnEmptyReportRemovedSourceOrExpiry)
{
    report (1, demandOf ("a", 1, 0));
    report (1, demandOf ("a", 0, 0));
    EXPECT_TRUE (m_table.totals().empty());
    report (1, demandOf ("a", 1, 0));
    m_table.forget (1);
    EXPECT_TRUE (m_table.totals().empty());
    report (1, demandOf ("a", 1, 0));
    m_now += base::seconds (31);
    m_table.expire (m_now);
    EXPECT_TRUE (m_table.totals().empty());
}

TEST_F (DemandTableTest, RunningRequestsKeepTheirWaitingUrgency)
{
    report (1, demandOf ("a", 1, 0, 0));
    report (1, demandOf ("a", 0, 1));
    EXPECT_EQ (m_table.total ("a").mostUrgent, 0);
    report (1, demandOf ("a", 1, 1, 4));
    EXPECT_EQ (m_table.total ("a").mostUrgent, 4);
}

TEST_F (DemandTableTest, NumberOfTargetsIsBounded)
{
    for (std::size_t number = 0; number < DemandTable::kMaxTargets; ++number)
    {
        report (1, demandOf (std::to_string (number), 1, 0));
    }
    report (1, demandOf ("one more", 1, 0));
    EXPECT_EQ (m_table.totals().size(), DemandTable::kMaxTargets);
    report (2, demandOf ("1", 4, 0));
    EXPECT_EQ (m_table.total ("1").waiting, 5U);
}

}  // namespace
}  // namespace fernlift::controller
