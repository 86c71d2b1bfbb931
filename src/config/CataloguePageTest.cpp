#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <sstream>
#include <string>

#include "config/Catalogue.h"

namespace fernlift::config
{
namespace
{

/// Keys by table; "" is the top level of the file.
using Keys = std::map<std::string, std::set<std::string>>;

/// Gives the parser an unknown key in each table; its error messages list the allowed keys.
Keys keysOfParser()
{
    const std::string file =
        "unknown = 1\n[prices]\nunknown = 1\n[weight_store]\nunknown = 1\n[[class]]\nunknown = 1\n"
        "[[model]]\nunknown = 1\n[[adapter]]\nunknown = 1\n[[application]]\nunknown = 1\n";
    const std::string marker = "allowed: ";
    Keys keys;
    for (const CatalogueProblem& problem : parseCatalogue (file).problems)
    {
        if (! problem.key.ends_with ("unknown"))
            continue;
        std::istringstream list (
            problem.message.substr (problem.message.find (marker) + marker.size()));
        std::set<std::string>& table =
            keys[problem.key.substr (0, problem.key.find_first_of ("[.u"))];
        for (std::string key; std::getline (list >> std::ws, key, ',');)
            table.insert (key);
    }
    return keys;
}

/// Reads the keys from the page, which has a section `## [[table]]` for each table (`## File` for
/// the top level) with rows "| `key` | ...".
Keys keysOfPage()
{
    const char* const folder = std::getenv ("FERNLIFT_SOURCE_DIR");
    std::ifstream page (std::string (folder == nullptr ? "." : folder)
                        + "/docs/operators/catalogue.md");
    Keys keys;
    std::string table;
    for (std::string line; std::getline (page, line);)
    {
        if (line.starts_with ("## "))
        {
            table = line.substr (3);
            std::erase_if (table,
                           [] (char each) { return each == '[' || each == ']' || each == '`'; });
            if (table == "File")
                table.clear();
        }
        else if (line.starts_with ("| `"))
        {
            keys[table].insert (line.substr (3, line.find ('`', 3) - 3));
        }
    }
    return keys;
}

TEST (CataloguePageTest, ListsExactlyTheKeysOfTheParser)
{
    const Keys parser = keysOfParser();
    EXPECT_EQ (parser.size(), 7U);
    EXPECT_EQ (keysOfPage(), parser);
}

}  // namespace
}  // namespace fernlift::config
