#pragma once

/**
 * Messages that bring routers to the configuration in force: a difference for routers that hold one
 * of the last few configurations, the whole text for all others.
 *
 * Every member keeps the last few configurations, whether it leads or not. All routers connect to a
 * new leader at the same time, and sending the whole text to each of them would take longer than a
 * change of the configuration may take.
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
    /** Sets the configuration in force. Does nothing when it is in force already. */
    void setInForce (const cell::ConfigurationIdentity& inForce, std::string_view text);

    /** Whether a router that holds this configuration can be sent a difference to it. */
    [[nodiscard]] bool isKept (std::uint64_t version, std::string_view digest) const;

    /** Update for routers that hold `version`: a difference when that version is kept, else (and
       for 0) the whole text. Computed once for each version.
    */
    [[nodiscard]] const cell::ConfigurationUpdate& updateFrom (std::uint64_t version);

private:
    std::deque<cell::HeldConfiguration> m_recent;  ///< Oldest first; the last one is in force.
    /** Updates to the configuration in force, by base version. */
    std::map<std::uint64_t, cell::ConfigurationUpdate> m_updates;
};

}  // namespace fernlift::controller
