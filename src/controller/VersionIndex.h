#pragma once

/**
 * Ids in the order of the versions in which they last changed.
 *
 * A table that goes out by its changes asks for those since a version; here that takes time in
 * proportion to their number, not to the rows of the table.
 */

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace fernlift::controller
{

/** Pure. Threading: none. Moved, never copied: the order points to the ids. */
class VersionIndex
{
public:
    VersionIndex() = default;
    VersionIndex (VersionIndex&&) = default;
    VersionIndex& operator= (VersionIndex&&) = default;
    VersionIndex (const VersionIndex&) = delete;
    VersionIndex& operator= (const VersionIndex&) = delete;
    ~VersionIndex() = default;

    /** The id changed in this version, and not since. */
    void note (const std::string& id, std::uint64_t version);
    void forget (const std::string& id);
    void clear();

    /** Calls `visit` with the ids that changed after `version`, the earliest first. */
    template <class Visit>
    void visitSince (std::uint64_t version, const Visit& visit) const
    {
        visitBetween (version, std::numeric_limits<std::uint64_t>::max(), visit);
    }
    /** The same for those that changed no later than in `last`. */
    template <class Visit>
    void visitBetween (std::uint64_t version, std::uint64_t last, const Visit& visit) const
    {
        for (auto item = m_order.lower_bound ({ version + 1, {} });
             item != m_order.end() && item->first <= last; ++item)
            visit (std::string (item->second));
    }
    /** Version of the change that is the `count`th after `version`, from 1; none: there are fewer.
     */
    [[nodiscard]] std::optional<std::uint64_t> versionOfChange (std::uint64_t version,
                                                                std::size_t count) const;

private:
    std::map<std::string, std::uint64_t> m_versions;
    std::set<std::pair<std::uint64_t, std::string_view>> m_order;  ///< Views of m_versions' keys.
};

}  // namespace fernlift::controller
