/**
 * The cell's reserve of retries: the leader grants shares of it to routers; controllers that do not
 * lead forward requests and grants. See docs/design/retry-reserve.md.
 */

#include <utility>

#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{

void ControllerCore::Implementation::announceRetryReserve (RouterConnection connection,
                                                           const cell::RouterHello& hello)
{
    if ((hello.features & cell::kReadsRetryReserve) != 0)
        sendToRouter (connection, cell::RetryReserveGrants{});
}

void ControllerCore::Implementation::grantRetryReserve (RouterConnection connection,
                                                        const cell::RetryReserveRequests& requests)
{
    // Another member may be the leader by now and grant from its own ledger.
    if (! holdsLease())
        return;
    m_leader->retryReserve.setRouters (m_leader->sessions.countRouters());
    cell::RetryReserveGrants answer;
    for (const cell::RetryReserveRequest& request : requests.requests)
    {
        if (auto grant = m_leader->retryReserve.answer (request, m_now))
            answer.grants.push_back (*grant);
    }
    if (! answer.grants.empty())
        sendToRouter (connection, std::move (answer));
}

void ControllerCore::Implementation::applyRetryReserveGrants (
    const cell::RetryReserveGrants& grants)
{
    for (RetryReserveRelay::Answer& answer : m_relay->retryReserve.onGrants (grants))
        sendToRouter (answer.router, std::move (answer.grants));
}

}  // namespace fernlift::controller
