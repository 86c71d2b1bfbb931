// A runner in trouble sends the body of an answer without end, at the pace of its link, to a client that
// reads at the pace of an ordinary line. See claim.txt of the case.

#include "Trial.h"

using namespace trial;

namespace
{

constexpr double kMemoryMb = 260;           // `MemoryMb` of a front machine.
constexpr double kRunnerBytesPerS = 100e6;  // Below `LinkMbps` 1000.
constexpr double kClientBytesPerS = 8e6;    // A line of 64 Mbit/s.
constexpr int kKept = 8;                    // Clients with kept connections.
constexpr double kPlayS = 40;

struct Sound
{
    std::mutex mutex;
    std::set<std::string> begun;  ///< Ids that the sound runner has begun to run.
    int answered = 0;
    int cutAfterPassedOn = 0;
};

std::string configuration()
{
    return R"({"Version":1,"Routes":[)"
           R"({"Name":"r-status","Host":"a.example","PathPrefix":"/status/","Type":"unsafe","TimeoutMs":1500,"TargetLatencyMs":150,"Priority":2,"Service":"claims-api","MaxAttempts":1},)"
           R"({"Name":"r-audit","Host":"a.example","PathPrefix":"/audit/","Type":"streaming","TimeoutMs":15000,"TargetLatencyMs":5000,"Priority":1,"Service":"audit","MaxAttempts":2,"Resumable":false,"GapTargetMs":300}],)"
           R"("Services":[{"Name":"claims-api","HealthPath":"/health","MaxConnections":100,"Protocol":"h1","Tls":false},)"
           R"({"Name":"audit","HealthPath":"/health","MaxConnections":360,"Protocol":"h1","Tls":false}],)"
           R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

/// A client of the sound route, on a kept connection.
void callKept (const Address& front, Sound& sound, double until)
{
    std::unique_ptr<Connection> connection;
    int onThis = 0;
    while (now() < until)
    {
        if (! connection)
        {
            connection = std::make_unique<Connection> (connectTo (front, 1.0));
            onThis = 0;
            if (! connection->isOpen())
            {
                connection.reset();
                sleepFor (0.2);
                continue;
            }
        }
        const std::string id = nextId();
        const bool isSent = connection->write (
            requestText ("POST", "/status/2f",
                         { { "Host", "a.example" },
                           { "X-Fernlift-Request-Id", id },
                           { "X-Fernlift-Request-Deadline", "1500" } },
                         "{}"));
        Message answer;
        const bool isAnswered = isSent && connection->read (answer, now() + 2.5, true);
        if (isAnswered)
        {
            const std::lock_guard lock (sound.mutex);
            ++sound.answered;
            ++onThis;
            if (answer.status() != 200)
                record().line ("client: %s answered %d", id.c_str(), answer.status());
            if (equalNames (answer.field ("Connection"), "close"))
                connection.reset();
            continue;
        }
        const bool isEnded = connection->isEnded();
        sleepFor (0.05);
        {
            const std::lock_guard lock (sound.mutex);
            const bool isPassedOn = sound.begun.contains (id);
            if (isEnded && isPassedOn && onThis > 0)
                ++sound.cutAfterPassedOn;
            record().line ("client: %s on a kept connection (%d answers before): %s, %s", id.c_str(),
                           onThis, isEnded ? "closed without an answer" : "no answer in time",
                           isPassedOn ? "it was passed on to the sound runner" : "not passed on");
        }
        connection.reset();
    }
}

/// A client that reads at the pace of its line, until its deadline.
void readSlowly (const Address& front)
{
    Connection connection (connectTo (front, 1.0, 256 * 1024));
    const std::string id = nextId();
    record().line ("client: %s to the route of the runner in trouble", id.c_str());
    connection.write (requestText ("POST", "/audit/2f",
                                   { { "Host", "a.example" },
                                     { "X-Fernlift-Request-Id", id },
                                     { "X-Fernlift-Request-Deadline", "15000" } },
                                   "{}"));
    const double begun = now();
    std::size_t bytes = 0;
    std::vector<char> part (64 * 1024);
    while (now() < begun + 15)
    {
        if (! awaitSocket (connection.socket(), POLLIN, begun + 15))
            break;
        const ssize_t count = ::recv (connection.socket(), part.data(), part.size(), 0);
        if (count <= 0)
        {
            record().line ("client: %s its connection ended", id.c_str());
            break;
        }
        bytes += static_cast<std::size_t> (count);
        const double ahead = static_cast<double> (bytes) / kClientBytesPerS - (now() - begun);
        if (ahead > 0)
            sleepFor (ahead);
    }
    record().line ("client: %s read %.1f MB in %.1f s", id.c_str(),
                   static_cast<double> (bytes) / 1e6, now() - begun);
}

bool answerEndlessly (const Message& request, Connection& connection)
{
    const std::string id = request.field ("X-Fernlift-Request-Id");
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Fernlift-Request-Id: "
                             + id + "\r\nX-Fernlift-Response-Signature: "
                             + signatureOf ("i-trouble", id);
    const std::string part (64 * 1024, '.');
    if (! hasTrouble())
        return connection.write (head + "\r\nContent-Length: 65536\r\n\r\n" + part);
    record().line ("runner in trouble: %s gets a body without end", id.c_str());
    connection.write (head + "\r\n\r\n");
    const double begun = now();
    std::size_t bytes = 0;
    while (connection.write (part))
    {
        bytes += part.size();
        const double ahead = static_cast<double> (bytes) / kRunnerBytesPerS - (now() - begun);
        if (ahead > 0)
            sleepFor (ahead);
    }
    record().line ("runner in trouble: %s the caller closed after %.0f MB", id.c_str(),
                   static_cast<double> (bytes) / 1e6);
    return false;
}

}  // namespace

int main()
{
    ::signal (SIGPIPE, SIG_IGN);
    Cell cell (3, 2);
    Sound sound;
    cell.startAll();
    Runner runner (cell, "i-sound", "claims-api", 16,
                   [&sound] (const Message& request, Connection& connection)
                   {
                       const std::string id = request.field ("X-Fernlift-Request-Id");
                       {
                           const std::lock_guard lock (sound.mutex);
                           sound.begun.insert (id);
                       }
                       sleepFor (0.4);
                       return connection.write (answerText (
                           200,
                           { { "X-Fernlift-Request-Id", id },
                             { "X-Fernlift-Response-Signature", signatureOf ("i-sound", id) } },
                           "done"));
                   });
    Runner trouble (cell, "i-trouble", "audit", 64, answerEndlessly, 201);
    if (! cell.replaceConfiguration (configuration()) || ! cell.awaitReady())
        finish (cell, 2, "the cell did not start");
    cell.endBootstrap();
    sleepFor (2.5);

    const double until = now() + kPlayS;
    const Address front = cell.routers[0].front;
    std::vector<std::thread> clients;
    for (int number = 0; number < kKept; ++number)
        clients.emplace_back ([&] { callKept (front, sound, until); });
    // Three clients of the other route, one after the other.
    std::thread slow (
        [&]
        {
            sleepFor (5);
            for (int number = 0; number < 3 && now() < until - 10; ++number)
            {
                readSlowly (front);
                sleepFor (3);
            }
        });

    // The platform: a process that goes over `MemoryMb` is killed and started again.
    Process& router = *cell.routers[0].process;
    int ends = 0;
    double highest = 0;
    double notedAt = 0;
    while (now() < until)
    {
        const double used = router.residentMb();
        highest = std::max (highest, used);
        if (now() > notedAt + 1)
        {
            notedAt = now();
            record().line ("platform: front-1 uses %.0f MB", used);
        }
        const bool isOver = used > kMemoryMb;
        if (isOver)
        {
            record().line ("platform: front-1 uses %.0f MB, over %.0f: killed", used, kMemoryMb);
            router.killAndReap();
        }
        if (isOver || router.hasEnded())
        {
            ++ends;
            sleepFor (0.3);
            router.start();
        }
        sleepFor (0.01);
    }
    for (std::thread& client : clients)
        client.join();
    slow.join();
    record().line ("front-1: at most %.0f MB, %d ends by itself; kept connections: %d answers, %d "
                   "closed without one after the request was passed on",
                   highest, ends, sound.answered, sound.cutAfterPassedOn);
    char text[200];
    std::snprintf (text, sizeof text,
                   "front-1 reached %.0f MB and ended %d times; %d requests of kept connections that "
                   "a sound runner had were closed without an answer",
                   highest, ends, sound.cutAfterPassedOn);
    if (sound.answered < 100)
        finish (cell, 2, "too few requests were served to judge");
    finish (cell, sound.cutAfterPassedOn > 3 ? 1 : 0, text);
}
