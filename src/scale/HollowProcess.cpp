#include "scale/HollowProcess.h"

#include <algorithm>
#include <fstream>
#include <utility>

#include "lab/EventWait.h"

namespace fernlift::scale
{
namespace
{

std::string firstLine (const std::string& path)
{
    std::ifstream file (path);
    std::string text;
    std::getline (file, text);
    return text;
}

std::vector<std::string> argumentsOf (const HollowProcessPlan& plan, const std::string& addressFile)
{
    std::vector<std::string> arguments{ plan.role, "--address-file", addressFile, "--seed",
                                        std::to_string (plan.seed) };
    for (const Dimension& dimension : kDimensions)
    {
        std::string flag = "--" + std::string (dimension.name);
        std::replace (flag.begin(), flag.end(), '_', '-');
        arguments.insert (arguments.end(), { flag, std::to_string (plan.sizes.*dimension.size) });
    }
    arguments.insert (arguments.end(), plan.arguments.begin(), plan.arguments.end());
    return arguments;
}

}  // namespace

base::Result<HollowProcess> startHollowProcess (const HollowProcessPlan& plan,
                                                base::Duration timeout)
{
    const std::string addressFile = plan.filePrefix + ".address";
    HollowProcess started;
    started.process = std::make_unique<lab::ChildProcess> (lab::ProcessPlan{
        plan.program, argumentsOf (plan, addressFile), plan.filePrefix + ".log" });
    BOOST_LEAF_CHECK (started.process->start());
    lab::waitUntil ([&]
                    { return ! firstLine (addressFile).empty() || ! started.process->isRunning(); },
                    timeout);
    if (firstLine (addressFile).empty())
    {
        return base::fail (
            base::ErrorKind::kInternal,
            "the process " + plan.role + " did not start; see " + plan.filePrefix + ".log");
    }
    BOOST_LEAF_ASSIGN (started.address, base::SocketAddress::parse (firstLine (addressFile)));
    return started;
}

}  // namespace fernlift::scale
