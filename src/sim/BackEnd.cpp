#include "sim/BackEnd.h"

#include <utility>

#include "sim/RouterNode.h"

namespace fernlift::sim
{

void Attempt::sendEvent (router::AttemptEvent event) const
{
    connection->send (
        Side::kAcceptor,
        [router = router, runNumber = routerRunNumber, id = id, event = std::move (event)] {
            router->postTo (runNumber, [router, id, event] { router->onAttemptEvent (id, event); });
        });
}

BackEnd::BackEnd (World& world, NodeId node, const std::string& name, engine::Machine machine)
    : Process (world.network, world.trace, node, name, drawDrift (world.random)),
      m_world (world),
      m_machine (std::move (machine))
{
}

}  // namespace fernlift::sim
