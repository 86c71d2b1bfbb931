#pragma once

/**
 * What a service says of its engines, arranged for the questions that a round of placement asks of
 * every engine.
 */

#include <string>
#include <string_view>
#include <unordered_map>

#include "config/ServiceCatalogue.h"

namespace fernlift::placement
{

/** Pure. Threading: none. Points into the specification, which must outlive it. */
class EngineSpecIndex
{
public:
    explicit EngineSpecIndex (const config::EngineSpec& spec);

    [[nodiscard]] const config::EngineSpec& spec() const { return *m_spec; }
    /** The model of that name; null if there is none. */
    [[nodiscard]] const config::EngineModel* findModel (std::string_view name) const;
    /** Memory for models: without what adapters in all places may take, in megabytes. */
    [[nodiscard]] double modelMemory() const { return m_modelMemory; }

private:
    const config::EngineSpec* m_spec;
    std::unordered_map<std::string_view, const config::EngineModel*> m_models;  ///< By name.
    double m_modelMemory = 0;
};

}  // namespace fernlift::placement
