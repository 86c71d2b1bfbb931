#pragma once

/// One controller as a process: carries out the effects of ControllerCore on sockets, disk and
/// timers.

#include <QObject>
#include <QTimer>
#include <functional>
#include <memory>
#include <optional>

#include "base/Error.h"
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

/// Lives on the thread of the Qt event loop; only StorageThread has a thread of its own.
class ControllerProcess
{
public:
    /// Protocols of registered services; null: there is no control interface.
    struct ServiceProtocol
    {
        std::shared_ptr<const ControlCodec> control;
        std::shared_ptr<const EngineCodec> engine;
    };

    /// `onFinished` is called once with the exit code, when a planned stop is done or the disk
    /// failed.
    ControllerProcess (ControllerSettings settings, const ServiceProtocol& protocol,
                       std::function<void (int exitCode)> onFinished);

    /// Opens the data folder, recovers, then listens.
    base::Result<void> start();
    /// Takes over what may change while the process runs: the seeds.
    void reload (const ControllerSettings& changed) { settings_.seeds = changed.seeds; }
    /// Begins a planned stop: hands leadership over and answers what is open. A second call ends it
    /// at once.
    void beginStop();

private:
    void createCore (consensus::RecoveredState recovered);
    base::Result<void> listen();
    void startJoiner();
    [[nodiscard]] bool mustAskToJoin() const;
    [[nodiscard]] std::vector<base::SocketAddress> knownControllers() const;
    void createMetrics();
    [[nodiscard]] std::string storageMetrics() const;

    /// Gives one input to the core and carries out the effects.
    void feed (const std::function<void (ControllerCore& core)>& input);
    void carryOut (const Effect& effect);
    void persist (const PersistEffect& effect);
    void sendToMember (const SendToMember& effect);
    void sendOrder (const SendOrder& effect);
    void pollRunner (const PollRunner& effect);
    void pollMachineList();
    void sendEngineOrder (const placement::SendEngineOrder& effect);
    void pollEngine (const placement::PollEngine& effect);
    void onMemberMessage (const consensus::Message& message);
    void onStorageFailed (const base::Error& error);
    void noteLeadership();
    void checkStop();
    void finish (int exitCode);

    ControllerSettings settings_;
    std::function<void (int)> onFinished_;
    base::SystemClock clock_;
    ControlTraffic traffic_;
    http::Metrics metrics_;
    std::unique_ptr<storage::Storage> openedStorage_;  ///< Until the storage thread takes it.
    std::optional<ControllerCore> core_;
    PeerTransport transport_;
    RunnerClient runners_;
    PeerListener listener_;
    AdminHttp admin_;
    std::unique_ptr<ControlHttp> control_;   ///< Null without a control interface.
    std::unique_ptr<EngineClient> engines_;  ///< Null without a control interface.
    std::unique_ptr<CellJoiner> joiner_;     ///< Null when an operator manages the members.
    base::TimePoint leaderSeenAt_{};
    std::optional<base::TimePoint> stopDeadline_;
    bool isFinished_ = false;
    consensus::Role lastRole_ = consensus::Role::kFollower;
    base::MemberId lastLeader_ = 0;
    QObject context_;
    QTimer ticker_;
    std::unique_ptr<StorageThread> storage_;  ///< Last member: its thread ends first.
};

}  // namespace fernlift::controller
