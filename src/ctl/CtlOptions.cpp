#include "ctl/CtlOptions.h"

namespace fernlift::ctl
{

void declareSettings (config::SettingsSchema& schema, CtlOptions& options)
{
    schema.setPositionals ("COMMAND [ARGUMENT...]")
        .addAddressList ("controller", &options.controllers,
                         "Operators' HTTP interface of a controller.")
        .addAddressList ("router", &options.routers, "HTTP interface of a router.")
        .addChoice ("output", &options.output, { "table", "json" }, "Form of the result.")
        .addDuration ("timeout_ms", &options.timeout, base::milliseconds (100), base::seconds (600),
                      "Longest time for the whole command.")
        .addBoolean ("wait", &options.isWaiting,
                     "apply: end once the file is in force at every live router.")
        .addBoolean ("undo", &options.isUndo, "drain: let the runner take work again.")
        .addBoolean ("markdown", &options.isMarkdown, "events, errors: print the reference page.");
    config::addLoggingSettings (schema, &options.logging);
}

}  // namespace fernlift::ctl
