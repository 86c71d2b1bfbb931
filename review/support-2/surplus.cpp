// A runner sends some of its refusals twice; the second copy comes late, in the place of the next answer.
// See claim.txt of the case.

#include <cmath>

#include "Trial.h"

using namespace trial;

namespace
{

constexpr double kPlayS = 50;
constexpr int kSlots = 4;               // `Slots` of the runner.
constexpr double kRunS = 0.05;
constexpr int kClients = 8;             // Each waits for its answer and rests before it asks again.
constexpr double kMostRestS = 0.15;
constexpr double kSpoiled = 0.03;       // Share of the refusals that are sent twice,
constexpr double kTroubleS = 5;         // for so long,
constexpr double kPauseS = 5;           // again and again after this pause.
constexpr double kLateS = 0.02;         // From an answer to its second copy.

std::string configuration()
{
    return R"({"Version":1,"Routes":[)"
           R"({"Name":"r-approve","Host":"a.example","PathPrefix":"/approve/","Type":"unsafe","TimeoutMs":1500,"TargetLatencyMs":150,"Priority":2,"Service":"payroll","MaxAttempts":2}],)"
           R"("Services":[{"Name":"payroll","HealthPath":"/health","MaxConnections":100,"Protocol":"h1","Tls":false}],)"
           R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

struct Seen
{
    std::mutex mutex;
    std::map<std::string, int> runs;        ///< Begun runs by request id.
    std::map<std::string, int> approvals;   ///< Begun runs by approval, over all tries.
    int working = 0;
    int refused = 0;                        ///< Refusals of the runner.
    int spoiled = 0;                        ///< Refusals sent twice.
    std::map<int, int> answers;
    int promisedAndRun = 0;
};

bool answer (const Message& request, Connection& connection, Seen& seen)
{
    static std::mt19937 random (1);
    const std::string id = request.field ("X-Fernlift-Request-Id");
    bool hasRoom = false;
    bool isSpoiled = false;
    {
        const std::lock_guard lock (seen.mutex);
        hasRoom = seen.working < kSlots;
        if (hasRoom)
        {
            ++seen.working;
            ++seen.runs[id];
            ++seen.approvals[request.body];
        }
        else
        {
            ++seen.refused;
            const bool isInTrouble =
                hasTrouble() && std::fmod (now(), kTroubleS + kPauseS) >= kPauseS;
            isSpoiled =
                isInTrouble && std::uniform_real_distribution<double> (0, 1) (random) < kSpoiled;
            seen.spoiled += isSpoiled ? 1 : 0;
        }
    }
    if (! hasRoom)
    {
        const std::string refusal = answerText (503,
                                                { { "X-Fernlift-Request-Id", id },
                                                  { "X-Fernlift-Not-Executed", "1" } },
                                                "full");
        if (! connection.write (refusal))
            return false;
        if (! isSpoiled)
            return true;
        sleepFor (kLateS);
        record().line ("runner: %s refused, and a second copy of this answer %.0f ms later",
                       id.c_str(), kLateS * 1000);
        return connection.write (refusal);
    }
    sleepFor (kRunS);
    {
        const std::lock_guard lock (seen.mutex);
        --seen.working;
    }
    return connection.write (
        answerText (200,
                    { { "X-Fernlift-Request-Id", id },
                      { "X-Fernlift-Response-Signature", signatureOf ("i-pay", id) } },
                    "approved"));
}

/// One client after the other posts approvals; after a promise that a request hasn't run it tries again.
void post (const Address& front, int number, Seen& seen, double until)
{
    Connection connection (connectTo (front, 1.0));
    std::mt19937 random (static_cast<unsigned> (number));
    std::uniform_real_distribution<double> rest (0, kMostRestS);
    for (int count = 0; now() < until; ++count)
    {
        sleepFor (rest (random));
        const std::string approval =
            "approval " + std::to_string (number) + "-" + std::to_string (count);
        for (int attempt = 0; attempt < 3; ++attempt)
        {
            const std::string id = nextId();
            Message reply;
            if (! connection.write (requestText ("POST", "/approve/2f",
                                                 { { "Host", "a.example" },
                                                   { "X-Fernlift-Request-Id", id },
                                                   { "X-Fernlift-Request-Deadline", "1500" } },
                                                 approval))
                || ! connection.read (reply, now() + 2.5, true))
            {
                record().line ("client: %s no answer", id.c_str());
                return;
            }
            const int status = reply.status();
            const bool isPromise = status == 503 || status == 429;
            // The runner may still begin the request after the promise.
            if (isPromise)
                sleepFor (0.1);
            {
                const std::lock_guard lock (seen.mutex);
                ++seen.answers[status];
                if (isPromise && seen.runs.contains (id))
                {
                    ++seen.promisedAndRun;
                    record().line ("client: %s (%s) answered %d, not run; but the runner ran it",
                                   id.c_str(), approval.c_str(), status);
                }
            }
            if (! isPromise)
                break;
        }
    }
}

}  // namespace

int main()
{
    ::signal (SIGPIPE, SIG_IGN);
    Cell cell (3, 2);
    Seen seen;
    cell.startAll();
    Runner runner (cell, "i-pay", "payroll", kSlots,
                   [&seen] (const Message& request, Connection& connection)
                   { return answer (request, connection, seen); });
    if (! cell.replaceConfiguration (configuration()) || ! cell.awaitReady())
        finish (cell, 2, "the cell did not start");
    cell.endBootstrap();
    sleepFor (2.5);
    const double until = now() + kPlayS;
    std::vector<std::thread> clients;
    for (int number = 0; number < kClients; ++number)
    {
        clients.emplace_back (
            [&, number]
            {
                while (now() < until)
                    post (cell.routers[static_cast<std::size_t> (number % 2)].front, number, seen,
                          until);
            });
    }
    for (std::thread& client : clients)
        client.join();
    const std::lock_guard lock (seen.mutex);
    int twice = 0;
    for (const auto& [approval, runs] : seen.approvals)
    {
        if (runs < 2)
            continue;
        ++twice;
        record().line ("runner: %s ran %d times", approval.c_str(), runs);
    }
    for (const auto& [status, count] : seen.answers)
        record().line ("clients: %d answers with status %d", count, status);
    char text[300];
    std::snprintf (text, sizeof text,
                   "%d requests were answered as not run and ran; %d approvals ran twice; the runner "
                   "ran %zu requests, refused %d and sent %d of these refusals twice",
                   seen.promisedAndRun, twice, seen.runs.size(), seen.refused, seen.spoiled);
    if (seen.runs.size() < 200 || seen.refused < 50)
        finish (cell, 2, std::string ("too little to judge; ") + text);
    finish (cell, seen.promisedAndRun > 0 ? 1 : 0, text);
}
