#pragma once

/// Parsed form of the operator's catalogue file: which models, adapters and applications exist,
/// where they may run, how urgent each class of requests is and how many replicas each may hold.

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

/// A class of requests. Classes with a smaller `urgency` are served first.
struct RequestClass
{
    base::RequestClassName name;
    int urgency = 0;               ///< 0 (most urgent) to 9.
    base::Duration deadline{};     ///< Time from arrival at the router to the first answer byte.
    bool repeatable = true;        ///< False: runs at most once, needs an Idempotency-Key.
    double reservedSlotShare = 0;  ///< Share of each runner's slots kept free for this class.

    bool operator== (const RequestClass&) const = default;
};

/// One version of one model.
struct Model
{
    base::ModelName name;                 ///< Value of the `model` field of requests.
    std::string version;                  ///< Version of the checkpoint.
    Megabytes memory = 0;                 ///< Accelerator memory one replica reserves.
    std::uint32_t maxReplicas = 1;        ///< Upper bound of loaded replicas in the cell.
    std::uint32_t minReplicas = 0;        ///< Replicas kept loaded even when idle.
    std::vector<base::ZoneName> zones;    ///< Zones it may run in; empty: any.
    base::RequestClassName defaultClass;  ///< Class of requests that state none.

    bool operator== (const Model&) const = default;
};

/// A small set of weights that is applied on top of a loaded base model.
struct Adapter
{
    base::AdapterName name;         ///< Value of the `model` field, as for a model.
    base::ModelName base;           ///< Model that the adapter applies to.
    Megabytes memory = 0;           ///< Accelerator memory on top of the base model's.
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

/// Costs that placement weighs against each other, all in one currency of the operator's choice.
struct Prices
{
    double coldStartSecond = 1.0;      ///< Cost of one second that one caller waits for a load.
    double idleAcceleratorHour = 1.0;  ///< Cost of an unused replica on an accelerator, per hour.

    bool operator== (const Prices&) const = default;
};

/// Load limits that the operator of the weight store guarantees.
struct WeightStoreLimits
{
    double loadsPerSecond = 1.0;
    std::uint32_t concurrentLoads = 1;

    bool operator== (const WeightStoreLimits&) const = default;
};

/// Contents of the whole catalogue file.
struct Catalogue
{
    base::CellId cell;
    std::uint64_t version = 0;
    /// Accelerator memory of the largest runner; 0 when the file does not set it.
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

/// One error in a catalogue file.
struct CatalogueProblem
{
    int line = 0;         ///< 1-based; 0 when the error belongs to no single line.
    std::string key;      ///< For example "model[3].zones[0]".
    std::string message;  ///< Value found and values allowed.
};

/// A parsed catalogue, or all problems found in it.
struct CatalogueOutcome
{
    std::optional<Catalogue> catalogue;  ///< Present exactly when `problems` is empty.
    std::vector<CatalogueProblem> problems;
};

/// Parses and validates a whole catalogue file. Never throws; reports all problems at once.
/// A pure function: the same text gives the same outcome on every controller and router.
[[nodiscard]] CatalogueOutcome parseCatalogue (std::string_view tomlText);

/// Whether the `zones` of a model or an application allow `zone`; an empty list allows any.
[[nodiscard]] bool allowsZone (const std::vector<base::ZoneName>& zones,
                               const base::ZoneName& zone);

}  // namespace fernlift::config
