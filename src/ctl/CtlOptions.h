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
    bool isWaiting = false;   ///< Flag of apply: wait until all live routers use the file.
    bool isUndo = false;      ///< Flag of drain: cancel the drain.
    bool isMarkdown = false;  ///< Flag of events and errors: print the Markdown page.
    log::Options logging;
};

/// Declares the settings of fernliftctl. `options` must outlive the schema.
void declareSettings (config::SettingsSchema& schema, CtlOptions& options);

}  // namespace fernlift::ctl
