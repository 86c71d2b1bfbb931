#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <set>

#include "config/Catalogue.h"
#include "config/CatalogueLimits.h"

namespace fernlift::config
{
namespace
{

std::string readExample (const std::string& name)
{
    const char* const folder = std::getenv ("FERNLIFT_SOURCE_DIR");
    std::ifstream stream (std::string (folder == nullptr ? "." : folder) + "/examples/" + name,
                          std::ios::binary);
    return { std::istreambuf_iterator<char> (stream), {} };
}

std::string listOf (const std::vector<CatalogueProblem>& problems)
{
    std::string text;
    for (const CatalogueProblem& problem : problems)
    {
        text += std::to_string (problem.line) + ": " + problem.key + ": " + problem.message + "\n";
    }
    return text;
}

/// A valid file with `addition` appended.
std::string fileWith (const std::string& addition)
{
    return R"(cell = "c"
version = 7
zones = ["z1", "z2"]
largest_runner_memory_mb = 1000
[[class]]
name = "urgent"
urgency = 0
deadline_ms = 2000
reserved_slot_share = 0.5
[[model]]
name = "m"
version = "1"
memory_mb = 900
max_replicas = 2
class = "urgent"
)" + addition;
}

constexpr int kLinesOfFile = 15;

void expectOnly (const std::string& text, int line, const std::string& key, const std::string& part)
{
    const CatalogueOutcome outcome = parseCatalogue (text);
    EXPECT_FALSE (outcome.catalogue);
    ASSERT_EQ (outcome.problems.size(), 1U) << listOf (outcome.problems);
    EXPECT_EQ (outcome.problems[0].line, line) << listOf (outcome.problems);
    EXPECT_EQ (outcome.problems[0].key, key);
    EXPECT_NE (outcome.problems[0].message.find (part), std::string::npos)
        << listOf (outcome.problems);
}

struct ExampleSizes
{
    const char* file;
    std::size_t zones, models, adapters, applications;
    double loadsPerSecond;
    std::uint32_t concurrentLoads;
};

class CatalogueExampleTest : public testing::TestWithParam<ExampleSizes>
{
};

TEST_P (CatalogueExampleTest, IsValidAndHasTheExpectedSize)
{
    const ExampleSizes& sizes = GetParam();
    const CatalogueOutcome outcome = parseCatalogue (readExample (sizes.file));
    ASSERT_TRUE (outcome.catalogue) << listOf (outcome.problems);
    EXPECT_EQ (outcome.catalogue->zones.size(), sizes.zones);
    EXPECT_EQ (outcome.catalogue->models.size(), sizes.models);
    EXPECT_EQ (outcome.catalogue->adapters.size(), sizes.adapters);
    EXPECT_EQ (outcome.catalogue->applications.size(), sizes.applications);
    EXPECT_EQ (outcome.catalogue->weightStore.loadsPerSecond, sizes.loadsPerSecond);
    EXPECT_EQ (outcome.catalogue->weightStore.concurrentLoads, sizes.concurrentLoads);
}

INSTANTIATE_TEST_SUITE_P (Examples, CatalogueExampleTest,
                          testing::Values (ExampleSizes{ "demo.toml", 3, 4, 2, 1, 3.0, 6 },
                                           ExampleSizes{ "airlink.toml", 4, 60, 95, 4, 3.0, 6 },
                                           ExampleSizes{ "lima.toml", 3, 40, 95, 3, 4.0, 13 }));

TEST (CatalogueTest, ReadsEveryValue)
{
    const CatalogueOutcome outcome = parseCatalogue (readExample ("demo.toml"));
    ASSERT_TRUE (outcome.catalogue) << listOf (outcome.problems);
    const Catalogue& catalogue = *outcome.catalogue;
    EXPECT_EQ (catalogue.cell.value, "demo");
    EXPECT_EQ (catalogue.largestRunnerMemory, 80000U);
    EXPECT_EQ (catalogue.prices.idleAcceleratorHour, 2.0);
    const RequestClass* const approval = catalogue.findClass (base::RequestClassName ("approval"));
    ASSERT_NE (approval, nullptr);
    EXPECT_EQ (*approval, (RequestClass{ base::RequestClassName ("approval"), 1, base::seconds (10),
                                         false, 0.1 }));
    const Model* const review = catalogue.findModel (base::ModelName ("contract-review"));
    ASSERT_NE (review, nullptr);
    EXPECT_EQ (*review, (Model{ base::ModelName ("contract-review"),
                                "2",
                                40000,
                                1,
                                0,
                                { base::ZoneName ("z1"), base::ZoneName ("z2") },
                                base::RequestClassName ("audit") }));
    const Adapter* const adapter = catalogue.findAdapter (base::AdapterName ("fault-summary"));
    ASSERT_NE (adapter, nullptr);
    EXPECT_EQ (adapter->base.value, "assistant-small");
    EXPECT_NE (catalogue.findApplication (base::ApplicationName ("portal")), nullptr);
    EXPECT_EQ (catalogue.findModel (base::ModelName ("absent")), nullptr);
}

TEST (CatalogueTest, ReportsEachKindOfErrorWithLineAndKey)
{
    ASSERT_TRUE (parseCatalogue (fileWith ("")).catalogue);
    const int line = kLinesOfFile;
    const std::string model =
        "[[model]]\nname = \"n\"\nversion = \"1\"\nmemory_mb = 1\nmax_replicas = 1\nclass = ";
    const std::string adapter =
        "[[adapter]]\nname = \"a\"\nmemory_mb = 1\nmax_replicas = 1\nclass = \"urgent\"\nbase = ";
    expectOnly (fileWith (model + "\"odd\""), line + 6, "model[1].class", "name of a [[class]]");
    expectOnly (fileWith (model + "\"urgent\"\nmin_replicas = 2"), line + 7,
                "model[1].min_replicas", "at most max_replicas, 1");
    expectOnly (fileWith (model + "\"urgent\"\nzones = [\"z1\", \"z3\"]"), line + 7,
                "model[1].zones[1]", "a zone of the key zones");
    expectOnly (fileWith (model + "\"urgent\"\nzones = []"), line + 7, "model[1].zones",
                "found 0 names");
    expectOnly (fileWith (model + "\"urgent\"\nreplicas = 1"), line + 7, "model[1].replicas",
                "unknown key");
    expectOnly (fileWith (adapter + "\"x\""), line + 6, "adapter[0].base", "name of a [[model]]");
    expectOnly (fileWith ("[[adapter]]\nname = \"a\"\nmemory_mb = 1\nmax_replicas = 1\nclass = "
                          "\"urgent\""),
                line + 1, "adapter[0].base", "missing");
    expectOnly (fileWith ("[[application]]\nname = \"m\"\nclass = \"urgent\""), line + 2,
                "application[0].name", "which model[0].name has already");
    expectOnly (fileWith ("[[class]]\nname = \"urgent\"\nurgency = 1\ndeadline_ms = 1"), line + 2,
                "class[1].name", "which class[0].name has already");
    expectOnly (fileWith ("[prices]\ncold_start_second = -1"), line + 2, "prices.cold_start_second",
                "found -1");
    expectOnly (fileWith ("[weight_store]\nconcurrent_loads = \"6\""), line + 2,
                "weight_store.concurrent_loads", "found '6'");
}

TEST (CatalogueTest, RejectsAdapterWithTheNameOfAModel)
{
    expectOnly (
        fileWith ("[[adapter]]\nname = \"m\"\nbase = \"m\"\nmemory_mb = 1\nmax_replicas = 1\n"
                  "class = \"urgent\""),
        kLinesOfFile + 2, "adapter[0].name", "which model[0].name has already");
}

TEST (CatalogueTest, RejectsMemoryAboveTheLargestRunner)
{
    const std::string adapter =
        "[[adapter]]\nname = \"a\"\nbase = \"m\"\nmax_replicas = 1\nclass = \"urgent\"\nmemory_mb "
        "= ";
    EXPECT_TRUE (parseCatalogue (fileWith (adapter + "100")).catalogue);
    expectOnly (fileWith (adapter + "101"), kLinesOfFile + 6, "adapter[0].memory_mb",
                "found 1001 together with its base 'm'");
}

TEST (CatalogueTest, ReservedSharesSumToAtMostNineTenths)
{
    const std::string second =
        "[[class]]\nname = \"other\"\nurgency = 1\ndeadline_ms = 1\nreserved_slot_share = ";
    EXPECT_TRUE (parseCatalogue (fileWith (second + "0.4")).catalogue);
    const CatalogueOutcome outcome = parseCatalogue (fileWith (second + "0.41"));
    ASSERT_EQ (outcome.problems.size(), 1U);
    EXPECT_EQ (outcome.problems[0].key, "class");
}

TEST (CatalogueTest, ReportsAllErrorsAtOnceSortedByLine)
{
    const CatalogueOutcome outcome = parseCatalogue (
        "cell = \"-\"\nversion = 0\nzones = [\"z\", \"z\"]\nextra = 1\n[[model]]\nname = 4\n"
        "[[class]]\nname = \"c\"\nurgency = 10\ndeadline_ms = 0\nrepeatable = 1\n");
    std::set<std::string> keys;
    for (const CatalogueProblem& problem : outcome.problems)
        keys.insert (problem.key);
    const std::set<std::string> expected{ "cell",
                                          "version",
                                          "zones[1]",
                                          "extra",
                                          "model[0].name",
                                          "model[0].version",
                                          "model[0].memory_mb",
                                          "model[0].max_replicas",
                                          "model[0].class",
                                          "class[0].urgency",
                                          "class[0].deadline_ms",
                                          "class[0].repeatable" };
    EXPECT_EQ (keys, expected) << listOf (outcome.problems);
    EXPECT_TRUE (std::is_sorted (outcome.problems.begin(), outcome.problems.end(),
                                 [] (const auto& left, const auto& right)
                                 { return left.line < right.line; }));
}

TEST (CatalogueTest, EnforcesSizeLimits)
{
    std::string models;
    for (std::size_t index = 0; index < kMaxModels; ++index)
    {
        models += "[[model]]\nname = \"n" + std::to_string (index)
                  + "\"\nversion = \"1\"\nmemory_mb = 1\nmax_replicas = 1\nclass = \"urgent\"\n";
    }
    const CatalogueOutcome many = parseCatalogue (fileWith (models));
    ASSERT_EQ (many.problems.size(), 1U) << listOf (many.problems);
    EXPECT_EQ (many.problems[0].key, "model");
    const CatalogueOutcome large =
        parseCatalogue (fileWith ("#" + std::string (kMaxCatalogueBytes, 'x')));
    ASSERT_EQ (large.problems.size(), 1U);
    EXPECT_NE (large.problems[0].message.find ("bytes"), std::string::npos);
    const std::string longName (kMaxNameLength + 1, 'n');
    EXPECT_EQ (parseCatalogue (
                   fileWith ("[[application]]\nname = \"" + longName + "\"\nclass = \"urgent\""))
                   .problems.size(),
               1U);
}

TEST (CatalogueTest, TruncatesTheListOfProblems)
{
    std::string unknown;
    for (std::size_t index = 0; index < 2 * kMaxProblems; ++index)
    {
        unknown += "k" + std::to_string (index) + " = 1\n";
    }
    const CatalogueOutcome outcome = parseCatalogue (unknown + fileWith (""));
    EXPECT_EQ (outcome.problems.size(), kMaxProblems + 1);
}

TEST (CatalogueTest, ReportsInvalidTomlWithItsLine)
{
    expectOnly ("cell = \"c\"\nversion = \n", 2, "", "not valid TOML");
    expectOnly ("cell = \"\xff\"\n", 1, "", "not valid TOML");
}

TEST (CatalogueTest, AllowsListedZonesOnlyAndAnyZoneForAnEmptyList)
{
    const base::ZoneName first{ "z1" };
    const base::ZoneName second{ "z2" };
    const base::ZoneName third{ "z3" };
    EXPECT_TRUE (allowsZone ({}, first));
    EXPECT_TRUE (allowsZone ({ first, second }, first));
    EXPECT_TRUE (allowsZone ({ first, second }, second));
    EXPECT_FALSE (allowsZone ({ first, second }, third));
}

/// Applies `count` random edits to a file: bytes replaced or inserted, ranges erased or duplicated.
std::string mutate (std::string text, int count)
{
    static const std::string kPieces = "[]{}=\"'#.\n-0129ezmtrue\\\xc3";
    for (int edit = 0; edit < count && ! text.empty(); ++edit)
    {
        const auto position = *rc::gen::inRange<std::size_t> (0, text.size());
        const auto length = *rc::gen::inRange<std::size_t> (1, 40);
        switch (*rc::gen::inRange (0, 4))
        {
            case 0:
                text[position] = *rc::gen::elementOf (kPieces);
                break;
            case 1:
                text.erase (position, length);
                break;
            case 2:
                text.insert (position, text.substr (position, length));
                break;
            default:
                text.insert (position, 1, *rc::gen::elementOf (kPieces));
        }
    }
    return text;
}

RC_GTEST_PROP (CatalogueTest, MutatedFileParsesOrReportsAProblem, ())
{
    static const std::string kOriginal = readExample ("demo.toml");
    const std::string text = mutate (kOriginal, *rc::gen::inRange (1, 6));
    const CatalogueOutcome outcome = parseCatalogue (text);
    RC_ASSERT (outcome.catalogue.has_value() == outcome.problems.empty());
    for (const CatalogueProblem& problem : outcome.problems)
        RC_ASSERT (! problem.message.empty());
    const CatalogueOutcome again = parseCatalogue (text);
    RC_ASSERT (outcome.catalogue == again.catalogue);
    RC_ASSERT (listOf (outcome.problems) == listOf (again.problems));
}

}  // namespace
}  // namespace fernlift::config
