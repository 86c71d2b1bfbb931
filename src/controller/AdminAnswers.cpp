#include "controller/AdminAnswers.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QString>

namespace fernlift::controller
{
namespace
{

using namespace Qt::StringLiterals;

QString text (std::string_view value)
{
    return QString::fromUtf8 (value.data(), static_cast<qsizetype> (value.size()));
}

qint64 number (std::uint64_t value) { return static_cast<qint64> (value); }

AdminAnswer answerOf (int status, const QJsonObject& object)
{
    return { status, QJsonDocument (object).toJson (QJsonDocument::Compact).toStdString() };
}

QJsonObject errorObject (const base::Error& error)
{
    const base::ErrorTraits& traits = base::traitsOf (error.kind);
    return { { u"kind"_s, text (traits.name) },
             { u"message"_s, text (error.message) },
             { u"execution"_s, text (base::toString (traits.execution)) } };
}

QJsonObject configurationObject (const cell::ConfigurationIdentity& identity)
{
    return { { u"version"_s, number (identity.version) },
             { u"digest"_s, text (identity.digest) },
             { u"accepted_at_ms"_s, static_cast<qint64> (identity.acceptedAt) },
             { u"log_index"_s, number (identity.acceptedIndex) } };
}

QString roleName (consensus::Role role)
{
    switch (role)
    {
        case consensus::Role::kFollower:
            return u"follower"_s;
        case consensus::Role::kPreCandidate:
            return u"pre_candidate"_s;
        case consensus::Role::kCandidate:
            return u"candidate"_s;
        case consensus::Role::kLeader:
            return u"leader"_s;
    }
    return u"unknown"_s;
}

QString stageName (cell::ReplicaStage stage)
{
    switch (stage)
    {
        case cell::ReplicaStage::kLoading:
            return u"loading"_s;
        case cell::ReplicaStage::kReady:
            return u"ready"_s;
        case cell::ReplicaStage::kUnloading:
            return u"unloading"_s;
    }
    return u"unknown"_s;
}

QJsonObject memberObject (const consensus::Member& member)
{
    return { { u"id"_s, text (std::to_string (member.id)) },
             { u"peer_address"_s, text (member.peerAddress) },
             { u"admin_address"_s, text (member.adminAddress) },
             { u"zone"_s, text (member.zone) },
             { u"voter"_s, member.isVoter } };
}

QJsonArray membersArray (const consensus::RaftStatus& status)
{
    QJsonArray members;
    for (const consensus::Member& member : status.members.members)
    {
        QJsonObject object = memberObject (member);
        for (const consensus::MemberProgress& progress : status.progress)
        {
            if (progress.member.id != member.id)
                continue;
            object[u"match_index"_s] = number (progress.matchIndex);
            object[u"lag"_s] = number (status.lastIndex - progress.matchIndex);
            object[u"since_last_reply_ms"_s] =
                static_cast<qint64> (base::toMilliseconds (progress.sinceLastReply));
            object[u"receiving_snapshot"_s] = progress.isReceivingSnapshot;
        }
        members.append (object);
    }
    return members;
}

QJsonObject raftObject (const consensus::RaftStatus& status)
{
    return { { u"self"_s, text (std::to_string (status.self)) },
             { u"role"_s, roleName (status.role) },
             { u"leader"_s, text (std::to_string (status.leader)) },
             { u"term"_s, number (status.term) },
             { u"commit_index"_s, number (status.commitIndex) },
             { u"applied_index"_s, number (status.appliedIndex) },
             { u"last_index"_s, number (status.lastIndex) },
             { u"members"_s, membersArray (status) } };
}

QJsonObject replicaObject (const cell::Replica& replica)
{
    QJsonObject object{ { u"replica"_s, number (replica.id) },
                        { u"target"_s, text (replica.target()) },
                        { u"model"_s, text (replica.model.value) },
                        { u"version"_s, text (replica.version) },
                        { u"runner"_s, text (replica.runner.value) },
                        { u"stage"_s, stageName (replica.stage) },
                        { u"memory_mb"_s, number (replica.memory) },
                        { u"fence"_s, number (replica.fence) },
                        { u"decided_at_ms"_s, static_cast<qint64> (replica.decidedAt) } };
    if (replica.isAdapter())
        object[u"base_replica"_s] = number (replica.baseReplica);
    return object;
}

QJsonObject runnerObject (const AdminView& view, const base::RunnerId& id,
                          const cell::Runner& runner)
{
    const bool isModelRunner = runner.machine.role == engine::MachineRole::kModelRunner;
    QJsonObject object{ { u"runner"_s, text (id.value) },
                        { u"role"_s, isModelRunner ? u"model"_s : u"application"_s },
                        { u"zone"_s, text (runner.machine.zone.value) },
                        { u"address"_s, text (runner.machine.address) },
                        { u"incarnation"_s, text (std::to_string (runner.incarnation)) },
                        { u"leaving"_s, runner.isLeaving },
                        { u"draining"_s, runner.isDraining },
                        { u"memory_mb"_s, number (runner.machine.memory) },
                        { u"reserved_mb"_s, number (view.state.replicas().reservedMemory (id)) },
                        { u"replicas"_s,
                          static_cast<qint64> (view.state.replicas().replicasOn (id).size()) } };
    if (view.watch == nullptr)
        return object;
    object[u"responsive"_s] = view.watch->isResponsive (id, view.now);
    const RunnerObservation* observation = view.watch->find (id);
    if (observation != nullptr && observation->report)
    {
        object[u"running_requests"_s] = static_cast<qint64> (observation->report->runningRequests);
        object[u"waiting_requests"_s] = static_cast<qint64> (observation->report->waitingRequests);
    }
    return object;
}

QJsonArray routersArray (const RouterSessions& sessions, base::TimePoint now)
{
    QJsonArray routers;
    for (const auto& [id, session] : sessions.sessions())
    {
        routers.append (QJsonObject{
            { u"router"_s, text (session.router.value) },
            { u"zone"_s, text (session.zone.value) },
            { u"address"_s, text (session.address) },
            { u"configuration_version"_s, number (session.configurationVersion) },
            { u"configuration_digest"_s, text (session.configurationDigest) },
            { u"since_heard_ms"_s,
              static_cast<qint64> (base::toMilliseconds (now - session.lastMessageAt)) } });
    }
    return routers;
}

QJsonObject demandObject (const std::string& target, const placement::TargetDemand& demand)
{
    return { { u"target"_s, text (target) },
             { u"waiting"_s, static_cast<qint64> (demand.waiting) },
             { u"running"_s, static_cast<qint64> (demand.running) },
             { u"most_urgent"_s, demand.mostUrgent },
             { u"oldest_wait_ms"_s, static_cast<qint64> (demand.oldestWaitMilliseconds) } };
}

QJsonArray demandsArray (const DemandTable& demands)
{
    QJsonArray array;
    for (const auto& [target, demand] : demands.totals())
        array.append (demandObject (target, demand));
    return array;
}

QJsonObject placementObject (const placement::EnginePlacementStatus& status)
{
    return { { u"engines"_s, static_cast<qint64> (status.engines) },
             { u"engines_unknown"_s, static_cast<qint64> (status.unknownEngines) },
             { u"engines_with_orders"_s, static_cast<qint64> (status.enginesWithOrders) },
             { u"adapters_waited_for"_s, static_cast<qint64> (status.waitingAdapters) },
             { u"adapter_orders"_s, static_cast<qint64> (status.adapterOrders) },
             { u"adapter_order_wait_ms"_s,
               static_cast<qint64> (base::toMilliseconds (status.adapterWait)) } };
}

QJsonObject instanceTableObject (const InstanceTable& instances)
{
    return { { u"term"_s, number (instances.term()) },
             { u"version"_s, number (instances.version()) },
             { u"instances"_s, static_cast<qint64> (instances.rows().size()) } };
}

QJsonObject retryReserveObject (const RetryReserveLedger& ledger, base::TimePoint now)
{
    return { { u"holders"_s, static_cast<qint64> (ledger.holders (now)) },
             { u"shares_in_use"_s, ledger.sharesInUse (now) } };
}

template <class Wanted>
QJsonArray journalArray (const cell::DecisionJournal& journal, Wanted&& isWanted)
{
    QJsonArray array;
    for (const cell::DecisionRecord& record : journal.records())
    {
        if (! isWanted (record))
            continue;
        QJsonObject object{ { u"log_index"_s, number (record.index) },
                            { u"at_ms"_s, static_cast<qint64> (record.at) },
                            { u"decision"_s, text (cell::toString (record.kind)) },
                            { u"outcome"_s, text (record.outcome) },
                            { u"reason"_s, text (record.reason) } };
        if (! record.target.empty())
            object[u"target"_s] = text (record.target);
        if (! record.runner.empty())
            object[u"runner"_s] = text (record.runner.value);
        if (record.replica != 0)
            object[u"replica"_s] = number (record.replica);
        array.append (object);
    }
    return array;
}

QJsonArray replicasWhere (const cell::ReplicaTable& table, const auto& isWanted)
{
    QJsonArray array;
    for (const auto& [id, replica] : table.replicas())
    {
        if (isWanted (replica))
            array.append (replicaObject (replica));
    }
    return array;
}

AdminAnswer explainTarget (const AdminView& view, const std::string& name)
{
    const config::Catalogue* catalogue = view.state.configuration().catalogue();
    const config::Model* model =
        catalogue == nullptr ? nullptr : catalogue->findModel (base::ModelName (name));
    const config::Adapter* adapter =
        catalogue == nullptr ? nullptr : catalogue->findAdapter (base::AdapterName (name));
    QJsonObject object{ { u"target"_s, text (name) },
                        { u"in_configuration"_s, model != nullptr || adapter != nullptr } };
    if (model != nullptr)
    {
        object[u"version"_s] = text (model->version);
        object[u"memory_mb"_s] = number (model->memory);
        object[u"min_replicas"_s] = static_cast<qint64> (model->minReplicas);
        object[u"max_replicas"_s] = static_cast<qint64> (model->maxReplicas);
    }
    if (adapter != nullptr)
    {
        object[u"base"_s] = text (adapter->base.value);
        object[u"memory_mb"_s] = number (adapter->memory);
        object[u"max_replicas"_s] = static_cast<qint64> (adapter->maxReplicas);
    }
    object[u"replicas"_s] = replicasWhere (view.state.replicas(), [&] (const cell::Replica& replica)
                                           { return replica.target() == name; });
    if (view.demands != nullptr)
    {
        object[u"demand"_s] = demandObject (name, view.demands->total (name));
    }
    object[u"decisions"_s] =
        journalArray (view.state.journal(),
                      [&] (const cell::DecisionRecord& record) { return record.target == name; });
    return answerOf (200, object);
}

void addRate (QJsonObject& object, const AdminView& view, const std::string& instance)
{
    const InstanceRateLedger::Account* account =
        view.rates == nullptr ? nullptr : view.rates->find (instance);
    object[u"states_a_rate"_s] = account != nullptr;
    if (account == nullptr)
        return;
    object[u"rate_per_second"_s] = account->perSecond;
    object[u"rate_stated_age_ms"_s] =
        static_cast<qint64> (base::toMilliseconds (view.now - account->statedAt));
    object[u"permits_granted"_s] = number (account->granted);
    object[u"permits_refused"_s] = number (account->refused);
}

QJsonObject instanceObject (const AdminView& view, const cell::ServiceInstance& instance)
{
    QJsonObject object{
        { u"runner"_s, text (instance.id) },       { u"known"_s, true },
        { u"service"_s, text (instance.service) }, { u"zone"_s, text (instance.zone) },
        { u"address"_s, text (instance.address) }, { u"draining"_s, instance.isDraining }
    };
    addRate (object, view, instance.id);
    if (view.loads == nullptr)
        return object;
    const cell::InstanceLoad load = view.loads->loadOf (instance.id, view.now);
    object[u"requests_in_flight"_s] = static_cast<qint64> (load.inFlight);
    object[u"unread_prompt_tokens"_s] = number (load.pendingPrefillTokens);
    object[u"speed_percent"_s] = static_cast<qint64> (load.speedPercent);
    object[u"slowdown_percent"_s] = static_cast<qint64> (load.slowdownPercent);
    object[u"slowdown_age_ms"_s] = static_cast<qint64> (load.slowdownAgeMilliseconds);
    return object;
}

AdminAnswer explainRunner (const AdminView& view, const std::string& name)
{
    const base::RunnerId id (name);
    const cell::Runner* runner = view.state.replicas().findRunner (id);
    QJsonObject object{ { u"runner"_s, text (name) }, { u"known"_s, runner != nullptr } };
    if (runner != nullptr)
        object = runnerObject (view, id, *runner);
    if (const cell::ServiceInstance* instance = view.state.instances().find (name))
        object = instanceObject (view, *instance);
    object[u"replicas"_s] = replicasWhere (
        view.state.replicas(), [&] (const cell::Replica& replica) { return replica.runner == id; });
    object[u"decisions"_s] =
        journalArray (view.state.journal(),
                      [&] (const cell::DecisionRecord& record) { return record.runner == id; });
    return answerOf (200, object);
}

AdminAnswer explainConfiguration (const AdminView& view)
{
    QJsonObject object = configurationObject (view.state.configuration().identity());
    object[u"text"_s] = text (view.state.configuration().text());
    object[u"decisions"_s] =
        journalArray (view.state.journal(), [] (const cell::DecisionRecord& record)
                      { return record.kind == cell::DecisionKind::kConfiguration; });
    return answerOf (200, object);
}

}  // namespace

AdminAnswer errorAnswer (const base::Error& error)
{
    return answerOf (base::traitsOf (error.kind).httpStatus,
                     { { u"error"_s, errorObject (error) } });
}

AdminAnswer notLeaderAnswer (const consensus::RaftStatus& status)
{
    const base::Error error{ base::ErrorKind::kNotLeader, "this controller is not the leader" };
    QJsonObject object = errorObject (error);
    object[u"leader"_s] = QString();
    for (const consensus::Member& member : status.members.members)
    {
        if (member.id == status.leader && member.id != status.self)
        {
            object[u"leader"_s] = text (member.adminAddress);
        }
    }
    return answerOf (base::traitsOf (error.kind).httpStatus, { { u"error"_s, object } });
}

AdminAnswer problemsAnswer (const std::vector<config::CatalogueProblem>& problems)
{
    const base::Error error{ base::ErrorKind::kConfigurationInvalid,
                             std::to_string (problems.size())
                                 + " problems in the configuration file" };
    QJsonArray array;
    for (const config::CatalogueProblem& problem : problems)
    {
        array.append (QJsonObject{ { u"line"_s, problem.line },
                                   { u"key"_s, text (problem.key) },
                                   { u"message"_s, text (problem.message) } });
    }
    QJsonObject object = errorObject (error);
    object[u"problems"_s] = array;
    return answerOf (base::traitsOf (error.kind).httpStatus, { { u"error"_s, object } });
}

AdminAnswer configurationAnswer (const cell::ConfigurationResult& result,
                                 std::optional<bool> inForceEverywhere)
{
    using enum cell::ConfigurationOutcome;
    QJsonObject object{ { u"configuration"_s, configurationObject (result.inForce) } };
    if (inForceEverywhere)
        object[u"in_force_everywhere"_s] = *inForceEverywhere;
    base::Error error{ base::ErrorKind::kConfigurationInvalid, "the file was not accepted" };
    switch (result.outcome)
    {
        case kAccepted:
            object[u"result"_s] = u"accepted"_s;
            return answerOf (200, object);
        case kUnchanged:
            object[u"result"_s] = u"unchanged"_s;
            return answerOf (200, object);
        case kConflict:
            error = { base::ErrorKind::kConfigurationConflict,
                      "another file with version " + std::to_string (result.inForce.version)
                          + " is in force, digest " + result.inForce.digest };
            break;
        case kStale:
            error = { base::ErrorKind::kConfigurationStale,
                      "version " + std::to_string (result.inForce.version) + " is in force" };
            break;
        case kInvalid:
            break;
    }
    object[u"error"_s] = errorObject (error);
    return answerOf (base::traitsOf (error.kind).httpStatus, object);
}

AdminAnswer doneAnswer() { return answerOf (200, { { u"result"_s, u"ok"_s } }); }

AdminAnswer quarantineAnswer (const cell::QuarantineTable& table)
{
    QJsonArray quarantined;
    QJsonArray others;
    for (const auto& [digest, suspect] : table.all())
    {
        QJsonArray runners;
        for (const cell::RunnerCrash& crash : suspect.crashes)
            runners.append (text (crash.instance));
        const std::string_view kind = suspect.request.isPromptPart() ? "prompt_part" : "request";
        const QJsonObject object{ { u"request"_s, text (digest) },
                                  { u"kind"_s, text (kind) },
                                  { u"ends"_s,
                                    static_cast<qint64> (suspect.consecutiveCrashCount) },
                                  { u"quarantined"_s, suspect.isInQuarantine() },
                                  { u"runners"_s, runners },
                                  { u"last_end_ms"_s, static_cast<qint64> (suspect.lastCrashAt) } };
        (suspect.isInQuarantine() ? quarantined : others).append (object);
    }
    for (const auto& other : others)
        quarantined.append (other);
    return answerOf (200, { { u"suspects"_s, quarantined } });
}

AdminAnswer membersAnswer (const consensus::RaftStatus& status)
{
    return answerOf (200, raftObject (status));
}

AdminAnswer statusAnswer (const AdminView& view)
{
    QJsonArray runners;
    for (const auto& [id, runner] : view.state.replicas().runners())
    {
        runners.append (runnerObject (view, id, runner));
    }
    QJsonObject object{
        { u"raft"_s, raftObject (view.raft) },
        { u"configuration"_s, configurationObject (view.state.configuration().identity()) },
        { u"runners"_s, runners },
        { u"replicas"_s, replicasWhere (view.state.replicas(), [] (const auto&) { return true; }) },
        { u"claims_held"_s, static_cast<qint64> (view.state.claims().size()) }
    };
    if (view.sessions != nullptr)
        object[u"routers"_s] = routersArray (*view.sessions, view.now);
    if (view.demands != nullptr)
        object[u"demands"_s] = demandsArray (*view.demands);
    if (view.placement)
        object[u"engine_placement"_s] = placementObject (*view.placement);
    if (view.instances != nullptr)
        object[u"instance_table"_s] = instanceTableObject (*view.instances);
    if (view.retryReserve != nullptr)
        object[u"retry_reserve"_s] = retryReserveObject (*view.retryReserve, view.now);
    return answerOf (200, object);
}

AdminAnswer explainAnswer (const AdminView& view, const std::string& kind, const std::string& name)
{
    if (kind == "model")
        return explainTarget (view, name);
    if (kind == "runner")
        return explainRunner (view, name);
    if (kind == "configuration")
        return explainConfiguration (view);
    return errorAnswer (
        { base::ErrorKind::kNotFound, "explain accepts only model, runner and configuration" });
}

}  // namespace fernlift::controller
