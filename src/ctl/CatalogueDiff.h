#pragma once

/// Differences between two catalogues, as an operator wants to read them before applying one.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "config/Catalogue.h"

namespace fernlift::ctl
{

enum class ChangeKind : std::uint8_t
{
    kAdded,
    kRemoved,
    kChanged
};

/// One difference.
struct CatalogueChange
{
    ChangeKind kind = ChangeKind::kChanged;
    std::string item;    ///< For example "model assistant-small".
    std::string key;     ///< Key whose value changed; empty for an added or removed item.
    std::string before;  ///< Empty unless kind is kChanged.
    std::string after;   ///< Empty unless kind is kChanged.

    bool operator== (const CatalogueChange&) const = default;
};

/// "added", "removed" or "changed".
[[nodiscard]] std::string_view toString (ChangeKind kind);

/// All differences that lead from `before` to `after`. The order of items in a file does not count.
[[nodiscard]] std::vector<CatalogueChange> compareCatalogues (const config::Catalogue& before,
                                                              const config::Catalogue& after);

}  // namespace fernlift::ctl
