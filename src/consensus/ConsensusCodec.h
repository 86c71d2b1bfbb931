#pragma once

/// Converts the durable state of consensus to and from the opaque bytes that storage keeps, and
/// messages to and from their bytes on a connection. Pure functions without I/O.

#include <string>
#include <string_view>

#include "base/Error.h"
#include "consensus/RaftNode.h"
#include "storage/Storage.h"

namespace fernlift::consensus
{

[[nodiscard]] storage::WriteBatch toWriteBatch (const PersistRequest& request);

/// Decodes the state of a member that storage read back; fails with kStorageCorrupt when it cannot
/// be decoded. `initialMembers` are used only while neither snapshot nor log contains members.
[[nodiscard]] base::Result<RecoveredState> toRecoveredState (const storage::Recovered& recovered,
                                                             MemberSet initialMembers);

/// Encodes a message between members.
[[nodiscard]] std::string encode (const Message& message);
/// Inverse of encode; fails with kMessageInvalid when the bytes cannot be decoded.
[[nodiscard]] base::Result<Message> decode (std::string_view bytes);

}  // namespace fernlift::consensus
