#include "controller/VersionIndex.h"

namespace fernlift::controller
{

void VersionIndex::record (const std::string& id, std::uint64_t version)
{
    const auto [item, isNew] = m_versions.try_emplace (id, version);
    if (! isNew)
    {
        m_order.erase ({ item->second, item->first });
        item->second = version;
    }
    m_order.emplace (version, item->first);
}

void VersionIndex::forget (const std::string& id)
{
    const auto found = m_versions.find (id);
    if (found == m_versions.end())
        return;
    m_order.erase ({ found->second, found->first });
    m_versions.erase (found);
}

std::optional<std::uint64_t> VersionIndex::versionOfChange (std::uint64_t version,
                                                            std::size_t count) const
{
    auto item = m_order.lower_bound ({ version + 1, {} });
    for (std::size_t passed = 1; item != m_order.end(); ++passed, ++item)
    {
        if (passed == count)
            return item->first;
    }
    return std::nullopt;
}

void VersionIndex::clear()
{
    m_order.clear();
    m_versions.clear();
}

}  // namespace fernlift::controller
