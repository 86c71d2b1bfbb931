#pragma once

/// The configuration in force as it goes to routers: as a change to those that hold the one before,
/// whole to the others.

#include <cstdint>
#include <string>

#include "cell/ConfigurationState.h"
#include "cell/RouterMessages.h"

namespace fernlift::controller
{

class ConfigurationChange
{
public:
    /// Tells which configuration is in force. Does nothing when it is the one told last.
    void note (const cell::ConfigurationIdentity& inForce, const std::string& text);

    /// The update for a router that holds (or was sent) this version.
    [[nodiscard]] cell::ConfigurationUpdate updateFrom (std::uint64_t version,
                                                        const std::string& digest) const;

private:
    cell::ConfigurationUpdate m_whole;
    cell::ConfigurationUpdate m_change;  ///< From the one before; baseVersion 0 when there is none.
};

}  // namespace fernlift::controller
