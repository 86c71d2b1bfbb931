#include "controller/ControllerCore.h"

#include <algorithm>
#include <span>
#include <utility>

#include "cell/CommandCodec.h"
#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{
namespace
{

/// Longest time that a planned stop waits for another member to take over the leadership.
constexpr base::Duration kStopTimeout = base::seconds (3);
/// A new leader moves the cell's time forward by at most this many milliseconds.
constexpr base::UnixMilliseconds kMaxTimeJump = 10'000;

std::optional<cell::Command> decodeCommand (const std::string& bytes)
{
    return base::handleErrors (
        [&]() -> base::Result<std::optional<cell::Command>>
        {
            BOOST_LEAF_AUTO (command, cell::decodeCommand (bytes));
            return std::optional (std::move (command));
        },
        [] (const base::Error&) { return std::optional<cell::Command>(); });
}

/// Bytes that a restarted member processes to apply the entry again. Entries with an operator's
/// file are stored compressed, but the time to parse them depends on the uncompressed size.
std::size_t replayBytes (const consensus::Entry& entry, const cell::Command& command)
{
    const auto* apply = std::get_if<cell::ApplyConfiguration> (&command);
    return apply == nullptr ? entry.data.size() : std::max (entry.data.size(), apply->text.size());
}

}  // namespace

ControllerCore::Implementation::Implementation (base::MemberId self, ControllerOptions options,
                                                consensus::RecoveredState recovered,
                                                std::uint64_t randomSeed, base::TimePoint now,
                                                base::UnixMilliseconds unixNow)
    : m_self (self),
      m_options (std::move (options)),
      m_now (now),
      m_unixNow (unixNow),
      m_state (m_options.catalogueParser, m_options.plantedFault),
      m_raft (self, m_options.raft, std::move (recovered), randomSeed, now),
      m_orderHistory (now),
      m_relaySeeds (randomSeed + 1)
{
    beginRelay();
    drain();
}

void ControllerCore::Implementation::setTime (base::TimePoint now, base::UnixMilliseconds unixNow)
{
    m_now = now;
    m_unixNow = unixNow;
}

void ControllerCore::Implementation::onTick()
{
    m_raft.tick (m_now);
    drain();
    applyTenants();
    runRelay();
    passOnStreams();
    if (! m_leader)
        return;
    runRoutine();
    drain();
}

void ControllerCore::Implementation::onMemberMessage (const consensus::Message& message)
{
    m_raft.receive (message, m_now);
    drain();
}

void ControllerCore::Implementation::onPersisted (std::uint64_t sequence)
{
    m_raft.onPersisted (sequence, m_now);
    drain();
}

void ControllerCore::Implementation::onStorageFailed()
{
    m_raft.onStorageFailed();
    drain();
}

void ControllerCore::Implementation::drain()
{
    do
    {
        while (takeRaftOutput())
        {
        }
        updateLeadership();
        if (! m_leader)
            continue;
        flushClaims();
        sendOrders();
        placeIfDue();
        if (m_leader->isTableDue && ! m_leader->isTableShared)
            sendTablesIfDue();
        sendConfigurationIfDue();
        if (holdsLease())
            sendSuspectsTo (m_leader->sessions);
        sendPeers();
        trackRollout();
        placeOnEngines();
        sendInstancesIfDue();
        answerPendingLeaves();
        answerPendingApplies();
    } while (takeRaftOutput());
    updateLeadership();
    compactIfDue();
}

bool ControllerCore::Implementation::takeRaftOutput()
{
    consensus::RaftOutput output = m_raft.takeOutput();
    const bool isEmpty = output.writes.empty() && output.messages.empty()
                         && output.committed.empty() && ! output.installedSnapshot;
    if (isEmpty)
        return false;
    for (consensus::PersistRequest& write : output.writes)
    {
        m_effects.emplace_back (PersistEffect{ std::move (write) });
    }
    for (consensus::Message& message : output.messages)
        sendToMember (std::move (message));
    if (output.installedSnapshot)
    {
        const bool isRestored = base::handleErrors (
            [&]() -> base::Result<bool>
            {
                BOOST_LEAF_CHECK (m_state.restore (output.installedSnapshot->data));
                cacheConfiguration();
                return true;
            },
            [] (const base::Error&) { return false; });
        if (! isRestored)
            m_raft.onStorageFailed();
        m_orderHistory.forget (m_now);
        m_snapshots.onSnapshot (output.installedSnapshot->data.size());
    }
    for (const consensus::Entry& entry : output.committed)
        applyEntry (entry);
    return true;
}

void ControllerCore::Implementation::sendToMember (consensus::Message message)
{
    for (const std::span<const consensus::Member> members :
         { std::span (m_raft.members().members), std::span (std::as_const (m_options.contacts)) })
    {
        const auto found = std::ranges::find (members, message.to, &consensus::Member::id);
        if (found == members.end())
            continue;
        m_effects.emplace_back (SendToMember{ std::move (message), found->peerAddress });
        return;
    }
    sendToUnknownMember (message);
}

/// A member that missed a membership change must answer the leader to catch up, but if the change
/// added that leader, it does not have the leader's address. The leader may use the address of the
/// member that it replaced, so the message is sent to all known addresses; the other members drop
/// messages that are not addressed to them.
void ControllerCore::Implementation::sendToUnknownMember (const consensus::Message& message)
{
    std::set<std::string> addresses;
    for (const std::span<const consensus::Member> members :
         { std::span (m_raft.members().members), std::span (std::as_const (m_options.contacts)) })
    {
        for (const consensus::Member& member : members)
        {
            if (member.id != m_self)
                addresses.insert (member.peerAddress);
        }
    }
    for (const std::string& address : addresses)
    {
        m_effects.emplace_back (SendToMember{ message, address });
    }
}

void ControllerCore::Implementation::applyEntry (const consensus::Entry& entry)
{
    ++m_counters.entriesApplied;
    if (entry.kind == consensus::EntryKind::kMembership && m_leader)
        finishProposal (entry, {});
    if (entry.kind != consensus::EntryKind::kCommand)
    {
        m_snapshots.onEntry (entry.data.size());
        return;
    }
    const std::optional<cell::Command> command = decodeCommand (entry.data);
    m_snapshots.onEntry (command ? replayBytes (entry, *command) : entry.data.size());
    if (! command)
    {
        // A committed entry that this program cannot decode: stop rather than skip it.
        m_raft.onStorageFailed();
        return;
    }
    const cell::ApplyResult result = m_state.apply (entry.index, *command);
    if (const auto* outcome = std::get_if<cell::ConfigurationResult> (&result))
        onConfigurationApplied (*outcome);
    if (const auto* record = std::get_if<cell::RecordOrders> (&*command))
        m_orderHistory.onOrdersRecorded (*record, m_now);
    if (! m_leader)
        return;
    recordAppliedInstances (*command);
    if (const auto* record = std::get_if<cell::RecordSuspects> (&*command))
        onSuspectsApplied (*record);
    const bool isAboutClaims = std::holds_alternative<cell::ClaimKeys> (*command)
                               || std::holds_alternative<cell::RecordOutcomes> (*command);
    if (! isAboutClaims)
        m_leader->isTableDue = true;
    finishProposal (entry, result);
}

void ControllerCore::Implementation::updateLeadership()
{
    m_status = m_raft.summary();
    const bool isLeaderChanged = m_status.leader != m_announcedLeader;
    const bool isLeader = m_status.role == consensus::Role::kLeader;
    if (m_leader && (! isLeader || m_leader->term != m_status.term))
        endLeadership();
    if (! m_leader && isLeader && holdsLease())
        beginLeadership();
    // A member that becomes leader announces itself only once its leadership has begun, since it
    // must not answer before it holds its lease.
    const bool mayBeAnnounced = ! isLeader || m_leader.has_value();
    if (! isLeaderChanged || ! mayBeAnnounced)
        return;
    m_announcedLeader = m_status.leader;
    if (m_announcedLeader != 0)
        notifyWatchers();
}

void ControllerCore::Implementation::beginLeadership()
{
    ++m_counters.leaderships;
    const InstanceLoadTable earlierLoads = m_relay ? m_relay->loads : InstanceLoadTable();
    const cell::InstanceRateUpdate earlierRates =
        m_relay ? m_relay->rates.table (m_now) : cell::InstanceRateUpdate();
    const cell::BrittleServices earlierBrittle =
        m_relay ? m_relay->slots.services() : cell::BrittleServices();
    const std::vector<cell::SlotReport> earlierSlots =
        m_relay ? m_relay->slots.reports (m_now) : std::vector<cell::SlotReport>();
    RelayInstanceTable earlierTable =
        m_relay ? std::move (m_relay->instances) : RelayInstanceTable();
    endRelay();
    m_leader.emplace (m_options, m_status.term, m_now, engineOptions());
    m_leader->instances.continueFrom (std::move (earlierTable), m_status.term);
    m_leader->instances.refresh (m_state.instances(), m_now);
    m_leader->instances.restoreSoftwareVersions (m_state.softwareVersions());
    m_leader->instances.refreshChanged (m_state.instances(), m_now);
    m_leader->isSoftwareHistoryStated = m_state.softwareVersions().covers (m_state.instances());
    m_leader->requiredInstanceVersion = m_leader->instances.version();
    m_leader->placedInstances = m_leader->instances.version();
    restoreSpeeds (earlierLoads);
    m_leader->rates.begin (earlierRates.limited, m_now);
    beginSlots (earlierBrittle, earlierSlots);
    m_leader->unixSince = std::max (m_unixNow, m_state.time());
    // Claims expire by the cell's time: a step of the wall clock must not expire them early.
    if (m_state.time() != 0)
    {
        m_leader->unixSince = std::min (m_leader->unixSince, m_state.time() + kMaxTimeJump);
    }
    m_leader->watch.addKnown (m_state.replicas().runners());
    for (const auto& [id, runner] : m_state.replicas().runners())
        m_leader->ordersDue.insert (id);
}

void ControllerCore::Implementation::endLeadership()
{
    for (const auto& [index, purpose] : m_leader->proposals)
    {
        AdminTicket ticket = 0;
        if (const auto* apply = std::get_if<ForApply> (&purpose))
            ticket = apply->ticket;
        if (const auto* drainPurpose = std::get_if<ForDrain> (&purpose))
            ticket = drainPurpose->ticket;
        if (const auto* release = std::get_if<ForRelease> (&purpose))
            ticket = release->ticket;
        if (const auto* members = std::get_if<ForMembers> (&purpose))
            ticket = members->ticket;
        if (const auto* request = std::get_if<ForControl> (&purpose))
        {
            answerControl (request->ticket, { ControlVerdict::kUnavailable, "", "" });
        }
        if (const auto* request = std::get_if<ForLeavingInstance> (&purpose))
            answerControl (request->ticket, { ControlVerdict::kUnavailable, "", "" });
        if (const auto* request = std::get_if<ForConfiguration> (&purpose))
            answerConfiguration (*request, { ControlVerdict::kUnavailable, "", "" });
        if (ticket == 0)
            continue;
        answer (ticket,
                errorAnswer (
                    { base::ErrorKind::kNoQuorum,
                      "leadership was lost before the outcome was known; repeat the request" }));
    }
    for (const PendingApply& wait : m_leader->pendingApplies)
    {
        answer (wait.ticket, configurationAnswer (wait.result, false));
    }
    for (const auto& [leaving, wait] : m_leader->pendingLeaves)
    {
        for (const ControlTicket ticket : wait.tickets)
            answerControl (ticket, { ControlVerdict::kUnavailable, "", "" });
    }
    for (const PendingConfiguration& wait : m_leader->pendingConfigurations)
        answerConfiguration (wait.purpose, { ControlVerdict::kUnavailable, "", "" });
    for (const auto& [connection, session] : m_leader->sessions.sessions())
    {
        m_watchers.insert (connection);
        replyNotLeader (connection);
    }
    cell::InstanceRateUpdate rates = rateTable();
    cell::BrittleServices brittle = brittleServices();
    m_leader.reset();
    beginRelay();
    m_relay->rates.setTable (std::move (rates), m_now);
    m_relay->slots.setServices (std::move (brittle));
}

void ControllerCore::Implementation::compactIfDue()
{
    if (! m_snapshots.isDue())
        return;
    std::string state = m_state.encode();
    m_snapshots.onSnapshot (state.size());
    m_raft.compact (m_status.appliedIndex, std::move (state));
    while (takeRaftOutput())
    {
    }
}

base::UnixMilliseconds ControllerCore::Implementation::cellTime() const
{
    return m_leader->unixSince + base::toMilliseconds (m_now - m_leader->since);
}

void ControllerCore::Implementation::addContact (const std::string& peerAddress)
{
    const bool isKnown =
        std::ranges::any_of (m_options.contacts, [&] (const consensus::Member& contact)
                             { return contact.peerAddress == peerAddress; });
    if (isKnown)
        return;
    consensus::Member contact;
    contact.peerAddress = peerAddress;
    m_options.contacts.push_back (contact);
}

void ControllerCore::Implementation::beginStop()
{
    m_isStopping = true;
    m_stopDeadline = m_now + kStopTimeout;
    base::handleErrors ([&]() -> base::Result<void> { return m_raft.transferLeadership (m_now); },
                        [] (const base::Error&) {});
    drain();
}

bool ControllerCore::Implementation::isStopped() const
{
    if (! m_isStopping)
        return false;
    const bool isAlone = m_raft.members().members.size() <= 1;
    return m_status.role != consensus::Role::kLeader || isAlone || m_now >= m_stopDeadline;
}

std::vector<Effect> ControllerCore::Implementation::takeEffects()
{
    std::vector<Effect> effects;
    effects.swap (m_effects);
    return effects;
}

// Public interface: forwards to the implementation.

ControllerCore::ControllerCore (base::MemberId self, ControllerOptions options,
                                consensus::RecoveredState recovered, std::uint64_t randomSeed,
                                base::TimePoint now, base::UnixMilliseconds unixNow)
    : m_implementation (std::make_unique<Implementation> (
        self, std::move (options), std::move (recovered), randomSeed, now, unixNow))
{
}
ControllerCore::~ControllerCore() = default;
ControllerCore::ControllerCore (ControllerCore&&) noexcept = default;
ControllerCore& ControllerCore::operator= (ControllerCore&&) noexcept = default;

void ControllerCore::setTime (base::TimePoint now, base::UnixMilliseconds unixNow)
{
    m_implementation->setTime (now, unixNow);
}
void ControllerCore::onTick() { m_implementation->onTick(); }
void ControllerCore::onMemberMessage (const consensus::Message& message)
{
    m_implementation->onMemberMessage (message);
}
void ControllerCore::onPersisted (std::uint64_t sequence)
{
    m_implementation->onPersisted (sequence);
}
void ControllerCore::onStorageFailed() { m_implementation->onStorageFailed(); }
void ControllerCore::onRouterMessage (RouterConnection connection,
                                      const cell::RouterToController& message)
{
    m_implementation->onRouterMessage (connection, message);
}
void ControllerCore::onRouterDisconnected (RouterConnection connection)
{
    m_implementation->onRouterDisconnected (connection);
}
void ControllerCore::onLeaderConnected() { m_implementation->onLeaderConnected(); }
void ControllerCore::onLeaderLost() { m_implementation->onLeaderLost(); }
void ControllerCore::onLeaderMessage (const cell::ControllerToRouter& message)
{
    m_implementation->onLeaderMessage (message);
}
RelayStatus ControllerCore::relayStatus() const { return m_implementation->relayStatus(); }
void ControllerCore::onOrderAnswer (const base::RunnerId& runner, const engine::Order& order,
                                    const engine::OrderAnswer& answer)
{
    m_implementation->onOrderAnswer (runner, order, answer);
}
void ControllerCore::onOrderFailed (const base::RunnerId& runner, const engine::Order& order)
{
    m_implementation->onOrderFailed (runner, order);
}
void ControllerCore::onReport (const base::RunnerId& runner, const engine::Report& report)
{
    m_implementation->onReport (runner, report);
}
void ControllerCore::onReportFailed (const base::RunnerId& runner)
{
    m_implementation->onReportFailed (runner);
}
void ControllerCore::onMachineList (const engine::MachineList& list)
{
    m_implementation->onMachineList (list);
}
void ControllerCore::onMachineListFailed() { m_implementation->onMachineListFailed(); }
void ControllerCore::onAdmin (AdminTicket ticket, const AdminRequest& request)
{
    m_implementation->onAdmin (ticket, request);
}
void ControllerCore::onControl (ControlTicket ticket, const ControlRequest& request)
{
    m_implementation->onControl (ticket, request);
}
void ControllerCore::onEngineOrderAnswer (const engine::ServiceOrder& order,
                                          engine::OrderOutcome outcome)
{
    m_implementation->onEngineOrderAnswer (order, outcome);
}
void ControllerCore::onEngineReport (const std::string& instance,
                                     const engine::ServiceReport* report)
{
    m_implementation->onEngineReport (instance, report);
}
void ControllerCore::addContact (const std::string& peerAddress)
{
    m_implementation->addContact (peerAddress);
}
void ControllerCore::beginStop() { m_implementation->beginStop(); }
bool ControllerCore::isStopped() const { return m_implementation->isStopped(); }
std::vector<Effect> ControllerCore::takeEffects() { return m_implementation->takeEffects(); }
consensus::RaftStatus ControllerCore::raftStatus() const { return m_implementation->raftStatus(); }
consensus::RaftSummary ControllerCore::raftSummary() const
{
    return m_implementation->raftSummary();
}
bool ControllerCore::holdsLease() const { return m_implementation->holdsLease(); }
const cell::CellState& ControllerCore::state() const { return m_implementation->state(); }
std::string ControllerCore::metricsText() const { return m_implementation->metricsText(); }

}  // namespace fernlift::controller
