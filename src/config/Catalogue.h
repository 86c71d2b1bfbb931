#pragma once

/// The operator's declarative file, parsed: which models, adapters and applications exist, where
/// they may run, how urgent each class of requests is and how many replicas each may hold.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "config/ServiceCatalogue.h"

namespace fernlift::config
{

using Megabytes = std::uint64_t;

/// A class of requests. Smaller `urgency` goes first.
struct RequestClass
{
    base::RequestClassName name;
    int urgency = 0;               ///< 0 (most urgent) to 9.
    base::Duration deadline{};     ///< From arrival at the router to the first byte of the answer.
    bool repeatable = true;        ///< False: runs at most once and needs an Idempotency-Key.
    double reservedSlotShare = 0;  ///< Share of each runner's slots kept free for this class.

    bool operator== (const RequestClass&) const = default;
};

/// One version of one model.
struct Model
{
    base::ModelName name;                 ///< What callers write in the `model` field.
    std::string version;                  ///< Version of the checkpoint.
    Megabytes memory = 0;                 ///< Accelerator memory one replica reserves.
    std::uint32_t maxReplicas = 1;        ///< Upper bound of loaded replicas in the cell.
    std::uint32_t minReplicas = 0;        ///< Replicas kept loaded even when idle.
    std::vector<base::ZoneName> zones;    ///< Zones it may run in; empty: any.
    base::RequestClassName defaultClass;  ///< Class of requests that name none.

    bool operator== (const Model&) const = default;
};

/// A small set of weights that rides on a loaded base model.
struct Adapter
{
    base::AdapterName name;         ///< Callers write it in the `model` field too.
    base::ModelName base;           ///< Model it needs.
    Megabytes memory = 0;           ///< Accelerator memory beside the base model's.
    std::uint32_t maxReplicas = 1;  ///< Upper bound of loaded copies in the cell.
    base::RequestClassName defaultClass;

    bool operator== (const Adapter&) const = default;
};

/// A plain HTTP back end, reached under /apps/NAME/.
struct Application
{
    base::ApplicationName name;
    std::vector<base::ZoneName> zones;  ///< Zones it may run in; empty: any.
    base::RequestClassName defaultClass;

    bool operator== (const Application&) const = default;
};

/// What the operator would pay, in any one currency.
struct Prices
{
    double coldStartSecond = 1.0;      ///< One second one caller waits for a load.
    double idleAcceleratorHour = 1.0;  ///< One accelerator holding an unused replica for an hour.

    bool operator== (const Prices&) const = default;
};

/// Limits of the weight store, as promised by its operator.
struct WeightStoreLimits
{
    double loadsPerSecond = 1.0;
    std::uint32_t concurrentLoads = 1;

    bool operator== (const WeightStoreLimits&) const = default;
};

/// The complete file.
struct Catalogue
{
    base::CellId cell;
    std::uint64_t version = 0;
    /// Accelerator memory of the largest runner; 0 when the file does not say.
    Megabytes largestRunnerMemory = 0;
    std::vector<base::ZoneName> zones;
    std::vector<RequestClass> classes;
    std::vector<Model> models;
    std::vector<Adapter> adapters;
    std::vector<Application> applications;
    Prices prices;
    WeightStoreLimits weightStore;
    ServiceCatalogue services;  ///< Routes of forwarded requests and the services behind them.

    bool operator== (const Catalogue&) const = default;

    [[nodiscard]] const Model* findModel (const base::ModelName& name) const;
    [[nodiscard]] const Adapter* findAdapter (const base::AdapterName& name) const;
    [[nodiscard]] const Application* findApplication (const base::ApplicationName& name) const;
    [[nodiscard]] const RequestClass* findClass (const base::RequestClassName& name) const;
};

/// One fault of a catalogue file.
struct CatalogueProblem
{
    int line = 0;         ///< 1-based; 0 when the fault has no single place.
    std::string key;      ///< For example "model[3].zones[0]".
    std::string message;  ///< What was found and what is allowed.
};

/// A parsed catalogue, or all problems found in it.
struct CatalogueOutcome
{
    std::optional<Catalogue> catalogue;  ///< Present exactly when `problems` is empty.
    std::vector<CatalogueProblem> problems;
};

/// Parses and checks a whole catalogue file. Never throws; reports every problem at once.
/// Pure: the same text gives the same outcome on every controller and router.
[[nodiscard]] CatalogueOutcome parseCatalogue (std::string_view tomlText);

/// Whether the `zones` of a model or an application allow `zone`; an empty list allows any.
[[nodiscard]] bool allowsZone (const std::vector<base::ZoneName>& zones,
                               const base::ZoneName& zone);

}  // namespace fernlift::config
