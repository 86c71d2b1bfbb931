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

/// Order to one engine. An engine refuses it if it is not `instance` or has accepted a number of
/// orders other than `expectedSequence`.
struct ServiceOrder
{
    bool isLoad = true;
    std::string instance;
    std::string model;
    std::string adapter;      ///< Empty for an order on the model.
    std::string holder;       ///< Name of the controller that sends the order.
    std::uint64_t fence = 0;  ///< Term of the leader that sends the order.
    std::optional<std::uint64_t> expectedSequence;  ///< Orders accepted so far.
    base::UnixMilliseconds startedAt = 0;  ///< Start of the addressed incarnation; 0: not reported.

    bool operator== (const ServiceOrder&) const = default;
};

enum class OrderOutcome : std::uint8_t
{
    kUnderWay,       ///< Accepted but not completed.
    kAlreadyHolds,   ///< Nothing to do, or completed.
    kBusy,           ///< Another order is in progress, or the sequence differs.
    kFenced,         ///< The engine has received a higher fence.
    kOtherInstance,  ///< Another instance has the address now.
    kInvalid,        ///< The engine does not support the order.
    kUnknown,        ///< No answer; the order may be accepted, lost or still in transit.
};

/// Name of the outcome in logs, for example "under_way".
[[nodiscard]] std::string_view toString (OrderOutcome outcome);

/// One model in an engine's report.
struct ReportedModel
{
    std::string name;
    std::uint64_t version = 0;
    std::vector<std::string> adapters;

    bool operator== (const ReportedModel&) const = default;
};

/// State of an engine, a few hundred milliseconds old.
struct ServiceReport
{
    std::vector<ReportedModel> models;
    std::vector<std::string> pending;  ///< Adapters being loaded, as MODEL/NAME.
    bool isBusy = false;               ///< An order for a model is in progress.
    std::uint64_t sequence = 0;        ///< Orders accepted since the start.
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint64_t kvUsed = 0;              ///< Tokens in the KV cache that cannot be evicted.
    std::uint64_t kvTotal = 0;             ///< Capacity of the KV cache in tokens.
    base::UnixMilliseconds startedAt = 0;  ///< Start of the incarnation; 0: not reported.

    bool operator== (const ServiceReport&) const = default;
};

}  // namespace fernlift::engine
