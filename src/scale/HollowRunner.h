#pragma once

/// A runner without inference: the stand-in engine's model takes orders, and its reports carry a
/// generated load.

#include <cstdint>

#include "base/Time.h"
#include "engine/EngineApi.h"
#include "scale/LoadWalk.h"
#include "standin/EngineModel.h"

namespace fernlift::scale
{

class HollowRunner
{
public:
    HollowRunner (const standin::EngineOptions& options, LoadWalkOptions load, std::uint64_t seed,
                  base::TimePoint now);

    [[nodiscard]] engine::OrderAnswer order (const engine::Order& order, base::TimePoint now);
    /// The engine's report with the generated load spread over its ready base models.
    [[nodiscard]] engine::Report report (base::TimePoint now);

private:
    /// Lets the model do what is due; weights arrive at once.
    void settle (base::TimePoint now);

    standin::EngineModel m_model;
    LoadWalk m_load;
};

}  // namespace fernlift::scale
