#include "controller/ControllerSettings.h"

#include <algorithm>
#include <charconv>

namespace fernlift::controller
{
namespace
{

using base::milliseconds;
using base::seconds;

constexpr std::int64_t kMaxId = 1'000'000'000'000;
constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kMaxEntriesBetweenSnapshots = 10'000'000;
constexpr base::Duration kMinDuration = milliseconds (1);
constexpr base::Duration kMaxDuration = std::chrono::hours (24);
constexpr std::size_t kMemberParts = 4;

std::vector<std::string_view> split (std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (true)
    {
        const std::size_t end = text.find (separator);
        parts.push_back (text.substr (0, end));
        if (end == std::string_view::npos)
            return parts;
        text.remove_prefix (end + 1);
    }
}

void declareIdentity (config::SettingsSchema& schema, ControllerSettings& settings)
{
    schema.addInteger (
        "id", &settings.id, 0, kMaxId,
        "identity of this member's disk, never reused after the disk is lost; 0, only "
        "with seeds: drawn at the first start");
    schema.addString ("cell", &settings.cell, "name of the cell").required();
    schema.addString ("zone", &settings.zone, "zone of this machine").required();
    schema.addString ("data_dir", &settings.dataDirectory, "folder of the durable state")
        .required();
    schema.addAddress ("peer_address", &settings.peerAddress,
                       "listens for other members and for routers");
    schema.required();
    schema.addAddress ("http_address", &settings.httpAddress,
                       "listens for operators, health checks and metrics");
    schema.required();
    schema.addAddress ("control_address", &settings.controlAddress,
                       "listens for runners that register themselves and for the operator of their "
                       "services; not set: nowhere");
    schema.addAddress ("machines_address", &settings.machinesAddress,
                       "address of the platform's machine list; not set: there is none");
}

void declareSeeds (config::SettingsSchema& schema, ControllerSettings& settings)
{
    schema.addAddressList (
        "seeds", &settings.seeds,
        "control addresses of the controllers that found the cell (with bootstrap) "
        "and are asked to join it; when set, members are managed by the cell");
    schema.addInteger ("seed_peer_port", &settings.seedPeerPort, 0, kMaxPort,
                       "port of peer_address at every seed");
}

void declareStart (config::SettingsSchema& schema, ControllerSettings& settings)
{
    schema.addStringList (
        "members", &settings.members,
        "the members and this one, each as ID=PEER_IP:PORT=HTTP_IP:PORT=ZONE; with "
        "bootstrap the first members of the cell, with join those to answer until "
        "the leader has sent the member set; not read otherwise");
    schema.addBoolean ("bootstrap", &settings.isBootstrap,
                       "only for the first start of the cell: begin with an empty folder as one of "
                       "the members");
    schema.addBoolean ("join", &settings.isJoining,
                       "begin with an empty folder and wait to be added by an operator");
}

void declareConsensusTiming (config::SettingsSchema& schema, ControllerSettings& settings)
{
    consensus::RaftOptions& raft = settings.core.raft;
    schema.addDuration ("heartbeat_interval_ms", &raft.heartbeatInterval, kMinDuration,
                        seconds (10), "interval of the leader's heartbeats");
    schema.addDuration ("election_timeout_min_ms", &raft.electionTimeoutMinimum, milliseconds (10),
                        seconds (60), "shortest silence of the leader before an election");
    schema.addDuration ("election_timeout_max_ms", &raft.electionTimeoutMaximum, milliseconds (10),
                        seconds (120), "longest silence of the leader before an election");
    schema.addDuration ("lease_margin_ms", &raft.leaseMargin, kMinDuration, seconds (30),
                        "the leader's lease ends this much before election_timeout_min_ms");
    schema.addInteger ("entries_between_snapshots", &settings.entriesBetweenSnapshots, 1,
                       kMaxEntriesBetweenSnapshots, "log entries kept before the log is compacted");
}

void declareCellTiming (config::SettingsSchema& schema, ControllerSettings& settings)
{
    ControllerOptions& core = settings.core;
    schema.addDuration ("router_lease_ms", &core.routerLease, milliseconds (100), seconds (60),
                        "how long a router may serve on a configuration without asking again");
    quota::declareSettings (schema, core.quotaTolerance);
    schema.addDuration ("report_interval_ms", &core.reportInterval, milliseconds (10), seconds (60),
                        "interval of the calls for each runner's report");
    schema.addDuration ("machine_list_interval_ms", &core.machineListInterval, milliseconds (10),
                        seconds (600), "interval of the calls for the machine list");
    schema.addDuration ("order_timeout_ms", &core.orderTimeout, milliseconds (10), seconds (600),
                        "an order without an answer is sent again after this");
    schema.addBoolean (
        "fetch_ahead", &core.fetchesAhead,
        "models of which no registered engine has a copy are loaded while the weight "
        "store has places to spare, before anybody asks for them");
    schema.addDuration ("order_pause_ms", &core.newLeaderOrderDelay, milliseconds (0),
                        seconds (600),
                        "a new leader sends registered engines no order for this time");
    schema.addDuration ("keep_alive_ms", &core.keepAlive, kMinDuration, kMaxDuration,
                        "idle time before a replica may be unloaded");
    schema.addDuration ("claim_window_ms", &core.claimWindow, seconds (1), kMaxDuration,
                        "how long idempotency keys are kept after the request's deadline");
    schema.addDuration ("call_timeout_ms", &settings.callTimeout, milliseconds (10), seconds (600),
                        "longest call for an order, a report or the machine list");
    schema.addDuration ("stop_timeout_ms", &settings.stopTimeout, kMinDuration, seconds (600),
                        "longest planned stop");
}

std::vector<std::string> checkConsistency (const ControllerSettings& settings)
{
    std::vector<std::string> problems =
        config::findAddressClashes ({ { "peer_address", settings.peerAddress },
                                      { "http_address", settings.httpAddress },
                                      { "control_address", settings.controlAddress } });
    const consensus::RaftOptions& raft = settings.core.raft;
    if (settings.id == 0 && ! formsFromSeeds (settings))
    {
        problems.emplace_back (
            "id: missing (key id or flag --id), allowed: integer from 1; 0 only with "
            "seeds");
    }
    if (formsFromSeeds (settings))
    {
        if (settings.seedPeerPort == 0)
            problems.emplace_back ("seed_peer_port: missing with seeds");
        if (settings.isJoining || ! settings.members.empty())
        {
            problems.emplace_back ("seeds excludes join and members");
        }
    }
    else if (settings.isBootstrap && settings.isJoining)
    {
        problems.emplace_back ("bootstrap and join exclude each other");
    }
    if (raft.electionTimeoutMaximum < raft.electionTimeoutMinimum)
    {
        problems.emplace_back ("election_timeout_max_ms is below election_timeout_min_ms");
    }
    if (raft.electionTimeoutMinimum < 2 * raft.heartbeatInterval)
    {
        problems.emplace_back ("election_timeout_min_ms is below twice heartbeat_interval_ms");
    }
    if (raft.leaseMargin >= raft.electionTimeoutMinimum)
    {
        problems.emplace_back ("lease_margin_ms is not below election_timeout_min_ms");
    }
    const bool namesMembers =
        settings.isBootstrap || settings.isJoining || ! settings.members.empty();
    if (namesMembers && ! formsFromSeeds (settings))
    {
        base::handleErrors (
            [&]() -> base::Result<void>
            {
                BOOST_LEAF_CHECK (initialMembers (settings));
                return {};
            },
            [&] (const base::Error& error) { problems.push_back (error.message); });
    }
    return problems;
}

}  // namespace

void declareSettings (config::SettingsSchema& schema, ControllerSettings& settings)
{
    declareIdentity (schema, settings);
    declareStart (schema, settings);
    declareSeeds (schema, settings);
    declareConsensusTiming (schema, settings);
    declareCellTiming (schema, settings);
    config::addLoggingSettings (schema, &settings.logging);
    schema.addCheck ([&settings] { return checkConsistency (settings); });
}

base::Result<consensus::Member> parseMember (std::string_view text)
{
    const std::vector<std::string_view> parts = split (text, '=');
    const auto invalid = [&] (const char* what)
    {
        return base::fail (base::ErrorKind::kSettingsInvalid,
                           "members: '" + std::string (text) + "' " + what
                               + "; allowed: ID=PEER_IP:PORT=HTTP_IP:PORT=ZONE");
    };
    if (parts.size() != kMemberParts)
        return invalid ("does not have four parts");
    consensus::Member member;
    const std::string_view id = parts[0];
    const auto [end, status] = std::from_chars (id.data(), id.data() + id.size(), member.id);
    if (status != std::errc() || end != id.data() + id.size() || member.id == 0)
    {
        return invalid ("has no positive whole number as id");
    }
    if (! base::SocketAddress::parse (parts[1]))
        return invalid ("has no valid peer address");
    if (! base::SocketAddress::parse (parts[2]))
        return invalid ("has no valid HTTP address");
    member.peerAddress = std::string (parts[1]);
    member.adminAddress = std::string (parts[2]);
    member.zone = std::string (parts[3]);
    return member;
}

base::Result<consensus::MemberSet> initialMembers (const ControllerSettings& settings)
{
    using base::ErrorKind;
    consensus::MemberSet set;
    for (const std::string& text : settings.members)
    {
        BOOST_LEAF_AUTO (member, parseMember (text));
        set.members.push_back (member);
    }
    std::ranges::sort (set.members, {}, &consensus::Member::id);
    if (std::ranges::adjacent_find (set.members, {}, &consensus::Member::id) != set.members.end())
    {
        return base::fail (ErrorKind::kSettingsInvalid, "members: an id is listed twice");
    }
    const auto self = static_cast<consensus::MemberId> (settings.id);
    const auto found = std::ranges::find (set.members, self, &consensus::Member::id);
    if (found == set.members.end())
    {
        return base::fail (
            ErrorKind::kSettingsInvalid,
            "members: this member's id " + std::to_string (settings.id) + " is missing");
    }
    if (found->peerAddress != settings.peerAddress.toString())
    {
        return base::fail (ErrorKind::kSettingsInvalid,
                           "members: the peer address of this member differs from peer_address");
    }
    return set;
}

/// The listed members, or none when the list is invalid; the check of the settings reports that.
static std::vector<consensus::Member> membersOrNone (const ControllerSettings& settings)
{
    return base::handleErrors (
        [&]() -> base::Result<std::vector<consensus::Member>>
        {
            BOOST_LEAF_AUTO (set, initialMembers (settings));
            return set.members;
        },
        [] (const base::Error&) { return std::vector<consensus::Member>(); });
}

bool formsFromSeeds (const ControllerSettings& settings) { return ! settings.seeds.empty(); }

ControllerOptions coreOptions (const ControllerSettings& settings)
{
    ControllerOptions options = settings.core;
    options.cell = base::CellId (settings.cell);
    if (settings.isJoining)
        options.contacts = membersOrNone (settings);
    options.hasMachineList = ! settings.machinesAddress.host.empty();
    options.managesMembers = formsFromSeeds (settings);
    options.entriesBetweenSnapshots = static_cast<std::size_t> (settings.entriesBetweenSnapshots);
    return options;
}

}  // namespace fernlift::controller
