"""Admits a request: finds its route, checks key and lease, takes its allotment."""

import dataclasses
import random

from brasstrail.core import catalog
from brasstrail.roles import refusals

# A caller is sent to another gateway at once where this one is stopping, and asked
# back after a beat or two where it waits for control hosts.
STOPPING_RETRY_S = 0.1
CONTROL_RETRY_S = 1.0
MIN_RETRY_S = 0.1
# Refusals that end as soon as a control host confirms the gateway's lease.
PASSING_REASONS = ("lease", "no_document")


@dataclasses.dataclass(frozen=True)
class Admitted:
    """What was decided of a request before it waits for a server.

    `rank` orders it (see `pool.Work`), `cost` was taken from its workspace's
    allotment, `deadline_ms` is when its caller waits no longer.
    """

    route: catalog.Route
    rank: tuple[int, int]
    workspace: str | None
    service: str
    cost: float
    arrived_ms: int
    deadline_ms: float


def admit(gateway, call, arrived_ms):
    """Return an `Admitted`; raise `refusals.Refused`."""
    check_gateway(gateway)
    may_decide = gateway.lease.holds or not gateway.settings.fails_closed
    route = gateway.catalog.find_route(call.host, call.path)
    if route is None:
        if not may_decide:
            raise refusals.Refused(503, "lease", CONTROL_RETRY_S)
        raise refusals.Refused(404, "no_route")
    access = find_access(gateway.catalog, route, call.key, may_decide)
    tier = route.tier
    if access is not None and access.tier is not None:
        tier = access.tier
    service = catalog.choose_service(route, random.random())
    gateway.budget.record_request(service, arrived_ms)
    cost = take_allotment(gateway, access, call, arrived_ms)
    return Admitted(
        route,
        (tier, route.tier),
        access.workspace if access else None,
        service,
        cost,
        arrived_ms,
        arrived_ms + time_of(route, call),
    )


def check_gateway(gateway):
    """Raise `refusals.Refused` where the gateway serves nobody now."""
    if not gateway.takes_requests:
        raise refusals.Refused(503, "stopping", STOPPING_RETRY_S)
    if gateway.catalog is None:
        raise refusals.Refused(503, "no_document", CONTROL_RETRY_S)
    if gateway.held_bytes > gateway.settings.max_held_bytes:
        raise refusals.Refused(503, "memory", CONTROL_RETRY_S)


def time_of(route, call):
    """Return how long the caller waits, in milliseconds."""
    if call.deadline_ms is None:
        return route.time_limit_ms
    return min(route.time_limit_ms, call.deadline_ms)


def find_access(known, route, key, may_decide):
    """Return the `catalog.WorkspaceAccess` of a key, or None where none is needed."""
    access = known.workspaces_by_key.get(key)
    if not known.workspaces or route.is_public:
        return access
    if not may_decide:
        raise refusals.Refused(503, "lease", CONTROL_RETRY_S)
    if access is None:
        raise refusals.Refused(401, "unknown_key")
    return access


def take_allotment(gateway, access, call, now_ms):
    """Take a request's cost from its workspace; return it."""
    if access is None:
        return 0.0
    cost = cost_of(call, access.allotment)
    wait_s = gateway.allotments.acquire(access.workspace, cost, now_ms)
    if wait_s:
        raise refusals.Refused(429, "allotment", max(MIN_RETRY_S, wait_s))
    gateway.gossip.send_soon()
    return cost


def cost_of(call, allotment):
    """Return what a request takes from an allotment."""
    if allotment.unit is catalog.AllotmentUnit.REQUESTS:
        return 1.0
    if call.prompt is None:
        return allotment.default_tokens
    return float(call.prompt.input_tokens + call.prompt.max_output_tokens)
