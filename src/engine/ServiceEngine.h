#pragma once

/// Typed messages to engines of registered services: orders to load or unload, and reports.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Time.h"

namespace fernlift::engine
{

/// Order to one engine. It is refused by any other instance than `instance`, and when the engine
/// has taken another number of orders than `expectedSequence`.
struct ServiceOrder
{
    bool isLoad = true;
    std::string instance;
    std::string model;
    std::string adapter;                            ///< Empty: the model itself.
    std::string holder;                             ///< Name of the controller that orders.
    std::uint64_t fence = 0;                        ///< Term of the leader that orders.
    std::optional<std::uint64_t> expectedSequence;  ///< Orders the engine has taken before.
    base::UnixMilliseconds startedAt = 0;  ///< Of the incarnation meant; 0: it does not tell.

    bool operator== (const ServiceOrder&) const = default;
};

enum class OrderOutcome : std::uint8_t
{
    kUnderWay,       ///< Taken; it will be done after a time.
    kAlreadyHolds,   ///< Nothing had to be done, or it is done.
    kBusy,           ///< Another order is under way, or the sequence differs.
    kFenced,         ///< The engine has seen a higher fence.
    kOtherInstance,  ///< The address belongs to another instance now.
    kInvalid,        ///< The engine does not know such an order.
    kUnknown,        ///< No answer: taken, not taken or to be taken later.
};

/// For logs, for example "under_way".
[[nodiscard]] std::string_view nameOf (OrderOutcome outcome);

/// One model in an engine's report.
struct ReportedModel
{
    std::string name;
    std::uint64_t version = 0;
    std::vector<std::string> adapters;

    bool operator== (const ReportedModel&) const = default;
};

/// State of an engine, some hundred milliseconds old.
struct ServiceReport
{
    std::vector<ReportedModel> models;
    std::vector<std::string> pending;  ///< Adapters on their way, as MODEL/NAME.
    bool isBusy = false;               ///< An order for a model is under way.
    std::uint64_t sequence = 0;        ///< Orders taken since its start.
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint64_t kvUsed = 0;              ///< Tokens of cache that cannot give way.
    std::uint64_t kvTotal = 0;             ///< Tokens of cache.
    base::UnixMilliseconds startedAt = 0;  ///< Of the incarnation; 0: it does not tell.

    bool operator== (const ServiceReport&) const = default;
};

}  // namespace fernlift::engine
