#pragma once

/// Stand-ins for the platform, its runners, its operator and its clients, and a small deployment of
/// the project's own programs on loopback addresses. Every case is one program that includes this.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace standin
{

using Clock = std::chrono::steady_clock;

inline Clock::time_point& origin()
{
    static Clock::time_point start = Clock::now();
    return start;
}

inline double seconds() { return std::chrono::duration<double> (Clock::now() - origin()).count(); }

inline void sleepFor (double time)
{
    std::this_thread::sleep_for (std::chrono::duration<double> (time));
}

/// The record of the run: what was sent, answered and run.
class Record
{
public:
    static Record& get()
    {
        static Record record;
        return record;
    }
    void open (const std::string& path) { m_file = std::fopen (path.c_str(), "w"); }
    void line (const char* format, ...) __attribute__ ((format (printf, 2, 3)))
    {
        const std::lock_guard lock (m_mutex);
        va_list arguments;
        for (FILE* file : { m_file, stdout })
        {
            if (file == nullptr)
                continue;
            std::fprintf (file, "%8.3f ", seconds());
            va_start (arguments, format);
            std::vfprintf (file, format, arguments);
            va_end (arguments);
            std::fputc ('\n', file);
            std::fflush (file);
        }
    }

private:
    std::mutex m_mutex;
    FILE* m_file = nullptr;
};

#define RECORD(...) ::standin::Record::get().line (__VA_ARGS__)

struct Address
{
    std::string ip;
    int port = 0;
    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string (port); }
};

inline sockaddr_in socketAddress (const Address& address)
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons (static_cast<uint16_t> (address.port));
    ::inet_pton (AF_INET, address.ip.c_str(), &target.sin_addr);
    return target;
}

inline int listenAt (const Address& address, int backlog = 1024)
{
    const int descriptor = ::socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt (descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in target = socketAddress (address);
    if (::bind (descriptor, reinterpret_cast<const sockaddr*> (&target), sizeof target) != 0
        || ::listen (descriptor, backlog) != 0)
    {
        ::close (descriptor);
        return -1;
    }
    return descriptor;
}

inline bool isFree (const Address& address)
{
    const int descriptor = listenAt (address);
    if (descriptor < 0)
        return false;
    ::close (descriptor);
    return true;
}

/// Opens a connection; -1 when it is refused or not open within `timeout` seconds. `segmentBytes`: as
/// on an ordinary network, where a segment has some 1,460 bytes; loopback has 65,483, and its buffers
/// grow with that.
inline int connectTo (const Address& address, double timeout = 1.0, int receiveBuffer = 0,
                      int segmentBytes = 0)
{
    const int descriptor = ::socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return -1;
    const int on = 1;
    ::setsockopt (descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (receiveBuffer > 0)
        ::setsockopt (descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    if (segmentBytes > 0)
        ::setsockopt (descriptor, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes);
    const sockaddr_in target = socketAddress (address);
    if (::connect (descriptor, reinterpret_cast<const sockaddr*> (&target), sizeof target) != 0)
    {
        pollfd waiting{ descriptor, POLLOUT, 0 };
        int error = 0;
        socklen_t length = sizeof error;
        if (errno != EINPROGRESS || ::poll (&waiting, 1, static_cast<int> (timeout * 1000)) != 1
            || ::getsockopt (descriptor, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0)
        {
            ::close (descriptor);
            return -1;
        }
    }
    ::fcntl (descriptor, F_SETFL, ::fcntl (descriptor, F_GETFL) & ~O_NONBLOCK);
    return descriptor;
}

inline bool sendAll (int descriptor, std::string_view bytes)
{
    while (! bytes.empty())
    {
        const ssize_t count = ::send (descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return false;
        bytes.remove_prefix (static_cast<std::size_t> (count));
    }
    return true;
}

struct Message
{
    std::string start;
    std::map<std::string, std::string> fields;  ///< Names in lower case.
    std::string body;
    bool isHeadWhole = false;
    bool isWhole = false;
    std::size_t bodyLength = 0;

    [[nodiscard]] std::string field (const std::string& name) const
    {
        const auto found = fields.find (name);
        return found == fields.end() ? std::string() : found->second;
    }
    [[nodiscard]] int status() const
    {
        return start.size() > 12 ? std::atoi (start.c_str() + 9) : 0;
    }
};

inline void parseHead (const std::string& head, Message& message)
{
    std::istringstream lines (head);
    std::getline (lines, message.start);
    std::string line;
    while (std::getline (lines, line))
    {
        if (! line.empty() && line.back() == '\r')
            line.pop_back();
        const std::size_t colon = line.find (':');
        if (colon == std::string::npos)
            continue;
        std::string name = line.substr (0, colon);
        for (char& character : name)
            character = static_cast<char> (std::tolower (static_cast<unsigned char> (character)));
        std::size_t begin = colon + 1;
        while (begin < line.size() && line[begin] == ' ')
            ++begin;
        message.fields[name] = line.substr (begin);
    }
    message.isHeadWhole = true;
}

/// Reads one message with a length (the routers send a Content-Length for every whole answer). With
/// `pause`, it reads slowly but steadily: `portion` bytes at most in that many seconds.
class Reader
{
public:
    explicit Reader (int descriptor) : m_descriptor (descriptor) {}

    Message read (double timeout, std::size_t portion = 65536, double pause = 0)
    {
        Message message;
        const auto end = Clock::now() + std::chrono::duration<double> (timeout);
        auto next = Clock::now();
        while (true)
        {
            if (! message.isHeadWhole)
            {
                const std::size_t headEnd = m_buffer.find ("\r\n\r\n");
                if (headEnd != std::string::npos)
                {
                    parseHead (m_buffer.substr (0, headEnd + 2), message);
                    m_buffer.erase (0, headEnd + 4);
                    message.bodyLength = std::strtoull (message.field ("content-length").c_str(),
                                                        nullptr, 10);
                }
            }
            if (message.isHeadWhole)
            {
                const std::size_t missing = message.bodyLength - message.body.size();
                const std::size_t taken = std::min (missing, m_buffer.size());
                message.body.append (m_buffer, 0, taken);
                m_buffer.erase (0, taken);
                if (message.body.size() == message.bodyLength)
                {
                    message.isWhole = true;
                    return message;
                }
            }
            const double left = std::chrono::duration<double> (end - Clock::now()).count();
            pollfd waiting{ m_descriptor, POLLIN, 0 };
            if (left <= 0 || ::poll (&waiting, 1, static_cast<int> (left * 1000) + 1) <= 0)
            {
                m_end = "time over";
                return message;
            }
            std::vector<char> bytes (portion);
            const ssize_t count = ::recv (m_descriptor, bytes.data(), bytes.size(), 0);
            if (count <= 0)
            {
                m_end = count == 0 ? "closed" : std::strerror (errno);
                return message;
            }
            m_buffer.append (bytes.data(), static_cast<std::size_t> (count));
            if (pause <= 0)
                continue;
            next = std::max (next, Clock::now() - std::chrono::milliseconds (100))
                   + std::chrono::duration_cast<Clock::duration> (
                       std::chrono::duration<double> (pause));
            std::this_thread::sleep_until (next);
        }
    }
    /// Why the last message is not whole.
    [[nodiscard]] const std::string& end() const { return m_end; }

private:
    int m_descriptor;
    std::string m_buffer;
    std::string m_end;
};

/// One call to the control interface, as runners and the operator make it: tries the nodes in turn
/// and follows redirects.
inline int controlCall (const std::vector<Address>& nodes, const std::string& method,
                        const std::string& path, const std::string& body,
                        std::string* answer = nullptr, std::size_t first = 0)
{
    int last = 0;
    for (std::size_t attempt = 0; attempt < 2 * nodes.size(); ++attempt)
    {
        Address node = nodes[(first + attempt) % nodes.size()];
        for (int hop = 0; hop < 3; ++hop)
        {
            const int descriptor = connectTo (node);
            if (descriptor < 0)
                break;
            sendAll (descriptor, method + " " + path + " HTTP/1.1\r\nHost: " + node.text()
                                     + "\r\nContent-Type: application/json\r\nContent-Length: "
                                     + std::to_string (body.size())
                                     + "\r\nConnection: close\r\n\r\n" + body);
            Reader reader (descriptor);
            const Message message = reader.read (2.5);
            ::close (descriptor);
            last = message.isWhole ? message.status() : 0;
            if (last != 307)
            {
                if (answer != nullptr)
                    *answer = message.body;
                break;
            }
            const std::string location = message.field ("location").substr (7);
            const std::string host = location.substr (0, location.find ('/'));
            node = { host.substr (0, host.find (':')),
                     std::atoi (host.substr (host.find (':') + 1).c_str()) };
        }
        if (last >= 200 && last < 300)
            return last;
        if (last == 400)
            return last;
    }
    return last;
}

/// Fills a template of the deploy folder: the gaps that the two templates use.
inline std::string filled (std::string text, const std::map<std::string, std::string>& values,
                           const std::vector<std::string>& seeds)
{
    const auto span = [&] (const std::string& name, const std::function<std::string (std::string)>& fill)
    {
        const std::string open = "{{#" + name + "}}";
        const std::string close = "{{/" + name + "}}";
        for (std::size_t begin = text.find (open); begin != std::string::npos;
             begin = text.find (open))
        {
            const std::size_t end = text.find (close, begin);
            const std::string inner =
                text.substr (begin + open.size(), end - begin - open.size());
            text.replace (begin, end + close.size() - begin, fill (inner));
        }
    };
    span ("Bounds.QuotaWindowS", [] (const std::string&) { return std::string(); });
    span ("Seeds",
          [&] (const std::string& inner)
          {
              std::string list;
              for (std::size_t index = 0; index < seeds.size(); ++index)
              {
                  std::string item = inner;
                  item.replace (item.find ("{{.}}"), 5, seeds[index]);
                  item.replace (item.find ("{{,}}"), 5, index + 1 < seeds.size() ? "," : "");
                  list += item;
              }
              return list;
          });
    for (const auto& [name, value] : values)
    {
        const std::string gap = "{{" + name + "}}";
        for (std::size_t at = text.find (gap); at != std::string::npos; at = text.find (gap))
            text.replace (at, gap.size(), value);
    }
    return text;
}

inline std::string fileText (const std::string& path)
{
    std::ifstream file (path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Resident memory of a process in MB.
inline double residentMb (pid_t process)
{
    std::istringstream lines (fileText ("/proc/" + std::to_string (process) + "/status"));
    std::string line;
    while (std::getline (lines, line))
    {
        if (line.rfind ("VmRSS:", 0) == 0)
            return std::atof (line.c_str() + 6) / 1024;
    }
    return 0;
}

struct Machine
{
    std::string name;
    std::string ip;
    std::string settings;              ///< Path of the settings file.
    std::vector<std::string> command;  ///< As in the deploy file.
    pid_t process = 0;
    int starts = 0;
};

/// Three controllers and some routers of the project, with the sheet's limits of descriptors.
class Deployment
{
public:
    static constexpr int kControlPort = 8144;
    static constexpr int kFrontPort = 8149;
    static constexpr int kReadyPort = 8141;
    static constexpr int kPeerPort = 7380;
    static constexpr int kLastPeerPort = 7395;
    static constexpr rlim_t kDescriptors = 4100;

    explicit Deployment (int routers)
    {
        const char* const base = std::getenv ("TMPDIR");
        m_folder = (base != nullptr ? std::string (base) : std::string ("/tmp"))
                   + "/fernlift-review-" + std::to_string (::getpid());
        std::filesystem::create_directories (m_folder);
        chooseAddresses (routers);
        std::vector<std::string> seeds;
        for (const Machine& machine : controllers)
            seeds.push_back (Address{ machine.ip, kControlPort }.text());
        for (Machine& machine : controllers)
            write (machine, "deploy/controller.template", seeds);
        for (Machine& machine : this->routers)
            write (machine, "deploy/router.template", seeds);
    }
    ~Deployment() { end(); }
    /// Ends all processes and removes the folder.
    void end()
    {
        for (auto* machines : { &routers, &controllers })
        {
            for (Machine& machine : *machines)
                kill (machine);
        }
        if (std::getenv ("KEEP") == nullptr)
            std::filesystem::remove_all (m_folder);
        else
            std::printf ("kept %s\n", m_folder.c_str());
    }

    void startAll()
    {
        for (auto* machines : { &controllers, &routers })
        {
            for (Machine& machine : *machines)
                start (machine);
        }
    }
    void start (Machine& machine)
    {
        ++machine.starts;
        const std::string log = m_folder + "/" + machine.name + ".log";
        const pid_t child = ::fork();
        if (child == 0)
        {
            const int output = ::open (log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2 (output, 1);
            ::dup2 (output, 2);
            const rlimit limit{ kDescriptors, kDescriptors };
            ::setrlimit (RLIMIT_NOFILE, &limit);
            ::setenv ("FERNLIFT_CONFIG", machine.settings.c_str(), 1);
            std::vector<char*> words;
            for (std::string& word : machine.command)
                words.push_back (word.data());
            words.push_back (nullptr);
            ::execv (words[0], words.data());
            ::_exit (127);
        }
        machine.process = child;
    }
    static void kill (Machine& machine)
    {
        if (machine.process == 0)
            return;
        ::kill (machine.process, SIGKILL);
        ::waitpid (machine.process, nullptr, 0);
        machine.process = 0;
    }
    /// Whether the process has ended by itself; then it is reaped.
    static bool hasEnded (Machine& machine)
    {
        if (machine.process == 0 || ::waitpid (machine.process, nullptr, WNOHANG) == 0)
            return false;
        machine.process = 0;
        return true;
    }
    [[nodiscard]] std::vector<Address> control() const
    {
        std::vector<Address> nodes;
        for (const Machine& machine : controllers)
            nodes.push_back ({ machine.ip, kControlPort });
        return nodes;
    }
    [[nodiscard]] Address front (std::size_t router) const
    {
        return { routers[router].ip, kFrontPort };
    }
    [[nodiscard]] bool isReady (std::size_t router) const
    {
        const int descriptor = connectTo ({ routers[router].ip, kReadyPort }, 0.5);
        if (descriptor < 0)
            return false;
        sendAll (descriptor, "GET /fernlift/readiness HTTP/1.1\r\nHost: ready\r\n"
                             "Connection: close\r\n\r\n");
        Reader reader (descriptor);
        const Message message = reader.read (0.5);
        ::close (descriptor);
        return message.status() == 200;
    }
    /// Waits until every router is ready.
    [[nodiscard]] bool waitReady (double timeout) const
    {
        const auto end = Clock::now() + std::chrono::duration<double> (timeout);
        while (Clock::now() < end)
        {
            bool areAll = true;
            for (std::size_t router = 0; router < routers.size(); ++router)
                areAll = areAll && isReady (router);
            if (areAll)
                return true;
            sleepFor (0.2);
        }
        return false;
    }
    /// Address for a runner.
    [[nodiscard]] Address runnerAddress (int number) const
    {
        return { m_network + std::to_string (100 + number), 8080 };
    }
    [[nodiscard]] const std::string& folder() const { return m_folder; }

    std::vector<Machine> controllers;
    std::vector<Machine> routers;

private:
    void chooseAddresses (int routerCount)
    {
        int net = static_cast<int> (::getpid() % 60000);
        while (true)
        {
            m_network = "127." + std::to_string (1 + net / 250 % 250) + "."
                        + std::to_string (net % 250) + ".";
            bool areFree = true;
            for (int host = 1; host <= 3 + routerCount; ++host)
            {
                for (const int port :
                     { kControlPort, kFrontPort, kReadyPort, kPeerPort, kLastPeerPort, 9100, 9101 })
                    areFree = areFree && isFree ({ m_network + std::to_string (host), port });
            }
            if (areFree)
                break;
            ++net;
        }
        for (int host = 1; host <= 3; ++host)
            controllers.push_back ({ "core-" + std::to_string (host),
                                     m_network + std::to_string (host), "",
                                     { "target/bin/fernlift-controller" } });
        for (int host = 4; host < 4 + routerCount; ++host)
            routers.push_back ({ "front-" + std::to_string (host - 3),
                                 m_network + std::to_string (host), "",
                                 { "target/bin/fernlift-router", "forward" } });
    }
    void write (Machine& machine, const std::string& templatePath,
                const std::vector<std::string>& seeds)
    {
        const std::map<std::string, std::string> values{
            { "Zone", "surco" },
            { "NodeName", machine.name },
            { "DataDir", m_folder + "/" + machine.name },
            { "Ip", machine.ip },
            { "InternalPorts.0", std::to_string (kPeerPort) },
            { "InternalPorts.1", std::to_string (kLastPeerPort) },
            { "Listen.Control", Address{ machine.ip, kControlPort }.text() },
            { "Listen.Front", Address{ machine.ip, kFrontPort }.text() },
            { "Listen.Ready", Address{ machine.ip, kReadyPort }.text() },
            { "Bootstrap", "true" },
            { "Bounds.LeaseMs", "3000" },
            { "Bounds.RetryBudgetRatio", "0.2" },
            { "Bounds.BudgetSlack", "54" }
        };
        machine.settings = m_folder + "/" + machine.name + ".toml";
        std::ofstream (machine.settings) << filled (fileText (templatePath), values, seeds);
    }

    std::string m_folder;
    std::string m_network;
};

/// A sound runner of a registered service. It tells the controllers of itself, checks the target
/// instance, runs a request once it has read it, and answers with its id and its signature.
class Runner
{
public:
    struct Behaviour
    {
        std::size_t slots = 6;
        std::size_t answerBytes = 800;
        double work = 0.03;                 ///< Seconds that a request takes.
        std::size_t readPortion = 65536;    ///< Bytes that are read at a time.
        std::atomic<double> readPause = 0;  ///< Rest after each portion; 0: reads at once.
        int receiveBuffer = 0;
    };

    Runner (std::string id, std::string service, Address address, std::vector<Address> nodes,
            Behaviour* behaviour)
        : m_id (std::move (id)),
          m_service (std::move (service)),
          m_address (std::move (address)),
          m_nodes (std::move (nodes)),
          m_behaviour (behaviour)
    {
        m_listener = listenAt (m_address);
        std::thread ([this] { acceptAll(); }).detach();
        std::thread ([this] { beat(); }).detach();
    }
    /// Requests that were run, by their ids.
    std::map<std::string, int> runs()
    {
        const std::lock_guard lock (m_mutex);
        return m_runs;
    }
    /// When the last byte of the answer to a request was taken from the runner; 0: not yet, or the
    /// connection was closed before.
    double endOf (const std::string& id)
    {
        const std::lock_guard lock (m_mutex);
        const auto found = m_ends.find (id);
        return found == m_ends.end() ? 0 : found->second;
    }
    [[nodiscard]] bool isRegistered() const { return m_isRegistered; }
    [[nodiscard]] bool isListening() const { return m_listener >= 0; }
    std::atomic<bool> logs = true;

private:
    void acceptAll()
    {
        while (true)
        {
            const int descriptor = ::accept4 (m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            if (m_behaviour->receiveBuffer > 0)
                ::setsockopt (descriptor, SOL_SOCKET, SO_RCVBUF, &m_behaviour->receiveBuffer,
                              sizeof m_behaviour->receiveBuffer);
            std::thread ([this, descriptor] { serve (descriptor); }).detach();
        }
    }
    void serve (int descriptor)
    {
        Reader reader (descriptor);
        while (true)
        {
            const Message request =
                reader.read (60, m_behaviour->readPortion, m_behaviour->readPause);
            if (! request.isWhole)
                break;
            if (! sendAll (descriptor, answerTo (request)))
                break;
            const std::lock_guard lock (m_mutex);
            m_ends[request.field ("x-fernlift-request-id")] = seconds();
        }
        ::close (descriptor);
    }
    std::string answerTo (const Message& request)
    {
        const std::string target = request.field ("x-fernlift-target-instance");
        const std::string id = request.field ("x-fernlift-request-id");
        if (request.start.rfind ("GET /health", 0) == 0)
            return "HTTP/1.1 200 OK\r\nX-Fernlift-Instance-Id: " + m_id
                   + "\r\nContent-Length: 0\r\n\r\n";
        if (! target.empty() && target != m_id)
            return "HTTP/1.1 421 Misdirected\r\nX-Fernlift-Not-Executed: 1\r\n"
                   "X-Fernlift-Request-Id: "
                   + id + "\r\nContent-Length: 0\r\n\r\n";
        {
            const std::lock_guard lock (m_mutex);
            ++m_runs[id];
        }
        if (logs)
            RECORD ("run      %s runs %s (body of %zu bytes)", m_id.c_str(), id.c_str(),
                    request.body.size());
        sleepFor (m_behaviour->work);
        return "HTTP/1.1 200 OK\r\nX-Fernlift-Request-Id: " + id
               + "\r\nX-Fernlift-Response-Signature: " + m_id + "." + id
               + "\r\nKeep-Alive: timeout=15\r\nContent-Length: "
               + std::to_string (m_behaviour->answerBytes) + "\r\n\r\n"
               + std::string (m_behaviour->answerBytes, 'x');
    }
    void beat()
    {
        for (int sequence = 1;; ++sequence)
        {
            const std::string body =
                R"({"Service":")" + m_service + R"(","Address":")" + m_address.text()
                + R"(","Zone":"surco","Version":"v1","Slots":)"
                + std::to_string (m_behaviour->slots)
                + R"(,"State":"ready","ColdRemainingMs":0,"Sequence":)" + std::to_string (sequence)
                + "}";
            const int status = controlCall (
                m_nodes, "POST", "/fernlift/instances/" + m_id + "/heartbeat", body, nullptr,
                static_cast<std::size_t> (sequence));
            if (status == 200)
                m_isRegistered = true;
            sleepFor (status == 200 ? 1.2 : 0.3);
        }
    }

    const std::string m_id;
    const std::string m_service;
    const Address m_address;
    const std::vector<Address> m_nodes;
    Behaviour* const m_behaviour;
    int m_listener = -1;
    std::atomic<bool> m_isRegistered = false;
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    std::map<std::string, double> m_ends;
};

/// A configuration of one service with one route.
inline std::string configuration (int version, const std::string& type, int timeoutMs)
{
    return R"({"Version":)" + std::to_string (version)
           + R"(,"Routes":[{"Name":"r-status","Host":"ficu95.example","PathPrefix":"/puxa403/",)"
             R"("Type":")"
           + type + R"(","TimeoutMs":)" + std::to_string (timeoutMs)
           + R"(,"TargetLatencyMs":150,"Priority":2,"Service":"wuno96b","MaxAttempts":1}],)"
             R"("Services":[{"Name":"wuno96b","HealthPath":"/health","MaxConnections":100,)"
             R"("Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,)"
             R"("MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

/// The operator: sends the configuration until it is taken.
inline bool configure (const std::vector<Address>& nodes, const std::string& text, double timeout)
{
    const auto end = Clock::now() + std::chrono::duration<double> (timeout);
    while (Clock::now() < end)
    {
        if (controlCall (nodes, "POST", "/fernlift/config/replace", text) == 200)
            return true;
        sleepFor (0.2);
    }
    return false;
}

inline std::string requestText (const std::string& id, int deadlineMs, const std::string& more,
                                const std::string& body)
{
    return "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Fernlift-Request-Id: " + id
           + "\r\nX-Fernlift-Request-Deadline: " + std::to_string (deadlineMs) + "\r\n" + more
           + "Content-Length: " + std::to_string (body.size()) + "\r\n\r\n" + body;
}

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

/// Prepares a case: records, limits, and the working folder (the root of the repository).
inline bool prepare (const char* recordPath)
{
    origin();
    ::signal (SIGPIPE, SIG_IGN);
    rlimit limit{};
    ::getrlimit (RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit (RLIMIT_NOFILE, &limit);
    Record::get().open (recordPath);
    return ::access ("target/bin/fernlift-router", X_OK) == 0
           && ::access ("target/bin/fernlift-controller", X_OK) == 0;
}

inline bool hasTrouble()
{
    const char* const trouble = std::getenv ("TROUBLE");
    return trouble == nullptr || std::strcmp (trouble, "0") != 0;
}

}  // namespace standin
