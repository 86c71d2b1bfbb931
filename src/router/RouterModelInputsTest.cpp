// The model of RouterCore: what happens to it.

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
        callerGone (step);
    }
    else
    {
        changeControl (step);
    }
    checkAll();
}

void RouterModel::advance (base::Duration duration)
{
    const base::TimePoint end = now_ + duration;
    while (now_ < end)
    {
        now_ = std::min<base::TimePoint> (end, now_ + base::milliseconds (10));
        core_.setTime (now_, kUnixStart + base::toMilliseconds (now_.time_since_epoch()));
        core_.onTick();
        takeEffects();
    }
}

void RouterModel::connect()
{
    if (controller_.isConnected)
        return;
    controller_.isConnected = true;
    core_.onControllerConnected();
    takeEffects();
    tell (controller_.configuration (controller_.configurationVersion));
    tellAll (controller_.grantLeases (2000));
}

void RouterModel::request (const ModelStep& step)
{
    const std::string id = "q" + std::to_string (requests_.size() + 1);
    Request made;
    const int shape = step.choice % 6;
    made.head = RouterHarness::completion (id, "m", step.detail % 3 != 0);
    base::Duration allowed = base::milliseconds (1000);
    if (shape == 3)
    {  // Deep work on the same model.
        made.head.requestClass = base::RequestClassName ("deep");
        made.urgency = 8;
        allowed = base::seconds (60);
    }
    else if (shape >= 4)
    {  // Must not be repeated.
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
    made.deadline = now_ + allowed;
    const bool mayBeAdmitted = ! isStopping_ && ! controller_.hasNoLease (now_);
    arriving_ = made;
    const RequestTicket ticket = core_.onRequest (made.head);
    requests_[ticket] = std::move (made);
    takeEffects();
    const Request& arrived = requests_.at (ticket);
    require (mayBeAdmitted || (arrived.ends == 1 && arrived.attempts.empty()),
             "nothing is admitted without a lease or while stopping");
}

void RouterModel::callerGone (const ModelStep& step)
{
    if (requests_.empty())
        return;
    const auto chosen = static_cast<std::size_t> (step.choice) % requests_.size();
    auto& [ticket, request] = *std::next (requests_.begin(), static_cast<std::ptrdiff_t> (chosen));
    if (request.isOpen())
        request.isGone = true;
    core_.onCallerGone (ticket);
    takeEffects();
}

void RouterModel::give (AttemptId id, const AttemptEvent& event)
{
    BackEndAttempt& attempt = attempts_.at (id);
    const auto* headers = std::get_if<AttemptHeaders> (&event);
    const auto* refused = std::get_if<AttemptRefused> (&event);
    const bool isProof = refused != nullptr || std::holds_alternative<AttemptNotSent> (event);
    if (attempt.isLive && isProof)
        attempt.isProvenNotRun = true;
    const bool isSign = (headers != nullptr && headers->runnerIsLeaving)
                        || (refused != nullptr && refused->runnerIsLeaving);
    const cell::RoutableReplica& replica = attempt.start.replica;
    if (attempt.isLive && isSign)
        leaving_.emplace (replica.runner, replica.incarnation);
    if (headers != nullptr)
        attempt.hasHeaders = true;
    const bool isEnd = isProof || std::holds_alternative<AttemptEnded> (event)
                       || std::holds_alternative<AttemptBroken> (event);
    if (isEnd)
        attempt.isOver = true;
    if (isEnd)
        attempt.isLive = false;
    core_.onAttemptEvent (id, event);
    takeEffects();
}

void RouterModel::finishAttempt (AttemptId id)
{
    BackEndAttempt& attempt = attempts_.at (id);
    const Request& request = requests_.at (attempt.start.ticket);
    if (! attempt.hasHeaders)
        give (id, AttemptHeaders{ 200, false });
    const int first = static_cast<int> (attempt.start.resumeFrom) + attempt.tokens;
    for (int number = first; number < kTokens; ++number)
    {
        attempt.tokens += 1;
        give (id,
              AttemptData{ static_cast<std::uint64_t> (number), 1, token (request, id, number) });
    }
    give (id, AttemptEnded{});
}

void RouterModel::attemptEvent (const ModelStep& step)
{
    if (attempts_.empty())
        return;
    // Mostly the latest attempts, also those that were given up.
    const std::size_t back =
        static_cast<std::size_t> (step.choice) % std::min<std::size_t> (attempts_.size(), 6);
    auto& [id, attempt] = *std::prev (attempts_.end(), static_cast<std::ptrdiff_t> (back) + 1);
    if (attempt.isOver)
        return;
    const Request& request = requests_.at (attempt.start.ticket);
    const auto next = static_cast<std::uint64_t> (attempt.tokens) + attempt.start.resumeFrom;
    const bool isLeaving = step.detail % 9 == 0;
    switch (step.kind)
    {
        case 7:
            if (! attempt.hasHeaders)
                give (id, AttemptNotSent{});
            return;
        case 8:
            if (! attempt.hasHeaders)
                give (id, AttemptRefused{ 503, isLeaving, std::nullopt });
            return;
        case 9:
            give (id, AttemptBroken{});
            return;
        case 10:
            if (! attempt.hasHeaders)
                give (id, AttemptHeaders{ step.detail % 2 == 0 ? 503 : 200, isLeaving });
            return;
        case 11:  // A part again.
            if (attempt.tokens > 0)
                give (id,
                      AttemptData{ next - 1, 1, token (request, id, static_cast<int> (next) - 1) });
            return;
        case 12:  // A part too early.
            if (attempt.hasHeaders)
                give (id, AttemptData{ next + 1, 1, "GAP" });
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
        give (id, AttemptHeaders{ 200, isLeaving });
    }
    else if (next < kTokens)
    {
        attempt.tokens += 1;
        give (id, AttemptData{ next, 1, token (request, id, static_cast<int> (next)) });
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
            restarts_[runner] += 1;
            [[fallthrough]];
        case 1:
        case 2:
            update = controller_.upsert (row (runner, target, restarts_[runner]));
            break;
        case 3:
            update = controller_.remove (runner, target);
            break;
        case 4:
            update = controller_.estimate ({ target, step.choice % 2 == 0, 100L * step.choice });
            break;
        default:  // This difference is lost; the next one shows the gap.
            controller_.upsert (row (runner, target, restarts_[runner]));
            hasTable_ = false;
            return;
    }
    tell (update);
}

void RouterModel::changeControl (const ModelStep& step)
{
    switch (step.kind)
    {
        case 26:
            if (controller_.isConnected && step.detail % 2 == 0)
            {
                controller_.lose (step.choice % 2 == 0);
                core_.onControllerLost();
                takeEffects();
            }
            return;
        case 27:
            connect();
            return;
        case 28:
            tellAll (controller_.commit());
            return;
        default:
            break;
    }
    const int change = step.detail % 8;
    if (change == 0)
        controller_.configurationVersion += 1;
    if (change <= 1)
        tell (controller_.configuration (controller_.configurationVersion));
    if (change == 2)
        tell (controller_.configuration (1));
    if (change == 3 && step.choice == 0)
    {
        isStopping_ = true;
        core_.beginStop();
    }
    if (change > 2)
        tellAll (controller_.grantLeases (2000));
}

void RouterModel::healAndFinish()
{
    connect();
    for (const char* runner : { "h1", "h2" })
        tell (controller_.upsert (row (runner, "m", 0)));
    tell (controller_.upsert (row ("h3", "portal", 0)));
    for (int round = 0; round < 200; ++round)
    {
        connect();
        tellAll (controller_.grantLeases (2000));
        tellAll (controller_.commit());
        tell (controller_.wholeTable());
        for (const auto& [id, attempt] : std::map (attempts_))
        {
            if (attempt.isLive && ! attempt.isOver)
                finishAttempt (id);
        }
        advance (base::milliseconds (round < 100 ? 20 : 400));
        checkAll();
    }
    for (const auto& [ticket, request] : requests_)
    {
        require (request.ends == 1 || request.isGone, "every request has its final answer");
    }
    const std::string metrics = core_.metricsText();
    require (metrics.find ("requests_waiting 0\n") != std::string::npos
                 && metrics.find ("waiting_bytes 0\n") != std::string::npos,
             "nothing is left in a queue");
    require (core_.isIdle(), "the router comes to rest");
}

}  // namespace fernlift::router::testing
