#pragma once

/**
 * Where models, copies of their weights and adapters are, so that a decision about one of them
 * looks at the engines that matter for it, however many others there are.
 *
 * Invariant: every engine is noted with exactly what its `indexed` member says, which update()
 * brings up to date. Whoever changes what an engine holds, or whether it takes requests, calls it.
 */

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "placement/EngineState.h"

namespace fernlift::placement
{

using ServiceModel = std::pair<std::string, std::string>;

/** Compares without copies of the names. */
struct ServiceModelOrder
{
    using is_transparent = void;
    using Names = std::pair<std::string_view, std::string_view>;
    static Names namesOf (const ServiceModel& model) { return { model.first, model.second }; }
    static Names namesOf (const Names& names) { return names; }
    bool operator() (const auto& left, const auto& right) const
    {
        return namesOf (left) < namesOf (right);
    }
};

/** Pure. Threading: none. Points to engines, which stay where they are until remove(). */
class EngineIndex
{
public:
    struct ById
    {
        bool operator() (const EngineState* left, const EngineState* right) const
        {
            return left->id < right->id;
        }
    };

    /** An engine that takes requests for a model. */
    struct Holder
    {
        std::size_t usedAdapterSlots = 0;
        EngineState* engine = nullptr;

        bool operator<(const Holder& other) const;
    };

    /** Where a model is. */
    struct ModelLocations
    {
        std::set<Holder> holders;             ///< Those with the most free adapter places first.
        std::set<EngineState*, ById> copies;  ///< With its weights in host memory or on disk.
    };

    /** Notes the engine as it is now. False when that was noted before. */
    bool update (EngineState& engine);
    /** Forgets the engine, which is about to go. */
    void remove (EngineState& engine);

    /** Stays where it is for as long as the index lives. */
    [[nodiscard]] const ModelLocations& locationsOf (std::string_view service,
                                                     std::string_view model);
    /** Whether a holder of the model has the adapter, or an order for it is under way there. */
    [[nodiscard]] bool hasAdapter (std::string_view service, std::string_view model,
                                   std::string_view adapter) const;

private:
    [[nodiscard]] static IndexedModels heldModelsOf (const EngineState& engine);
    [[nodiscard]] ModelLocations& locationsFor (std::string_view service, std::string_view model);
    void addAll (EngineState& engine);
    void dropAll (EngineState& engine);

    std::map<ServiceModel, ModelLocations, ServiceModelOrder> m_locations;
    /// Engines that have an adapter, by service and MODEL/ADAPTER; never 0.
    std::map<ServiceModel, std::uint32_t, ServiceModelOrder> m_adapters;
};

}  // namespace fernlift::placement
