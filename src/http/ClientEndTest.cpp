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

/// An answer, the number of its bytes that are sent, and the end after them.
struct AnswerCase
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

std::string describe (const AnswerCase& answerCase)
{
    std::ostringstream text;
    text << "framing " << static_cast<int> (answerCase.framing) << ", ending "
         << static_cast<int> (answerCase.ending) << ", body of " << answerCase.bodyBytes
         << " bytes in chunks of " << answerCase.chunkBytes << ", cut after " << answerCase.cut
         << ", written " << answerCase.writeBytes << " bytes at a time, fresh connection "
         << answerCase.needsFreshConnection << ", pausing " << answerCase.isPausing;
    return text.str();
}

Answer answerOf (const AnswerCase& answerCase)
{
    Answer answer;
    for (std::size_t number = 0; number < answerCase.bodyBytes; ++number)
        answer.body += static_cast<char> ('a' + number % 26);
    answer.head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
    if (answerCase.framing == Framing::kLength)
        answer.head += "Content-Length: " + std::to_string (answerCase.bodyBytes) + "\r\n";
    if (answerCase.framing == Framing::kChunked)
        answer.head += "Transfer-Encoding: chunked\r\n";
    answer.head += "\r\n";
    if (answerCase.framing != Framing::kChunked)
    {
        answer.framedBody = answer.body;
        return answer;
    }
    std::ostringstream chunks;
    for (std::size_t begin = 0; begin < answerCase.bodyBytes; begin += answerCase.chunkBytes)
    {
        const std::string chunk = answer.body.substr (begin, answerCase.chunkBytes);
        chunks << std::hex << chunk.size() << "\r\n" << chunk << "\r\n";
    }
    chunks << "0\r\n\r\n";
    answer.framedBody = chunks.str();
    return answer;
}

/// Whether the client must report the answer as complete.
bool isComplete (const AnswerCase& answerCase, const Answer& answer)
{
    if (answerCase.framing == Framing::kClose)
        return answerCase.cut >= answer.head.size() && ! isReset (answerCase.ending);
    return answerCase.cut == answer.head.size() + answer.framedBody.size();
}

/// A back end on a thread of its own that reads one request, sends a part of an answer and ends the
/// connection.
class ScriptedBackEnd
{
public:
    ScriptedBackEnd (std::string bytes, const AnswerCase& answerCase)
        : m_bytes (std::move (bytes)), m_answerCase (answerCase)
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
            const std::size_t size = std::min (m_answerCase.writeBytes, m_bytes.size() - sent);
            const ssize_t count = ::send (descriptor, m_bytes.data() + sent, size, MSG_NOSIGNAL);
            if (count <= 0)
                break;
            sent += static_cast<std::size_t> (count);
        }
        if (isLater (m_answerCase.ending))
            std::this_thread::sleep_for (kEndDelay);
        if (isReset (m_answerCase.ending))
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
    AnswerCase m_answerCase;
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

/// A case in progress and what the client reported.
struct CaseRun
{
    AnswerCase answerCase;
    Answer answer;
    std::unique_ptr<ScriptedBackEnd> backEnd;
    std::shared_ptr<Exchange> exchange;
    std::string received;
    bool isComplete = false;
    std::optional<ClientError> error;
    int ends = 0;  ///< Calls of onEnd and onError.
};

/// Cuts at the borders of chunks and near the end of the answer are as likely as all others.
std::size_t randomCut (const AnswerCase& answerCase, const Answer& answer, base::Random& random)
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
            return answerCase.framing == Framing::kChunked ? std::min (cut, total) : below (total);
        }
        default:
            return below (total);
    }
}

std::unique_ptr<CaseRun> randomRun (base::Random& random)
{
    constexpr std::array<std::size_t, 6> kBodySizes{ 0, 5, 100, 2000, 20'000, 200'000 };
    constexpr std::array<std::size_t, 5> kChunkSizes{ 1, 7, 100, 1500, 16'384 };
    constexpr std::array<std::size_t, 4> kWriteSizes{ 13, 1000, 16'384, 1'000'000 };
    const auto pick = [&] (const auto& values)
    {
        return values.at (static_cast<std::size_t> (
            random.uniformInteger (0, static_cast<std::int64_t> (values.size()) - 1)));
    };
    auto run = std::make_unique<CaseRun>();
    AnswerCase& answerCase = run->answerCase;
    answerCase.framing = pick (kFramings);
    answerCase.ending = pick (kEndings);
    answerCase.bodyBytes = pick (kBodySizes);
    answerCase.chunkBytes = std::max (pick (kChunkSizes), answerCase.bodyBytes / 1000 + 1);
    answerCase.writeBytes = std::max (pick (kWriteSizes), answerCase.bodyBytes / 1000 + 1);
    answerCase.needsFreshConnection = random.chance (0.5);
    answerCase.isPausing = random.chance (0.3);
    run->answer = answerOf (answerCase);
    answerCase.cut = randomCut (answerCase, run->answer, random);
    return run;
}

void pauseForAMoment (CaseRun& run)
{
    run.exchange->setPaused (true);
    QTimer::singleShot (1, [exchange = run.exchange] { exchange->setPaused (false); });
}

void start (Client& client, CaseRun& run)
{
    const std::string whole = run.answer.head + run.answer.framedBody;
    run.backEnd =
        std::make_unique<ScriptedBackEnd> (whole.substr (0, run.answerCase.cut), run.answerCase);
    ClientRequest request;
    request.address = run.backEnd->address();
    request.method = "POST";
    request.body = "end";
    request.needsFreshConnection = run.answerCase.needsFreshConnection;
    ClientCallbacks callbacks;
    callbacks.onData = [&run] (std::string_view data)
    {
        run.received += data;
        if (run.answerCase.isPausing)
            pauseForAMoment (run);
    };
    callbacks.onEnd = [&run]
    {
        run.isComplete = true;
        ++run.ends;
    };
    callbacks.onError = [&run] (const ClientError& error)
    {
        run.error = error;
        ++run.ends;
    };
    run.exchange = client.send (std::move (request), std::move (callbacks));
}

void check (const CaseRun& run)
{
    SCOPED_TRACE (describe (run.answerCase));
    EXPECT_EQ (run.ends, 1);
    if (! isComplete (run.answerCase, run.answer))
    {
        EXPECT_FALSE (run.isComplete) << "a broken answer was reported as complete";
        return;
    }
    ASSERT_TRUE (run.isComplete) << "a complete answer was reported as broken: "
                                 << (run.error ? run.error->message : "no end");
    const std::size_t sent = run.answerCase.cut - run.answer.head.size();
    const std::size_t expected =
        run.answerCase.framing == Framing::kClose ? sent : run.answer.body.size();
    EXPECT_TRUE (run.received == run.answer.body.substr (0, expected))
        << "a complete answer of " << expected << " bytes arrived as " << run.received.size();
}

/// Number of answers; more are sent by hand with FERNLIFT_CLIENT_ANSWERS.
int numberOfAnswers()
{
    constexpr int kDefault = 600;
    const char* const text = std::getenv ("FERNLIFT_CLIENT_ANSWERS");
    return text == nullptr ? kDefault : std::atoi (text);
}

TEST (ClientEnd, AnswerIsCompleteExactlyIfItsFramingIs)
{
    constexpr int kBatch = 12;
    constexpr std::uint64_t kSeed = 65;
    base::Random random (kSeed);
    for (int sent = 0; sent < numberOfAnswers(); sent += kBatch)
    {
        const bool isBusy = random.chance (0.5);
        const BusyThreads load (isBusy ? std::thread::hardware_concurrency() : 0);
        Client client;
        std::vector<std::unique_ptr<CaseRun>> runs;
        for (int number = 0; number < kBatch; ++number)
        {
            runs.push_back (randomRun (random));
            start (client, *runs.back());
        }
        const auto haveEnded = [&]
        { return std::ranges::all_of (runs, [] (const auto& run) { return run->ends > 0; }); };
        test::waitUntil (haveEnded);
        for (const auto& run : runs)
            check (*run);
    }
}

}  // namespace
}  // namespace fernlift::http
