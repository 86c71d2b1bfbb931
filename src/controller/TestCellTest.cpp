// Implementation of TestCell, test support in TestCell.h. Compiled into the test binary only.

#include <algorithm>

#include "controller/TestCell.h"

namespace fernlift::controller::test
{
namespace
{

constexpr std::uint64_t kSeedStride = 1000;
constexpr base::Duration kStep = base::milliseconds (5);
constexpr base::Duration kNetworkDelay = base::milliseconds (1);
constexpr base::Duration kFailureTimeout = base::milliseconds (300);
constexpr base::UnixMilliseconds kUnixOrigin = 1'800'000'000'000;

}  // namespace

TestCell::TestCell (Options options) : m_options (std::move (options))
{
    consensus::MemberSet members;
    for (std::size_t number = 1; number <= m_options.controllers; ++number)
    {
        consensus::Member member;
        member.id = number;
        member.peerAddress = "c" + std::to_string (number) + ":1";
        member.adminAddress = "c" + std::to_string (number) + ":2";
        member.zone = "z1";
        members.members.push_back (member);
    }
    for (const consensus::Member& member : members.members)
    {
        Node& created = m_nodes[member.id];
        created.id = member.id;
        created.disk.state.initialMembers = members;
        start (created);
    }
    for (const engine::Machine& machine : m_options.machines)
    {
        m_engines[machine.runner] = std::make_unique<TestEngine> (machine);
    }
    for (std::size_t number = 0; number < m_options.routers; ++number)
    {
        m_routers.push_back (std::make_unique<TestRouter>());
        m_routers.back()->id = base::RouterId ("router" + std::to_string (number));
    }
}

TestCell::~TestCell() = default;

base::UnixMilliseconds TestCell::unixNow() const
{
    return kUnixOrigin + base::toMilliseconds (m_now.time_since_epoch());
}

void TestCell::start (Node& node)
{
    ++node.generation;
    // Each incarnation of a process has its own seed.
    const std::uint64_t seed = m_options.seed + node.id + (node.generation - 1) * kSeedStride;
    node.core = std::make_unique<ControllerCore> (node.id, m_options.controller, node.disk.state,
                                                  seed, m_now, unixNow());
    carryOut (node);
}

void TestCell::schedule (base::Duration delay, std::function<void()> action)
{
    m_events.push (Event{ m_now + delay, m_nextSequence++, std::move (action) });
}

void TestCell::step()
{
    const base::TimePoint end = m_now + kStep;
    while (! m_events.empty() && m_events.top().at <= end)
    {
        const Event event = m_events.top();
        m_events.pop();
        m_now = std::max (m_now, event.at);
        event.action();
    }
    m_now = end;
    for (auto& [runner, engine] : m_engines)
        engine->advance (m_now);
    for (auto& [member, entry] : m_nodes)
    {
        if (entry.isFrozen)
            continue;
        runOn (member, [] (ControllerCore& core) { core.onTick(); });
    }
    for (auto& router : m_routers)
        tickRouter (*router);
    if (onStep)
        onStep();
}

void TestCell::run (base::Duration duration)
{
    const base::TimePoint end = m_now + duration;
    while (m_now < end)
        step();
}

bool TestCell::runUntil (const std::function<bool()>& condition, base::Duration limit)
{
    const base::TimePoint end = m_now + limit;
    while (! condition())
    {
        if (m_now >= end)
            return false;
        step();
    }
    return true;
}

base::MemberId TestCell::leader() const
{
    base::MemberId leader = 0;
    base::Term term = 0;
    for (const auto& [member, node] : m_nodes)
    {
        if (! node.core || isDisconnected (member))
            continue;
        const consensus::RaftStatus status = node.core->raftStatus();
        if (status.role != consensus::Role::kLeader || status.term < term)
            continue;
        leader = member;
        term = status.term;
    }
    return leader;
}

bool TestCell::awaitLeader()
{
    return runUntil (
        [&]
        {
            const base::MemberId member = leader();
            return member != 0
                   && m_nodes.at (member).core->metricsText().find ("fernlift_controller_leading 1")
                          != std::string::npos;
        },
        base::seconds (10));
}

void TestCell::kill (base::MemberId member)
{
    breakLeaderLink (node (member));
    node (member).core.reset();
    ++node (member).generation;
    for (auto& [other, entry] : m_nodes)
    {
        if (entry.linkedTo == member)
            breakLeaderLink (entry);
    }
    for (auto& router : m_routers)
    {
        if (router->connectedTo == member)
            router->connectedTo.reset();
    }
}

void TestCell::restart (base::MemberId member) { start (node (member)); }

bool TestCell::isDisconnected (base::MemberId member) const
{
    const Node& node = m_nodes.at (member);
    return node.isCut || node.isIsolated || node.isFrozen;
}

void TestCell::isolate (base::MemberId member, bool isIsolated)
{
    node (member).isIsolated = isIsolated;
}

void TestCell::freeze (base::MemberId member, bool isFrozen) { node (member).isFrozen = isFrozen; }

void TestCell::cut (base::MemberId member, bool isCut) { node (member).isCut = isCut; }

bool TestCell::isAlive (base::MemberId member) const { return m_nodes.at (member).core != nullptr; }

ControllerCore& TestCell::core (base::MemberId member) { return *node (member).core; }

void TestCell::runOn (base::MemberId member, const std::function<void (ControllerCore&)>& input)
{
    Node& target = node (member);
    if (! target.core)
        return;
    target.core->setTime (m_now, unixNow());
    input (*target.core);
    carryOut (target);
}

void TestCell::later (base::MemberId member, base::Duration delay,
                      std::function<void (ControllerCore&)> input)
{
    const std::uint64_t generation = node (member).generation;
    schedule (delay,
              [this, member, generation, input = std::move (input)]
              {
                  if (node (member).generation == generation)
                      runOn (member, input);
              });
}

void TestCell::carryOut (Node& node)
{
    for (Effect& effect : node.core->takeEffects())
    {
        std::visit ([&] (auto& value) { carryOut (node, std::move (value)); }, effect);
    }
}

void TestCell::carryOut (Node& node, PersistEffect effect)
{
    const std::uint64_t sequence = effect.request.sequence;
    const base::MemberId member = node.id;
    const std::uint64_t generation = node.generation;
    schedule (diskDelay,
              [this, member, generation, sequence, request = std::move (effect.request)]
              {
                  Node& written = this->node (member);
                  if (written.generation != generation)
                      return;
                  consensus::RecoveredState& disk = written.disk.state;
                  if (request.hardState)
                      disk.hardState = *request.hardState;
                  if (request.truncateFrom)
                  {
                      std::erase_if (disk.entries, [&] (const auto& entry)
                                     { return entry.index >= *request.truncateFrom; });
                  }
                  disk.entries.insert (disk.entries.end(), request.entries.begin(),
                                       request.entries.end());
                  if (request.snapshot)
                  {
                      disk.snapshot = *request.snapshot;
                      std::erase_if (disk.entries, [&] (const auto& entry)
                                     { return entry.index <= disk.snapshot.lastIndex; });
                  }
                  runOn (member, [&] (ControllerCore& core) { core.onPersisted (sequence); });
              });
}

void TestCell::carryOut (Node& node, SendToMember effect)
{
    const base::MemberId from = node.id;
    schedule (kNetworkDelay,
              [this, from, effect = std::move (effect)]
              {
                  const base::MemberId to = effect.message.to;
                  // The receiver is from an earlier configuration, or the test never starts it.
                  if (m_nodes.count (to) == 0)
                      return;
                  if (isDisconnected (from) || isDisconnected (to))
                      return;
                  runOn (to, [&] (ControllerCore& core) { core.onMemberMessage (effect.message); });
              });
}

bool TestCell::isLinked (base::MemberId member, RouterConnection connection) const
{
    const Node& from = m_nodes.at (member);
    return from.core && from.leaderLink == connection && ! isDisconnected (member)
           && ! isDisconnected (from.linkedTo) && m_nodes.at (from.linkedTo).core;
}

void TestCell::breakLeaderLink (Node& node)
{
    const RouterConnection connection = std::exchange (node.leaderLink, 0);
    if (connection == 0)
        return;
    later (node.linkedTo, kNetworkDelay,
           [connection] (ControllerCore& core) { core.onRouterDisconnected (connection); });
    later (node.id, kNetworkDelay, [] (ControllerCore& core) { core.onLeaderLost(); });
}

void TestCell::carryOut (Node& node, const ConnectToLeader& effect)
{
    const RouterConnection earlier = std::exchange (node.leaderLink, 0);
    if (earlier != 0)
        later (node.linkedTo, kNetworkDelay,
               [earlier] (ControllerCore& core) { core.onRouterDisconnected (earlier); });
    const base::MemberId from = node.id;
    const base::MemberId to = memberAt (effect.address);
    if (to == 0 || refusesLeaderLinks)
        return;
    const RouterConnection connection = m_nextConnection++;
    node.leaderLink = connection;
    node.linkedTo = to;
    schedule (2 * kNetworkDelay,
              [this, from, connection]
              {
                  if (isLinked (from, connection))
                      runOn (from, [] (ControllerCore& core) { core.onLeaderConnected(); });
              });
}

void TestCell::carryOut (Node& node, SendToLeader effect)
{
    const base::MemberId from = node.id;
    const RouterConnection connection = node.leaderLink;
    schedule (kNetworkDelay,
              [this, from, connection, message = std::move (effect.message)]
              {
                  if (! isLinked (from, connection))
                      return;
                  runOn (this->node (from).linkedTo, [&] (ControllerCore& core)
                         { core.onRouterMessage (connection, message); });
              });
}

void TestCell::countMessage (const cell::ControllerToRouter& message, std::size_t receivers)
{
    if (std::holds_alternative<cell::ConfigurationUpdate> (message))
        ++configurationMessages;
    if (const auto* instances = std::get_if<cell::InstanceUpdate> (&message))
        instanceRowsSent += receivers * instances->upserts.size();
}

void TestCell::deliver (Node& node, RouterConnection connection, cell::ControllerToRouter message)
{
    const base::MemberId from = node.id;
    schedule (kNetworkDelay,
              [this, from, connection, message = std::move (message)]
              {
                  for (auto& [member, relay] : m_nodes)
                  {
                      if (relay.leaderLink == connection && relay.linkedTo == from
                          && isLinked (member, connection))
                          runOn (member,
                                 [&] (ControllerCore& core) { core.onLeaderMessage (message); });
                  }
                  for (auto& router : m_routers)
                  {
                      const bool isConnected =
                          router->connection == connection && router->connectedTo == from;
                      if (isConnected && ! router->isCut && ! this->node (from).isCut)
                          onMessage (*router, message);
                  }
              });
}

void TestCell::carryOut (Node& node, SendToRouter effect)
{
    countMessage (effect.message, 1);
    deliver (node, effect.connection, std::move (effect.message));
}

void TestCell::carryOut (Node& node, const BroadcastToRouters& effect)
{
    countMessage (effect.message, effect.connections.size());
    for (const RouterConnection connection : effect.connections)
        deliver (node, connection, effect.message);
}

void TestCell::carryOut (Node& node, SendOrder effect)
{
    if (holdsOrdersOf == node.id)
    {
        heldOrders.emplace_back (effect.runner, effect.order);
        later (node.id, kFailureTimeout,
               [runner = effect.runner, order = effect.order] (auto& core)
               { core.onOrderFailed (runner, order); });
        return;
    }
    const base::MemberId member = node.id;
    schedule (kNetworkDelay,
              [this, member, effect = std::move (effect)]
              {
                  TestEngine* engine = findEngine (effect.runner);
                  if (engine == nullptr || ! engine->isAlive || this->node (member).isCut)
                  {
                      later (member, kFailureTimeout,
                             [effect] (ControllerCore& core)
                             { core.onOrderFailed (effect.runner, effect.order); });
                      return;
                  }
                  ++ordersDelivered;
                  const engine::OrderAnswer answer = engine->take (effect.order, m_now);
                  later (member, kNetworkDelay,
                         [effect, answer] (ControllerCore& core)
                         { core.onOrderAnswer (effect.runner, effect.order, answer); });
              });
}

void TestCell::carryOut (Node& node, PollRunner effect)
{
    const base::MemberId member = node.id;
    TestEngine* engine = findEngine (effect.runner);
    if (engine == nullptr || ! engine->isAlive || node.isCut)
    {
        later (member, kFailureTimeout,
               [effect] (ControllerCore& core) { core.onReportFailed (effect.runner); });
        return;
    }
    later (member, kNetworkDelay,
           [effect = std::move (effect), report = engine->report()] (ControllerCore& core)
           { core.onReport (effect.runner, report); });
}

void TestCell::carryOut (Node& node, PollMachineList /*effect*/)
{
    engine::MachineList list;
    for (const auto& [runner, engine] : m_engines)
    {
        if (unlisted.count (runner) == 0)
            list.machines.push_back (engine->machine());
    }
    if (node.isCut)
    {
        later (node.id, kFailureTimeout, [] (ControllerCore& core) { core.onMachineListFailed(); });
        return;
    }
    later (node.id, kNetworkDelay, [list] (ControllerCore& core) { core.onMachineList (list); });
}

void TestCell::carryOut (Node& /*node*/, AnswerAdmin effect)
{
    m_answers[effect.ticket] = std::move (effect);
}

std::optional<AnswerAdmin> TestCell::ask (base::MemberId member, AdminRequest request,
                                          base::Duration limit)
{
    const AdminTicket ticket = m_nextTicket++;
    runOn (member, [&] (ControllerCore& core) { core.onAdmin (ticket, request); });
    runUntil ([&] { return m_answers.count (ticket) != 0; }, limit);
    const auto found = m_answers.find (ticket);
    return found == m_answers.end() ? std::nullopt : std::optional (found->second);
}

std::optional<ControlAnswer> TestCell::sendControlRequest (base::MemberId member,
                                                           ControlRequest request,
                                                           base::Duration limit)
{
    const ControlTicket ticket = m_nextTicket++;
    runOn (member, [&] (ControllerCore& core) { core.onControl (ticket, request); });
    runUntil ([&] { return m_controlAnswers.count (ticket) != 0; }, limit);
    const auto found = m_controlAnswers.find (ticket);
    return found == m_controlAnswers.end() ? std::nullopt : std::optional (found->second);
}

void TestCell::carryOut (Node& /*node*/, AnswerControl effect)
{
    m_controlAnswers[effect.ticket] = std::move (effect.answer);
}

void TestCell::carryOut (Node& node, placement::SendEngineOrder effect)
{
    const base::MemberId from = node.id;
    schedule (kNetworkDelay,
              [this, from, order = std::move (effect.order)]
              {
                  engineOrders.push_back ({ from, m_now, order });
                  const auto report = engineReports.find (order.instance);
                  if (report != engineReports.end())
                      ++report->second.sequence;
                  later (from, kNetworkDelay,
                         [order] (ControllerCore& core)
                         { core.onEngineOrderAnswer (order, engine::OrderOutcome::kUnderWay); });
              });
}

void TestCell::carryOut (Node& node, const placement::PollEngine& effect)
{
    later (node.id, 2 * kNetworkDelay,
           [this, id = effect.instance] (ControllerCore& core)
           {
               const auto report = engineReports.find (id);
               core.onEngineReport (id, report == engineReports.end() ? nullptr : &report->second);
           });
}

void TestCell::carryOut (Node& /*node*/, ConfigurationEvent event)
{
    configurationEvents.push_back (std::move (event));
}

int TestCell::apply (const std::string& text, bool waitInForce)
{
    const auto answer = ask (leader(), AdminApply{ text, waitInForce, base::seconds (10) });
    return answer ? answer->httpStatus : 0;
}

TestEngine& TestCell::engine (const std::string& runner)
{
    return *m_engines.at (base::RunnerId (runner));
}

TestEngine* TestCell::findEngine (const base::RunnerId& runner)
{
    const auto found = m_engines.find (runner);
    return found == m_engines.end() ? nullptr : found->second.get();
}

std::uint32_t TestCell::held (const std::string& target) const
{
    std::uint32_t held = 0;
    for (const auto& [runner, engine] : m_engines)
        held += engine->holds (target);
    return held;
}

bool TestCell::isReadySomewhere (const std::string& target) const
{
    return std::any_of (m_engines.begin(), m_engines.end(),
                        [&] (const auto& entry) { return entry.second->isReady (target); });
}

}  // namespace fernlift::controller::test
