#pragma once

/**
 * Lookup tables over the engine specification of a service, for queries that a placement round
 * makes for every engine.
 */

#include <string>
#include <string_view>
#include <unordered_map>

#include "config/ServiceCatalogue.h"

namespace fernlift::placement
{

/** Immutable. Holds pointers into the specification, which must outlive the index. */
class EngineSpecIndex
{
public:
    explicit EngineSpecIndex (const config::EngineSpec& spec);

    [[nodiscard]] const config::EngineSpec& spec() const { return *m_spec; }
    /** Returns null for an unknown name. */
    [[nodiscard]] const config::EngineModel* findModel (std::string_view name) const;
    /** Memory in megabytes that is left for models when all adapter slots are taken. */
    [[nodiscard]] double modelMemory() const { return m_modelMemory; }

private:
    const config::EngineSpec* m_spec;
    std::unordered_map<std::string_view, const config::EngineModel*> m_models;  ///< Models by name.
    double m_modelMemory = 0;
};

}  // namespace fernlift::placement
