#include "controller/ControllerCore.h"

#include <algorithm>
#include <utility>

#include "controller/ControllerImplementation.h"
#include "wire/Codec.h"

namespace fernlift::controller
{
namespace
{

/// A planned stop waits at most this long for another member to take over.
constexpr base::Duration kStopTimeout = base::seconds (3);
/// A new leader moves the cell's time forward by at most this, in milliseconds.
constexpr base::UnixMilliseconds kLargestTimeJump = 10'000;

std::optional<cell::Command> decodeCommand (const std::string& bytes)
{
    return base::handleErrors (
        [&]() -> base::Result<std::optional<cell::Command>>
        {
            BOOST_LEAF_AUTO (command, wire::decodeMessage<cell::Command> (bytes));
            return std::optional (std::move (command));
        },
        [] (const base::Error&) { return std::optional<cell::Command>(); });
}

}  // namespace

ControllerCore::Implementation::Implementation (base::MemberId self, ControllerOptions options,
                                                consensus::RecoveredState recovered,
                                                std::uint64_t randomSeed, base::TimePoint now,
                                                base::UnixMilliseconds unixNow)
    : self_ (self),
      options_ (std::move (options)),
      now_ (now),
      unixNow_ (unixNow),
      state_ (options_.catalogueParser, options_.plantedFault),
      raft_ (self, options_.raft, std::move (recovered), randomSeed, now),
      orderNotes_ (now)
{
    drain();
}

void ControllerCore::Implementation::setTime (base::TimePoint now, base::UnixMilliseconds unixNow)
{
    now_ = now;
    unixNow_ = unixNow;
}

void ControllerCore::Implementation::onTick()
{
    raft_.tick (now_);
    drain();
    if (! leader_)
        return;
    runRoutine();
    drain();
}

void ControllerCore::Implementation::onMemberMessage (const consensus::Message& message)
{
    raft_.receive (message, now_);
    drain();
}

void ControllerCore::Implementation::onPersisted (std::uint64_t sequence)
{
    raft_.onPersisted (sequence, now_);
    drain();
}

void ControllerCore::Implementation::onStorageFailed()
{
    raft_.onStorageFailed();
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
        if (! leader_)
            continue;
        flushClaims();
        sendOrders();
        placeIfDue();
        if (leader_->isTableDue && ! leader_->isTableShared)
            sendTablesIfDue();
        announceConfiguration();
        placeOnEngines();
        sendInstancesIfDue();
        answerInForceWaits();
    } while (takeRaftOutput());
    updateLeadership();
    compactIfDue();
}

bool ControllerCore::Implementation::takeRaftOutput()
{
    consensus::RaftOutput output = raft_.takeOutput();
    const bool isEmpty = output.writes.empty() && output.messages.empty()
                         && output.committed.empty() && ! output.installedSnapshot;
    if (isEmpty)
        return false;
    for (consensus::PersistRequest& write : output.writes)
    {
        effects_.emplace_back (PersistEffect{ std::move (write) });
    }
    for (consensus::Message& message : output.messages)
        sendToMember (std::move (message));
    if (output.installedSnapshot)
    {
        const bool isRestored = base::handleErrors (
            [&]() -> base::Result<bool>
            {
                BOOST_LEAF_CHECK (state_.restore (output.installedSnapshot->data));
                return true;
            },
            [] (const base::Error&) { return false; });
        if (! isRestored)
            raft_.onStorageFailed();
        orderNotes_.forget (now_);
        snapshots_.onSnapshot (output.installedSnapshot->data.size());
    }
    for (const consensus::Entry& entry : output.committed)
        applyEntry (entry);
    return true;
}

void ControllerCore::Implementation::sendToMember (consensus::Message message)
{
    status_ = raft_.status (now_);
    for (const auto* members : { &status_.members.members, &options_.contacts })
    {
        const auto found = std::ranges::find (*members, message.to, &consensus::Member::id);
        if (found == members->end())
            continue;
        effects_.emplace_back (SendToMember{ std::move (message), found->peerAddress });
        return;
    }
    sendToUnknownMember (message);
}

/// A member that missed a change of the members does not know a leader that came with it, and must
/// answer it to catch up. The leader may be at the address of the member it replaced; all others
/// drop what is not for them.
void ControllerCore::Implementation::sendToUnknownMember (const consensus::Message& message)
{
    std::set<std::string> addresses;
    for (const auto* members : { &status_.members.members, &options_.contacts })
    {
        for (const consensus::Member& member : *members)
        {
            if (member.id != self_)
                addresses.insert (member.peerAddress);
        }
    }
    for (const std::string& address : addresses)
    {
        effects_.emplace_back (SendToMember{ message, address });
    }
}

void ControllerCore::Implementation::applyEntry (const consensus::Entry& entry)
{
    snapshots_.onEntry (entry.data.size());
    ++counters_.entriesApplied;
    if (entry.kind == consensus::EntryKind::kMembership && leader_)
        finishProposal (entry, {});
    if (entry.kind != consensus::EntryKind::kCommand)
        return;
    const std::optional<cell::Command> command = decodeCommand (entry.data);
    if (! command)
    {
        // A synced and agreed entry that this program cannot read: go no further.
        raft_.onStorageFailed();
        return;
    }
    const cell::ApplyResult result = state_.apply (entry.index, *command);
    if (const auto* note = std::get_if<cell::NoteOrders> (&*command))
        orderNotes_.onNote (*note, now_);
    if (! leader_)
        return;
    const bool isAboutClaims = std::holds_alternative<cell::ClaimKeys> (*command)
                               || std::holds_alternative<cell::RecordOutcomes> (*command);
    if (! isAboutClaims)
        leader_->isTableDue = true;
    finishProposal (entry, result);
}

void ControllerCore::Implementation::finishProposal (const consensus::Entry& entry,
                                                     const cell::ApplyResult& result)
{
    const auto found = leader_->proposals.find (entry.index);
    if (found == leader_->proposals.end())
        return;
    const Purpose purpose = std::move (found->second);
    leader_->proposals.erase (found);
    if (entry.term != leader_->term)
        return;
    std::visit ([&] (const auto& value) { finish (value, entry.index, result); }, purpose);
}

void ControllerCore::Implementation::finish (const ForPlacement& /*purpose*/, base::LogIndex index,
                                             const cell::ApplyResult& result)
{
    --leader_->placementProposals;
    const auto* load = std::get_if<cell::LoadResult> (&result);
    const auto* unload = std::get_if<cell::UnloadResult> (&result);
    const bool isGranted = (load != nullptr && load->refusal == cell::LoadRefusal::kNone)
                           || (unload != nullptr && unload->refusal == cell::UnloadRefusal::kNone);
    if (! isGranted)
        return;
    leader_->isPlacementDue = true;
    if (load != nullptr)
    {
        leader_->ordersDue.insert (state_.replicas().findReplica (index)->runner);
    }
    else
    {
        // The replica that was unloaded carries this index as its fence.
        for (const auto& [id, replica] : state_.replicas().replicas())
        {
            if (replica.fence == index)
                leader_->ordersDue.insert (replica.runner);
        }
    }
}

void ControllerCore::Implementation::finish (const ForApply& purpose, base::LogIndex /*index*/,
                                             const cell::ApplyResult& result)
{
    const auto& outcome = std::get<cell::ConfigurationResult> (result);
    leader_->isPlacementDue = true;
    sendConfigurationToAll();
    const bool isAccepted = outcome.outcome == cell::ConfigurationOutcome::kAccepted
                            || outcome.outcome == cell::ConfigurationOutcome::kUnchanged;
    if (purpose.waitInForce && isAccepted)
    {
        leader_->inForceWaits.push_back ({ purpose.ticket, outcome, purpose.deadline });
    }
    else
    {
        answer (purpose.ticket, configurationAnswer (outcome, std::nullopt));
    }
}

void ControllerCore::Implementation::finish (const ForDrain& purpose, base::LogIndex /*index*/,
                                             const cell::ApplyResult& /*result*/)
{
    leader_->isPlacementDue = true;
    answer (purpose.ticket, doneAnswer());
}

void ControllerCore::Implementation::finish (const ForMembers& purpose, base::LogIndex /*index*/,
                                             const cell::ApplyResult& /*result*/)
{
    answer (purpose.ticket, doneAnswer());
}

void ControllerCore::Implementation::finish (const ForClaims& purpose, base::LogIndex /*index*/,
                                             const cell::ApplyResult& result)
{
    const auto& claims = std::get<cell::ClaimResult> (result);
    for (DueClaimReply& due : leader_->claims.onCommitted (purpose.batch, claims))
    {
        if (leader_->sessions.find (due.source) != nullptr)
        {
            sendToRouter (due.source, std::move (due.reply));
        }
    }
}

void ControllerCore::Implementation::finish (const ForReplica& purpose, base::LogIndex /*index*/,
                                             const cell::ApplyResult& /*result*/)
{
    leader_->busyReplicas.erase (purpose.replica);
    leader_->isPlacementDue = true;
    const cell::Replica* replica = state_.replicas().findReplica (purpose.replica);
    if (replica == nullptr)
    {
        leader_->lastUse.erase (purpose.replica);
    }
    else
    {
        leader_->ordersDue.insert (replica->runner);
    }
}

void ControllerCore::Implementation::finish (const ForRunner& purpose, base::LogIndex /*index*/,
                                             const cell::ApplyResult& /*result*/)
{
    leader_->busyRunners.erase (purpose.runner);
    leader_->isPlacementDue = true;
    if (state_.replicas().findRunner (purpose.runner) != nullptr)
    {
        leader_->ordersDue.insert (purpose.runner);
    }
}

void ControllerCore::Implementation::finish (const ForStray& purpose, base::LogIndex index,
                                             const cell::ApplyResult& /*result*/)
{
    const StrayReplica& stray = purpose.stray;
    const std::pair key (stray.runner, stray.report.replica);
    leader_->busyStrays.erase (key);
    leader_->strayPauses[key] = now_ + options_.orderTimeout;
    engine::Order order;
    order.kind = stray.report.adapter.empty() ? engine::OrderKind::kUnloadModel
                                              : engine::OrderKind::kUnloadAdapter;
    order.fence = index;
    order.incarnation = stray.incarnation;
    order.replica = stray.report.replica;
    order.model = stray.report.model;
    order.version = stray.report.version;
    order.adapter = stray.report.adapter;
    order.memory = stray.report.memory;
    leader_->orders.addStray (stray.runner, order);
    leader_->ordersDue.insert (stray.runner);
}

void ControllerCore::Implementation::finish (const ForNothing& /*purpose*/,
                                             base::LogIndex /*index*/,
                                             const cell::ApplyResult& /*result*/)
{
}

void ControllerCore::Implementation::updateLeadership()
{
    status_ = raft_.status (now_);
    const bool isLeader = status_.role == consensus::Role::kLeader;
    if (leader_ && (! isLeader || leader_->term != status_.term))
        endLeadership();
    if (! leader_ && isLeader && holdsLease())
        beginLeadership();
}

void ControllerCore::Implementation::beginLeadership()
{
    ++counters_.leaderships;
    leader_.emplace (options_, status_.term, now_, engineOptions());
    leader_->unixSince = std::max (unixNow_, state_.time());
    // Claims expire by the cell's time: a wall clock that stepped must not let them go early.
    if (state_.time() != 0)
    {
        leader_->unixSince = std::min (leader_->unixSince, state_.time() + kLargestTimeJump);
    }
    leader_->watch.addKnown (state_.replicas().runners());
    for (const auto& [id, runner] : state_.replicas().runners())
        leader_->ordersDue.insert (id);
}

void ControllerCore::Implementation::endLeadership()
{
    for (const auto& [index, purpose] : leader_->proposals)
    {
        AdminTicket ticket = 0;
        if (const auto* apply = std::get_if<ForApply> (&purpose))
            ticket = apply->ticket;
        if (const auto* drainPurpose = std::get_if<ForDrain> (&purpose))
            ticket = drainPurpose->ticket;
        if (const auto* members = std::get_if<ForMembers> (&purpose))
            ticket = members->ticket;
        if (const auto* request = std::get_if<ForControl> (&purpose))
        {
            answerControl (request->ticket, { ControlVerdict::kUnavailable, "", "" });
        }
        if (ticket == 0)
            continue;
        answer (ticket,
                errorAnswer ({ base::ErrorKind::kNoQuorum,
                               "leadership was lost before the outcome was known; send again" }));
    }
    for (const InForceWait& wait : leader_->inForceWaits)
    {
        answer (wait.ticket, configurationAnswer (wait.result, false));
    }
    for (const auto& [connection, session] : leader_->sessions.sessions())
    {
        replyNotLeader (connection);
    }
    leader_.reset();
}

void ControllerCore::Implementation::compactIfDue()
{
    if (! snapshots_.isDue())
        return;
    std::string state = state_.encode();
    snapshots_.onSnapshot (state.size());
    raft_.compact (status_.appliedIndex, std::move (state));
    while (takeRaftOutput())
    {
    }
}

bool ControllerCore::Implementation::propose (const cell::Command& command, Purpose purpose)
{
    const base::LogIndex index =
        base::handleErrors ([&]() -> base::Result<base::LogIndex>
                            { return raft_.propose (wire::encodeMessage (command), now_); },
                            [] (const base::Error&) { return base::LogIndex{ 0 }; });
    if (index == 0)
        return false;
    ++counters_.proposals;
    leader_->proposals.emplace (index, std::move (purpose));
    return true;
}

base::UnixMilliseconds ControllerCore::Implementation::cellTime() const
{
    return leader_->unixSince + base::toMilliseconds (now_ - leader_->since);
}

void ControllerCore::Implementation::addContact (const std::string& peerAddress)
{
    const bool isKnown =
        std::ranges::any_of (options_.contacts, [&] (const consensus::Member& contact)
                             { return contact.peerAddress == peerAddress; });
    if (isKnown)
        return;
    consensus::Member contact;
    contact.peerAddress = peerAddress;
    options_.contacts.push_back (contact);
}

void ControllerCore::Implementation::beginStop()
{
    isStopping_ = true;
    stopDeadline_ = now_ + kStopTimeout;
    base::handleErrors ([&]() -> base::Result<void> { return raft_.transferLeadership (now_); },
                        [] (const base::Error&) {});
    drain();
}

bool ControllerCore::Implementation::isStopped() const
{
    if (! isStopping_)
        return false;
    const bool isAlone = status_.members.members.size() <= 1;
    return status_.role != consensus::Role::kLeader || isAlone || now_ >= stopDeadline_;
}

std::vector<Effect> ControllerCore::Implementation::takeEffects()
{
    std::vector<Effect> effects;
    effects.swap (effects_);
    return effects;
}

// The public face.

ControllerCore::ControllerCore (base::MemberId self, ControllerOptions options,
                                consensus::RecoveredState recovered, std::uint64_t randomSeed,
                                base::TimePoint now, base::UnixMilliseconds unixNow)
    : implementation_ (std::make_unique<Implementation> (
        self, std::move (options), std::move (recovered), randomSeed, now, unixNow))
{
}
ControllerCore::~ControllerCore() = default;
ControllerCore::ControllerCore (ControllerCore&&) noexcept = default;
ControllerCore& ControllerCore::operator= (ControllerCore&&) noexcept = default;

void ControllerCore::setTime (base::TimePoint now, base::UnixMilliseconds unixNow)
{
    implementation_->setTime (now, unixNow);
}
void ControllerCore::onTick() { implementation_->onTick(); }
void ControllerCore::onMemberMessage (const consensus::Message& message)
{
    implementation_->onMemberMessage (message);
}
void ControllerCore::onPersisted (std::uint64_t sequence)
{
    implementation_->onPersisted (sequence);
}
void ControllerCore::onStorageFailed() { implementation_->onStorageFailed(); }
void ControllerCore::onRouterMessage (RouterConnection connection,
                                      const cell::RouterToController& message)
{
    implementation_->onRouterMessage (connection, message);
}
void ControllerCore::onRouterGone (RouterConnection connection)
{
    implementation_->onRouterGone (connection);
}
void ControllerCore::onOrderAnswer (const base::RunnerId& runner, const engine::Order& order,
                                    const engine::OrderAnswer& answer)
{
    implementation_->onOrderAnswer (runner, order, answer);
}
void ControllerCore::onOrderFailed (const base::RunnerId& runner, const engine::Order& order)
{
    implementation_->onOrderFailed (runner, order);
}
void ControllerCore::onReport (const base::RunnerId& runner, const engine::Report& report)
{
    implementation_->onReport (runner, report);
}
void ControllerCore::onReportFailed (const base::RunnerId& runner)
{
    implementation_->onReportFailed (runner);
}
void ControllerCore::onMachineList (const engine::MachineList& list)
{
    implementation_->onMachineList (list);
}
void ControllerCore::onMachineListFailed() { implementation_->onMachineListFailed(); }
void ControllerCore::onAdmin (AdminTicket ticket, const AdminRequest& request)
{
    implementation_->onAdmin (ticket, request);
}
void ControllerCore::onControl (ControlTicket ticket, const ControlRequest& request)
{
    implementation_->onControl (ticket, request);
}
void ControllerCore::onEngineOrderAnswer (const engine::ServiceOrder& order,
                                          engine::OrderOutcome outcome)
{
    implementation_->onEngineOrderAnswer (order, outcome);
}
void ControllerCore::onEngineReport (const std::string& instance,
                                     const engine::ServiceReport* report)
{
    implementation_->onEngineReport (instance, report);
}
void ControllerCore::addContact (const std::string& peerAddress)
{
    implementation_->addContact (peerAddress);
}
void ControllerCore::beginStop() { implementation_->beginStop(); }
bool ControllerCore::isStopped() const { return implementation_->isStopped(); }
std::vector<Effect> ControllerCore::takeEffects() { return implementation_->takeEffects(); }
consensus::RaftStatus ControllerCore::raftStatus() const { return implementation_->raftStatus(); }
bool ControllerCore::holdsLease() const { return implementation_->holdsLease(); }
const cell::CellState& ControllerCore::state() const { return implementation_->state(); }
std::string ControllerCore::metricsText() const { return implementation_->metricsText(); }

}  // namespace fernlift::controller
