#pragma once

/**
 * Index of ids by the version in which they last changed.
 *
 * A table that is sent as changes looks up the changes since a version. With this index, the lookup
 * takes time in proportion to the number of changes and not to the number of rows.
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

/** Pure. Threading: none. Movable but not copyable: `m_order` refers to keys of `m_versions`. */
class VersionIndex
{
public:
    VersionIndex() = default;
    VersionIndex (VersionIndex&&) = default;
    VersionIndex& operator= (VersionIndex&&) = default;
    VersionIndex (const VersionIndex&) = delete;
    VersionIndex& operator= (const VersionIndex&) = delete;
    ~VersionIndex() = default;

    /** Records that the id last changed in this version. */
    void record (const std::string& id, std::uint64_t version);
    void forget (const std::string& id);
    void clear();

    /** Calls `visit` with the ids that changed after `version`, in order of their versions. */
    template <class Visit>
    void visitSince (std::uint64_t version, const Visit& visit) const
    {
        visitBetween (version, std::numeric_limits<std::uint64_t>::max(), visit);
    }
    /** As visitSince(), for changes after `version` and up to version `last`. */
    template <class Visit>
    void visitBetween (std::uint64_t version, std::uint64_t last, const Visit& visit) const
    {
        for (auto item = m_order.lower_bound ({ version + 1, {} });
             item != m_order.end() && item->first <= last; ++item)
            visit (std::string (item->second));
    }
    /** Returns the version of the `count`th change after `version`, counted from 1; none when there
        are fewer.
    */
    [[nodiscard]] std::optional<std::uint64_t> versionOfChange (std::uint64_t version,
                                                                std::size_t count) const;

private:
    std::map<std::string, std::uint64_t> m_versions;
    std::set<std::pair<std::uint64_t, std::string_view>> m_order;  ///< Views of m_versions' keys.
};

}  // namespace fernlift::controller
