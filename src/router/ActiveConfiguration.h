#pragma once

/// The configuration that a router applies, parsed from the updates of the controller. Its version
/// never decreases.

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/SlotReservation.h"
#include "cell/ConfigurationDelta.h"
#include "cell/RouterMessages.h"
#include "config/Catalogue.h"
#include "router/RouterCore.h"

namespace fernlift::router
{

class ActiveConfiguration
{
public:
    /// Applies an update and returns true. Returns false and changes nothing if the version is not
    /// above the held one, the update is a delta to another configuration, or the result cannot be
    /// parsed.
    bool apply (const cell::ConfigurationUpdate& update);

    [[nodiscard]] std::uint64_t version() const { return m_held.version; }
    [[nodiscard]] const std::string& digest() const { return m_held.digest; }
    [[nodiscard]] const admission::SlotReservation& reservation() const { return m_reservation; }

    [[nodiscard]] bool hasTarget (Protocol protocol, const std::string& target) const;
    /// The class of a request: the one that it names, else the default class of its target. Null if
    /// that class is not configured.
    [[nodiscard]] const config::RequestClass* classOf (const RequestHead& head) const;
    /// Names of all models and adapters.
    [[nodiscard]] std::vector<std::string> targets() const;

private:
    using DefaultClasses = std::unordered_map<std::string, base::RequestClassName>;

    cell::HeldConfiguration m_held;
    config::Catalogue m_catalogue;
    DefaultClasses m_models;  ///< Default classes of models and adapters.
    DefaultClasses m_applications;
    admission::SlotReservation m_reservation;
};

}  // namespace fernlift::router
