#include <QRegularExpression>
#include <algorithm>
#include <fstream>
#include <iterator>
#include <ostream>

#include "config/Catalogue.h"
#include "lab/ControllerCluster.h"
#include "lab/EventWait.h"
#include "lab/Measure.h"
#include "lab/RouterStub.h"

namespace fernlift::lab
{
namespace
{

constexpr int kOk = 200;
constexpr base::Duration kWaitTimeout = base::seconds (30);

base::Result<std::string> readFile (const std::string& path)
{
    std::ifstream stream (path, std::ios::binary);
    std::string text{ std::istreambuf_iterator<char> (stream), {} };
    if (! stream.is_open())
        return base::fail (base::ErrorKind::kNotFound, path + ": cannot be read");
    return text;
}

/// Returns the catalogue text with its version replaced.
std::string withVersion (const std::string& text, std::uint64_t version)
{
    static const QRegularExpression line (QStringLiteral ("^version = [0-9]+$"),
                                          QRegularExpression::MultilineOption);
    QString changed = QString::fromStdString (text);
    const QRegularExpressionMatch match = line.match (changed);
    changed.replace (match.capturedStart(), match.capturedLength(),
                     QStringLiteral ("version = %1").arg (version));
    return changed.toStdString();
}

/// Router stubs and the time at which each put the expected version in force.
class ConnectedRouters
{
public:
    ConnectedRouters (std::int64_t count, const std::string& cell, const ControllerCluster& cluster)
    {
        for (std::int64_t number = 0; number < count; ++number)
        {
            RouterStub::Handlers handlers;
            handlers.onConfiguration = [this] (std::uint64_t version)
            { onConfiguration (version); };
            m_routers.push_back (std::make_unique<RouterStub> ("router-" + std::to_string (number),
                                                               cell, std::move (handlers)));
            m_routers.back()->connectTo (
                cluster.peerAddress (1 + static_cast<std::uint64_t> (number) % 3));
        }
    }

    void expect (std::uint64_t version)
    {
        m_expected = version;
        m_begin = m_clock.now();
        m_taken.clear();
    }

    [[nodiscard]] bool areReady() const
    {
        return std::all_of (m_routers.begin(), m_routers.end(),
                            [] (const auto& router) { return router->isReady(); });
    }
    [[nodiscard]] bool haveAllTaken() const { return m_taken.size() >= m_routers.size(); }
    [[nodiscard]] const std::vector<base::Duration>& taken() const { return m_taken; }

private:
    void onConfiguration (std::uint64_t version)
    {
        if (version == m_expected)
            m_taken.push_back (m_clock.now() - m_begin);
    }

    base::SystemClock m_clock;
    std::uint64_t m_expected = 0;
    base::TimePoint m_begin{};
    std::vector<base::Duration> m_taken;
    std::vector<std::unique_ptr<RouterStub>> m_routers;
};

struct ApplyFigures
{
    Samples atRouters;
    Samples atOperator;
};

base::Result<void> runApply (const ControllerCluster& cluster, ConnectedRouters& routers,
                             base::MemberId leader, const std::string& text, std::uint64_t version,
                             ApplyFigures& figures, std::vector<std::string>& rows)
{
    HttpRequest request = cluster.adminRequest (leader, "POST", "configuration", text);
    request.path += "?wait=1&timeout_ms=20000";
    routers.expect (version);
    const HttpOutcome outcome = callAndWait (request);
    const bool isTaken = waitUntil ([&] { return routers.haveAllTaken(); }, kWaitTimeout);
    if (outcome.status != kOk || ! isTaken)
    {
        return base::fail (base::ErrorKind::kInternal,
                           "version " + std::to_string (version) + " is not in force everywhere");
    }
    figures.atOperator.add (outcome.toEnd);
    const double atOperator = std::chrono::duration<double, std::milli> (outcome.toEnd).count();
    for (const base::Duration duration : routers.taken())
    {
        figures.atRouters.add (duration);
        rows.push_back (
            std::to_string (version) + ","
            + std::to_string (std::chrono::duration<double, std::milli> (duration).count()) + ","
            + std::to_string (atOperator));
    }
    return {};
}

}  // namespace

base::Result<int> measureApply (const MeasureOptions& options, std::ostream& out)
{
    BOOST_LEAF_AUTO (text, readFile (options.catalogue));
    const config::CatalogueOutcome parsed = config::parseCatalogue (text);
    if (! parsed.catalogue)
    {
        return base::fail (base::ErrorKind::kConfigurationInvalid,
                           options.catalogue + " is not valid");
    }
    const std::string cell = parsed.catalogue->cell.value;
    ControllerCluster cluster ({ .programs = options.programs,
                                 .run = options.run,
                                 .hasProxies = false,
                                 .cell = cell,
                                 .flags = options.controllerFlags });
    BOOST_LEAF_CHECK (cluster.start());
    if (cluster.apply (withVersion (text, 1)).status != kOk)
    {
        return base::fail (base::ErrorKind::kInternal,
                           "the cluster did not accept the first apply");
    }
    ConnectedRouters routers (options.routers, cell, cluster);
    if (! waitUntil ([&] { return routers.areReady(); }, kWaitTimeout))
    {
        return base::fail (base::ErrorKind::kRequestTimeout,
                           "a router did not receive a lease in time");
    }
    handleEventsFor (base::seconds (3));
    std::vector<std::string> rows{ "version,milliseconds_to_router,milliseconds_to_operator" };
    ApplyFigures figures;
    for (std::int64_t trial = 0; trial < options.trials; ++trial)
    {
        const auto version = static_cast<std::uint64_t> (trial) + 2;
        BOOST_LEAF_CHECK (runApply (cluster, routers, cluster.leader(), withVersion (text, version),
                                    version, figures, rows));
    }
    out << summaryLine ("apply until in force at a router", figures.atRouters);
    out << summaryLine ("apply until the operator is told", figures.atOperator);
    BOOST_LEAF_CHECK (writeCsv (options.csvFile, rows));
    return 0;
}

}  // namespace fernlift::lab
