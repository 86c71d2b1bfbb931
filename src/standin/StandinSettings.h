#pragma once

/// Command-line settings of the four kinds of stand-ins.

#include <string>
#include <vector>

#include "base/SocketAddress.h"
#include "config/Settings.h"
#include "log/Log.h"
#include "standin/ApplicationModel.h"
#include "standin/EngineTypes.h"
#include "standin/WeightStoreModel.h"

namespace fernlift::standin
{

/// Settings common to all kinds.
struct CommonSettings
{
    base::SocketAddress httpAddress{ "127.0.0.1", 0 };
    double timeScale = 1.0;
    base::Duration stopGrace{};  ///< Minimum time between a stop signal and the end.
    std::string ledgerFile;      ///< File to which a planned stop appends the ledger; empty: none.
    log::Options log;

    void declare (config::SettingsSchema& schema);
};

/// Settings of `engine`. Integers have the type of the settings schema; EngineOptions describes
/// them.
struct EngineSettings
{
    std::string runner;
    std::string weightStore;  ///< "ip:port"; empty: none.
    std::int64_t totalMemory = 80000;
    std::int64_t slots = 32;
    std::int64_t maximumWaiting = 256;
    std::int64_t diskCapacity = 400000;
    std::int64_t memoryCapacity = 100000;
    std::int64_t cacheBlocks = 4096;
    std::int64_t prefillBlocksPerStep = 8;
    std::vector<std::string> checkpoints;  ///< "artifact,version,size_mb", on disk at the start.
    EngineOptions options;

    void declare (config::SettingsSchema& schema);
    /// Returns the options with a random incarnation; fails with kSettingsInvalid.
    [[nodiscard]] base::Result<EngineOptions> toOptions() const;
};

struct ApplicationSettings
{
    std::string runner;
    std::int64_t slots = 32;
    std::int64_t maximumWaiting = 256;
    ApplicationOptions options;

    void declare (config::SettingsSchema& schema);
    [[nodiscard]] ApplicationOptions toOptions() const;
};

struct WeightStoreSettings
{
    std::int64_t fullSpeedTransfers = 6;
    WeightStoreOptions options;

    void declare (config::SettingsSchema& schema);
    [[nodiscard]] WeightStoreOptions toOptions() const;
};

struct MachineListSettings
{
    std::vector<std::string> machines;
    base::Duration lag = base::seconds (1);

    void declare (config::SettingsSchema& schema);
    /// Parses the machines; fails with kSettingsInvalid.
    [[nodiscard]] base::Result<engine::MachineList> toList() const;
};

/// Draws a random incarnation below 2^53, to be called once per start.
[[nodiscard]] base::Incarnation drawIncarnation();

}  // namespace fernlift::standin
