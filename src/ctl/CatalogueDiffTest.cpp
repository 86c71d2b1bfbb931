#include <gtest/gtest.h>

#include <algorithm>

#include "ctl/CatalogueDiff.h"

namespace fernlift::ctl
{
namespace
{

config::Catalogue exampleCatalogue()
{
    config::Catalogue catalogue;
    catalogue.cell = base::CellId ("c");
    catalogue.version = 1;
    catalogue.classes.push_back (config::RequestClass{ base::RequestClassName ("urgent") });
    for (const char* name : { "a", "b" })
    {
        config::Model model;
        model.name = base::ModelName (name);
        model.memory = 100;
        catalogue.models.push_back (model);
    }
    return catalogue;
}

TEST (CatalogueDiffTest, IgnoresTheOrderOfItems)
{
    const config::Catalogue before = exampleCatalogue();
    config::Catalogue after = before;
    std::reverse (after.models.begin(), after.models.end());
    EXPECT_TRUE (compareCatalogues (before, after).empty());
}

TEST (CatalogueDiffTest, ListsAddedRemovedAndChangedItems)
{
    const config::Catalogue before = exampleCatalogue();
    config::Catalogue after = before;
    after.version = 2;
    after.weightStore.concurrentLoads = 6;
    after.models[0].memory = 200;
    after.models[0].zones = { base::ZoneName ("z1"), base::ZoneName ("z2") };
    after.models.pop_back();
    after.applications.push_back (config::Application{ base::ApplicationName ("portal"), {}, {} });
    const std::vector<CatalogueChange> expected{
        { ChangeKind::kAdded, "application portal", "", "", "" },
        { ChangeKind::kChanged, "file", "version", "1", "2" },
        { ChangeKind::kChanged, "file", "weight_store.concurrent_loads", "1", "6" },
        { ChangeKind::kChanged, "model a", "memory_mb", "100", "200" },
        { ChangeKind::kChanged, "model a", "zones", "any", "z1, z2" },
        { ChangeKind::kRemoved, "model b", "", "", "" }
    };
    EXPECT_EQ (compareCatalogues (before, after), expected);
}

}  // namespace
}  // namespace fernlift::ctl
