#include "proxy/ControllerPreference.h"

#include <algorithm>
#include <functional>
#include <string>
#include <tuple>
#include <utility>

namespace fernlift::proxy
{

std::vector<base::SocketAddress> preferredControllers (
    std::span<const cell::ControllerEndpoint> controllers, std::string_view router,
    std::string_view zone)
{
    using Rank = std::tuple<bool, bool, std::size_t>;
    std::vector<std::pair<Rank, base::SocketAddress>> ranked;
    for (const cell::ControllerEndpoint& controller : controllers)
    {
        auto address = base::SocketAddress::tryParse (controller.peerAddress);
        if (! address)
            continue;
        // Rendezvous hashing: adding or removing a controller moves only its own share of the
        // routers.
        const std::string text = std::string (router) + '\n' + controller.peerAddress;
        const Rank rank{ controller.isLeader, controller.zone != zone,
                         std::hash<std::string>() (text) };
        ranked.emplace_back (rank, std::move (*address));
    }
    std::ranges::sort (ranked, {}, &decltype (ranked)::value_type::first);
    std::vector<base::SocketAddress> addresses;
    addresses.reserve (ranked.size());
    for (auto& [rank, address] : ranked)
        addresses.push_back (std::move (address));
    return addresses;
}

}  // namespace fernlift::proxy
