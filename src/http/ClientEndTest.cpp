// Ends of answers for every framing. Guards against an answer that broke off being reported as
// complete, and against a complete one being reported as broken.

#include <gtest/gtest.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QTimer>
#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <optional>
#include <sstream>
#include <thread>
#include <vector>

#include "base/Random.h"
#include "http/Client.h"
#include "http/HttpTestSupport.h"

namespace fernlift::http
{
namespace
{

using std::chrono::milliseconds;

/// How the back end marks the end of its answer.
enum class Framing : std::uint8_t
{
    kLength,
    kChunked,
    kClose,
};

/// How the connection ends after the bytes of the answer.
enum class Ending : std::uint8_t
{
    kCloseAtOnce,
    kCloseLater,
    kResetAtOnce,
    kResetLater,
};

constexpr std::array kFramings{ Framing::kLength, Framing::kChunked, Framing::kClose };
constexpr std::array kEndings{ Ending::kCloseAtOnce, Ending::kCloseLater, Ending::kResetAtOnce,
                               Ending::kResetLater };
/// Time from the last byte to the end of the connection where it ends later.
constexpr milliseconds kEndDelay{ 20 };

bool isReset (Ending ending)
{
    return ending == Ending::kResetAtOnce || ending == Ending::kResetLater;
}

bool isLater (Ending ending)
{
    return ending == Ending::kCloseLater || ending == Ending::kResetLater;
}

struct Answer
{
    std::string head;
    std::string framedBody;
    std::string body;
};

/// Input of one play: an answer, the number of its bytes that are sent, and the end after them.
struct Play
{
    Framing framing = Framing::kLength;
    Ending ending = Ending::kCloseAtOnce;
    std::size_t bodyBytes = 0;
    std::size_t chunkBytes = 1;
    std::size_t cut = 0;         ///< Bytes of the answer that are sent.
    std::size_t writeBytes = 1;  ///< Bytes of the answer in each system call.
    bool needsFreshConnection = false;
    bool isPausing = false;  ///< The caller pauses for a moment after each part of the answer.
};

std::string describe (const Play& play)
{
    std::ostringstream text;
    text << "framing " << static_cast<int> (play.framing) << ", ending "
         << static_cast<int> (play.ending) << ", body of " << play.bodyBytes
         << " bytes in chunks of " << play.chunkBytes << ", cut after " << play.cut << ", written "
         << play.writeBytes << " bytes at a time, fresh connection " << play.needsFreshConnection
         << ", pausing " << play.isPausing;
    return text.str();
}

Answer answerOf (const Play& play)
{
    Answer answer;
    for (std::size_t number = 0; number < play.bodyBytes; ++number)
        answer.body += static_cast<char> ('a' + number % 26);
    answer.head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
    if (play.framing == Framing::kLength)
        answer.head += "Content-Length: " + std::to_string (play.bodyBytes) + "\r\n";
    if (play.framing == Framing::kChunked)
        answer.head += "Transfer-Encoding: chunked\r\n";
    answer.head += "\r\n";
    if (play.framing != Framing::kChunked)
    {
        answer.framedBody = answer.body;
        return answer;
    }
    std::ostringstream chunks;
    for (std::size_t begin = 0; begin < play.bodyBytes; begin += play.chunkBytes)
    {
        const std::string chunk = answer.body.substr (begin, play.chunkBytes);
        chunks << std::hex << chunk.size() << "\r\n" << chunk << "\r\n";
    }
    chunks << "0\r\n\r\n";
    answer.framedBody = chunks.str();
    return answer;
}

/// Whether the client must report the answer of `play` as complete.
bool isComplete (const Play& play, const Answer& answer)
{
    if (play.framing == Framing::kClose)
        return play.cut >= answer.head.size() && ! isReset (play.ending);
    return play.cut == answer.head.size() + answer.framedBody.size();
}

/// A back end on a thread of its own that reads one request, sends a part of an answer and ends the
/// connection.
class ScriptedBackEnd
{
public:
    ScriptedBackEnd (std::string bytes, const Play& play)
        : m_bytes (std::move (bytes)), m_play (play)
    {
        m_listener = ::socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        // bind() and getsockname() take the generic address type.
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
        auto* const general = reinterpret_cast<sockaddr*> (&address);
        const bool isListening = ::bind (m_listener, general, length) == 0
                                 && ::listen (m_listener, 1) == 0
                                 && ::getsockname (m_listener, general, &length) == 0;
        EXPECT_TRUE (isListening);
        m_port = ntohs (address.sin_port);
        m_thread = std::thread ([this] { serve(); });
    }
    ~ScriptedBackEnd()
    {
        ::shutdown (m_listener, SHUT_RDWR);
        m_thread.join();
        ::close (m_listener);
    }
    ScriptedBackEnd (const ScriptedBackEnd&) = delete;
    ScriptedBackEnd& operator= (const ScriptedBackEnd&) = delete;

    [[nodiscard]] base::SocketAddress address() const { return { "127.0.0.1", m_port }; }

private:
    void serve()
    {
        const int descriptor = ::accept (m_listener, nullptr, nullptr);
        constexpr int kOn = 1;
        ::setsockopt (descriptor, IPPROTO_TCP, TCP_NODELAY, &kOn, sizeof kOn);
        readRequest (descriptor);
        for (std::size_t sent = 0; sent < m_bytes.size();)
        {
            const std::size_t size = std::min (m_play.writeBytes, m_bytes.size() - sent);
            const ssize_t count = ::send (descriptor, m_bytes.data() + sent, size, MSG_NOSIGNAL);
            if (count <= 0)
                break;
            sent += static_cast<std::size_t> (count);
        }
        if (isLater (m_play.ending))
            std::this_thread::sleep_for (kEndDelay);
        if (isReset (m_play.ending))
            prepareReset (descriptor);
        ::close (descriptor);
    }

    /// Requests end with "end".
    static void readRequest (int descriptor)
    {
        std::string request;
        while (! request.ends_with ("end"))
        {
            std::array<char, 4096> buffer{};
            const ssize_t count = ::recv (descriptor, buffer.data(), buffer.size(), 0);
            if (count <= 0)
                return;
            request.append (buffer.data(), static_cast<std::size_t> (count));
        }
    }

    /// Makes close() send a reset, once the client's system has received all bytes: a reset
    /// discards those that it has not.
    static void prepareReset (int descriptor)
    {
        int unacknowledged = 1;
        while (::ioctl (descriptor, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0)
            std::this_thread::yield();
        const linger immediate{ 1, 0 };
        ::setsockopt (descriptor, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
    }

    std::string m_bytes;
    Play m_play;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

/// Threads that compute until they are destroyed.
class BusyThreads
{
public:
    explicit BusyThreads (std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number)
        {
            m_threads.emplace_back (
                [this]
                {
                    while (! m_isStopped.load (std::memory_order_relaxed))
                    {
                    }
                });
        }
    }
    ~BusyThreads()
    {
        m_isStopped = true;
        for (std::thread& thread : m_threads)
            thread.join();
    }
    BusyThreads (const BusyThreads&) = delete;
    BusyThreads& operator= (const BusyThreads&) = delete;

private:
    std::atomic<bool> m_isStopped = false;
    std::vector<std::thread> m_threads;
};

/// A play in progress and what the client reported.
struct Course
{
    Play play;
    Answer answer;
    std::unique_ptr<ScriptedBackEnd> backEnd;
    std::shared_ptr<Exchange> exchange;
    std::string received;
    bool isComplete = false;
    std::optional<ClientError> error;
    int ends = 0;  ///< Calls of onEnd and onError.
};

/// Cuts at the borders of chunks and near the end of the answer are as likely as all others.
std::size_t drawCut (const Play& play, const Answer& answer, base::Random& random)
{
    const std::size_t total = answer.head.size() + answer.framedBody.size();
    const auto below = [&] (std::size_t limit) {
        return static_cast<std::size_t> (
            random.uniformInteger (0, static_cast<std::int64_t> (limit)));
    };
    switch (random.uniformInteger (0, 4))
    {
        case 0:
            return total;
        case 1:
            return total - below (std::min<std::size_t> (total, 10));
        case 2:
        {
            const std::string whole = answer.head + answer.framedBody;
            const std::size_t border = whole.find ("\r\n", below (total));
            const std::size_t cut = border == std::string::npos ? total : border + below (2);
            return play.framing == Framing::kChunked ? std::min (cut, total) : below (total);
        }
        default:
            return below (total);
    }
}

std::unique_ptr<Course> drawCourse (base::Random& random)
{
    constexpr std::array<std::size_t, 6> kBodySizes{ 0, 5, 100, 2000, 20'000, 200'000 };
    constexpr std::array<std::size_t, 5> kChunkSizes{ 1, 7, 100, 1500, 16'384 };
    constexpr std::array<std::size_t, 4> kWriteSizes{ 13, 1000, 16'384, 1'000'000 };
    const auto pick = [&] (const auto& values)
    {
        return values.at (static_cast<std::size_t> (
            random.uniformInteger (0, static_cast<std::int64_t> (values.size()) - 1)));
    };
    auto course = std::make_unique<Course>();
    Play& play = course->play;
    play.framing = pick (kFramings);
    play.ending = pick (kEndings);
    play.bodyBytes = pick (kBodySizes);
    play.chunkBytes = std::max (pick (kChunkSizes), play.bodyBytes / 1000 + 1);
    play.writeBytes = std::max (pick (kWriteSizes), play.bodyBytes / 1000 + 1);
    play.needsFreshConnection = random.chance (0.5);
    play.isPausing = random.chance (0.3);
    course->answer = answerOf (play);
    play.cut = drawCut (play, course->answer, random);
    return course;
}

void pauseForAMoment (Course& course)
{
    course.exchange->setPaused (true);
    QTimer::singleShot (1, [exchange = course.exchange] { exchange->setPaused (false); });
}

void start (Client& client, Course& course)
{
    const std::string whole = course.answer.head + course.answer.framedBody;
    course.backEnd =
        std::make_unique<ScriptedBackEnd> (whole.substr (0, course.play.cut), course.play);
    ClientRequest request;
    request.address = course.backEnd->address();
    request.method = "POST";
    request.body = "end";
    request.needsFreshConnection = course.play.needsFreshConnection;
    ClientCallbacks callbacks;
    callbacks.onData = [&course] (std::string_view data)
    {
        course.received += data;
        if (course.play.isPausing)
            pauseForAMoment (course);
    };
    callbacks.onEnd = [&course]
    {
        course.isComplete = true;
        ++course.ends;
    };
    callbacks.onError = [&course] (const ClientError& error)
    {
        course.error = error;
        ++course.ends;
    };
    course.exchange = client.send (std::move (request), std::move (callbacks));
}

void check (const Course& course)
{
    SCOPED_TRACE (describe (course.play));
    EXPECT_EQ (course.ends, 1);
    if (! isComplete (course.play, course.answer))
    {
        EXPECT_FALSE (course.isComplete) << "a broken answer was reported as complete";
        return;
    }
    ASSERT_TRUE (course.isComplete) << "a complete answer was reported as broken: "
                                    << (course.error ? course.error->message : "no end");
    const std::size_t sent = course.play.cut - course.answer.head.size();
    const std::size_t expected =
        course.play.framing == Framing::kClose ? sent : course.answer.body.size();
    EXPECT_TRUE (course.received == course.answer.body.substr (0, expected))
        << "a complete answer of " << expected << " bytes arrived as " << course.received.size();
}

/// Number of answers; more are played by hand with FERNLIFT_CLIENT_PLAYS.
int numberOfPlays()
{
    constexpr int kDefault = 600;
    const char* const text = std::getenv ("FERNLIFT_CLIENT_PLAYS");
    return text == nullptr ? kDefault : std::atoi (text);
}

TEST (ClientEnd, AnswerIsCompleteExactlyIfItsFramingIs)
{
    constexpr int kBatch = 12;
    constexpr std::uint64_t kSeed = 65;
    base::Random random (kSeed);
    for (int played = 0; played < numberOfPlays(); played += kBatch)
    {
        const bool isBusy = random.chance (0.5);
        const BusyThreads load (isBusy ? std::thread::hardware_concurrency() : 0);
        Client client;
        std::vector<std::unique_ptr<Course>> courses;
        for (int number = 0; number < kBatch; ++number)
        {
            courses.push_back (drawCourse (random));
            start (client, *courses.back());
        }
        const auto haveEnded = [&] {
            return std::ranges::all_of (courses,
                                        [] (const auto& course) { return course->ends > 0; });
        };
        test::waitUntil (haveEnded);
        for (const auto& course : courses)
            check (*course);
    }
}

}  // namespace
}  // namespace fernlift::http
