#include <gtest/gtest.h>

#include "config/ServiceCatalogue.h"

namespace fernlift::config
{
namespace
{

Route validRoute (const std::string& name, const std::string& prefix)
{
    Route route;
    route.name = name;
    route.host = "host.test";
    route.pathPrefix = prefix;
    route.timeout = base::seconds (1);
    route.backends = { { "service", 1 } };
    return route;
}

ServiceCatalogue validCatalogue()
{
    ServiceCatalogue catalogue;
    catalogue.services.push_back ({ "service", "/health", 10, std::nullopt });
    catalogue.routes = { validRoute ("one", "/one/"), validRoute ("two", "/two/") };
    return catalogue;
}

std::size_t problemsWith (void (*change) (ServiceCatalogue&))
{
    ServiceCatalogue catalogue = validCatalogue();
    change (catalogue);
    return findServiceProblems (catalogue).size();
}

TEST (ServiceCatalogueTest, ValidCatalogueHasNoProblems)
{
    EXPECT_TRUE (findServiceProblems (validCatalogue()).empty());
}

TEST (ServiceCatalogueTest, ReportsEachProblem)
{
    EXPECT_EQ (
        problemsWith ([] (auto& catalogue) { catalogue.routes[0].backends[0].service = "x"; }), 1U);
    EXPECT_EQ (problemsWith ([] (auto& catalogue) { catalogue.routes[0].backends[0].weight = 0; }),
               1U);
    EXPECT_EQ (problemsWith ([] (auto& catalogue) { catalogue.routes[0].backends.clear(); }), 1U);
    EXPECT_EQ (problemsWith ([] (auto& catalogue) { catalogue.routes[0].timeout = {}; }), 1U);
    EXPECT_EQ (problemsWith ([] (auto& catalogue) { catalogue.routes[0].pathPrefix = "/two/"; }),
               1U);
    EXPECT_EQ (problemsWith ([] (auto& catalogue) { catalogue.routes[0].pathPrefix = "one"; }), 1U);
    EXPECT_EQ (problemsWith ([] (auto& catalogue) { catalogue.routes[0].host = ""; }), 1U);
    EXPECT_EQ (problemsWith ([] (auto& catalogue)
                             { catalogue.services.push_back (catalogue.services[0]); }),
               1U);
}

TEST (ServiceCatalogueTest, AcceptsAWeightOfZeroBesideAnother)
{
    EXPECT_EQ (problemsWith (
                   [] (auto& catalogue) {
                       catalogue.routes[0].backends.push_back ({ "service", 0 });
                   }),
               0U);
}

TEST (ServiceCatalogueTest, OnlyRepeatableAndResumableRoutesAreRepeatable)
{
    Route route = validRoute ("one", "/one/");
    EXPECT_FALSE (route.isRepeatable());
    route.kind = RouteKind::kRepeatable;
    EXPECT_TRUE (route.isRepeatable());
    route.kind = RouteKind::kStream;
    EXPECT_FALSE (route.isRepeatable());
    route.isResumable = true;
    EXPECT_TRUE (route.isRepeatable());
}

}  // namespace
}  // namespace fernlift::config
