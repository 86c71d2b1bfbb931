#include "cell/ConfigurationState.h"

#include <utility>

#include "base/Digest.h"

namespace fernlift::cell
{
namespace
{

/// Limit for the catalogues of pending proposals: few files are proposed at the same time, and each
/// may be large.
constexpr std::size_t kMaxParsed = 8;

}  // namespace

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
    std::optional<config::Catalogue> parsed = parse (command);
    if (! parsed || parsed->version != command.version || command.version == 0)
        return { kInvalid, m_identity };
    m_catalogue = std::move (parsed);
    m_text = command.text;
    m_identity = { command.version, command.digest, command.proposedAt, index };
    return { kAccepted, m_identity };
}

std::optional<config::Catalogue> ConfigurationState::parse (const ApplyConfiguration& command)
{
    // The digest identifies the text, so that the kept catalogue equals the result of parsing.
    if (auto known = m_parsed.extract (command.digest))
        return std::move (known.mapped());
    return m_parser (command.text).catalogue;
}

void ConfigurationState::keepParsed (std::string digest, config::Catalogue catalogue)
{
    if (m_parsed.size() >= kMaxParsed)
        m_parsed.erase (m_parsed.begin());
    m_parsed.insert_or_assign (std::move (digest), std::move (catalogue));
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
