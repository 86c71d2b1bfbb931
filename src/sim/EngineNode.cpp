#include "sim/EngineNode.h"

#include <utility>

#include "sim/Platform.h"
#include "sim/ReplicaChecker.h"

namespace fernlift::sim
{
namespace
{

constexpr int kRefusedStatus = 503;
constexpr int kOk = 200;
constexpr base::Duration kRestartAfterExit = base::milliseconds (500);

}  // namespace

EngineNode::EngineNode (World& world, NodeId node, const engine::Machine& machine)
    : BackEnd (world, node, machine.runner.value, machine)
{
}

standin::EngineOptions EngineNode::modelOptions() const
{
    standin::EngineOptions options;
    options.runner = machine().runner;
    options.incarnation = incarnation();
    options.totalMemory = machine().memory;
    options.slots = 8;
    options.maximumWaiting = 16;
    options.checkpointsOnDisk = m_disk;
    options.diskMegabytesPerSecond = 60'000;
    options.memoryMegabytesPerSecond = 200'000;
    options.loadOverhead = base::milliseconds (100);
    options.unloadTime = base::milliseconds (150);
    options.prefillBlocksPerStep = 32;
    return options;
}

void EngineNode::start()
{
    begin();
    drawIncarnation();
    addToTrace ("starts, incarnation " + std::to_string (incarnation()));
    m_model.emplace (modelOptions(), queue().now());
    m_wakeAt = {};
    armWake();
}

void EngineNode::onKilled()
{
    for (const standin::LedgerEntry& entry : m_model->ledger())
        m_formerRuns.insert (entry.requestId);
    m_disk = m_model->checkpointsOnDisk();
    for (const auto& [fetch, transfer] : m_transfers)
        world().platform->cancelTransfer (transfer);
    m_transfers.clear();
    m_answers.clear();
    m_model.reset();
    world().replicas->onEngineChanged (*this);
}

std::set<std::string> EngineNode::requestsRun() const
{
    std::set<std::string> all = m_formerRuns;
    if (! m_model)
        return all;
    for (const standin::LedgerEntry& entry : m_model->ledger())
        all.insert (entry.requestId);
    return all;
}

engine::OrderAnswer EngineNode::onOrder (const engine::Order& order)
{
    const base::Fence before = m_model->currentReport().highestFence;
    const engine::OrderAnswer answer = m_model->onOrder (order, queue().now());
    world().replicas->onOrder (*this, order, answer, before);
    advanceModel();
    world().replicas->onEngineChanged (*this);
    return answer;
}

engine::Report EngineNode::report()
{
    advanceModel();
    return m_model->report();
}

engine::Report EngineNode::actualReport()
{
    if (! m_model)
        return {};
    return m_model->currentReport();
}

void EngineNode::setLeaving (bool isLeaving)
{
    if (m_model)
        m_model->setLeaving (isLeaving);
}

bool EngineNode::isBusy()
{
    if (! m_model)
        return false;
    const engine::Report now = m_model->currentReport();
    return now.runningRequests + now.waitingRequests > 0;
}

void EngineNode::setFaults (const standin::EngineFaults& faults)
{
    if (! m_model)
        return;
    m_model->setFaults (faults);
    advanceModel();
}

void EngineNode::submit (Attempt attempt)
{
    standin::EngineRequest request;
    request.id = attempt.request->head.id.value;
    request.idempotencyKey = attempt.request->head.idempotencyKey.value;
    request.replica = attempt.replica.replica;
    request.target = attempt.request->head.target;
    request.priority = attempt.urgency;
    request.prompt = attempt.request->prompt;
    request.maxTokens = attempt.request->maxTokens;
    request.resumeFrom = attempt.resumeFrom;
    request.isStreaming = attempt.request->head.isStreaming;
    const standin::SubmitOutcome outcome = m_model->submit (request, queue().now());
    if (! outcome.accepted)
    {
        attempt.sendEvent (router::AttemptRefused{ kRefusedStatus, isLeaving(), std::nullopt });
        return;
    }
    attempt.connection->onEnded (Side::kAcceptor,
                                 [this, runNumber = runNumber(), handle = outcome.handle]
                                 { postTo (runNumber, [this, handle] { cancel (handle); }); });
    m_answers.emplace (outcome.handle, Answer{ std::move (attempt), false, {} });
    advanceModel();
}

void EngineNode::cancel (standin::RequestHandle handle)
{
    m_answers.erase (handle);
    m_model->cancel (handle, queue().now());
    advanceModel();
}

void EngineNode::advanceModel()
{
    if (! m_model)
        return;
    m_model->advance (queue().now());
    for (auto effects = m_model->takeEffects(); ! effects.empty(); effects = m_model->takeEffects())
    {
        for (const standin::EngineEffect& effect : effects)
        {
            std::visit ([this] (const auto& content) { apply (content); }, effect);
            if (! m_model)
                return;
        }
    }
    armWake();
}

void EngineNode::armWake()
{
    const base::TimePoint next = m_model->nextEvent();
    if (m_wakeAt == next && m_wakeAt > queue().now())
        return;
    m_wakeAt = next;
    queue().at (next,
                [this, runNumber = runNumber(), number = ++m_wakeNumber]
                {
                    if (number != m_wakeNumber)
                        return;
                    postTo (runNumber,
                            [this]
                            {
                                m_wakeAt = {};
                                advanceModel();
                            });
                });
}

void EngineNode::onFetched (standin::FetchId fetch)
{
    m_transfers.erase (fetch);
    m_model->onFetched (fetch, queue().now());
    advanceModel();
}

void EngineNode::onFetchRefused (standin::FetchId fetch, base::Duration retryAfter)
{
    m_transfers.erase (fetch);
    m_model->onFetchRefused (fetch, retryAfter, queue().now());
    advanceModel();
}

void EngineNode::apply (const standin::FetchWeights& effect)
{
    m_transfers[effect.fetch] = world().platform->beginTransfer (*this, effect.fetch, effect.size);
}

void EngineNode::apply (const standin::CancelFetch& effect)
{
    const auto found = m_transfers.find (effect.fetch);
    if (found == m_transfers.end())
        return;
    world().platform->cancelTransfer (found->second);
    m_transfers.erase (found);
}

void EngineNode::apply (const standin::TokenChunk& effect)
{
    const auto found = m_answers.find (effect.handle);
    if (found == m_answers.end())
        return;
    Answer& answer = found->second;
    if (! answer.attempt.request->head.isStreaming)
    {
        answer.parts[effect.offset] = effect.text;
        return;
    }
    if (! answer.hasBegun)
        answer.attempt.sendEvent (router::AttemptHeaders{ kOk, isLeaving() });
    answer.hasBegun = true;
    answer.attempt.sendEvent (router::AttemptData{ effect.offset, effect.count, effect.text });
}

std::optional<EngineNode::Answer> EngineNode::takeAnswer (standin::RequestHandle handle)
{
    const auto found = m_answers.find (handle);
    if (found == m_answers.end())
        return std::nullopt;
    Answer answer = std::move (found->second);
    m_answers.erase (found);
    answer.attempt.connection->onEnded (Side::kAcceptor, nullptr);
    return answer;
}

void EngineNode::apply (const standin::AnswerEnded& effect)
{
    const std::optional<Answer> answer = takeAnswer (effect.handle);
    if (! answer)
        return;
    if (! answer->hasBegun)
        answer->attempt.sendEvent (router::AttemptHeaders{ kOk, isLeaving() });
    if (! answer->attempt.request->head.isStreaming)
    {
        std::string text;
        for (const auto& [offset, part] : answer->parts)
            text += part;
        answer->attempt.sendEvent (router::AttemptData{ 0, text.size(), text });
    }
    answer->attempt.sendEvent (router::AttemptEnded{});
}

void EngineNode::apply (const standin::AnswerRefused& effect)
{
    const std::optional<Answer> answer = takeAnswer (effect.handle);
    if (! answer)
        return;
    answer->attempt.sendEvent (router::AttemptRefused{ kRefusedStatus, isLeaving(), std::nullopt });
}

void EngineNode::apply (const standin::AnswerBroken& effect)
{
    const std::optional<Answer> answer = takeAnswer (effect.handle);
    if (answer)
        answer->attempt.connection->close (Side::kAcceptor, false);
}

void EngineNode::apply (const standin::ExitProcess& /*effect*/)
{
    kill (base::Duration::zero());
    queue().after (kRestartAfterExit,
                   [this, ended = runNumber()]
                   {
                       if (! isAlive() && ended == runNumber())
                           start();
                   });
}

}  // namespace fernlift::sim
