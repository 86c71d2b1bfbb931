#include "placement/EngineSpecIndex.h"

#include <algorithm>

namespace fernlift::placement
{

EngineSpecIndex::EngineSpecIndex (const config::EngineSpec& spec) : m_spec (&spec)
{
    double largestAdapter = 0;
    for (const config::EngineModel& model : spec.models)
    {
        m_models.emplace (model.name, &model);
        if (model.adapters > 0)
            largestAdapter = std::max (largestAdapter, model.adapterMemoryMb);
    }
    m_modelMemory = spec.memoryMb - largestAdapter * spec.adapterSlots;
}

const config::EngineModel* EngineSpecIndex::findModel (std::string_view name) const
{
    const auto found = m_models.find (name);
    return found == m_models.end() ? nullptr : found->second;
}

}  // namespace fernlift::placement
