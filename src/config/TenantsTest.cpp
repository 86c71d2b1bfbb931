#include <gtest/gtest.h>

#include "config/ServiceCatalogue.h"
#include "config/Tenants.h"

namespace fernlift::config
{
namespace
{

Tenant tenant (const std::string& name, std::vector<std::string> keys)
{
    Tenant tenant;
    tenant.name = name;
    tenant.keys = std::move (keys);
    return tenant;
}

TEST (TenantsTest, ValidTenantsHaveNoProblems)
{
    EXPECT_TRUE (
        findTenantProblems ({ tenant ("farm", { "k1", "k2" }), tenant ("port", {}) }).empty());
}

TEST (TenantsTest, ReportsASharedKeyWithoutDisclosingIt)
{
    const auto problems =
        findTenantProblems ({ tenant ("farm", { "secret" }), tenant ("port", { "secret" }) });
    ASSERT_EQ (problems.size(), 1U);
    EXPECT_NE (problems[0].find ("'farm' and 'port'"), std::string::npos);
    EXPECT_EQ (problems[0].find ("secret"), std::string::npos);
}

TEST (TenantsTest, ChecksNamesAndLimits)
{
    EXPECT_EQ (findTenantProblems ({ tenant ("", { "k" }) }).size(), 1U);
    EXPECT_EQ (findTenantProblems ({ tenant ("farm", {}), tenant ("farm", {}) }).size(), 1U);
    EXPECT_EQ (findTenantProblems ({ tenant ("farm", { "" }) }).size(), 1U);
    Tenant negative = tenant ("farm", { "k" });
    negative.quota.ratePerSecond = -1;
    EXPECT_EQ (findTenantProblems ({ negative }).size(), 1U);
}

TEST (TenantsTest, ServiceCatalogueReportsProblemsOfItsTenants)
{
    ServiceCatalogue catalogue;
    catalogue.tenants = { tenant ("farm", { "k" }), tenant ("port", { "k" }) };
    EXPECT_EQ (findServiceProblems (catalogue).size(), 1U);
}

}  // namespace
}  // namespace fernlift::config
