/// A release of a service's runners while routers are restarted in turn: streams that clients take up
/// again. See claim.txt.

#include <algorithm>
#include <set>

#include "../standin/Standin.h"

using namespace standin;

namespace
{

constexpr int kStreams = 4;
constexpr int kDeadlineMs = 15'000;  // And the route's TimeoutMs.
constexpr int kEvents = 50;
constexpr double kEventPause = 0.2;   // The route allows pauses of 300 ms.
constexpr double kServesOnFor = 6;    // Of a runner after its deregistration; DrainMs is 2 s.
constexpr double kGrace = 8;          // GraceS.
constexpr double kRestartDelay = 0.1;

/// A runner of one software version, which writes that version into its events.
class StreamRunner
{
public:
    StreamRunner (std::string id, std::string version, Address address, std::vector<Address> nodes)
        : m_id (std::move (id)),
          m_version (std::move (version)),
          m_address (std::move (address)),
          m_nodes (std::move (nodes)),
          m_listener (listenAt (m_address))
    {
        std::thread ([this] { acceptAll(); }).detach();
        std::thread ([this] { beat(); }).detach();
    }
    [[nodiscard]] bool isRegistered() const { return m_isRegistered; }
    /// Says that it leaves, without having drained before; serves on.
    int deregister()
    {
        m_isLeaving = true;
        return controlCall (m_nodes, "POST", "/fernlift/instances/" + m_id + "/deregister", "{}");
    }
    /// The process ends, with what it is running.
    void end()
    {
        m_isOver = true;
        ::shutdown (m_listener, SHUT_RDWR);
        const std::lock_guard lock (m_mutex);
        for (const int connection : m_connections)
            ::shutdown (connection, SHUT_RDWR);
    }

private:
    void acceptAll()
    {
        while (! m_isOver)
        {
            const int connection = ::accept4 (m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
                continue;
            {
                const std::lock_guard lock (m_mutex);
                m_connections.insert (connection);
            }
            std::thread ([this, connection] { serve (connection); }).detach();
        }
        ::close (m_listener);
    }
    void serve (int connection)
    {
        Reader reader (connection);
        while (! m_isOver)
        {
            const Message request = reader.read (60);
            if (! request.isWhole || ! answer (connection, request))
                break;
        }
        const std::lock_guard lock (m_mutex);
        m_connections.erase (connection);
        ::close (connection);
    }
    bool answer (int connection, const Message& request)
    {
        const std::string id = request.field ("x-fernlift-request-id");
        const std::string target = request.field ("x-fernlift-target-instance");
        if (request.start.rfind ("GET /health", 0) == 0)
            return sendAll (connection, "HTTP/1.1 200 OK\r\nX-Fernlift-Instance-Id: " + m_id
                                            + "\r\nContent-Length: 0\r\n\r\n");
        if (! target.empty() && target != m_id)
            return sendAll (connection, "HTTP/1.1 421 X\r\nX-Fernlift-Not-Executed: 1\r\n"
                                        "X-Fernlift-Request-Id: "
                                            + id + "\r\nContent-Length: 0\r\n\r\n");
        const int last = std::atoi (request.field ("last-event-id").c_str());
        RECORD ("run      %s (%s) runs %s from event %d", m_id.c_str(), m_version.c_str(), id.c_str(),
                last + 1);
        bool isSent = sendAll (
            connection, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\nX-Fernlift-Request-Id: "
                            + id + "\r\nX-Fernlift-Response-Signature: " + m_id + "." + id
                            + "\r\n\r\n");
        for (int event = last + 1; event <= kEvents && isSent; ++event)
        {
            const std::string text =
                "id: " + std::to_string (event) + "\ndata: " + m_version + "\n\n";
            char length[16];
            std::snprintf (length, sizeof length, "%zx\r\n", text.size());
            isSent = ! m_isOver && sendAll (connection, length + text + "\r\n");
            sleepFor (kEventPause);
        }
        return isSent && sendAll (connection, "0\r\n\r\n");
    }
    void beat()
    {
        for (int sequence = 1; ! m_isOver && ! m_isLeaving; ++sequence)
        {
            const std::string body =
                R"({"Service":"huvo11a","Address":")" + m_address.text()
                + R"(","Zone":"surco","Version":")" + m_version
                + R"(","Slots":64,"State":"ready","ColdRemainingMs":0,"Sequence":)"
                + std::to_string (sequence) + "}";
            const int status = controlCall (
                m_nodes, "POST", "/fernlift/instances/" + m_id + "/heartbeat", body, nullptr,
                static_cast<std::size_t> (sequence));
            m_isRegistered = m_isRegistered || status == 200;
            sleepFor (status == 200 ? 1.2 : 0.2);
        }
    }

    const std::string m_id;
    const std::string m_version;
    const Address m_address;
    const std::vector<Address> m_nodes;
    const int m_listener;
    std::atomic<bool> m_isRegistered = false;
    std::atomic<bool> m_isLeaving = false;
    std::atomic<bool> m_isOver = false;
    std::mutex m_mutex;
    std::set<int> m_connections;
};

std::string streamConfiguration()
{
    return R"({"Version":7,"Routes":[{"Name":"r-hh2b9wu","Host":"ficu95.example",)"
           R"("PathPrefix":"/pufi791/","Type":"streaming","TimeoutMs":15000,"TargetLatencyMs":5000,)"
           R"("Priority":1,"Service":"huvo11a","MaxAttempts":2,"Sticky":true,"Resumable":true,)"
           R"("GapTargetMs":300}],"Services":[{"Name":"huvo11a","HealthPath":"/health",)"
           R"("MaxConnections":360,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,)"
           R"("MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

/// What a client has of one stream, over all its tries.
struct Stream
{
    std::string id;
    int lastEvent = 0;
    std::set<std::string> versions;
    bool isWhole = false;
};

/// One try: sends the request and takes whole events until the answer ends. Returns the status.
int follow (const Address& front, const std::string& id, const std::string& resumed, int deadlineMs,
            Stream& stream)
{
    const int connection = connectTo (front);
    if (connection < 0)
        return 0;
    std::string more;
    if (! resumed.empty())
        more = "Last-Event-Id: " + std::to_string (stream.lastEvent) + "\r\nResumes: " + resumed
               + "\r\n";
    sendAll (connection, "POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
                         "X-Fernlift-Request-Id: "
                             + id + "\r\nX-Fernlift-Request-Deadline: " + std::to_string (deadlineMs)
                             + "\r\n" + more + "Content-Length: 2\r\n\r\n{}");
    std::string answer;
    std::size_t taken = 0;
    char bytes[4096];
    const double end = seconds() + deadlineMs / 1000.0;
    while (seconds() < end && ! stream.isWhole)
    {
        pollfd waiting{ connection, POLLIN, 0 };
        if (::poll (&waiting, 1, 100) <= 0)
            continue;
        const ssize_t count = ::recv (connection, bytes, sizeof bytes, 0);
        if (count <= 0)
            break;
        answer.append (bytes, static_cast<std::size_t> (count));
        for (std::size_t at = answer.find ("id: ", taken); at != std::string::npos;
             at = answer.find ("id: ", taken))
        {
            const std::size_t close = answer.find ("\n\n", at);
            if (close == std::string::npos)
                break;
            const std::size_t data = answer.find ("data: ", at) + 6;
            stream.lastEvent = std::atoi (answer.c_str() + at + 4);
            stream.versions.insert (answer.substr (data, close - data));
            taken = close;
        }
        stream.isWhole = answer.ends_with ("0\r\n\r\n");
        if (answer.size() > 12 && std::atoi (answer.c_str() + 9) != 200)
            break;
    }
    ::close (connection);
    return answer.size() > 12 ? std::atoi (answer.c_str() + 9) : 0;
}

}  // namespace

int main()
{
    if (! prepare ("review/1/record.txt"))
        return kNotRun;
    Deployment deployment (2);
    deployment.startAll();
    StreamRunner earlier ("i-7f3a91c2", "v1", deployment.runnerAddress (1), deployment.control());
    const auto stop = [&] (int code)
    {
        deployment.end();
        std::fflush (nullptr);
        ::_exit (code);  // The threads of the stand-ins go with the process.
    };
    const bool isUp = configure (deployment.control(), streamConfiguration(), 20)
                      && deployment.waitReady (20);
    for (int wait = 0; wait < 100 && ! earlier.isRegistered(); ++wait)
        sleepFor (0.1);
    if (! isUp || ! earlier.isRegistered())
    {
        RECORD ("the deployment did not come up");
        stop (kNotRun);
    }
    sleepFor (3.5);

    std::vector<Stream> streams (kStreams);
    std::vector<std::thread> clients;
    for (int number = 0; number < kStreams; ++number)
    {
        clients.emplace_back (
            [&, number]
            {
                Stream& stream = streams[number];
                stream.id = "9c41d07be2a35f6" + std::to_string (number);
                RECORD ("sent     %s to front-1", stream.id.c_str());
                const double begin = seconds();
                int status = follow (deployment.front (0), stream.id, "", kDeadlineMs, stream);
                RECORD ("answered %s: status %d, up to event %d, %s", stream.id.c_str(), status,
                        stream.lastEvent, stream.isWhole ? "whole" : "broken off");
                if (stream.isWhole || stream.lastEvent == 0)
                    return;
                // A retry reaches another node.
                const std::string id = "9c41d07be2a35f7" + std::to_string (number);
                RECORD ("sent     %s to front-2: resumes %s after event %d", id.c_str(),
                        stream.id.c_str(), stream.lastEvent);
                const int left = kDeadlineMs - static_cast<int> ((seconds() - begin) * 1000);
                status = follow (deployment.front (1), id, stream.id, left, stream);
                RECORD ("answered %s: status %d, up to event %d, %s", id.c_str(), status,
                        stream.lastEvent, stream.isWhole ? "whole" : "not whole");
            });
    }
    sleepFor (0.7);
    // The release: the new runner starts first, the old one leaves.
    StreamRunner later ("i-50b7e1d4", "v2", deployment.runnerAddress (2), deployment.control());
    for (int wait = 0; wait < 50 && ! later.isRegistered(); ++wait)
        sleepFor (0.1);
    const int left = earlier.deregister();
    const double leftAt = seconds();
    RECORD ("release  i-50b7e1d4 (v2) is registered, i-7f3a91c2 (v1) says that it leaves (%d) and serves on", left);
    if (hasTrouble())
    {
        Machine& router = deployment.routers[1];
        RECORD ("platform sends SIGTERM to front-2");
        ::kill (router.process, SIGTERM);
        bool hasEnded = false;
        for (const double since = seconds(); seconds() < since + kGrace && ! hasEnded;)
        {
            sleepFor (0.02);
            hasEnded = Deployment::hasEnded (router);
        }
        Deployment::kill (router);
        sleepFor (kRestartDelay);
        deployment.start (router);
        const bool isReady = deployment.waitReady (5);
        RECORD ("platform has started front-2 again; it is %s", isReady ? "ready" : "not ready");
    }
    sleepFor (std::max (0.0, leftAt + kServesOnFor - seconds()));
    RECORD ("release  i-7f3a91c2 (v1) ends");
    earlier.end();
    for (std::thread& client : clients)
        client.join();

    // ORDER: more than two streams hold events from runners of two software versions of one service, in
    // one answer or over a client's tries.
    int mixed = 0;
    for (const Stream& stream : streams)
    {
        std::string versions;
        for (const std::string& version : stream.versions)
            versions += " " + version;
        mixed += stream.versions.size() > 1 ? 1 : 0;
        RECORD ("stream   %s: events to %d from runners of%s, %s", stream.id.c_str(), stream.lastEvent,
                versions.c_str(), stream.isWhole ? "told to be whole" : "not whole");
    }
    RECORD ("%d streams hold events of two software versions, 2 allowed: ORDER is %s", mixed,
            mixed > 2 ? "broken" : "not broken");
    stop (mixed > 2 ? kBroken : kHeld);
}
