#pragma once

// Parts of the cases of this review: the project's processes on loopback addresses, with the settings
// that the templates in deploy/ give them, and small stand-ins for clients, runners, the operator and
// the platform. Threads with blocking sockets; no library beyond the C++ standard library and POSIX.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace trial
{

/// Seconds since the start of the case.
inline double now()
{
    static const auto begin = std::chrono::steady_clock::now();
    return std::chrono::duration<double> (std::chrono::steady_clock::now() - begin).count();
}

inline void sleepFor (double seconds)
{
    std::this_thread::sleep_for (std::chrono::duration<double> (seconds));
}

/// The record of what was sent, answered and run.
class Record
{
public:
    explicit Record (const std::string& path) : m_file (std::fopen (path.c_str(), "w")) {}

    void line (const char* format, ...) __attribute__ ((format (printf, 2, 3)))
    {
        char text[1024];
        va_list arguments;
        va_start (arguments, format);
        std::vsnprintf (text, sizeof text, format, arguments);
        va_end (arguments);
        const std::lock_guard lock (m_mutex);
        std::fprintf (m_file, "%8.3f %s\n", now(), text);
        std::fflush (m_file);
    }

private:
    std::FILE* m_file;
    std::mutex m_mutex;
};

inline Record& record()
{
    static Record instance (std::getenv ("RECORD") ? std::getenv ("RECORD") : "record.txt");
    return instance;
}

inline bool hasTrouble()
{
    const char* const value = std::getenv ("TROUBLE");
    return value == nullptr || std::string (value) != "0";
}

struct Address
{
    std::string host;
    int port = 0;
    std::string text() const { return host + ":" + std::to_string (port); }
};

inline sockaddr_in toSocket (const Address& address)
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons (static_cast<std::uint16_t> (address.port));
    ::inet_pton (AF_INET, address.host.c_str(), &target.sin_addr);
    return target;
}

inline bool awaitSocket (int socket, short events, double deadline)
{
    pollfd item{ socket, events, 0 };
    const double left = std::max (deadline - now(), 0.0);
    return ::poll (&item, 1, static_cast<int> (left * 1000) + 1) > 0;
}

/// Connected blocking socket; -1 if there was none in time.
inline int connectTo (const Address& address, double timeout, int receiveBuffer = 0)
{
    const int socket = ::socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return -1;
    if (receiveBuffer > 0)
        ::setsockopt (socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    const sockaddr_in target = toSocket (address);
    const int status =
        ::connect (socket, reinterpret_cast<const sockaddr*> (&target), sizeof target);
    if (status != 0 && (errno != EINPROGRESS || ! awaitSocket (socket, POLLOUT, now() + timeout)))
    {
        ::close (socket);
        return -1;
    }
    int error = 0;
    socklen_t length = sizeof error;
    ::getsockopt (socket, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0)
    {
        ::close (socket);
        return -1;
    }
    ::fcntl (socket, F_SETFL, ::fcntl (socket, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt (socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

inline int listenOn (const std::string& host, int port, int* chosen = nullptr)
{
    const int socket = ::socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt (socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in own = toSocket ({ host, port });
    if (::bind (socket, reinterpret_cast<const sockaddr*> (&own), sizeof own) != 0
        || ::listen (socket, 1024) != 0)
    {
        ::close (socket);
        return -1;
    }
    socklen_t length = sizeof own;
    ::getsockname (socket, reinterpret_cast<sockaddr*> (&own), &length);
    if (chosen != nullptr)
        *chosen = ntohs (own.sin_port);
    return socket;
}

inline int freePort (const std::string& host)
{
    int port = 0;
    const int socket = listenOn (host, 0, &port);
    ::close (socket);
    return port;
}

inline bool equalNames (const std::string& left, const std::string& right)
{
    return ::strcasecmp (left.c_str(), right.c_str()) == 0;
}

using Fields = std::vector<std::pair<std::string, std::string>>;

struct Message
{
    std::string first;
    Fields fields;
    std::string body;

    std::string field (const std::string& name) const
    {
        for (const auto& [key, value] : fields)
        {
            if (equalNames (key, name))
                return value;
        }
        return {};
    }
    bool has (const std::string& name) const
    {
        return std::any_of (fields.begin(), fields.end(),
                            [&] (const auto& item) { return equalNames (item.first, name); });
    }
    int status() const { return first.size() > 12 ? std::atoi (first.c_str() + 9) : 0; }
    std::string method() const { return first.substr (0, first.find (' ')); }
    std::string path() const
    {
        const std::size_t begin = first.find (' ') + 1;
        return first.substr (begin, first.find (' ', begin) - begin);
    }
};

/// One end of a connection.
class Connection
{
public:
    explicit Connection (int socket) : m_socket (socket) {}
    Connection (const Connection&) = delete;
    Connection& operator= (const Connection&) = delete;
    ~Connection() { close(); }

    void close()
    {
        if (m_socket >= 0)
            ::close (m_socket);
        m_socket = -1;
    }
    bool isOpen() const { return m_socket >= 0; }
    int socket() const { return m_socket; }

    bool write (const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size())
        {
            const ssize_t count =
                ::send (m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count < 0 && errno == EINTR)
                continue;
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t> (count);
        }
        return true;
    }

    /// Whether the peer has closed or reset the connection, without waiting.
    bool isClosedByPeer()
    {
        pollfd item{ m_socket, POLLIN, 0 };
        if (::poll (&item, 1, 0) <= 0)
            return false;
        char byte = 0;
        return ::recv (m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
    }

    /// Reads a whole message. False: closed, reset or not whole by the deadline; isEnded() then says
    /// whether the peer had ended the connection.
    bool read (Message& message, double deadline, bool isAnswer)
    {
        message = {};
        std::size_t end = std::string::npos;
        while ((end = m_buffer.find ("\r\n\r\n")) == std::string::npos)
        {
            if (! more (deadline))
                return false;
        }
        parseHead (m_buffer.substr (0, end), message);
        m_buffer.erase (0, end + 4);
        const bool isInterim = isAnswer && message.status() >= 100 && message.status() < 200;
        if (isInterim)
            return read (message, deadline, isAnswer);
        if (equalNames (message.field ("Transfer-Encoding"), "chunked"))
            return readChunks (message, deadline);
        if (message.has ("Content-Length"))
            return readLength (message, std::strtoul (message.field ("Content-Length").c_str(),
                                                      nullptr, 10),
                               deadline);
        if (! isAnswer || message.status() == 204 || message.status() == 304)
            return true;
        while (more (deadline))
        {
        }
        message.body = std::exchange (m_buffer, {});
        return m_isEnded && ! m_isReset;
    }
    bool isEnded() const { return m_isEnded; }

private:
    static void parseHead (const std::string& text, Message& message)
    {
        std::istringstream lines (text);
        std::string line;
        while (std::getline (lines, line))
        {
            if (! line.empty() && line.back() == '\r')
                line.pop_back();
            if (message.first.empty())
            {
                message.first = line;
                continue;
            }
            const std::size_t colon = line.find (':');
            if (colon == std::string::npos)
                continue;
            std::size_t begin = colon + 1;
            while (begin < line.size() && line[begin] == ' ')
                ++begin;
            message.fields.emplace_back (line.substr (0, colon), line.substr (begin));
        }
    }
    bool more (double deadline)
    {
        if (m_socket < 0 || m_isEnded || ! awaitSocket (m_socket, POLLIN, deadline)
            || now() >= deadline)
            return false;
        char bytes[65536];
        const ssize_t count = ::recv (m_socket, bytes, sizeof bytes, 0);
        if (count <= 0)
        {
            m_isEnded = true;
            m_isReset = count < 0;
            return false;
        }
        m_buffer.append (bytes, static_cast<std::size_t> (count));
        return true;
    }
    bool readLength (Message& message, std::size_t length, double deadline)
    {
        while (m_buffer.size() < length)
        {
            if (! more (deadline))
                return false;
        }
        message.body = m_buffer.substr (0, length);
        m_buffer.erase (0, length);
        return true;
    }
    bool readChunks (Message& message, double deadline)
    {
        while (true)
        {
            std::size_t end = std::string::npos;
            while ((end = m_buffer.find ("\r\n")) == std::string::npos)
            {
                if (! more (deadline))
                    return false;
            }
            const std::size_t size = std::strtoul (m_buffer.c_str(), nullptr, 16);
            m_buffer.erase (0, end + 2);
            while (m_buffer.size() < size + 2)
            {
                if (! more (deadline))
                    return false;
            }
            message.body.append (m_buffer, 0, size);
            m_buffer.erase (0, size + 2);
            if (size == 0)
                return true;
        }
    }

    int m_socket;
    std::string m_buffer;
    bool m_isEnded = false;
    bool m_isReset = false;
};

inline std::string requestText (const std::string& method, const std::string& path,
                                const Fields& fields, const std::string& body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : fields)
        text += name + ": " + value + "\r\n";
    if (! body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string (body.size()) + "\r\n";
    return text + "\r\n" + body;
}

inline std::string answerText (int status, const Fields& fields, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string (status) + " X\r\n";
    for (const auto& [name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string (body.size()) + "\r\n\r\n" + body;
}

inline std::optional<Message> call (const Address& address, const std::string& method,
                                    const std::string& path, Fields fields, const std::string& body,
                                    double timeout)
{
    const double deadline = now() + timeout;
    Connection connection (connectTo (address, timeout));
    if (! connection.isOpen())
        return std::nullopt;
    const bool hasHost = std::any_of (fields.begin(), fields.end(), [] (const auto& item) { return equalNames (item.first, "Host"); });
    if (! hasHost)
        fields.insert (fields.begin(), { "Host", address.text() });
    Message answer;
    if (! connection.write (requestText (method, path, fields, body))
        || ! connection.read (answer, deadline, true))
        return std::nullopt;
    return answer;
}

/// A process of the project, started like the platform does.
class Process
{
public:
    Process (std::string name, std::vector<std::string> command, std::string settingsPath,
             std::string logPath)
        : m_name (std::move (name)),
          m_command (std::move (command)),
          m_settingsPath (std::move (settingsPath)),
          m_logPath (std::move (logPath))
    {
    }

    void setMaxDescriptors (rlim_t count) { m_maxDescriptors = count; }

    void start()
    {
        const pid_t pid = ::fork();
        if (pid == 0)
        {
            ::prctl (PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open (m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2 (log, 1);
            ::dup2 (log, 2);
            ::setenv ("FERNLIFT_CONFIG", m_settingsPath.c_str(), 1);
            if (m_maxDescriptors != 0)
            {
                const rlimit limit{ m_maxDescriptors, m_maxDescriptors };
                ::setrlimit (RLIMIT_NOFILE, &limit);
            }
            std::vector<char*> words;
            for (std::string& word : m_command)
                words.push_back (word.data());
            words.push_back (nullptr);
            ::execv (words.front(), words.data());
            ::_exit (127);
        }
        m_pid = pid;
        record().line ("platform: starts %s", m_name.c_str());
    }
    void signal (int number)
    {
        if (m_pid > 0)
            ::kill (m_pid, number);
    }
    void killAndReap()
    {
        if (m_pid <= 0)
            return;
        ::kill (m_pid, SIGKILL);
        ::waitpid (m_pid, nullptr, 0);
        m_pid = -1;
    }
    /// Whether the process has ended by itself; reaps it.
    bool hasEnded()
    {
        if (m_pid <= 0 || ::waitpid (m_pid, nullptr, WNOHANG) != m_pid)
            return false;
        m_pid = -1;
        return true;
    }
    double residentMb() const
    {
        std::ifstream file ("/proc/" + std::to_string (m_pid) + "/statm");
        double all = 0;
        double resident = 0;
        file >> all >> resident;
        return resident * static_cast<double> (::sysconf (_SC_PAGESIZE)) / 1048576.0;
    }
    std::size_t descriptors() const
    {
        std::size_t count = 0;
        const std::string folder = "/proc/" + std::to_string (m_pid) + "/fd/";
        for (rlim_t number = 0; number < (m_maxDescriptors ? m_maxDescriptors : 4100); ++number)
            count += ::access ((folder + std::to_string (number)).c_str(), F_OK) == 0 ? 1 : 0;
        return count;
    }
    const std::string& name() const { return m_name; }
    pid_t pid() const { return m_pid; }

private:
    std::string m_name;
    std::vector<std::string> m_command;
    std::string m_settingsPath;
    std::string m_logPath;
    rlim_t m_maxDescriptors = 0;
    pid_t m_pid = -1;
};

struct RouterMachine
{
    Address front;
    Address ready;
    std::unique_ptr<Process> process;
};

struct ControllerMachine
{
    Address control;
    std::unique_ptr<Process> process;
};

/// Controllers and routers, each on a loopback address of its own, with the ports of the templates.
class Cell
{
public:
    Cell (int controllers, int routers)
    {
        std::random_device device;
        m_net = "127." + std::to_string (20 + device() % 200) + "."
                + std::to_string (1 + device() % 250) + ".";
        const char* const base = std::getenv ("TMPDIR");
        std::string pattern = std::string (base ? base : "/tmp") + "/fernlift-case-XXXXXX";
        m_folder = ::mkdtemp (pattern.data());
        const std::string first = hostOf (1);
        m_peerPort = freePort (first);
        m_controlPort = freePort (first);
        std::string seeds;
        for (int number = 1; number <= std::min (controllers, 3); ++number)
        {
            seeds += std::string (seeds.empty() ? "" : ", ") + "\"" + hostOf (number) + ":"
                     + std::to_string (m_controlPort) + "\"";
        }
        for (int number = 1; number <= controllers; ++number)
            addController (number, seeds);
        const std::string front = hostOf (100);
        m_frontPort = freePort (front);
        m_readyPort = freePort (front);
        m_routerPort = freePort (front);
        for (int number = 0; number < routers; ++number)
            addRouter (100 + number, seeds);
    }
    ~Cell()
    {
        for (auto& router : routers)
            router.process->killAndReap();
        for (auto& controller : controllers)
            controller.process->killAndReap();
        if (std::getenv ("KEEP") == nullptr)
        {
            const std::string remove = "rm -rf '" + m_folder + "'";
            if (std::system (remove.c_str()) != 0)
                record().line ("the folder of the case could not be removed");
        }
    }

    std::string hostOf (int number) const { return m_net + std::to_string (number); }
    const std::string& folder() const { return m_folder; }

    void startAll()
    {
        for (auto& controller : controllers)
            controller.process->start();
        for (auto& router : routers)
            router.process->start();
    }

    /// Calls one node that serves control after the other, as runners and the operator do.
    std::optional<Message> control (const std::string& method, const std::string& path,
                                    const std::string& body, double patience)
    {
        const double until = now() + patience;
        std::size_t next = static_cast<std::size_t> (++m_calls);
        while (now() < until)
        {
            Address address = controllers[next++ % controllers.size()].control;
            std::optional<Message> answer;
            for (int hop = 0; hop < 3; ++hop)
            {
                answer = call (address, method, path, { { "Content-Type", "application/json" } },
                               body, 1.0);
                if (! answer || answer->status() != 307)
                    break;
                const std::string place = answer->field ("Location").substr (7);
                const std::size_t colon = place.find (':');
                address = { place.substr (0, colon), std::atoi (place.c_str() + colon + 1) };
            }
            if (answer && answer->status() < 300)
                return answer;
            if (answer && answer->status() >= 400 && answer->status() < 500
                && answer->status() != 408 && answer->status() != 429)
                return answer;
            sleepFor (0.1);
        }
        return std::nullopt;
    }

    bool replaceConfiguration (const std::string& text, double patience = 20)
    {
        const auto answer = control ("POST", "/fernlift/config/replace", text, patience);
        record().line ("operator: configuration %s", answer ? answer->first.c_str() : "not taken");
        return answer && answer->status() == 200;
    }

    bool isReady (std::size_t router) const
    {
        const auto answer =
            call (routers[router].ready, "GET", "/fernlift/readiness", {}, "", 1.0);
        return answer && answer->status() == 200;
    }

    bool awaitReady (double patience = 20)
    {
        const double until = now() + patience;
        for (std::size_t router = 0; router < routers.size(); ++router)
        {
            while (! isReady (router))
            {
                if (now() > until)
                    return false;
                sleepFor (0.1);
            }
        }
        return true;
    }

    std::vector<ControllerMachine> controllers;
    std::vector<RouterMachine> routers;

private:
    std::string write (const std::string& name, const std::string& text) const
    {
        const std::string path = m_folder + "/" + name + ".toml";
        std::ofstream (path) << text;
        return path;
    }

    void addController (int number, const std::string& seeds)
    {
        const std::string host = hostOf (number);
        const std::string name = "core-" + std::to_string (number);
        const Address control{ host, m_controlPort };
        const std::string settings =
            "cell = \"main\"\nzone = \"z1\"\ndata_dir = \"" + m_folder + "/" + name
            + "\"\npeer_address = \"" + host + ":" + std::to_string (m_peerPort)
            + "\"\nhttp_address = \"" + host + ":9101\"\ncontrol_address = \"" + control.text()
            + "\"\nseeds = [" + seeds + "]\nseed_peer_port = " + std::to_string (m_peerPort)
            + "\nbootstrap = ";
        const std::string rest = "\norder_pause_ms = 3000\nheartbeat_interval_ms = 80\n"
                                 "election_timeout_min_ms = 300\nelection_timeout_max_ms = 600\n"
                                 "lease_margin_ms = 60\n";
        write (name, settings + "true" + rest);
        const std::string path = m_folder + "/" + name + ".toml";
        m_laterSettings[path] = settings + "false" + rest;
        controllers.push_back (
            { control, std::make_unique<Process> (
                           name, std::vector<std::string>{ "target/bin/fernlift-controller" }, path,
                           m_folder + "/" + name + ".log") });
    }

    void addRouter (int number, const std::string& seeds)
    {
        const std::string host = hostOf (number);
        const std::string name = "front-" + std::to_string (number - 99);
        const Address front{ host, m_frontPort };
        const Address ready{ host, m_readyPort };
        const std::string path =
            write (name, "id = \"" + name + "\"\ncell = \"main\"\nzone = \"z1\"\nfront_address = \""
                             + front.text() + "\"\nreadiness_address = \"" + ready.text()
                             + "\"\nseeds = [" + seeds
                             + "]\nseed_peer_port = " + std::to_string (m_peerPort)
                             + "\nretry_share = 0.2\ncell_retry_reserve = 54\nmetrics_address = \""
                             + host + ":9100\"\npeer_address = \"" + host + ":"
                             + std::to_string (m_routerPort) + "\"\n");
        routers.push_back (
            { front, ready,
              std::make_unique<Process> (
                  name, std::vector<std::string>{ "target/bin/fernlift-router", "forward" }, path,
                  m_folder + "/" + name + ".log") });
    }

public:
    /// The settings of every later start: `Bootstrap` is true at the first start of all only.
    void endBootstrap()
    {
        for (const auto& [path, text] : m_laterSettings)
            std::ofstream (path) << text;
    }

private:
    std::string m_net;
    std::string m_folder;
    int m_peerPort = 0;
    int m_controlPort = 0;
    int m_frontPort = 0;
    int m_readyPort = 0;
    int m_routerPort = 0;
    std::atomic<int> m_calls{ 0 };
    std::map<std::string, std::string> m_laterSettings;
};

/// One runner: an incarnation with an id, registered by heartbeats.
class Runner
{
public:
    /// Answers one request; returns whether the connection goes on.
    using Handler = std::function<bool (const Message& request, Connection& connection)>;

    Runner (Cell& cell, std::string id, std::string service, int slots, Handler handler,
            int hostNumber = 200)
        : m_cell (cell),
          m_id (std::move (id)),
          m_service (std::move (service)),
          m_slots (slots),
          m_handler (std::move (handler))
    {
        m_address.host = cell.hostOf (hostNumber);
        m_listener = listenOn (m_address.host, 0, &m_address.port);
        std::thread ([this] { accept(); }).detach();
        std::thread ([this] { beat(); }).detach();
    }

    const std::string& id() const { return m_id; }
    const Address& address() const { return m_address; }
    std::atomic<bool> isDraining{ false };
    std::atomic<bool> isSilent{ false };  ///< Sends no heartbeats.
    std::atomic<bool> isAcknowledged{ false };

private:
    void accept()
    {
        while (true)
        {
            const int socket = ::accept4 (m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                return;
            const int on = 1;
            ::setsockopt (socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread ([this, socket] { serve (socket); }).detach();
        }
    }
    void serve (int socket)
    {
        Connection connection (socket);
        while (true)
        {
            Message request;
            if (! connection.read (request, now() + 3600, false))
                return;
            if (request.path() == "/health")
            {
                if (! connection.write (
                        answerText (200, { { "X-Fernlift-Instance-Id", m_id } }, "")))
                    return;
                continue;
            }
            const std::string target = request.field ("X-Fernlift-Target-Instance");
            if (! target.empty() && target != m_id)
            {
                if (! connection.write (answerText (421, { { "X-Fernlift-Not-Executed", "1" } }, "")))
                    return;
                continue;
            }
            if (! m_handler (request, connection))
                return;
        }
    }
    void beat()
    {
        while (true)
        {
            if (! isSilent)
            {
                const bool drains = isDraining;
                const std::string body =
                    "{\"Service\":\"" + m_service + "\",\"Address\":\"" + m_address.text()
                    + "\",\"Zone\":\"z1\",\"Version\":\"v1\",\"Slots\":" + std::to_string (m_slots)
                    + ",\"State\":\"" + (drains ? "draining" : "ready")
                    + "\",\"ColdRemainingMs\":0,\"Sequence\":" + std::to_string (++m_sequence) + "}";
                const auto answer = m_cell.control (
                    "POST", "/fernlift/instances/" + m_id + "/heartbeat", body, 1.0);
                if (answer && answer->status() == 200)
                    isAcknowledged = true;
            }
            sleepFor (1.2);
        }
    }

    Cell& m_cell;
    std::string m_id;
    std::string m_service;
    int m_slots;
    Handler m_handler;
    Address m_address;
    int m_listener = -1;
    std::uint64_t m_sequence = 0;
};

inline std::string signatureOf (const std::string& runner, const std::string& id)
{
    return runner + "." + id + ".600.0";
}

/// Number without repetition, for the ids of requests.
inline std::string nextId()
{
    static std::atomic<std::uint64_t> last{ 0 };
    char text[32];
    std::snprintf (text, sizeof text, "%08x%08llx", static_cast<unsigned> (::getpid()),
                   static_cast<unsigned long long> (++last));
    return text;
}

/// Ends the case with its result. 0: the rule held, 1: it was broken, 2: the case couldn't run.
[[noreturn]] inline void finish (Cell& cell, int result, const std::string& text)
{
    record().line ("result: %d, %s", result, text.c_str());
    std::printf ("%s: %s\n", result == 0 ? "held" : (result == 1 ? "BROKEN" : "could not run"),
                 text.c_str());
    std::fflush (stdout);
    cell.~Cell();
    ::_exit (result);
}

}  // namespace trial
