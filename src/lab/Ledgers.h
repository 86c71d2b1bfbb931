#pragma once

/// Reads the ledgers of the stand-ins, which list the requests that they ran.

#include <string>
#include <vector>

#include "base/Error.h"
#include "base/SocketAddress.h"
#include "lab/HistoryCheck.h"

namespace fernlift::lab
{

class Fleet;

/// Fetches the ledger of a running back end. Fails with kConnectionFailed when it does not answer.
[[nodiscard]] base::Result<std::vector<LedgerRun>> fetchLedger (const std::string& node,
                                                                const base::SocketAddress& address);
/// Reads the ledgers that a back end wrote at its planned stops, one line of JSON each. A missing
/// file counts as empty.
[[nodiscard]] base::Result<std::vector<LedgerRun>> readLedgerFile (const std::string& node,
                                                                   const std::string& path);
/// Returns the runs of all running back ends of a fleet and of their earlier processes that ended
/// by a planned stop. The ledgers of killed processes are lost.
[[nodiscard]] base::Result<std::vector<LedgerRun>> fetchLedgers (const Fleet& fleet);

}  // namespace fernlift::lab
