#pragma once

/// The configuration in force at a router. It never goes back to a lower version.

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
    /// Takes an update unless its version is not above the one held, it is a change of another
    /// configuration, or it cannot be parsed. True if it was taken.
    bool apply (const cell::ConfigurationUpdate& update);

    [[nodiscard]] std::uint64_t version() const { return m_held.version; }
    [[nodiscard]] const std::string& digest() const { return m_held.digest; }
    [[nodiscard]] const admission::SlotReservation& reservation() const { return m_reservation; }

    [[nodiscard]] bool hasTarget (Protocol protocol, const std::string& target) const;
    /// The class a request falls into: the one it names, else its target's default. Null when there
    /// is no such class.
    [[nodiscard]] const config::RequestClass* classOf (const RequestHead& head) const;
    /// Models and adapters.
    [[nodiscard]] std::vector<std::string> targets() const;

private:
    using DefaultClasses = std::unordered_map<std::string, base::RequestClassName>;

    cell::HeldConfiguration m_held;
    config::Catalogue m_catalogue;
    DefaultClasses m_models;  ///< And adapters.
    DefaultClasses m_applications;
    admission::SlotReservation m_reservation;
};

}  // namespace fernlift::router
