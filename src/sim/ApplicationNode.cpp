#include "sim/ApplicationNode.h"

#include <utility>

namespace fernlift::sim
{
namespace
{

constexpr int kOk = 200;
constexpr int kRefusedStatus = 503;
constexpr base::Duration kServiceTime = base::milliseconds (30);

}  // namespace

ApplicationNode::ApplicationNode (World& world, NodeId node, const engine::Machine& machine)
    : BackEnd (world, node, machine.runner.value, machine)
{
}

void ApplicationNode::start()
{
    begin();
    drawIncarnation();
    addToTrace ("starts, incarnation " + std::to_string (incarnation()));
    standin::ApplicationOptions options;
    options.runner = machine().runner;
    options.incarnation = incarnation();
    options.slots = 8;
    options.maximumWaiting = 32;
    options.serviceTime = kServiceTime;
    m_model.emplace (options);
}

void ApplicationNode::onKilled()
{
    m_formerRuns = requestsRun();
    m_formerKeyCounts = keyCounts();
    m_answers.clear();
    m_model.reset();
}

std::set<std::string> ApplicationNode::requestsRun() const
{
    std::set<std::string> all = m_formerRuns;
    if (! m_model)
        return all;
    for (const standin::LedgerEntry& entry : m_model->ledger())
        all.insert (entry.requestId);
    return all;
}

std::map<std::string, std::uint64_t> ApplicationNode::keyCounts() const
{
    std::map<std::string, std::uint64_t> counts = m_formerKeyCounts;
    if (! m_model)
        return counts;
    for (const auto& [key, count] : m_model->keyCounts())
        counts[key] += count;
    return counts;
}

engine::OrderAnswer ApplicationNode::onOrder (const engine::Order& /*order*/) { return {}; }

engine::Report ApplicationNode::report()
{
    advanceModel();
    return m_model->report();
}

void ApplicationNode::setLeaving (bool isLeaving)
{
    if (m_model)
        m_model->setLeaving (isLeaving);
}

bool ApplicationNode::isBusy()
{
    if (! m_model)
        return false;
    const engine::Report now = m_model->report();
    return now.runningRequests + now.waitingRequests > 0;
}

void ApplicationNode::setFaults (const standin::ApplicationFaults& faults)
{
    if (m_model)
        m_model->setFaults (faults);
}

void ApplicationNode::submit (Attempt attempt)
{
    m_model->advance (queue().now());
    const router::RequestHead& head = attempt.request->head;
    const standin::SubmitOutcome outcome =
        m_model->submit ({ head.id.value, head.idempotencyKey.value, head.target }, queue().now());
    if (! outcome.accepted)
    {
        attempt.sendEvent (router::AttemptRefused{ kRefusedStatus, isLeaving(), std::nullopt });
        return;
    }
    attempt.connection->onEnded (Side::kAcceptor,
                                 [this, runNumber = runNumber(), handle = outcome.handle]
                                 {
                                     postTo (runNumber,
                                             [this, handle]
                                             {
                                                 m_answers.erase (handle);
                                                 m_model->cancel (handle);
                                             });
                                 });
    m_answers.emplace (outcome.handle, std::move (attempt));
    advanceModel();
}

void ApplicationNode::advanceModel()
{
    m_model->advance (queue().now());
    for (const standin::ApplicationDone& done : m_model->takeDone())
    {
        const auto found = m_answers.find (done.handle);
        if (found == m_answers.end())
            continue;
        const Attempt attempt = std::move (found->second);
        m_answers.erase (found);
        attempt.connection->onEnded (Side::kAcceptor, nullptr);
        if (done.closesWithoutAnswer)
        {
            attempt.connection->close (Side::kAcceptor, false);
            continue;
        }
        const std::string& text = attempt.request->expectedText;
        attempt.sendEvent (router::AttemptHeaders{ kOk, isLeaving() });
        attempt.sendEvent (router::AttemptData{ 0, text.size(), text });
        attempt.sendEvent (router::AttemptEnded{});
    }
    armWake();
}

void ApplicationNode::armWake()
{
    const auto next = m_model->nextEvent();
    if (! next)
        return;
    queue().at (*next,
                [this, runNumber = runNumber(), number = ++m_wakeNumber]
                {
                    if (number != m_wakeNumber)
                        return;
                    postTo (runNumber, [this] { advanceModel(); });
                });
}

}  // namespace fernlift::sim
