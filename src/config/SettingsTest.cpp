#include <gtest/gtest.h>

#include <QTemporaryDir>
#include <fstream>

#include "base/Error.h"
#include "config/Settings.h"

namespace fernlift::config
{
namespace
{

/// A program's settings, one of each type.
struct Example
{
    std::string name = "router-1";
    std::vector<std::string> zones{ "z1" };
    std::int64_t workers = 2;
    double share = 0.5;
    base::Duration timeout = base::milliseconds (300);
    bool isStrict = false;
    base::SocketAddress http;
    base::SocketAddress admin;
    std::vector<base::SocketAddress> peers;
    std::string mode = "fast";
    log::Options logging;

    void declare (SettingsSchema& schema)
    {
        schema.addString ("name", &name, "Name of the process.")
            .addStringList ("zones", &zones, "Zones.")
            .addInteger ("workers", &workers, 1, 9, "Workers.")
            .addReal ("share", &share, 0, 1, "Share.")
            .addDuration ("timeout_ms", &timeout, base::milliseconds (1), base::seconds (1),
                          "Timeout.")
            .addBoolean ("is_strict", &isStrict, "Strict.")
            .addAddress ("http_address", &http, "HTTP interface.")
            .required()
            .addAddress ("admin_address", &admin, "Admin interface.")
            .addAddressList ("peers", &peers, "Peers.")
            .addChoice ("mode", &mode, { "fast", "slow" }, "Mode.")
            .addCheck (
                [this] {
                    return findAddressClashes (
                        { { "http_address", http }, { "admin_address", admin } });
                })
            .setPositionals ("[FILE]");
        addLoggingSettings (schema, &logging);
    }
};

/// Outcome and printed text of one run of the command line parser.
struct Invocation
{
    CommandLineOutcome outcome;
    std::string output;
    std::string errors;
};

class SettingsTest : public testing::Test
{
protected:
    std::string writeFile (const std::string& text)
    {
        std::string path = m_directory.filePath (QStringLiteral ("settings.toml")).toStdString();
        std::ofstream (path) << text;
        return path;
    }

    Invocation run (std::vector<std::string> arguments)
    {
        arguments.insert (arguments.begin(), "fernlift-example");
        std::vector<char*> pointers;
        pointers.reserve (arguments.size() + 1);
        for (std::string& argument : arguments)
            pointers.push_back (argument.data());
        pointers.push_back (nullptr);
        SettingsSchema schema ("fernlift-example", "an example.");
        m_example.declare (schema);
        testing::internal::CaptureStdout();
        testing::internal::CaptureStderr();
        Invocation result;
        result.outcome =
            parseCommandLine (static_cast<int> (arguments.size()), pointers.data(), schema);
        result.output = testing::internal::GetCapturedStdout();
        result.errors = testing::internal::GetCapturedStderr();
        return result;
    }

    QTemporaryDir m_directory;
    Example m_example;
};

const int kUsageCode = base::traitsOf (base::ErrorKind::kUsage).exitCode;
const int kInvalidCode = base::traitsOf (base::ErrorKind::kSettingsInvalid).exitCode;

TEST_F (SettingsTest, FileSetsEveryType)
{
    const std::string path = writeFile (R"(
name = "a"
zones = ["z2", "z3"]
workers = 3
share = 1
timeout_ms = 20
is_strict = true
http_address = "127.0.0.1:8080"
peers = ["127.0.0.2:1", "127.0.0.3:2"]
mode = "slow"
log_format = "json"
log_level = "warning"
)");
    const Invocation result = run ({ "--settings", path, "rest" });
    ASSERT_FALSE (result.outcome.exitCode) << result.errors;
    EXPECT_EQ (result.outcome.positionals, std::vector<std::string>{ "rest" });
    EXPECT_EQ (m_example.name, "a");
    EXPECT_EQ (m_example.zones, (std::vector<std::string>{ "z2", "z3" }));
    EXPECT_EQ (m_example.workers, 3);
    EXPECT_EQ (m_example.share, 1.0);
    EXPECT_EQ (m_example.timeout, base::milliseconds (20));
    EXPECT_TRUE (m_example.isStrict);
    EXPECT_EQ (m_example.http.toString(), "127.0.0.1:8080");
    EXPECT_EQ (m_example.peers.size(), 2U);
    EXPECT_EQ (m_example.mode, "slow");
    EXPECT_EQ (m_example.logging.format, log::Format::kJson);
    EXPECT_EQ (m_example.logging.minimumSeverity, log::Severity::kWarning);
}

TEST_F (SettingsTest, FlagsOverrideTheFile)
{
    const std::string path = writeFile (
        "workers = 3\nis_strict = true\nzones = [\"z2\"]\nhttp_address = \"127.0.0.1:1\"\n");
    const Invocation result = run ({ "--workers=4", "--no-is-strict", "--zones", "z8", "--zones",
                                     "z9", "--settings", path, "--http-address", "127.0.0.1:2" });
    ASSERT_FALSE (result.outcome.exitCode) << result.errors;
    EXPECT_EQ (m_example.workers, 4);
    EXPECT_FALSE (m_example.isStrict);
    EXPECT_EQ (m_example.zones, (std::vector<std::string>{ "z8", "z9" }));
    EXPECT_EQ (m_example.http.port, 2);
}

TEST_F (SettingsTest, ReportsAllErrorsAtOnceWithLineAndKey)
{
    const std::string path = writeFile (
        "workers = 10\nshare = \"half\"\nunknown = 1\nmode = \"odd\"\npeers = \"127.0.0.1:1\"\n"
        "timeout_ms = 1.5\nhttp_address = \"localhost:1\"\n");
    const Invocation result = run ({ "--settings", path, "--admin-address", "127.0.0.1:99999" });
    EXPECT_EQ (result.outcome.exitCode, kInvalidCode);
    const std::vector<std::string> expected{
        path + ":1: workers: found '10', allowed: integer from 1 to 9",
        path + ":2: share: found 'half', allowed: number from 0 to 1",
        path + ":3: unknown: unknown key",
        path + ":4: mode: found 'odd', allowed: one of fast, slow",
        path + ":5: peers: found '127.0.0.1:1', allowed: [array] as a list",
        path + ":6: timeout_ms: found 1.5, allowed: whole milliseconds from 1 to 1000",
        path + ":7: http_address: found 'localhost:1', allowed: numeric IPv4",
        "--admin-address: found '127.0.0.1:99999', allowed: numeric IPv4"
    };
    for (const std::string& message : expected)
    {
        EXPECT_NE (result.errors.find ("fernlift-example: " + message), std::string::npos)
            << message << "\nin\n"
            << result.errors;
    }
}

TEST_F (SettingsTest, ReportsMissingKey)
{
    const Invocation result = run ({});
    EXPECT_EQ (result.outcome.exitCode, kInvalidCode);
    EXPECT_NE (result.errors.find ("http_address: missing"), std::string::npos) << result.errors;
}

TEST_F (SettingsTest, ReportsConflictingAddresses)
{
    const Invocation result =
        run ({ "--http-address", "127.0.0.1:80", "--admin-address", "0.0.0.0:80", "--workers=0" });
    EXPECT_EQ (result.outcome.exitCode, kInvalidCode);
    EXPECT_NE (result.errors.find ("admin_address: found 0.0.0.0:80, which clashes"),
               std::string::npos)
        << result.errors;
    EXPECT_NE (result.errors.find ("--workers: found '0'"), std::string::npos) << result.errors;
}

TEST_F (SettingsTest, PortZeroConflictsWithNothing)
{
    const Invocation result =
        run ({ "--http-address", "127.0.0.1:0", "--admin-address", "127.0.0.1:0" });
    EXPECT_FALSE (result.outcome.exitCode) << result.errors;
}

TEST_F (SettingsTest, UnknownFlagsAreUsageErrors)
{
    const Invocation result = run ({ "--wrong", "--odd", "--http-address", "127.0.0.1:80" });
    EXPECT_EQ (result.outcome.exitCode, kUsageCode);
    EXPECT_NE (result.errors.find ("--wrong"), std::string::npos);
    EXPECT_NE (result.errors.find ("--odd"), std::string::npos);
}

TEST_F (SettingsTest, FlagWithoutValueIsAUsageError)
{
    EXPECT_EQ (run ({ "--http-address" }).outcome.exitCode, kUsageCode);
}

TEST_F (SettingsTest, ReportsInvalidFileWithItsLine)
{
    const std::string path = writeFile ("workers = 1\nworkers = 2\n");
    const Invocation result = run ({ "--settings", path });
    EXPECT_EQ (result.outcome.exitCode, kInvalidCode);
    EXPECT_NE (result.errors.find (path + ":2: not valid TOML"), std::string::npos)
        << result.errors;
}

TEST_F (SettingsTest, ReportsMissingFile)
{
    const Invocation result = run ({ "--settings", "/nonexistent.toml" });
    EXPECT_EQ (result.outcome.exitCode, kInvalidCode);
    EXPECT_NE (result.errors.find ("/nonexistent.toml: cannot be read"), std::string::npos);
}

TEST_F (SettingsTest, CheckConfigExitsWithoutError)
{
    const Invocation result = run ({ "--check-config", "--http-address", "127.0.0.1:80" });
    EXPECT_EQ (result.outcome.exitCode, 0);
    EXPECT_NE (result.output.find ("settings are valid"), std::string::npos);
    EXPECT_EQ (run ({ "--check-config", "--workers=x" }).outcome.exitCode, kInvalidCode);
}

TEST_F (SettingsTest, HelpListsFlagsWithTypeAndDefault)
{
    const Invocation result = run ({ "--help" });
    EXPECT_EQ (result.outcome.exitCode, 0);
    for (const char* part : { "--http-address", "required", "--workers", "default: 2",
                              "--no-is-strict", "--settings", "--log-level", "[FILE]" })
    {
        EXPECT_NE (result.output.find (part), std::string::npos) << part << " in\n"
                                                                 << result.output;
    }
}

TEST_F (SettingsTest, VersionPrintsTheProgramName)
{
    const Invocation result = run ({ "--version" });
    EXPECT_EQ (result.outcome.exitCode, 0);
    EXPECT_EQ (result.output.rfind ("fernlift-example 0.", 0), 0U) << result.output;
}

}  // namespace
}  // namespace fernlift::config
