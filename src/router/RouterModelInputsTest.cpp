// Model of RouterCore: the inputs.

#include "router/RouterModelTestSupport.h"

namespace fernlift::router::testing
{

std::optional<std::string> violationOf (const std::vector<ModelStep>& steps,
                                        const RouterOptions& options)
{
    try
    {
        RouterModel model (options);
        for (const ModelStep& step : steps)
            model.run (step);
        model.healAndFinish();
    }
    catch (const Violation& violation)
    {
        return violation.what();
    }
    return std::nullopt;
}

void RouterModel::run (const ModelStep& step)
{
    if (step.kind < 7)
    {
        request (step);
    }
    else if (step.kind < 19)
    {
        attemptEvent (step);
    }
    else if (step.kind < 22)
    {
        advance (base::milliseconds (1 + step.detail * 7));
    }
    else if (step.kind < 25)
    {
        changeReplicas (step);
    }
    else if (step.kind == 25)
    {
        disconnectCaller (step);
    }
    else
    {
        changeControl (step);
    }
    checkAll();
}

void RouterModel::advance (base::Duration duration)
{
    const base::TimePoint end = m_now + duration;
    while (m_now < end)
    {
        m_now = std::min<base::TimePoint> (end, m_now + base::milliseconds (10));
        m_core.setTime (m_now, kUnixStart + base::toMilliseconds (m_now.time_since_epoch()));
        m_core.onTick();
        takeEffects();
    }
}

void RouterModel::connect()
{
    if (m_controller.isConnected)
        return;
    m_controller.isConnected = true;
    m_core.onControllerConnected();
    takeEffects();
    deliver (m_controller.configuration (m_controller.configurationVersion));
    deliverAll (m_controller.grantLeases (2000));
}

void RouterModel::request (const ModelStep& step)
{
    const std::string id = "q" + std::to_string (m_requests.size() + 1);
    Request made;
    const int shape = step.choice % 6;
    made.head = RouterHarness::completion (id, "m", step.detail % 3 != 0);
    base::Duration allowed = base::milliseconds (1000);
    if (shape == 3)
    {  // Less urgent class on the same model.
        made.head.requestClass = base::RequestClassName ("deep");
        made.urgency = 8;
        allowed = base::seconds (60);
    }
    else if (shape >= 4)
    {  // Non-repeatable request.
        const std::string key = "key" + std::to_string (step.detail % 5);
        if (shape == 4)
            made.head = RouterHarness::payment (id, key);
        made.head.requestClass = base::RequestClassName ("payment");
        made.head.idempotencyKey = base::IdempotencyKey (key);
        made.urgency = 1;
        made.isRepeatable = false;
        allowed = base::milliseconds (2000);
    }
    made.head.caller = "caller" + std::to_string (step.detail % 2);
    made.deadline = m_now + allowed;
    const bool mayBeAdmitted = ! m_isStopping && ! m_controller.hasNoLease (m_now);
    m_arriving = made;
    const RequestTicket ticket = m_core.onRequest (made.head);
    m_requests[ticket] = std::move (made);
    takeEffects();
    const Request& arrived = m_requests.at (ticket);
    require (mayBeAdmitted || (arrived.ends == 1 && arrived.attempts.empty()),
             "nothing is admitted without a lease or while stopping");
}

void RouterModel::disconnectCaller (const ModelStep& step)
{
    if (m_requests.empty())
        return;
    const auto chosen = static_cast<std::size_t> (step.choice) % m_requests.size();
    auto& [ticket, request] = *std::next (m_requests.begin(), static_cast<std::ptrdiff_t> (chosen));
    if (request.isOpen())
        request.isGone = true;
    m_core.onCallerDisconnected (ticket);
    takeEffects();
}

void RouterModel::deliverEvent (AttemptId id, const AttemptEvent& event)
{
    BackEndAttempt& attempt = m_attempts.at (id);
    const auto* headers = std::get_if<AttemptHeaders> (&event);
    const auto* refused = std::get_if<AttemptRefused> (&event);
    const bool isProof = refused != nullptr || std::holds_alternative<AttemptNotSent> (event);
    if (attempt.isLive && isProof)
        attempt.isProvenNotRun = true;
    const bool isLeavingNotice = (headers != nullptr && headers->runnerIsLeaving)
                                 || (refused != nullptr && refused->runnerIsLeaving);
    const cell::RoutableReplica& replica = attempt.start.replica;
    if (attempt.isLive && isLeavingNotice)
        m_leaving.emplace (replica.runner, replica.incarnation);
    if (headers != nullptr)
        attempt.hasHeaders = true;
    const bool isEnd = isProof || std::holds_alternative<AttemptEnded> (event)
                       || std::holds_alternative<AttemptBroken> (event);
    if (isEnd)
        attempt.isOver = true;
    if (isEnd)
        attempt.isLive = false;
    m_core.onAttemptEvent (id, event);
    takeEffects();
}

void RouterModel::finishAttempt (AttemptId id)
{
    BackEndAttempt& attempt = m_attempts.at (id);
    const Request& request = m_requests.at (attempt.start.ticket);
    if (! attempt.hasHeaders)
        deliverEvent (id, AttemptHeaders{ 200, false });
    const int first = static_cast<int> (attempt.start.resumeFrom) + attempt.tokens;
    for (int number = first; number < kTokens; ++number)
    {
        attempt.tokens += 1;
        deliverEvent (
            id, AttemptData{ static_cast<std::uint64_t> (number), 1, token (request, id, number) });
    }
    deliverEvent (id, AttemptEnded{});
}

void RouterModel::attemptEvent (const ModelStep& step)
{
    if (m_attempts.empty())
        return;
    // One of the six latest attempts, including abandoned ones.
    const std::size_t back =
        static_cast<std::size_t> (step.choice) % std::min<std::size_t> (m_attempts.size(), 6);
    auto& [id, attempt] = *std::prev (m_attempts.end(), static_cast<std::ptrdiff_t> (back) + 1);
    if (attempt.isOver)
        return;
    const Request& request = m_requests.at (attempt.start.ticket);
    const auto next = static_cast<std::uint64_t> (attempt.tokens) + attempt.start.resumeFrom;
    const bool isLeaving = step.detail % 9 == 0;
    switch (step.kind)
    {
        case 7:
            if (! attempt.hasHeaders)
                deliverEvent (id, AttemptNotSent{});
            return;
        case 8:
            if (! attempt.hasHeaders)
                deliverEvent (id, AttemptRefused{ 503, isLeaving, std::nullopt });
            return;
        case 9:
            deliverEvent (id, AttemptBroken{});
            return;
        case 10:
            if (! attempt.hasHeaders)
                deliverEvent (id, AttemptHeaders{ step.detail % 2 == 0 ? 503 : 200, isLeaving });
            return;
        case 11:  // Duplicate part.
            if (attempt.tokens > 0)
                deliverEvent (id, AttemptData{ next - 1, 1,
                                               token (request, id, static_cast<int> (next) - 1) });
            return;
        case 12:  // Part after a gap.
            if (attempt.hasHeaders)
                deliverEvent (id, AttemptData{ next + 1, 1, "GAP" });
            return;
        case 13:
        case 14:
            finishAttempt (id);
            return;
        default:
            break;
    }
    if (! attempt.hasHeaders)
    {
        deliverEvent (id, AttemptHeaders{ 200, isLeaving });
    }
    else if (next < kTokens)
    {
        attempt.tokens += 1;
        deliverEvent (id, AttemptData{ next, 1, token (request, id, static_cast<int> (next)) });
    }
}

void RouterModel::changeReplicas (const ModelStep& step)
{
    static const std::vector<std::pair<std::string, std::string>> kRows{
        { "r1", "m" }, { "r2", "m" }, { "r3", "m" }, { "a1", "portal" }, { "a2", "portal" }
    };
    const auto& [runner, target] = kRows[static_cast<std::size_t> (step.choice) % kRows.size()];
    cell::ReplicaUpdate update;
    switch (step.detail % 6)
    {
        case 0:
            m_restarts[runner] += 1;
            [[fallthrough]];
        case 1:
        case 2:
            update = m_controller.upsert (row (runner, target, m_restarts[runner]));
            break;
        case 3:
            update = m_controller.remove (runner, target);
            break;
        case 4:
            update = m_controller.estimate ({ target, step.choice % 2 == 0, 100L * step.choice });
            break;
        default:  // This delta is lost; the next one reveals the gap.
            m_controller.upsert (row (runner, target, m_restarts[runner]));
            m_hasTable = false;
            return;
    }
    deliver (update);
}

void RouterModel::changeControl (const ModelStep& step)
{
    switch (step.kind)
    {
        case 26:
            if (m_controller.isConnected && step.detail % 2 == 0)
            {
                m_controller.disconnect (step.choice % 2 == 0);
                m_core.onControllerLost();
                takeEffects();
            }
            return;
        case 27:
            connect();
            return;
        case 28:
            deliverAll (m_controller.commit());
            return;
        default:
            break;
    }
    const int change = step.detail % 8;
    if (change == 0)
        m_controller.configurationVersion += 1;
    if (change <= 1)
        deliver (m_controller.configuration (m_controller.configurationVersion));
    if (change == 2)
        deliver (m_controller.configuration (1));
    if (change == 3 && step.choice == 0)
    {
        m_isStopping = true;
        m_core.beginStop();
    }
    if (change > 2)
        deliverAll (m_controller.grantLeases (2000));
}

void RouterModel::healAndFinish()
{
    connect();
    for (const char* runner : { "h1", "h2" })
        deliver (m_controller.upsert (row (runner, "m", 0)));
    deliver (m_controller.upsert (row ("h3", "portal", 0)));
    for (int round = 0; round < 200; ++round)
    {
        connect();
        deliverAll (m_controller.grantLeases (2000));
        deliverAll (m_controller.commit());
        deliver (m_controller.wholeTable());
        for (const auto& [id, attempt] : std::map (m_attempts))
        {
            if (attempt.isLive && ! attempt.isOver)
                finishAttempt (id);
        }
        advance (base::milliseconds (round < 100 ? 20 : 400));
        checkAll();
    }
    for (const auto& [ticket, request] : m_requests)
    {
        require (request.ends == 1 || request.isGone, "every request has its final answer");
    }
    const std::string metrics = m_core.metricsText();
    require (metrics.find ("requests_waiting 0\n") != std::string::npos
                 && metrics.find ("waiting_bytes 0\n") != std::string::npos,
             "the queues are empty at the end");
    require (m_core.isIdle(), "the router becomes idle");
}

}  // namespace fernlift::router::testing
