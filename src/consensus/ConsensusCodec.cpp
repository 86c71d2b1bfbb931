#include "consensus/ConsensusCodec.h"

#include <utility>

#include "wire/Codec.h"

namespace fernlift::consensus
{
namespace
{

/// Encoded form of a message; only the payload depends on the type of the message.
struct Envelope
{
    MemberId from = 0;
    MemberId to = 0;
    Term term = 0;
    std::string payload;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& from& to& term& payload;
    }
};

template <class Value>
base::Result<Value> decodeStored (std::string_view bytes, const std::string& what)
{
    return base::recoverError (
        [&] { return wire::decodeValue<Value> (bytes); },
        [&] (const base::Error& error) -> base::Result<Value>
        { return base::fail (base::ErrorKind::kStorageCorrupt, what + ": " + error.message); });
}

}  // namespace

storage::WriteBatch toWriteBatch (const PersistRequest& request)
{
    storage::WriteBatch batch;
    if (request.hardState)
    {
        batch.hasHardState = true;
        batch.hardState = wire::encodeValue (*request.hardState);
    }
    batch.truncateFrom = request.truncateFrom.value_or (0);
    for (const Entry& entry : request.entries)
    {
        batch.entries.push_back ({ entry.index, wire::encodeValue (entry) });
    }
    if (request.snapshot)
    {
        batch.hasSnapshot = true;
        batch.snapshot = { request.snapshot->lastIndex, wire::encodeValue (*request.snapshot) };
    }
    return batch;
}

base::Result<RecoveredState> toRecoveredState (const storage::Recovered& recovered,
                                               MemberSet initialMembers)
{
    RecoveredState state;
    state.initialMembers = std::move (initialMembers);
    if (! recovered.hardState.empty())
    {
        BOOST_LEAF_ASSIGN (state.hardState,
                           decodeStored<HardState> (recovered.hardState, "hard state"));
    }
    if (recovered.snapshot.lastIndex > 0)
    {
        BOOST_LEAF_ASSIGN (state.snapshot,
                           decodeStored<Snapshot> (recovered.snapshot.data, "snapshot"));
    }
    for (const storage::StoredEntry& stored : recovered.entries)
    {
        const std::string name = "entry " + std::to_string (stored.index);
        BOOST_LEAF_AUTO (entry, decodeStored<Entry> (stored.data, name));
        state.entries.push_back (std::move (entry));
    }
    return state;
}

std::string encode (const Message& message)
{
    return wire::encodeValue (
        Envelope{ message.from, message.to, message.term, wire::encodeMessage (message.payload) });
}

base::Result<Message> decode (std::string_view bytes)
{
    BOOST_LEAF_AUTO (envelope, wire::decodeValue<Envelope> (bytes));
    BOOST_LEAF_AUTO (payload, wire::decodeMessage<Payload> (envelope.payload));
    return Message{ envelope.from, envelope.to, envelope.term, std::move (payload) };
}

}  // namespace fernlift::consensus
