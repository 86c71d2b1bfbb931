#include "cell/ConfigurationState.h"

#include <utility>

#include "base/Digest.h"

namespace fernlift::cell
{

ConfigurationResult ConfigurationState::apply (base::LogIndex index,
                                               const ApplyConfiguration& command)
{
    using enum ConfigurationOutcome;
    if (command.version < m_identity.version)
        return { kStale, m_identity };
    if (command.version == m_identity.version && m_identity.version != 0)
    {
        return { isSameFile (command) ? kUnchanged : kConflict, m_identity };
    }
    if (command.digest != base::sha256Hex (command.text))
        return { kInvalid, m_identity };
    config::CatalogueOutcome parsed = m_parser (command.text);
    if (! parsed.catalogue || parsed.catalogue->version != command.version || command.version == 0)
    {
        return { kInvalid, m_identity };
    }
    m_catalogue = std::move (parsed.catalogue);
    m_text = command.text;
    m_identity = { command.version, command.digest, command.proposedAt, index };
    return { kAccepted, m_identity };
}

bool ConfigurationState::isSameFile (const ApplyConfiguration& command) const
{
    if (m_fault == PlantedFault::kConfigurationByVersionOnly)
        return true;
    return command.digest == m_identity.digest;
}

bool ConfigurationState::restore (ConfigurationIdentity identity, std::string text)
{
    std::optional<config::Catalogue> catalogue;
    if (identity.version != 0)
    {
        catalogue = m_parser (text).catalogue;
        if (! catalogue)
            return false;
    }
    m_identity = std::move (identity);
    m_text = std::move (text);
    m_catalogue = std::move (catalogue);
    return true;
}

}  // namespace fernlift::cell
