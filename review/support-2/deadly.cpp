// A request ends each runner that begins to run it: the runner's machine goes dark and is back after some
// seconds, as a new incarnation. The request comes again. See claim.txt of the case.

#include "Trial.h"

using namespace trial;

namespace
{

constexpr double kDarkS = 3;         // The runner is back after some seconds.
constexpr double kContactS = 3;      // `ContactMs`.
constexpr double kAgainS = 1;        // The deadly request comes again after this time.
constexpr double kPlayS = 45;
constexpr int kRunners = 6;
constexpr int kRouters = 3;

std::string configuration()
{
    return R"({"Version":1,"Routes":[)"
           R"({"Name":"r-status","Host":"a.example","PathPrefix":"/status/","Type":"unsafe","TimeoutMs":1500,"TargetLatencyMs":150,"Priority":2,"Service":"claims-api","MaxAttempts":1}],)"
           R"("Services":[{"Name":"claims-api","HealthPath":"/health","MaxConnections":100,"Protocol":"h1","Tls":false}],)"
           R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

struct Crash
{
    double at;
    int router;
    std::string runner;
};

struct Seen
{
    std::mutex mutex;
    std::vector<Crash> crashes;  ///< Begun runs of the deadly request.
    int served = 0;              ///< Sound requests with a whole answer.
    int lost = 0;                ///< Sound requests that a runner had begun when it ended.
};

/// A runner whose machine goes dark under the deadly request: open connections and new ones hang, and
/// nothing is said. When it is back, it has another id and knows none of the connections.
class DeadlyRunner
{
public:
    DeadlyRunner (Cell& cell, int number, Seen& seen) : m_cell (cell), m_number (number), m_seen (seen)
    {
        m_address.host = cell.hostOf (200 + number);
        m_listener = listenOn (m_address.host, 0, &m_address.port);
        m_id = nameOf (0);
        std::thread ([this] { accept(); }).detach();
        std::thread ([this] { beat(); }).detach();
    }

private:
    std::string nameOf (int life) const
    {
        return "i-" + std::to_string (m_number) + "-" + std::to_string (life);
    }

    void accept()
    {
        while (true)
        {
            int listener = -1;
            bool isDark = false;
            {
                const std::lock_guard lock (m_mutex);
                listener = m_listener;
                isDark = m_isDark;
            }
            if (isDark || ! awaitSocket (listener, POLLIN, now() + 0.02))
            {
                sleepFor (isDark ? 0.01 : 0);
                continue;
            }
            const std::lock_guard lock (m_mutex);
            if (m_isDark)
                continue;
            const int socket = ::accept4 (m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                continue;
            m_open.insert (socket);
            std::thread ([this, socket, life = m_life] { serve (socket, life); }).detach();
        }
    }

    void serve (int socket, int life)
    {
        Connection connection (socket);
        Message request;
        while (connection.read (request, now() + 3600, false) && answer (request, connection, life))
        {
        }
        // A machine that is dark closes nothing.
        while (isGone (life, false))
            sleepFor (0.01);
        const std::lock_guard lock (m_mutex);
        m_open.erase (socket);
        const linger reset{ 1, 0 };
        ::setsockopt (socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        connection.close();
    }

    /// Whether this life of the runner is over; with `isOver` also whether it is back.
    bool isGone (int life, bool isOver)
    {
        const std::lock_guard lock (m_mutex);
        return isOver ? m_life != life : m_life == life && m_isDark;
    }

    bool answer (const Message& request, Connection& connection, int life)
    {
        if (isGone (life, false) || isGone (life, true))
            return false;
        std::string own;
        {
            const std::lock_guard lock (m_mutex);
            own = m_id;
        }
        if (request.path() == "/health")
            return connection.write (answerText (200, { { "X-Fernlift-Instance-Id", own } }, ""));
        if (request.field ("X-Fernlift-Target-Instance") != own)
            return connection.write (answerText (421, { { "X-Fernlift-Not-Executed", "1" } }, ""));
        const std::string id = request.field ("X-Fernlift-Request-Id");
        if (request.body == "deadly")
        {
            {
                const std::lock_guard lock (m_seen.mutex);
                m_seen.crashes.push_back (
                    { now(), std::atoi (request.field ("X-Router").c_str()), own });
                record().line ("runner %s: begins to run the deadly request %s of front-%s, goes dark "
                               "(%zu so far)",
                               own.c_str(), id.c_str(), request.field ("X-Router").c_str(),
                               m_seen.crashes.size());
            }
            goDark();
            return false;
        }
        sleepFor (0.03);
        if (isGone (life, false) || isGone (life, true))
        {
            const std::lock_guard lock (m_seen.mutex);
            ++m_seen.lost;
            return false;
        }
        {
            const std::lock_guard lock (m_seen.mutex);
            ++m_seen.served;
        }
        return connection.write (
            answerText (200,
                        { { "X-Fernlift-Request-Id", id },
                          { "X-Fernlift-Response-Signature", signatureOf (own, id) } },
                        "done"));
    }

    void goDark()
    {
        const std::lock_guard lock (m_mutex);
        if (m_isDark)
            return;
        m_isDark = true;
        // New connections hang: the queue of the listening socket is full.
        ::listen (m_listener, 0);
        const sockaddr_in target = toSocket (m_address);
        for (int number = 0; number < 4; ++number)
        {
            const int filler = ::socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            if (::connect (filler, reinterpret_cast<const sockaddr*> (&target), sizeof target) != 0
                && errno != EINPROGRESS)
                record().line ("runner: no filler connection");
            m_fillers.push_back (filler);
        }
        std::thread (
            [this]
            {
                sleepFor (kDarkS);
                comeBack();
            })
            .detach();
    }

    void comeBack()
    {
        const std::lock_guard lock (m_mutex);
        for (const int filler : m_fillers)
            ::close (filler);
        m_fillers.clear();
        for (const int socket : m_open)
            ::shutdown (socket, SHUT_RDWR);
        ::close (m_listener);
        m_listener = listenOn (m_address.host, m_address.port);
        m_isDark = false;
        ++m_life;
        m_id = nameOf (m_life);
        m_sequence = 0;
        record().line ("runner %s: is back%s", m_id.c_str(),
                       m_listener < 0 ? ", but cannot listen" : "");
    }

    void beat()
    {
        while (true)
        {
            std::string id;
            std::string body;
            {
                const std::lock_guard lock (m_mutex);
                if (! m_isDark)
                {
                    id = m_id;
                    body = "{\"Service\":\"claims-api\",\"Address\":\"" + m_address.text()
                           + "\",\"Zone\":\"z1\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\","
                             "\"ColdRemainingMs\":0,\"Sequence\":"
                           + std::to_string (++m_sequence) + "}";
                }
            }
            if (! id.empty())
                m_cell.control ("POST", "/fernlift/instances/" + id + "/heartbeat", body, 1.0);
            // A new incarnation registers at once.
            const double until = now() + 1.2;
            while (now() < until)
            {
                {
                    const std::lock_guard lock (m_mutex);
                    if (! m_isDark && m_id != id)
                        break;
                }
                sleepFor (0.05);
            }
        }
    }

    Cell& m_cell;
    int m_number;
    Seen& m_seen;
    Address m_address;
    std::mutex m_mutex;
    int m_listener = -1;
    bool m_isDark = false;
    int m_life = 0;
    std::string m_id;
    std::uint64_t m_sequence = 0;
    std::set<int> m_open;
    std::vector<int> m_fillers;
};

}  // namespace

int main()
{
    ::signal (SIGPIPE, SIG_IGN);
    Cell cell (3, kRouters);
    Seen seen;
    cell.startAll();
    std::vector<std::unique_ptr<DeadlyRunner>> runners;
    for (int number = 0; number < kRunners; ++number)
        runners.push_back (std::make_unique<DeadlyRunner> (cell, number, seen));
    if (! cell.replaceConfiguration (configuration()) || ! cell.awaitReady())
        finish (cell, 2, "the cell did not start");
    cell.endBootstrap();
    sleepFor (2.5);
    const double until = now() + kPlayS;

    std::vector<std::thread> clients;
    for (int router = 0; router < kRouters; ++router)
    {
        clients.emplace_back (
            [&, router]
            {
                const Address front = cell.routers[static_cast<std::size_t> (router)].front;
                while (now() < until)
                {
                    static_cast<void> (call (front, "POST", "/status/2f",
                                             { { "Host", "a.example" },
                                               { "X-Fernlift-Request-Id", nextId() },
                                               { "X-Router", std::to_string (router + 1) },
                                               { "X-Fernlift-Request-Deadline", "1500" } },
                                             "sound " + nextId(), 2));
                    sleepFor (0.05);
                }
            });
    }
    if (hasTrouble())
    {
        clients.emplace_back (
            [&]
            {
                sleepFor (2);
                for (int number = 0; now() < until; ++number)
                {
                    const int router = number % kRouters;
                    const std::string id = nextId();
                    const auto answer = call (
                        cell.routers[static_cast<std::size_t> (router)].front, "POST", "/status/2f",
                        { { "Host", "a.example" },
                          { "X-Fernlift-Request-Id", id },
                          { "X-Router", std::to_string (router + 1) },
                          { "X-Fernlift-Request-Deadline", "1500" } },
                        "deadly", 2);
                    record().line ("client: the deadly request %s at front-%d: %s", id.c_str(),
                                   router + 1, answer ? answer->first.c_str() : "no answer");
                    sleepFor (kAgainS);
                }
            });
    }
    for (std::thread& client : clients)
        client.join();

    const std::lock_guard lock (seen.mutex);
    std::size_t late = 0;
    const std::size_t all = seen.crashes.size();
    if (all >= 3)
    {
        const double from = seen.crashes[2].at + kContactS;
        late = static_cast<std::size_t> (
            std::count_if (seen.crashes.begin(), seen.crashes.end(),
                           [&] (const Crash& crash) { return crash.at > from; }));
    }
    char text[300];
    std::snprintf (text, sizeof text,
                   "the deadly request ended runners %zu times, %zu of them later than %.0f s after "
                   "the third, where 3 are allowed; %d sound requests served, %d lost with runners",
                   all, late, kContactS, seen.served, seen.lost);
    if (seen.served < 100)
        finish (cell, 2, std::string ("too few requests served to judge; ") + text);
    finish (cell, late > 3 ? 1 : 0, text);
}
