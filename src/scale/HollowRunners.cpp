#include "scale/HollowRunners.h"

#include <utility>

#include "scale/ScaleCatalogue.h"
#include "standin/StandinServer.h"

namespace fernlift::scale
{
namespace
{

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr double kMegabytesPerSecond = 1e6;
const base::SocketAddress kAnyLoopbackPort{ "127.0.0.1", 0 };

standin::EngineOptions engineOptions (std::int64_t index, std::uint64_t incarnation)
{
    standin::EngineOptions options;
    options.runner = base::RunnerId (runnerName (index));
    options.incarnation = incarnation;
    options.totalMemory = kRunnerMemoryMegabytes;
    options.slots = kRunnerSlots;
    options.diskMegabytesPerSecond = kMegabytesPerSecond;
    options.memoryMegabytesPerSecond = kMegabytesPerSecond;
    options.cacheBlocks = 1;
    return options;
}

}  // namespace

HollowRunners::HollowRunners (HollowRunnersOptions options) : m_options (options) {}

base::Result<base::SocketAddress> HollowRunners::start()
{
    for (std::int64_t index = 0; index < m_options.runners; ++index)
    {
        BOOST_LEAF_CHECK (add (index));
    }
    m_listServer.setHandler (
        [this] (const http::Request& request, const std::shared_ptr<http::Responder>& responder)
        {
            if (request.path != "/machines")
            {
                standin::answerNotFound (*responder, request.path);
                return;
            }
            http::jsonResponse (kOk, engine::toJson (m_machines)).sendTo (*responder);
        });
    return m_listServer.listen (kAnyLoopbackPort);
}

base::Result<void> HollowRunners::add (std::int64_t index)
{
    const auto number = static_cast<std::uint64_t> (index) + 1;
    Node node;
    node.runner = std::make_unique<HollowRunner> (engineOptions (index, number), m_options.load,
                                                  m_options.seed + number, m_clock.now());
    node.server = std::make_unique<http::Server>();
    HollowRunner* runner = node.runner.get();
    node.server->setHandler ([this, runner] (const http::Request& request,
                                             const std::shared_ptr<http::Responder>& responder)
                             { handle (*runner, request, *responder); });
    BOOST_LEAF_AUTO (address, node.server->listen (kAnyLoopbackPort));
    engine::Machine machine;
    machine.runner = base::RunnerId (runnerName (index));
    machine.zone = base::ZoneName (zoneName (index));
    machine.address = address.toString();
    machine.memory = kRunnerMemoryMegabytes;
    machine.accelerators = kRunnerAccelerators;
    m_machines.machines.push_back (std::move (machine));
    m_nodes.push_back (std::move (node));
    return {};
}

void HollowRunners::handle (HollowRunner& runner, const http::Request& request,
                            http::Responder& responder)
{
    if (request.path == "/engine/report")
    {
        http::jsonResponse (kOk, engine::toJson (runner.report (m_clock.now()))).sendTo (responder);
        return;
    }
    if (request.path != "/engine/orders")
    {
        standin::answerNotFound (responder, request.path);
        return;
    }
    standin::withBody (
        responder, [&] { return engine::parseOrder (request.body); },
        [&] (const engine::Order& order)
        {
            const engine::OrderAnswer answer = runner.order (order, m_clock.now());
            http::jsonResponse (answer.accepted ? kOk : kConflict, engine::toJson (answer))
                .sendTo (responder);
            return true;
        });
}

}  // namespace fernlift::scale
