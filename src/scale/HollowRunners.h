#pragma once

/// Many hollow runners in one process, each behind an HTTP server of its own, and the machine list
/// that names them.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/Error.h"
#include "base/SocketAddress.h"
#include "base/Time.h"
#include "http/Server.h"
#include "scale/HollowRunner.h"
#include "scale/LoadWalk.h"

namespace fernlift::scale
{

struct HollowRunnersOptions
{
    std::int64_t runners = 0;
    LoadWalkOptions load;
    std::uint64_t seed = 1;
};

/// Lives on the thread of the Qt event loop.
class HollowRunners
{
public:
    explicit HollowRunners (HollowRunnersOptions options);

    /// Listens on ports of 127.0.0.1 that the kernel picks. Returns the address of the machine
    /// list.
    [[nodiscard]] base::Result<base::SocketAddress> start();

private:
    struct Node
    {
        std::unique_ptr<HollowRunner> runner;
        std::unique_ptr<http::Server> server;
    };

    [[nodiscard]] base::Result<void> add (std::int64_t index);
    void handle (HollowRunner& runner, const http::Request& request, http::Responder& responder);

    HollowRunnersOptions m_options;
    base::SystemClock m_clock;
    engine::MachineList m_machines;
    std::vector<Node> m_nodes;
    http::Server m_listServer;
};

}  // namespace fernlift::scale
