#pragma once

/// Fetches what the stand-ins have run.

#include <string>
#include <vector>

#include "base/Error.h"
#include "base/SocketAddress.h"
#include "lab/HistoryCheck.h"

namespace fernlift::lab
{

class Fleet;

/// The ledger of one running back end; fails with kConnectionFailed when it does not answer.
[[nodiscard]] base::Result<std::vector<LedgerRun>> fetchLedger (const std::string& node,
                                                                const base::SocketAddress& address);
/// The ledgers that a back end left at its planned stops: one line of JSON each. A file that does
/// not exist holds none.
[[nodiscard]] base::Result<std::vector<LedgerRun>> readLedgerFile (const std::string& node,
                                                                   const std::string& path);
/// The ledgers of all running back ends of a fleet together, and of earlier processes under their
/// names that ended by a planned stop. Those of killed processes are lost.
[[nodiscard]] base::Result<std::vector<LedgerRun>> fetchLedgers (const Fleet& fleet);

}  // namespace fernlift::lab
