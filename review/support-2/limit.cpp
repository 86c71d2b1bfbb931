// A runner in need names the rate that it takes from all machines together. Every process of the core is
// killed at the same instant and comes back within a second. See claim.txt of the case.

#include "Trial.h"

using namespace trial;

namespace
{

constexpr double kLimitPerS = 0.4;     // `Server-Limit` of the runner.
constexpr double kRunS = 0.4;        // Time for which the runner works on a request.
constexpr double kAskedPerS = 25;    // Requests a second at each router.
constexpr double kContactS = 3;      // `ContactMs`.
constexpr double kDownS = 0.9;       // The core is back within a second.
constexpr double kQuietS = 1.2;      // From the last answer of the runner to the kill.
constexpr double kWindowS = 4;       // Of the rule.
constexpr double kBeforeS = 14;      // From the first answer with the limit to the kill.
constexpr double kAfterS = 25;
constexpr int kRouters = 3;

std::string configuration()
{
    return R"({"Version":1,"Routes":[)"
           R"({"Name":"r-status","Host":"a.example","PathPrefix":"/status/","Type":"unsafe","TimeoutMs":1500,"TargetLatencyMs":1000,"Priority":2,"Service":"claims-api","MaxAttempts":1}],)"
           R"("Services":[{"Name":"claims-api","HealthPath":"/health","MaxConnections":100,"Protocol":"h1","Tls":false}],)"
           R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

struct Arrival
{
    double at;
    int router;
};

struct Seen
{
    std::mutex mutex;
    std::vector<Arrival> arrivals;
    std::map<int, double> passedOnAt;  ///< Per router: its first answer with the limit.
    double statedAt = 0;               ///< First answer of the runner with the limit.
    std::map<int, int> answers;        ///< Answers to clients by status.
};

/// Clients of one router, each request on a connection of its own, at a steady rate.
void ask (const Address& front, int router, Seen& seen, double until)
{
    double next = now();
    std::vector<std::thread> calls;
    while (now() < until)
    {
        next += 1 / kAskedPerS;
        sleepFor (std::max (next - now(), 0.0));
        std::thread (
            [&front, router, &seen]
            {
                const std::string id = nextId();
                const auto answer = call (front, "POST", "/status/2f",
                                          { { "Host", "a.example" },
                                            { "X-Fernlift-Request-Id", id },
                                            { "X-Router", std::to_string (router) },
                                            { "X-Fernlift-Request-Deadline", "1500" } },
                                          "{}", 2.0);
                const std::lock_guard lock (seen.mutex);
                ++seen.answers[answer ? answer->status() : 0];
                if (answer && answer->status() == 200 && ! seen.passedOnAt.contains (router))
                {
                    seen.passedOnAt[router] = now();
                    record().line ("front-%d: passed on its first answer with Server-Limit",
                                   router + 1);
                }
            })
            .detach();
    }
}

}  // namespace

int main()
{
    ::signal (SIGPIPE, SIG_IGN);
    Cell cell (3, kRouters);
    Seen seen;
    cell.startAll();
    Runner runner (
        cell, "i-need", "claims-api", 6,
        [&seen] (const Message& request, Connection& connection)
        {
            const std::string id = request.field ("X-Fernlift-Request-Id");
            const int router = std::atoi (request.field ("X-Router").c_str());
            {
                const std::lock_guard lock (seen.mutex);
                seen.arrivals.push_back ({ now(), router });
                if (seen.statedAt == 0)
                    seen.statedAt = now();
            }
            record().line ("runner: %s from front-%d", id.c_str(), router + 1);
            sleepFor (kRunS);
            char limit[32];
            std::snprintf (limit, sizeof limit, "%.1f", kLimitPerS);
            return connection.write (answerText (
                200,
                { { "X-Fernlift-Request-Id", id },
                  { "X-Fernlift-Response-Signature", signatureOf ("i-need", id) },
                  { "Server-Limit", limit } },
                "done"));
        });
    if (! cell.replaceConfiguration (configuration()) || ! cell.awaitReady())
        finish (cell, 2, "the cell did not start");
    cell.endBootstrap();
    sleepFor (2.5);
    const double until = now() + 1 + kBeforeS + kDownS + kAfterS;
    std::vector<std::thread> clients;
    for (int router = 0; router < kRouters; ++router)
    {
        clients.emplace_back ([&, router]
                              { ask (cell.routers[static_cast<std::size_t> (router)].front, router,
                                     seen, until); });
    }
    sleepFor (1 + kBeforeS);
    double killedAt = 0;
    if (hasTrouble())
    {
        // Some time after the runner's last answer, as it gets few requests.
        while (true)
        {
            sleepFor (0.02);
            const std::lock_guard lock (seen.mutex);
            const double last = seen.arrivals.back().at + kRunS;
            if (now() > last + kQuietS && now() < last + kQuietS + 0.2)
                break;
        }
        killedAt = now();
        record().line ("platform: kills every process of the core");
        for (auto& controller : cell.controllers)
            controller.process->killAndReap();
        sleepFor (kDownS);
        for (auto& controller : cell.controllers)
            controller.process->start();
    }
    for (std::thread& client : clients)
        client.join();
    sleepFor (2.2);

    // The rule: from `ContactMs` after the runner first named its limit, the arrivals in some 4 s from
    // the machines that had passed on such an answer half a second before or earlier.
    const std::lock_guard lock (seen.mutex);
    const double from = seen.statedAt + kContactS;
    const double allowed = 1.5 * kLimitPerS * kWindowS + 5;
    std::vector<double> counted;
    for (const Arrival& arrival : seen.arrivals)
    {
        const auto passedOn = seen.passedOnAt.find (arrival.router);
        if (arrival.at >= from && passedOn != seen.passedOnAt.end()
            && arrival.at >= passedOn->second + 0.5)
            counted.push_back (arrival.at);
    }
    std::sort (counted.begin(), counted.end());
    std::size_t most = 0;
    double mostAt = 0;
    for (std::size_t begin = 0, end = 0; end < counted.size(); ++end)
    {
        while (counted[end] - counted[begin] >= kWindowS)
            ++begin;
        if (end - begin + 1 > most)
        {
            most = end - begin + 1;
            mostAt = counted[begin];
        }
    }
    for (const auto& [status, count] : seen.answers)
        record().line ("clients: %d answers with status %d", count, status);
    char text[300];
    std::snprintf (text, sizeof text,
                   "the runner that takes %.1f a second got up to %zu requests in 4 s (at %.1f s, core "
                   "killed at %.1f s), where %.0f are allowed",
                   kLimitPerS, most, mostAt, killedAt, allowed);
    if (counted.size() < 5 || seen.passedOnAt.size() < kRouters)
        finish (cell, 2, std::string ("too few requests to judge; ") + text);
    finish (cell, static_cast<double> (most) > allowed ? 1 : 0, text);
}
