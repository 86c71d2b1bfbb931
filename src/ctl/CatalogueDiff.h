#pragma once

/// Compares two catalogues and lists the differences for an operator who is about to apply one.

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

/// Added or removed item, or changed value of an item.
struct CatalogueChange
{
    ChangeKind kind = ChangeKind::kChanged;
    std::string item;    ///< Kind and name of the item, for example "model assistant-small".
    std::string key;     ///< Key of the changed value; empty for an added or removed item.
    std::string before;  ///< Value as text; empty unless kind is kChanged.
    std::string after;   ///< Value as text; empty unless kind is kChanged.

    bool operator== (const CatalogueChange&) const = default;
};

/// Returns "added", "removed" or "changed".
[[nodiscard]] std::string_view toString (ChangeKind kind);

/// Returns all changes that turn `before` into `after`. The order of items in a file is ignored.
[[nodiscard]] std::vector<CatalogueChange> compareCatalogues (const config::Catalogue& before,
                                                              const config::Catalogue& after);

}  // namespace fernlift::ctl
