#include <gtest/gtest.h>

#include "config/Catalogue.h"
#include "scale/ScaleCatalogue.h"

namespace fernlift::scale
{
namespace
{

TEST (ScaleCatalogueTest, IsAValidCatalogueOfTheSizes)
{
    const ScaleSizes sizes{ .runners = 90, .models = 20, .adapters = 3000 };
    const config::CatalogueOutcome outcome = config::parseCatalogue (catalogueText (sizes, 7));
    ASSERT_TRUE (outcome.catalogue) << outcome.problems.front().message;
    EXPECT_EQ (outcome.catalogue->version, 7U);
    EXPECT_EQ (outcome.catalogue->models.size(), 20U);
    EXPECT_EQ (outcome.catalogue->adapters.size(), 3000U);
    EXPECT_EQ (outcome.catalogue->models.front().minReplicas, 9U);
    EXPECT_EQ (keptReplicas (sizes), 180);
}

TEST (ScaleCatalogueTest, VersionsDiffer)
{
    const ScaleSizes sizes;
    EXPECT_NE (catalogueText (sizes, 1), catalogueText (sizes, 2));
    EXPECT_EQ (catalogueText (sizes, 1), catalogueText (sizes, 1));
}

TEST (ScaleCatalogueTest, MostAdaptersAreIdle)
{
    EXPECT_EQ (activeAdapters (0), 0);
    EXPECT_EQ (activeAdapters (10), 1);
    EXPECT_EQ (activeAdapters (3000), 60);
}

}  // namespace
}  // namespace fernlift::scale
