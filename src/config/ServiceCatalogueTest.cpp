#include <gtest/gtest.h>

#include "config/ServiceCatalogue.h"

namespace fernlift::config
{
namespace
{

Route soundRoute (const std::string& name, const std::string& prefix)
{
    Route route;
    route.name = name;
    route.host = "host.test";
    route.pathPrefix = prefix;
    route.timeout = base::seconds (1);
    route.backends = { { "service", 1 } };
    return route;
}

ServiceCatalogue soundCatalogue()
{
    ServiceCatalogue catalogue;
    catalogue.services.push_back ({ "service", "/health", 10, std::nullopt });
    catalogue.routes = { soundRoute ("one", "/one/"), soundRoute ("two", "/two/") };
    return catalogue;
}

std::size_t problemsWith (void (*change) (ServiceCatalogue&))
{
    ServiceCatalogue catalogue = soundCatalogue();
    change (catalogue);
    return findServiceProblems (catalogue).size();
}

TEST (ServiceCatalogueTest, ASoundCatalogueHasNoProblems)
{
    EXPECT_TRUE (findServiceProblems (soundCatalogue()).empty());
}

TEST (ServiceCatalogueTest, EachFaultIsFound)
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

TEST (ServiceCatalogueTest, AWeightOfZeroBesideAnotherIsSound)
{
    EXPECT_EQ (problemsWith (
                   [] (auto& catalogue) {
                       catalogue.routes[0].backends.push_back ({ "service", 0 });
                   }),
               0U);
}

TEST (ServiceCatalogueTest, OnlyRepeatableAndResumableRoutesMayRunAgain)
{
    Route route = soundRoute ("one", "/one/");
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
