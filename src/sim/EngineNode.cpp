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
    options.checkpointsOnDisk = disk_;
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
    note ("starts, incarnation " + std::to_string (incarnation()));
    model_.emplace (modelOptions(), queue().now());
    wakeAt_ = {};
    armWake();
}

void EngineNode::onKilled()
{
    for (const standin::LedgerEntry& entry : model_->ledger())
        formerRuns_.insert (entry.requestId);
    disk_ = model_->checkpointsOnDisk();
    for (const auto& [fetch, transfer] : transfers_)
        world().platform->cancelTransfer (transfer);
    transfers_.clear();
    answers_.clear();
    model_.reset();
    world().replicas->onEngineChanged (*this);
}

std::set<std::string> EngineNode::requestsRun() const
{
    std::set<std::string> all = formerRuns_;
    if (! model_)
        return all;
    for (const standin::LedgerEntry& entry : model_->ledger())
        all.insert (entry.requestId);
    return all;
}

engine::OrderAnswer EngineNode::onOrder (const engine::Order& order)
{
    const base::Fence before = model_->currentReport().highestFence;
    const engine::OrderAnswer answer = model_->onOrder (order, queue().now());
    world().replicas->onOrder (*this, order, answer, before);
    settle();
    world().replicas->onEngineChanged (*this);
    return answer;
}

engine::Report EngineNode::report()
{
    settle();
    return model_->report();
}

engine::Report EngineNode::truth()
{
    if (! model_)
        return {};
    return model_->currentReport();
}

void EngineNode::setLeaving (bool isLeaving)
{
    if (model_)
        model_->setLeaving (isLeaving);
}

bool EngineNode::isBusy()
{
    if (! model_)
        return false;
    const engine::Report now = model_->currentReport();
    return now.runningRequests + now.waitingRequests > 0;
}

void EngineNode::setFaults (const standin::EngineFaults& faults)
{
    if (! model_)
        return;
    model_->setFaults (faults);
    settle();
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
    const standin::SubmitOutcome outcome = model_->submit (request, queue().now());
    if (! outcome.accepted)
    {
        attempt.tell (router::AttemptRefused{ kRefusedStatus, isLeaving(), std::nullopt });
        return;
    }
    attempt.connection->onEnded (Side::kAcceptor, [this, life = life(), handle = outcome.handle]
                                 { postTo (life, [this, handle] { cancel (handle); }); });
    answers_.emplace (outcome.handle, Answer{ std::move (attempt), false, {} });
    settle();
}

void EngineNode::cancel (standin::RequestHandle handle)
{
    answers_.erase (handle);
    model_->cancel (handle, queue().now());
    settle();
}

void EngineNode::settle()
{
    if (! model_)
        return;
    model_->advance (queue().now());
    for (auto effects = model_->takeEffects(); ! effects.empty(); effects = model_->takeEffects())
    {
        for (const standin::EngineEffect& effect : effects)
        {
            std::visit ([this] (const auto& content) { apply (content); }, effect);
            if (! model_)
                return;
        }
    }
    armWake();
}

void EngineNode::armWake()
{
    const base::TimePoint next = model_->nextEvent();
    if (wakeAt_ == next && wakeAt_ > queue().now())
        return;
    wakeAt_ = next;
    queue().at (next,
                [this, life = life(), number = ++wakeNumber_]
                {
                    if (number != wakeNumber_)
                        return;
                    postTo (life,
                            [this]
                            {
                                wakeAt_ = {};
                                settle();
                            });
                });
}

void EngineNode::onFetched (standin::FetchId fetch)
{
    transfers_.erase (fetch);
    model_->onFetched (fetch, queue().now());
    settle();
}

void EngineNode::onFetchRefused (standin::FetchId fetch, base::Duration retryAfter)
{
    transfers_.erase (fetch);
    model_->onFetchRefused (fetch, retryAfter, queue().now());
    settle();
}

void EngineNode::apply (const standin::FetchWeights& effect)
{
    transfers_[effect.fetch] = world().platform->beginTransfer (*this, effect.fetch, effect.size);
}

void EngineNode::apply (const standin::CancelFetch& effect)
{
    const auto found = transfers_.find (effect.fetch);
    if (found == transfers_.end())
        return;
    world().platform->cancelTransfer (found->second);
    transfers_.erase (found);
}

void EngineNode::apply (const standin::TokenChunk& effect)
{
    const auto found = answers_.find (effect.handle);
    if (found == answers_.end())
        return;
    Answer& answer = found->second;
    if (! answer.attempt.request->head.isStreaming)
    {
        answer.parts[effect.offset] = effect.text;
        return;
    }
    if (! answer.hasBegun)
        answer.attempt.tell (router::AttemptHeaders{ kOk, isLeaving() });
    answer.hasBegun = true;
    answer.attempt.tell (router::AttemptData{ effect.offset, effect.count, effect.text });
}

std::optional<EngineNode::Answer> EngineNode::takeAnswer (standin::RequestHandle handle)
{
    const auto found = answers_.find (handle);
    if (found == answers_.end())
        return std::nullopt;
    Answer answer = std::move (found->second);
    answers_.erase (found);
    answer.attempt.connection->onEnded (Side::kAcceptor, nullptr);
    return answer;
}

void EngineNode::apply (const standin::AnswerEnded& effect)
{
    const std::optional<Answer> answer = takeAnswer (effect.handle);
    if (! answer)
        return;
    if (! answer->hasBegun)
        answer->attempt.tell (router::AttemptHeaders{ kOk, isLeaving() });
    if (! answer->attempt.request->head.isStreaming)
    {
        std::string text;
        for (const auto& [offset, part] : answer->parts)
            text += part;
        answer->attempt.tell (router::AttemptData{ 0, text.size(), text });
    }
    answer->attempt.tell (router::AttemptEnded{});
}

void EngineNode::apply (const standin::AnswerRefused& effect)
{
    const std::optional<Answer> answer = takeAnswer (effect.handle);
    if (! answer)
        return;
    answer->attempt.tell (router::AttemptRefused{ kRefusedStatus, isLeaving(), std::nullopt });
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
                   [this, ended = life()]
                   {
                       if (! isAlive() && ended == life())
                           start();
                   });
}

}  // namespace fernlift::sim
