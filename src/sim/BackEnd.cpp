#include "sim/BackEnd.h"

#include <utility>

#include "sim/RouterNode.h"

namespace fernlift::sim
{

void Attempt::tell (router::AttemptEvent event) const
{
    connection->send (
        Side::kAcceptor, [router = router, life = routerLife, id = id, event = std::move (event)]
        { router->postTo (life, [router, id, event] { router->onAttemptEvent (id, event); }); });
}

BackEnd::BackEnd (World& world, NodeId node, const std::string& name, engine::Machine machine)
    : Process (world.network, world.trace, node, name, drawDrift (world.random)),
      m_world (world),
      m_machine (std::move (machine))
{
}

}  // namespace fernlift::sim
