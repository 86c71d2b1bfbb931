#pragma once

/// Settings of fernliftctl.

#include <string>
#include <vector>

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "config/Settings.h"
#include "log/Log.h"

namespace fernlift::ctl
{

struct CtlOptions
{
    std::vector<base::SocketAddress> controllers;
    std::vector<base::SocketAddress> routers;
    std::string output = "table";
    base::Duration timeout = base::seconds (30);
    bool isWaiting = false;  ///< apply: wait until the configuration is in force everywhere.
    bool isUndo = false;     ///< drain: take the mark away.
    bool isMarkdown = false;
    log::Options logging;
};

/// Declares the settings of fernliftctl. `options` must outlive the schema.
void declareSettings (config::SettingsSchema& schema, CtlOptions& options);

}  // namespace fernlift::ctl
