#pragma once

/// Process of one controller: carries out the effects of ControllerCore on sockets, disk and
/// timers, and feeds the results back into it.

#include <QObject>
#include <QTimer>
#include <functional>
#include <memory>
#include <optional>

#include "base/Error.h"
#include "cell/ControllerLink.h"
#include "controller/AdminHttp.h"
#include "controller/CellJoiner.h"
#include "controller/ControlHttp.h"
#include "controller/ControlTraffic.h"
#include "controller/ControllerCore.h"
#include "controller/ControllerSettings.h"
#include "controller/EngineClient.h"
#include "controller/PeerListener.h"
#include "controller/PeerTransport.h"
#include "controller/RunnerClient.h"
#include "controller/StorageThread.h"
#include "http/Metrics.h"

namespace fernlift::controller
{

/// Runs on the thread of the Qt event loop; only StorageThread has a thread of its own.
class ControllerProcess
{
public:
    /// Protocols of registered services; null pointers: there is no control interface.
    struct ServiceProtocol
    {
        std::shared_ptr<const ControlCodec> control;
        std::shared_ptr<const EngineCodec> engine;
    };

    /// `onFinished` is called once, with the exit code, when a planned stop is complete or the disk
    /// failed.
    ControllerProcess (ControllerSettings settings, const ServiceProtocol& protocol,
                       std::function<void (int exitCode)> onFinished);

    /// Opens the data folder, recovers, then listens.
    base::Result<void> start();
    /// Applies the settings that may change while the process runs: the seeds.
    void reload (const ControllerSettings& changed) { m_settings.seeds = changed.seeds; }
    /// Begins a planned stop: transfers leadership and answers the pending requests. Further calls
    /// have no effect.
    void beginStop();

private:
    void createCore (consensus::RecoveredState recovered);
    base::Result<void> listen();
    void startJoiner();
    [[nodiscard]] bool mustRequestToJoin() const;
    [[nodiscard]] std::vector<base::SocketAddress> knownControllers() const;
    void createMetrics();
    [[nodiscard]] std::string storageMetrics() const;

    /// Passes one input to the core and carries out the effects.
    void feed (const std::function<void (ControllerCore& core)>& input);
    void tick();
    void carryOutEffects();
    void carryOut (const Effect& effect);
    void persist (const PersistEffect& effect);
    void sendToLeader (const SendToLeader& effect);
    void sendToMember (const SendToMember& effect);
    void sendOrder (const SendOrder& effect);
    void pollRunner (const PollRunner& effect);
    void pollMachineList();
    void sendEngineOrder (const placement::SendEngineOrder& effect);
    void pollEngine (const placement::PollEngine& effect);
    void onMemberMessage (const consensus::Message& message);
    /// Logs and counts a message in a runner's name that was dropped; `source` is the claimed
    /// sender or the path of the call.
    void recordUnusable (std::string_view source, std::string_view reason);
    void onStorageFailed (const base::Error& error);
    /// Logs when this member can no longer serve routers on behalf of the leader, or can again.
    void logRelayChange();
    void logLeadershipChange();
    void checkStop();
    void finish (int exitCode);

    ControllerSettings m_settings;
    std::function<void (int)> m_onFinished;
    base::SystemClock m_clock;
    ControlTraffic m_traffic;
    http::Metrics m_metrics;
    http::Counter& m_unusableMessages =
        m_metrics.counter ("fernlift_controller_runner_messages_unusable_total",
                           "Messages in runners' names that could not be used.");
    /// Set until the storage thread takes it over.
    std::unique_ptr<storage::Storage> m_openedStorage;
    std::optional<ControllerCore> m_core;
    PeerTransport m_transport;
    RunnerClient m_runners;
    /// Connection on which this controller acts for its routers.
    cell::ControllerLink m_leaderLink;
    PeerListener m_listener;
    AdminHttp m_admin;
    std::unique_ptr<ControlHttp> m_control;   ///< Null without a control interface.
    std::unique_ptr<EngineClient> m_engines;  ///< Null without a control interface.
    std::unique_ptr<CellJoiner> m_joiner;     ///< Null when an operator manages the members.
    base::TimePoint m_leaderSeenAt{};
    base::SuspensionWatch m_suspensions;
    base::TimePoint m_tickedAt{};  ///< Time of the last tick of the core.
    std::optional<base::TimePoint> m_stopDeadline;
    bool m_isFinished = false;
    consensus::Role m_lastRole = consensus::Role::kFollower;
    bool m_lastRelayServes = false;
    base::MemberId m_lastLeader = 0;
    QObject m_context;
    QTimer m_ticker;
    /// Last member: its thread ends before the others are destroyed.
    std::unique_ptr<StorageThread> m_storage;
};

}  // namespace fernlift::controller
