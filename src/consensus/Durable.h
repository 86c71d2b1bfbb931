#pragma once

/// Translates between the durable state of consensus and the opaque bytes that storage keeps, and
/// between messages and their bytes on a connection.

#include <string>
#include <string_view>

#include "base/Error.h"
#include "consensus/RaftNode.h"
#include "storage/Storage.h"

namespace fernlift::consensus
{

[[nodiscard]] storage::WriteBatch toWriteBatch (const PersistRequest& request);

/// The state of a member from what storage read back; kStorageCorrupt when it cannot be decoded.
/// `initialMembers` are used only while neither snapshot nor log names members.
[[nodiscard]] base::Result<RecoveredState> toRecoveredState (const storage::Recovered& recovered,
                                                             MemberSet initialMembers);

/// Bytes of a message between members.
[[nodiscard]] std::string encode (const Message& message);
/// Inverse of encode; kMessageInvalid.
[[nodiscard]] base::Result<Message> decode (std::string_view bytes);

}  // namespace fernlift::consensus
