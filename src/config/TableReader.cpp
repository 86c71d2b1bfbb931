#include "config/TableReader.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "config/CatalogueLimits.h"

namespace fernlift::config
{
namespace
{

constexpr std::size_t kMaxQuotedLength = 80;

int lineOf (const toml::node& node) { return static_cast<int> (node.source().begin.line); }

bool isLetterOrDigit (char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
           || (character >= '0' && character <= '9');
}

bool isName (std::string_view text)
{
    if (text.empty() || text.size() > kMaxNameLength || ! isLetterOrDigit (text.front()))
    {
        return false;
    }
    return std::all_of (text.begin(), text.end(),
                        [] (char character)
                        {
                            return isLetterOrDigit (character)
                                   || std::string_view ("._-:").find (character)
                                          != std::string_view::npos;
                        });
}

std::string allowedName()
{
    return "1 to " + std::to_string (kMaxNameLength)
           + " characters, letters, digits and . _ - :, the first a letter or digit";
}

std::string describe (const toml::node& node)
{
    if (node.is_table())
        return "a table";
    if (node.is_array())
        return "an array";
    std::ostringstream stream;
    node.visit ([&] (const auto& value) { stream << value; });
    std::string text = stream.str();
    if (text.size() > kMaxQuotedLength)
        text = text.substr (0, kMaxQuotedLength) + "...";
    return text;
}

std::string formatReal (double number)
{
    std::ostringstream stream;
    stream << number;
    return stream.str();
}

std::string elementOf (const std::string& path, std::size_t index)
{
    return path + "[" + std::to_string (index) + "]";
}

}  // namespace

void ProblemList::report (int line, const std::string& key, std::string message)
{
    if (m_problems.size() > kMaxProblems)
        return;
    if (m_problems.size() == kMaxProblems)
        message = "further problems are omitted";
    m_problems.push_back (CatalogueProblem{ line, key, std::move (message) });
}

void ProblemList::reportAt (const std::string& key, std::string message)
{
    const auto line = m_lines.find (key);
    report (line == m_lines.end() ? 0 : line->second, key, std::move (message));
}

std::vector<CatalogueProblem> ProblemList::takeSorted()
{
    std::stable_sort (m_problems.begin(), m_problems.end(),
                      [] (const CatalogueProblem& left, const CatalogueProblem& right)
                      { return left.line < right.line; });
    return std::move (m_problems);
}

TableReader::TableReader (const toml::table& table, std::string path, ProblemList& problems)
    : m_table (table), m_path (std::move (path)), m_problems (problems)
{
    if (! m_path.empty())
        m_problems.recordLine (m_path, lineOf (m_table));
}

std::string TableReader::pathOf (std::string_view key) const
{
    return m_path.empty() ? std::string (key) : m_path + "." + std::string (key);
}

void TableReader::reportFound (const std::string& path, const toml::node& node,
                               std::string_view allowed)
{
    m_problems.report (lineOf (node), path,
                       "found " + describe (node) + ", allowed: " + std::string (allowed));
}

const toml::node* TableReader::find (std::string_view key, Presence presence,
                                     std::string_view allowed)
{
    m_readKeys.emplace (key);
    const toml::node* const node = m_table.get (key);
    const std::string path = pathOf (key);
    if (node != nullptr)
    {
        m_problems.recordLine (path, lineOf (*node));
    }
    else if (presence == Presence::kRequired)
    {
        m_problems.report (lineOf (m_table), path, "missing, allowed: " + std::string (allowed));
    }
    return node;
}

std::string TableReader::checkName (const std::string& path, const toml::node& node)
{
    const auto* const text = node.as_string();
    if (text == nullptr || ! isName (text->get()))
    {
        reportFound (path, node, allowedName());
        return {};
    }
    return text->get();
}

std::string TableReader::readName (std::string_view key)
{
    const toml::node* const node = find (key, Presence::kRequired, allowedName());
    return node == nullptr ? std::string() : checkName (pathOf (key), *node);
}

std::vector<std::string> TableReader::readNames (std::string_view key, std::size_t maximumCount,
                                                 Presence presence)
{
    const std::string allowed = "array of 1 to " + std::to_string (maximumCount) + " names";
    const toml::node* const node = find (key, presence, allowed);
    if (node == nullptr)
        return {};
    const std::string path = pathOf (key);
    const toml::array* const array = node->as_array();
    if (array == nullptr || array->empty() || array->size() > maximumCount)
    {
        const std::string found =
            array == nullptr ? describe (*node) : std::to_string (array->size()) + " names";
        m_problems.report (lineOf (*node), path, "found " + found + ", allowed: " + allowed);
        return {};
    }
    std::vector<std::string> names;
    for (std::size_t index = 0; index < array->size(); ++index)
    {
        const toml::node& element = *array->get (index);
        const std::string elementPath = elementOf (path, index);
        m_problems.recordLine (elementPath, lineOf (element));
        names.push_back (checkName (elementPath, element));
    }
    return names;
}

std::int64_t TableReader::readInteger (std::string_view key, IntegerRange range, Presence presence,
                                       std::int64_t fallback)
{
    const std::string allowed =
        "integer from " + std::to_string (range.minimum) + " to " + std::to_string (range.maximum);
    const toml::node* const node = find (key, presence, allowed);
    if (node == nullptr)
        return fallback;
    const auto* const number = node->as_integer();
    if (number == nullptr || number->get() < range.minimum || number->get() > range.maximum)
    {
        reportFound (pathOf (key), *node, allowed);
        return fallback;
    }
    return number->get();
}

double TableReader::readReal (std::string_view key, RealRange range, double fallback)
{
    const std::string allowed =
        "number from " + formatReal (range.minimum) + " to " + formatReal (range.maximum);
    const toml::node* const node = find (key, Presence::kOptional, allowed);
    if (node == nullptr)
        return fallback;
    const std::optional<double> number = node->is_number() ? node->value<double>() : std::nullopt;
    const bool isValid = number && *number >= range.minimum && *number <= range.maximum;
    if (! isValid)
    {
        reportFound (pathOf (key), *node, allowed);
        return fallback;
    }
    return *number;
}

bool TableReader::readBoolean (std::string_view key, bool fallback)
{
    constexpr std::string_view kAllowed = "true or false";
    const toml::node* const node = find (key, Presence::kOptional, kAllowed);
    if (node == nullptr)
        return fallback;
    if (! node->is_boolean())
    {
        reportFound (pathOf (key), *node, kAllowed);
        return fallback;
    }
    return node->as_boolean()->get();
}

std::vector<const toml::table*> TableReader::readTables (std::string_view key,
                                                         std::size_t maximumCount)
{
    const std::string allowed =
        "up to " + std::to_string (maximumCount) + " tables [[" + pathOf (key) + "]]";
    const toml::node* const node = find (key, Presence::kOptional, allowed);
    if (node == nullptr)
        return {};
    const toml::array* const array = node->as_array();
    if (array == nullptr)
    {
        reportFound (pathOf (key), *node, allowed);
        return {};
    }
    if (array->size() > maximumCount)
    {
        m_problems.report (lineOf (*node), pathOf (key),
                           "found " + std::to_string (array->size()) + ", allowed: " + allowed);
    }
    std::vector<const toml::table*> tables;
    for (std::size_t index = 0; index < array->size(); ++index)
    {
        const toml::node& element = *array->get (index);
        if (element.is_table())
        {
            tables.push_back (element.as_table());
        }
        else
        {
            reportFound (elementOf (pathOf (key), index), element, allowed);
        }
    }
    return tables;
}

const toml::table* TableReader::readTable (std::string_view key)
{
    const std::string allowed = "a table [" + pathOf (key) + "]";
    const toml::node* const node = find (key, Presence::kOptional, allowed);
    if (node == nullptr)
        return nullptr;
    if (! node->is_table())
        reportFound (pathOf (key), *node, allowed);
    return node->as_table();
}

void TableReader::reportUnknownKeys()
{
    std::string known;
    for (const std::string& key : m_readKeys)
        known += (known.empty() ? "" : ", ") + key;
    for (const auto& [key, node] : m_table)
    {
        if (m_readKeys.find (key.str()) != m_readKeys.end())
            continue;
        m_problems.report (static_cast<int> (key.source().begin.line), pathOf (key.str()),
                           "unknown key, allowed: " + known);
    }
}

}  // namespace fernlift::config
