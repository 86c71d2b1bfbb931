#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "proxy/KeyTable.h"

namespace fernlift::proxy
{
namespace
{

std::vector<config::Tenant> tenants()
{
    std::vector<config::Tenant> tenants (2);
    tenants[0].name = "farm";
    tenants[0].keys = { "k1", "k2" };
    tenants[1].name = "port";
    tenants[1].keys = { "k3" };
    return tenants;
}

std::string holderOf (const http::Headers& headers)
{
    const std::vector<config::Tenant> all = tenants();
    const KeyTable table (all);
    const config::Tenant* tenant = table.tenantOf (headers);
    return tenant == nullptr ? "" : tenant->name;
}

TEST (KeyTableTest, FindsTenantOfEachKey)
{
    EXPECT_EQ (holderOf ({ { "Authorization", "Bearer k1" } }), "farm");
    EXPECT_EQ (holderOf ({ { "authorization", "bearer  k2 " } }), "farm");
    EXPECT_EQ (holderOf ({ { "Authorization", "Bearer k3" } }), "port");
}

TEST (KeyTableTest, OtherCredentialsHaveNoTenant)
{
    EXPECT_EQ (holderOf ({}), "");
    EXPECT_EQ (holderOf ({ { "Authorization", "" } }), "");
    EXPECT_EQ (holderOf ({ { "Authorization", "Bearer" } }), "");
    EXPECT_EQ (holderOf ({ { "Authorization", "Bearer " } }), "");
    EXPECT_EQ (holderOf ({ { "Authorization", "Basic k1" } }), "");
    EXPECT_EQ (holderOf ({ { "Authorization", "Bearerk1" } }), "");
    EXPECT_EQ (holderOf ({ { "Authorization", "Bearer k" } }), "");
    EXPECT_EQ (holderOf ({ { "Authorization", "Bearer k1 k1" } }), "");
    EXPECT_EQ (holderOf ({ { "Authorization", "Bearer k1" }, { "Authorization", "Bearer k1" } }),
               "");
}

RC_GTEST_PROP (KeyTableTest, OnlyKnownKeyHasTenant, (const std::string& credentials))
{
    const std::string_view token = bearerToken (credentials);
    const bool isKnown = token == "k1" || token == "k2" || token == "k3";
    RC_ASSERT (holderOf ({ { "Authorization", credentials } }).empty() != isKnown);
}

}  // namespace
}  // namespace fernlift::proxy
