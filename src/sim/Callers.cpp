#include "sim/Callers.h"

#include <map>
#include <set>
#include <string>
#include <utility>

#include "base/Digest.h"
#include "sim/ApplicationNode.h"
#include "sim/EngineNode.h"
#include "sim/RouterNode.h"
#include "standin/AnswerText.h"

namespace fernlift::sim
{
namespace
{

constexpr base::Duration kAnswerSlack = base::milliseconds (1000);
constexpr int kOk = 200;
constexpr int kMaxRepetitions = 3;
constexpr double kApplicationShare = 0.4;
constexpr std::size_t kProbedTargets = 3;
constexpr double kDisconnectShare = 0.05;

constexpr const char* kOneAnswer = "one final answer to each request in time";
constexpr const char* kWholeText = "the whole answer to its own request";

}  // namespace

void Callers::begin (base::TimePoint end)
{
    for (std::size_t router = 0; router < m_world.routers.size(); ++router)
    {
        scheduleNext (router, end);
    }
}

void Callers::scheduleNext (std::size_t router, base::TimePoint end)
{
    const double mean = static_cast<double> (m_world.options.meanRequestInterval.count());
    const auto pause =
        base::Duration (static_cast<std::int64_t> (m_world.random.exponential (mean)));
    m_world.queue.after (pause,
                         [this, router, end]
                         {
                             if (m_world.now() >= end)
                                 return;
                             sendNew (router);
                             scheduleNext (router, end);
                         });
}

CallerRequestPointer Callers::makeRequest (const SimulatedTarget& target)
{
    auto request = std::make_shared<CallerRequest>();
    router::RequestHead& head = request->head;
    const std::string number = std::to_string (++m_lastId);
    head.id = base::RequestId ("request-" + number);
    head.target = target.name;
    head.caller = "caller-" + std::to_string (m_world.random.uniformInteger (1, 5));
    head.bodyBytes = 200;
    request->deadline = base::milliseconds (target.deadlineMilliseconds);
    if (target.isApplication)
    {
        head.protocol = router::Protocol::kApplication;
        request->expectedText = "done for " + number;
        if (! target.isRepeatable)
            head.idempotencyKey = base::IdempotencyKey ("key-" + number);
    }
    else
    {
        head.isStreaming = m_world.random.chance (0.6);
        request->prompt = "user: question " + number + "\n";
        request->maxTokens = static_cast<std::uint64_t> (m_world.random.uniformInteger (2, 24));
        request->expectedText =
            standin::expectedAnswer (head.target, request->prompt, request->maxTokens);
    }
    head.requestDigest = base::sha256Hex (head.target + number);
    return request;
}

void Callers::sendNew (std::size_t router)
{
    const auto& targets = simulatedTargets();
    const bool isApplication = m_world.random.chance (kApplicationShare);
    // The product of two uniform numbers makes a few models popular and most of them rare.
    const double skewed = m_world.random.uniformReal() * m_world.random.uniformReal();
    const auto models = static_cast<double> (targets.size() - 2);
    const std::size_t number = isApplication
                                   ? static_cast<std::size_t> (m_world.random.chance (0.4))
                                   : 2 + static_cast<std::size_t> (skewed * models);
    const CallerRequestPointer request = makeRequest (targets[number]);
    send (router, request);
    if (! request->head.idempotencyKey.empty() && m_world.random.chance (0.1))
        resend (request);
}

void Callers::send (std::size_t router, const CallerRequestPointer& request, bool waitsForAnswer)
{
    m_history.push_back (request);
    request->router = router;
    RouterNode* node = m_world.routers[router].get();
    if (! node->isAlive())
    {
        onRouterLost (request);
        return;
    }
    request->routerRunNumber = node->runNumber();
    m_world.queue.after (base::milliseconds (1),
                         [this, node, request, runNumber = node->runNumber()]
                         {
                             if (! node->isAlive() || runNumber != node->runNumber())
                             {
                                 onRouterLost (request);
                                 return;
                             }
                             node->post ([node, request] { node->onRequest (request); });
                         });
    if (waitsForAnswer || ! m_world.random.chance (kDisconnectShare))
        return;
    const auto stays = base::Duration (m_world.random.uniformInteger (1000, 1'500'000));
    m_world.queue.after (
        stays,
        [node, request, runNumber = node->runNumber()]
        {
            if (request->isOver())
                return;
            node->postTo (runNumber, [node, request] { node->onCallerDisconnected (request); });
        });
}

void Callers::burst()
{
    const auto& targets = simulatedTargets();
    if (m_world.random.chance (0.5))
    {
        for (const SimulatedTarget& target : targets)
        {
            for (std::size_t router = 0; router < m_world.routers.size(); router += 2)
            {
                send (router, makeRequest (target));
            }
        }
        return;
    }
    const auto number = static_cast<std::size_t> (
        m_world.random.uniformInteger (0, static_cast<std::int64_t> (targets.size()) - 1));
    for (std::size_t router = 0; router < m_world.routers.size(); ++router)
    {
        for (int copy = 0; copy < 4; ++copy)
            send (router, makeRequest (targets[number]));
    }
}

void Callers::resend (const CallerRequestPointer& request)
{
    if (request->repetition >= kMaxRepetitions)
        return;
    auto again = std::make_shared<CallerRequest>();
    again->head = request->head;
    again->head.id = base::RequestId ("request-" + std::to_string (++m_lastId));
    again->expectedText = request->expectedText;
    again->deadline = request->deadline;
    again->repetition = request->repetition + 1;
    const auto pause = base::Duration (m_world.random.uniformInteger (0, 2'000'000));
    const auto router = static_cast<std::size_t> (
        m_world.random.uniformInteger (0, static_cast<std::int64_t> (m_world.routers.size()) - 1));
    m_world.queue.after (pause, [this, router, again] { send (router, again); });
}

void Callers::onRouterLost (const CallerRequestPointer& request)
{
    request->isRouterLost = true;
    if (! request->head.idempotencyKey.empty())
        resend (request);
}

void Callers::onArrived (RouterNode& router, const CallerRequestPointer& request)
{
    const base::Duration allowed = request->deadline + kAnswerSlack;
    m_world.queue.after (allowed, [this, &router, request, runNumber = router.runNumber(),
                                   frozen = router.frozenTime()]
                         { checkInTime (router, runNumber, frozen, request); });
}

void Callers::checkInTime (RouterNode& router, std::uint64_t runNumber, base::Duration frozenBefore,
                           const CallerRequestPointer& request)
{
    const bool hasAnswer = request->isOver() || request->httpStatus != 0;
    if (hasAnswer || ! router.isAlive() || runNumber != router.runNumber())
        return;
    const base::Duration frozen = router.frozenTime() - frozenBefore;
    if (frozen > base::Duration::zero())
    {
        m_world.queue.after (frozen, [this, &router, request, runNumber, now = router.frozenTime()]
                             { checkInTime (router, runNumber, now, request); });
        return;
    }
    m_world.violations.add (kOneAnswer, request->head.id.value + " for " + request->head.target
                                            + " at " + router.name() + " has no answer in time: "
                                            + router.core()->explainRequest (request->head.id));
}

void Callers::onFinal (RouterNode& router, const CallerRequestPointer& request)
{
    if (request->finalAnswers > 1)
    {
        m_world.violations.add (kOneAnswer, request->head.id.value + " got "
                                                + std::to_string (request->finalAnswers)
                                                + " final answers from " + router.name());
    }
    checkText (request);
    const bool isUnrepeatable = ! request->head.idempotencyKey.empty();
    if (isUnrepeatable && request->error && m_world.random.chance (0.6))
        resend (request);
}

void Callers::checkText (const CallerRequestPointer& request)
{
    const bool isWhole = ! request->error;
    const bool isRight = isWhole
                             ? request->httpStatus != kOk || request->text == request->expectedText
                             : request->expectedText.starts_with (request->text);
    if (isRight)
        return;
    m_world.violations.add (kWholeText, request->head.id.value + " for " + request->head.target
                                            + " got '" + request->text + "' instead of '"
                                            + request->expectedText + "'");
}

void Callers::checkLedgers()
{
    std::set<std::string> run;
    std::map<std::string, std::uint64_t> keys;
    for (const auto& engine : m_world.engines)
        run.merge (engine->requestsRun());
    for (const auto& application : m_world.applications)
    {
        run.merge (application->requestsRun());
        for (const auto& [key, count] : application->keyCounts())
            keys[key] += count;
    }
    for (const CallerRequestPointer& request : m_history)
    {
        const bool isReportedNotRun =
            request->error && request->execution == base::Execution::kNotRun;
        if (! isReportedNotRun || ! run.contains (request->head.id.value))
            continue;
        m_world.violations.add ("'not run' is true",
                                request->head.id.value + " for " + request->head.target
                                    + " is in a ledger; its answer was " + request->error->message);
    }
    for (const auto& [key, count] : keys)
    {
        if (count <= 1)
            continue;
        m_world.violations.add ("no key runs twice",
                                key + " ran " + std::to_string (count) + " times");
    }
}

void Callers::checkQueues()
{
    for (const auto& router : m_world.routers)
    {
        if (! router->isAlive() || router->isFrozen())
            continue;
        const router::RouterCounters counters = router->core()->counters();
        const std::uint64_t ended =
            counters.answered + counters.refused + counters.callersDisconnected;
        if (counters.open != 0 || counters.admitted != ended || ! router->core()->isIdle())
        {
            m_world.violations.add ("nothing is left in any queue",
                                    router->name() + " has " + std::to_string (counters.open)
                                        + " open requests, " + std::to_string (counters.admitted)
                                        + " admitted, " + std::to_string (ended) + " ended");
        }
    }
    const auto checkBackEnd = [this] (BackEnd& backEnd)
    {
        if (! backEnd.isAlive() || ! backEnd.isBusy())
            return;
        m_world.violations.add ("nothing is left in any queue",
                                backEnd.name() + " still has requests");
    };
    for (const auto& engine : m_world.engines)
        checkBackEnd (*engine);
    for (const auto& application : m_world.applications)
        checkBackEnd (*application);
}

void Callers::checkEnd()
{
    for (const CallerRequestPointer& request : m_history)
    {
        const bool waitedAtKilledRouter =
            ! request->hasReachedRouter
            && m_world.routers[request->router]->runNumber() != request->routerRunNumber;
        if (request->isOver() || waitedAtKilledRouter)
            continue;
        m_world.violations.add (kOneAnswer, request->head.id.value + " for " + request->head.target
                                                + " never got a final answer");
    }
    for (const CallerRequestPointer& probe : m_probes)
    {
        if (probe->finalAnswers == 1 && ! probe->error)
            continue;
        m_world.violations.add ("the cell heals",
                                "a request for " + probe->head.target + " at router "
                                    + std::to_string (probe->router + 1) + " is not served: "
                                    + (probe->error ? probe->error->message : "no answer"));
    }
    checkLedgers();
    checkQueues();
}

RequestTotals Callers::totals() const
{
    RequestTotals totals;
    for (const CallerRequestPointer& request : m_history)
    {
        ++totals.sent;
        if (request->finalAnswers > 0 && ! request->error)
        {
            ++totals.served;
        }
        else if (request->finalAnswers > 0)
        {
            const bool isNotRun = request->execution == base::Execution::kNotRun;
            isNotRun ? ++totals.refusedNotRun : ++totals.failedUnknown;
        }
        else if (request->hasCallerDisconnected)
        {
            ++totals.disconnectedCallers;
        }
        else if (request->isRouterLost)
        {
            ++totals.lostWithRouter;
        }
    }
    return totals;
}

void Callers::sendProbes()
{
    for (std::size_t router = 0; router < m_world.routers.size(); ++router)
    {
        const auto& targets = simulatedTargets();
        for (std::size_t number = 0; number < kProbedTargets; ++number)
        {
            const CallerRequestPointer request = makeRequest (targets[number]);
            m_probes.push_back (request);
            send (router, request, true);
        }
    }
}

}  // namespace fernlift::sim
