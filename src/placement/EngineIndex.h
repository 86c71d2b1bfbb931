#pragma once

/**
 * Index of the engines by the models, copies of weights and adapters they have. A decision about a
 * model visits only the engines concerned, independent of the number of engines.
 *
 * Invariant: the index contains each engine with exactly the contents of its `indexed` member.
 * update() must be called after each change of the models, copies or usability of an engine.
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

/** Compares without copying the names. */
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

/** Not thread-safe. Holds pointers to engines, which must not move before remove(). */
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

    /** An engine that accepts requests for a model. */
    struct Holder
    {
        std::size_t usedAdapterSlots = 0;
        EngineState* engine = nullptr;

        bool operator<(const Holder& other) const;
    };

    /** Engines that hold a model or have a copy of it. */
    struct ModelLocations
    {
        std::set<Holder> holders;             ///< Most free adapter slots first.
        std::set<EngineState*, ById> copies;  ///< Engines with its weights in memory or on disk.
    };

    /** Updates the entries of the engine. Returns false when nothing has changed. */
    bool update (EngineState& engine);
    /** Removes all entries of the engine; must be called before the engine is destroyed. */
    void remove (EngineState& engine);

    /** The reference stays valid for the lifetime of the index. */
    [[nodiscard]] const ModelLocations& locationsOf (std::string_view service,
                                                     std::string_view model);
    /** Whether a holder of the model has the adapter or a pending order for it. */
    [[nodiscard]] bool hasAdapter (std::string_view service, std::string_view model,
                                   std::string_view adapter) const;

private:
    [[nodiscard]] static IndexedModels heldModelsOf (const EngineState& engine);
    [[nodiscard]] ModelLocations& locationsFor (std::string_view service, std::string_view model);
    void addAll (EngineState& engine);
    void dropAll (EngineState& engine);

    std::map<ServiceModel, ModelLocations, ServiceModelOrder> m_locations;
    /// Number of engines with an adapter, by service and MODEL/ADAPTER; entries are never 0.
    std::map<ServiceModel, std::uint32_t, ServiceModelOrder> m_adapters;
};

}  // namespace fernlift::placement
