#pragma once

/**
 * The configuration in force as it goes to routers: as a change to those that hold one of the last
 * few, whole to all others.
 *
 * Every member keeps the last few, whether it leads or not: all routers come to a new leader at the
 * same moment, and a whole configuration for each of them would take it longer than a change of the
 * configuration may take.
 */

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "cell/ConfigurationDelta.h"
#include "cell/ConfigurationState.h"
#include "cell/RouterMessages.h"

namespace fernlift::controller
{

/** Threading: none; owned by one ControllerCore. */
class ConfigurationChange
{
public:
    /** Tells which configuration is in force. Does nothing when it is the one told last. */
    void note (const cell::ConfigurationIdentity& inForce, std::string_view text);

    /** Whether a router that holds this configuration can be told a change of it. */
    [[nodiscard]] bool isKept (std::uint64_t version, std::string_view digest) const;

    /** The update for routers that hold this version, one of those that are kept; 0 or any other:
       whole. Worked out once for each version.
    */
    [[nodiscard]] const cell::ConfigurationUpdate& updateFrom (std::uint64_t version);

private:
    std::deque<cell::HeldConfiguration> m_recent;  ///< Oldest first; the last one is in force.
    std::map<std::uint64_t, cell::ConfigurationUpdate>
        m_updates;  ///< To the one in force, by base.
};

}  // namespace fernlift::controller
