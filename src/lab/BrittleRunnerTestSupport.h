#pragma once

/**
 * Test support: runners with slots and a queue that fail when they have to decline too many
 * requests in a second, and callers that keep them busy.
 */

#include <QTcpServer>
#include <QTcpSocket>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/Time.h"
#include "lab/ForwardingCellTestSupport.h"

namespace fernlift::lab::test
{

struct BrittleRunnerOptions
{
    std::uint32_t slots = 4;
    base::milliseconds workTime{ 100 };
    std::uint32_t maxWaiting = 12;  ///< Requests that wait for a slot while it is sound.
    std::uint32_t maxWaitingBrittle =
        1;                          ///< The same from `contactTime` after its first statement.
    std::uint32_t maxDeclines = 5;  ///< Declines in a second that it bears from then on.
    base::milliseconds contactTime{ 3000 };
    base::milliseconds downTime{ 4000 };
};

/** A runner that works on `slots` requests at once, in the order of their arrival. A request whose
    connection closes is dropped. Threading: lives on the thread of the Qt event loop.
*/
class BrittleRunner
{
public:
    BrittleRunner (std::string name, const BrittleRunnerOptions& options);
    ~BrittleRunner();
    BrittleRunner (const BrittleRunner&) = delete;
    BrittleRunner& operator= (const BrittleRunner&) = delete;

    /** Lets each answer state that the runner is brittle. */
    void beginBrittle();
    void endBrittle();

    [[nodiscard]] std::string instance() const;
    [[nodiscard]] std::string address() const;
    [[nodiscard]] bool isUp() const { return m_server.isListening(); }
    [[nodiscard]] std::uint32_t slots() const { return m_options.slots; }
    [[nodiscard]] const std::vector<base::TimePoint>& falls() const { return m_falls; }
    [[nodiscard]] const std::vector<base::TimePoint>& declines() const { return m_declines; }
    /** Time from which it lets fewer requests wait and may fail. */
    [[nodiscard]] base::TimePoint inForceSince() const
    {
        return m_statedAt + m_options.contactTime;
    }
    /** Time of each answer with status 200. */
    [[nodiscard]] const std::vector<base::TimePoint>& served() const { return m_served; }
    /** Requests that are worked on or wait now. */
    [[nodiscard]] std::size_t open() const { return m_running.size() + m_waiting.size(); }

private:
    struct Connection
    {
        std::unique_ptr<QTcpSocket> socket;
        std::string received;
    };
    struct Job
    {
        std::string requestId;
        std::uint64_t number = 0;
    };

    void start();
    void fall();
    void accept();
    void onReadable (QTcpSocket* socket);
    void onClosed (QTcpSocket* socket);
    void beginNext();
    void finish (QTcpSocket* socket, std::uint64_t job);
    void recordDecline();
    void write (QTcpSocket* socket, const std::string& status, const std::string& fields);
    /** Whether the statement has been made for `contactTime`. */
    [[nodiscard]] bool isInForce() const;
    [[nodiscard]] std::uint32_t maxWaiting() const;
    void closeAll();

    std::string m_name;
    BrittleRunnerOptions m_options;
    base::SystemClock m_clock;
    std::uint16_t m_port = 0;
    std::uint32_t m_incarnation = 0;
    bool m_isBrittle = false;
    base::TimePoint m_statedAt{};  ///< First statement; zero: none yet.
    std::map<QTcpSocket*, Connection> m_connections;
    std::uint64_t m_jobs = 0;
    std::map<QTcpSocket*, Job> m_running;
    std::deque<std::pair<QTcpSocket*, std::string>> m_waiting;
    std::vector<base::TimePoint> m_falls;
    std::vector<base::TimePoint> m_declines;
    std::vector<base::TimePoint> m_served;
    QTcpServer m_server;
};

struct BrittleCrowdOptions
{
    std::size_t routers = 4;
    std::size_t runners = 3;
    std::size_t callers = 60;
    BrittleRunnerOptions runner{};
};

/** A cell, its brittle runners, and callers that send their next request once the last has ended.
 */
class BrittleCrowd
{
public:
    explicit BrittleCrowd (const BrittleCrowdOptions& options);

    [[nodiscard]] bool awaitReady() { return m_cell.awaitReady(); }
    void beginBrittle();
    void endBrittle();
    /** Lets the callers send for this time. */
    void sendFor (base::milliseconds time);

    /** Falls of all runners so far. */
    [[nodiscard]] std::size_t falls() const;
    /** Requests declined since the runners let fewer of them wait. */
    [[nodiscard]] std::size_t declines() const;
    /** Requests served since `begin` as a share of those that the slots had room for. */
    [[nodiscard]] double usedShareSince (base::TimePoint begin) const;
    [[nodiscard]] base::TimePoint now() const { return m_clock.now(); }
    [[nodiscard]] ForwardingCell& cell() { return m_cell; }

private:
    struct Caller
    {
        std::shared_ptr<int> status;  ///< Null between two requests.
        base::TimePoint sendsAt{};
    };

    void registerRunners();
    void step();

    BrittleCrowdOptions m_options;
    base::SystemClock m_clock;
    ForwardingCell m_cell;
    std::vector<std::unique_ptr<BrittleRunner>> m_runners;
    std::map<std::string, std::string> m_registered;  ///< Instance by address.
    std::vector<Caller> m_callers;
    std::size_t m_sent = 0;
};

}  // namespace fernlift::lab::test
