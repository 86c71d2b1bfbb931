#pragma once

/// Typed reading of one TOML table that collects all errors instead of stopping at the first.

#include <toml++/toml.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "config/Catalogue.h"

namespace fernlift::config
{

/// Errors found so far, and the line of every key that was read.
class ProblemList
{
public:
    void report (int line, const std::string& key, std::string message);
    /// Reports an error at the line of a key that was read before.
    void reportAt (const std::string& key, std::string message);
    void recordLine (const std::string& key, int line) { m_lines.emplace (key, line); }
    /// Removes and returns all errors, sorted by line.
    [[nodiscard]] std::vector<CatalogueProblem> takeSorted();

private:
    std::vector<CatalogueProblem> m_problems;
    std::map<std::string, int> m_lines;
};

enum class Presence : std::uint8_t
{
    kRequired,
    kOptional
};

struct IntegerRange
{
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
};

struct RealRange
{
    double minimum = 0;
    double maximum = 0;
};

/// Reads the keys of one table. Reports an invalid or missing value and returns its fallback.
class TableReader
{
public:
    /// `path` precedes the keys in reports, for example "model[3]"; empty for the top level.
    TableReader (const toml::table& table, std::string path, ProblemList& problems);

    /// Reads a name: letters, digits and "._-:", the first a letter or digit.
    std::string readName (std::string_view key);
    std::vector<std::string> readNames (std::string_view key, std::size_t maximumCount,
                                        Presence presence);
    std::int64_t readInteger (std::string_view key, IntegerRange range, Presence presence,
                              std::int64_t fallback);
    double readReal (std::string_view key, RealRange range, double fallback);
    bool readBoolean (std::string_view key, bool fallback);
    /// Reads the elements of an array of tables [[key]], in order.
    std::vector<const toml::table*> readTables (std::string_view key, std::size_t maximumCount);
    /// Reads the table [key]; null if there is none.
    const toml::table* readTable (std::string_view key);
    /// Reports every key of the table that was never read.
    void reportUnknownKeys();

    [[nodiscard]] std::string pathOf (std::string_view key) const;

private:
    const toml::node* find (std::string_view key, Presence presence, std::string_view allowed);
    void reportFound (const std::string& path, const toml::node& node, std::string_view allowed);
    std::string checkName (const std::string& path, const toml::node& node);

    const toml::table& m_table;
    std::string m_path;
    ProblemList& m_problems;
    std::set<std::string, std::less<>> m_readKeys;
};

}  // namespace fernlift::config
