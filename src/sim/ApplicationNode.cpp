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
    note ("starts, incarnation " + std::to_string (incarnation()));
    standin::ApplicationOptions options;
    options.runner = machine().runner;
    options.incarnation = incarnation();
    options.slots = 8;
    options.maximumWaiting = 32;
    options.serviceTime = kServiceTime;
    model_.emplace (options);
}

void ApplicationNode::onKilled()
{
    formerRuns_ = requestsRun();
    formerKeyCounts_ = keyCounts();
    answers_.clear();
    model_.reset();
}

std::set<std::string> ApplicationNode::requestsRun() const
{
    std::set<std::string> all = formerRuns_;
    if (! model_)
        return all;
    for (const standin::LedgerEntry& entry : model_->ledger())
        all.insert (entry.requestId);
    return all;
}

std::map<std::string, std::uint64_t> ApplicationNode::keyCounts() const
{
    std::map<std::string, std::uint64_t> counts = formerKeyCounts_;
    if (! model_)
        return counts;
    for (const auto& [key, count] : model_->keyCounts())
        counts[key] += count;
    return counts;
}

engine::OrderAnswer ApplicationNode::onOrder (const engine::Order& /*order*/) { return {}; }

engine::Report ApplicationNode::report()
{
    settle();
    return model_->report();
}

void ApplicationNode::setLeaving (bool isLeaving)
{
    if (model_)
        model_->setLeaving (isLeaving);
}

bool ApplicationNode::isBusy()
{
    if (! model_)
        return false;
    const engine::Report now = model_->report();
    return now.runningRequests + now.waitingRequests > 0;
}

void ApplicationNode::setFaults (const standin::ApplicationFaults& faults)
{
    if (model_)
        model_->setFaults (faults);
}

void ApplicationNode::submit (Attempt attempt)
{
    model_->advance (queue().now());
    const router::RequestHead& head = attempt.request->head;
    const standin::SubmitOutcome outcome =
        model_->submit ({ head.id.value, head.idempotencyKey.value, head.target }, queue().now());
    if (! outcome.accepted)
    {
        attempt.tell (router::AttemptRefused{ kRefusedStatus, isLeaving(), std::nullopt });
        return;
    }
    attempt.connection->onEnded (Side::kAcceptor,
                                 [this, life = life(), handle = outcome.handle]
                                 {
                                     postTo (life,
                                             [this, handle]
                                             {
                                                 answers_.erase (handle);
                                                 model_->cancel (handle);
                                             });
                                 });
    answers_.emplace (outcome.handle, std::move (attempt));
    settle();
}

void ApplicationNode::settle()
{
    model_->advance (queue().now());
    for (const standin::ApplicationDone& done : model_->takeDone())
    {
        const auto found = answers_.find (done.handle);
        if (found == answers_.end())
            continue;
        const Attempt attempt = std::move (found->second);
        answers_.erase (found);
        attempt.connection->onEnded (Side::kAcceptor, nullptr);
        if (done.closesWithoutAnswer)
        {
            attempt.connection->close (Side::kAcceptor, false);
            continue;
        }
        const std::string& text = attempt.request->expectedText;
        attempt.tell (router::AttemptHeaders{ kOk, isLeaving() });
        attempt.tell (router::AttemptData{ 0, text.size(), text });
        attempt.tell (router::AttemptEnded{});
    }
    armWake();
}

void ApplicationNode::armWake()
{
    const auto next = model_->nextEvent();
    if (! next)
        return;
    queue().at (*next,
                [this, life = life(), number = ++wakeNumber_]
                {
                    if (number != wakeNumber_)
                        return;
                    postTo (life, [this] { settle(); });
                });
}

}  // namespace fernlift::sim
