#include "controller/MemberStart.h"

#include <utility>

#include "consensus/ConsensusCodec.h"
#include "log/Log.h"
#include "wire/Codec.h"

namespace fernlift::controller
{
namespace
{

constexpr consensus::Term kBootstrapTerm = 1;

/// Whether the folder holds state. One with an identity but no term has never voted: its first
/// start was interrupted.
bool holdsState (const storage::Recovered& recovered)
{
    return ! recovered.hardState.empty() || ! recovered.entries.empty()
           || recovered.snapshot.lastIndex != 0;
}

consensus::PersistRequest bootstrapWrite (const consensus::MemberSet& members)
{
    consensus::Entry entry;
    entry.index = 1;
    entry.term = kBootstrapTerm;
    entry.kind = consensus::EntryKind::kMembership;
    entry.data = wire::encodeValue (members);
    consensus::PersistRequest request;
    request.hardState = consensus::HardState{ kBootstrapTerm, 0 };
    request.entries.push_back (std::move (entry));
    return request;
}

base::Result<consensus::RecoveredState> bootstrap (storage::Storage& storage,
                                                   const ControllerSettings& settings)
{
    BOOST_LEAF_AUTO (members, initialMembers (settings));
    if (formsFromSeeds (settings))
    {
        members.targetSize = static_cast<std::uint32_t> (members.members.size());
    }
    const consensus::PersistRequest request = bootstrapWrite (members);
    BOOST_LEAF_CHECK (storage.write ({ consensus::toWriteBatch (request) }));
    consensus::RecoveredState state;
    state.hardState = *request.hardState;
    state.entries = request.entries;
    state.initialMembers = std::move (members);
    return state;
}

}  // namespace

base::Result<StartKind> decideStart (const storage::Recovered& recovered,
                                     const ControllerSettings& settings)
{
    using base::ErrorKind;
    const auto self = static_cast<std::uint64_t> (settings.id);
    const std::string& folder = settings.dataDirectory;
    if (recovered.memberId != 0 && recovered.memberId != self)
    {
        return base::fail (ErrorKind::kSettingsInvalid,
                           "id: the data folder " + folder + " belongs to member "
                               + std::to_string (recovered.memberId) + ", not to member "
                               + std::to_string (self));
    }
    if (holdsState (recovered))
    {
        if (! settings.isBootstrap)
            return StartKind::kRestart;
        return base::fail (ErrorKind::kSettingsInvalid,
                           "bootstrap: the data folder " + folder
                               + " already holds state; start without bootstrap");
    }
    if (settings.isBootstrap)
        return StartKind::kBootstrap;
    if (settings.isJoining)
        return StartKind::kJoin;
    return base::fail(ErrorKind::kSettingsInvalid,
                    "the data folder " + folder +
                        " is empty; use bootstrap only for the first start of the cell, join for a "
                        "new member; if the disk of member " +
                        std::to_string(self) + " was lost, join under a new id");
}

base::Result<consensus::RecoveredState> startMember (storage::Storage& storage,
                                                     const ControllerSettings& settings)
{
    BOOST_LEAF_AUTO (recovered, storage.recover());
    return startMember (storage, settings, std::move (recovered));
}

base::Result<consensus::RecoveredState> startMember (storage::Storage& storage,
                                                     const ControllerSettings& settings,
                                                     storage::Recovered recovered)
{
    BOOST_LEAF_AUTO (kind, decideStart (recovered, settings));
    if (recovered.tornBytesCut > 0)
    {
        log::write (log::Event::kTornRecordCut, { { "bytes", recovered.tornBytesCut } });
    }
    if (recovered.memberId == 0)
    {
        BOOST_LEAF_CHECK (storage.initialize (static_cast<std::uint64_t> (settings.id)));
    }
    if (kind == StartKind::kBootstrap)
        return bootstrap (storage, settings);
    return consensus::toRecoveredState (recovered, {});
}

}  // namespace fernlift::controller
