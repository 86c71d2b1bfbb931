#include "controller/ConfigurationLog.h"

#include "base/Overloaded.h"
#include "log/Log.h"

namespace fernlift::controller
{

void logConfigurationEvent (const ConfigurationEvent& event)
{
    std::visit (
        base::Overloaded{
            [] (const ConfigurationCommitted& committed)
            {
                log::write (log::Event::kConfigurationCommitted,
                            { { "version", committed.version },
                              { "term", committed.term },
                              { "routers", committed.routers } });
            },
            [] (const ConfigurationConfirmed& confirmed)
            {
                log::write (
                    log::Event::kConfigurationConfirmed,
                    { { "version", confirmed.version },
                      { "routers", confirmed.routers },
                      { "since_commit_ms", base::toMilliseconds (confirmed.sinceCommit) } });
            },
            [] (const ConfigurationLate& late)
            {
                log::write (log::Event::kConfigurationLate,
                            { { "version", late.version },
                              { "routers", late.routers },
                              { "behind", late.behind },
                              { "router", late.router },
                              { "holds", late.holds },
                              { "sent", late.wasSent },
                              { "since_commit_ms", base::toMilliseconds (late.sinceCommit) } });
            },
            [] (const ConfigurationAnswered& answered)
            {
                log::write (
                    log::Event::kConfigurationAnswered,
                    { { "version", answered.version },
                      { "outcome", answered.outcome },
                      { "since_arrival_ms", base::toMilliseconds (answered.sinceArrival) } });
            },
        },
        event);
}

}  // namespace fernlift::controller
