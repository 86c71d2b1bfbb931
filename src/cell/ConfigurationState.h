#pragma once

/// The configuration in force in a cell, and the rule by which a proposed configuration replaces
/// it. Part of the replicated state; not thread-safe.

#include <boost/serialization/string.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/Ids.h"
#include "base/Time.h"
#include "cell/Commands.h"
#include "cell/PlantedFault.h"
#include "config/Catalogue.h"

namespace fernlift::cell
{

/// Result of proposing a configuration.
enum class ConfigurationOutcome : std::uint8_t
{
    kAccepted,   ///< The configuration is now in force.
    kUnchanged,  ///< Version and digest equal those in force; the earlier result is returned.
    kConflict,   ///< Another file with this version was accepted before.
    kStale,      ///< The version is lower than the one in force.
    kInvalid,    ///< The text does not parse or does not carry the stated version and digest.
};

/// Identity of a configuration in force.
struct ConfigurationIdentity
{
    std::uint64_t version = 0;  ///< 0: none accepted yet.
    std::string digest;
    base::UnixMilliseconds acceptedAt = 0;
    base::LogIndex acceptedIndex = 0;

    bool operator== (const ConfigurationIdentity&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& version& digest& acceptedAt& acceptedIndex;
    }
};

/// Result of ApplyConfiguration; `inForce` identifies the configuration in force afterwards.
struct ConfigurationResult
{
    ConfigurationOutcome outcome = ConfigurationOutcome::kInvalid;
    ConfigurationIdentity inForce;

    bool operator== (const ConfigurationResult&) const = default;
};

/// Parser of catalogue files; replaceable so that tests can build catalogues in code.
using CatalogueParser = config::CatalogueOutcome (*) (std::string_view text);

/// Keeps the configuration in force, both as text and parsed.
class ConfigurationState
{
public:
    explicit ConfigurationState (CatalogueParser parser, PlantedFault fault = PlantedFault::kNone)
        : m_parser (parser), m_fault (fault)
    {
    }

    ConfigurationResult apply (base::LogIndex index, const ApplyConfiguration& command);
    /// Keeps the catalogue that the proposer has parsed, so that apply() need not parse the text
    /// again.
    void keepParsed (std::string digest, config::Catalogue catalogue);

    [[nodiscard]] const ConfigurationIdentity& identity() const { return m_identity; }
    [[nodiscard]] const std::string& text() const { return m_text; }
    /// The parsed configuration; null while none is in force.
    [[nodiscard]] const config::Catalogue* catalogue() const
    {
        return m_catalogue ? &*m_catalogue : nullptr;
    }

    /// Replaces the state with a stored one. Returns false if the text cannot be parsed.
    bool restore (ConfigurationIdentity identity, std::string text);

private:
    [[nodiscard]] std::optional<config::Catalogue> parse (const ApplyConfiguration& command);
    [[nodiscard]] bool isSameFile (const ApplyConfiguration& command) const;

    CatalogueParser m_parser;
    PlantedFault m_fault;
    ConfigurationIdentity m_identity;
    std::string m_text;
    std::optional<config::Catalogue> m_catalogue;
    std::map<std::string, config::Catalogue>
        m_parsed;  ///< Catalogues of keepParsed() by digest; only a few.
};

}  // namespace fernlift::cell
