#include "cell/ConfigurationState.h"

#include <utility>

#include "base/Digest.h"

namespace fernlift::cell
{

ConfigurationResult ConfigurationState::apply (base::LogIndex index,
                                               const ApplyConfiguration& command)
{
    using enum ConfigurationOutcome;
    if (command.version < identity_.version)
        return { kStale, identity_ };
    if (command.version == identity_.version && identity_.version != 0)
    {
        return { isSameFile (command) ? kUnchanged : kConflict, identity_ };
    }
    if (command.digest != base::sha256Hex (command.text))
        return { kInvalid, identity_ };
    config::CatalogueOutcome parsed = parser_ (command.text);
    if (! parsed.catalogue || parsed.catalogue->version != command.version || command.version == 0)
    {
        return { kInvalid, identity_ };
    }
    catalogue_ = std::move (parsed.catalogue);
    text_ = command.text;
    identity_ = { command.version, command.digest, command.proposedAt, index };
    return { kAccepted, identity_ };
}

bool ConfigurationState::isSameFile (const ApplyConfiguration& command) const
{
    if (fault_ == PlantedFault::kConfigurationByVersionOnly)
        return true;
    return command.digest == identity_.digest;
}

bool ConfigurationState::restore (ConfigurationIdentity identity, std::string text)
{
    std::optional<config::Catalogue> catalogue;
    if (identity.version != 0)
    {
        catalogue = parser_ (text).catalogue;
        if (! catalogue)
            return false;
    }
    identity_ = std::move (identity);
    text_ = std::move (text);
    catalogue_ = std::move (catalogue);
    return true;
}

}  // namespace fernlift::cell
