#include "lab/Ledgers.h"

#include <fstream>

#include "lab/Fleet.h"
#include "lab/HttpCall.h"

namespace fernlift::lab
{
namespace
{

constexpr int kOk = 200;
constexpr base::Duration kLedgerTimeout = base::seconds (20);

}  // namespace

base::Result<std::vector<LedgerRun>> fetchLedger (const std::string& node,
                                                  const base::SocketAddress& address)
{
    const HttpOutcome outcome = callAndWait ({ .address = address,
                                               .method = "GET",
                                               .path = "/standin/ledger",
                                               .timeout = kLedgerTimeout });
    if (outcome.status != kOk || outcome.end != CallEnd::kComplete)
    {
        return base::fail (base::ErrorKind::kConnectionFailed, node + " did not return its ledger");
    }
    return parseLedger (node, outcome.body);
}

base::Result<std::vector<LedgerRun>> readLedgerFile (const std::string& node,
                                                     const std::string& path)
{
    std::vector<LedgerRun> all;
    std::ifstream file (path);
    for (std::string line; std::getline (file, line);)
    {
        BOOST_LEAF_AUTO (runs, parseLedger (node, line));
        all.insert (all.end(), runs.begin(), runs.end());
    }
    return all;
}

base::Result<std::vector<LedgerRun>> fetchLedgers (const Fleet& fleet)
{
    std::vector<LedgerRun> all;
    for (const NodeStatus& node : fleet.status())
    {
        const bool isBackEnd =
            node.role == NodeRole::kEngine || node.role == NodeRole::kApplicationRunner;
        if (! isBackEnd)
        {
            continue;
        }
        BOOST_LEAF_AUTO (earlier,
                         readLedgerFile (node.name, ledgerFile (fleet.folders(), node.name)));
        all.insert (all.end(), earlier.begin(), earlier.end());
        if (node.state == NodeState::kRunning)
        {
            BOOST_LEAF_AUTO (runs, fetchLedger (node.name, node.httpAddress));
            all.insert (all.end(), runs.begin(), runs.end());
        }
    }
    return all;
}

}  // namespace fernlift::lab
