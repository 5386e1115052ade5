"""Admission of a request: route lookup, key and lease checks, allotment charge."""

import dataclasses
import random

from brasstrail.core import catalog, clock
from brasstrail.roles import refusals

# Values of Retry-After. A caller can use another gateway at once if this one is
# stopping. If the gateway waits for control hosts, the caller retries after one or
# two heartbeats.
STOPPING_RETRY_S = 0.1
CONTROL_RETRY_S = 1.0
MIN_RETRY_S = 0.1
# Reasons for a refusal that no longer apply once a control host confirms the
# gateway's lease.
TRANSIENT_REASONS = ("lease", "no_document")


@dataclasses.dataclass(frozen=True)
class AdmittedRequest:
    """The result of admission, before the request waits for a server.

    `rank` is the queue priority (see `pool.Work`), `cost` is the amount charged to
    the workspace's allotment, `deadline_ms` is the time at which the caller stops
    waiting.
    """

    route: catalog.Route
    rank: tuple[int, int]
    workspace: str | None
    service: str
    cost: float
    arrived_ms: int
    deadline_ms: float


def admit(gateway, call, arrived_ms):
    """Return an `AdmittedRequest`; raise `refusals.Refused` if it is not admitted."""
    check_gateway(gateway)
    gateway.record_use()
    route = find_route(gateway, call.host, call.path)
    access = find_access(gateway, route, call.key)
    tier = route.tier
    if access is not None and access.tier is not None:
        tier = access.tier
    service = catalog.choose_service(route, random.random())
    gateway.budget.record_request(service, arrived_ms)
    cost = take_allotment(gateway, access, call, route.tier)
    return AdmittedRequest(
        route,
        (tier, route.tier),
        access.workspace if access else None,
        service,
        cost,
        arrived_ms,
        arrived_ms + request_timeout_ms(route, call),
    )


def check_head(gateway, call):
    """Raise `refusals.Refused` if the head alone determines that a request is refused.

    Reasons that may pass while the body is received are left to `admit`.
    """
    if not gateway.shutdown.accepts_requests:
        raise refusals.Refused(503, "stopping", STOPPING_RETRY_S)
    if gateway.catalog is None:
        return
    try:
        route = find_route(gateway, call.host, call.path)
        find_access(gateway, route, call.key)
    except refusals.Refused as refusal:
        if refusal.reason not in TRANSIENT_REASONS:
            raise


def check_gateway(gateway):
    """Raise `refusals.Refused` if the gateway cannot accept any request now."""
    if not gateway.shutdown.accepts_requests:
        raise refusals.Refused(503, "stopping", STOPPING_RETRY_S)
    if gateway.catalog is None:
        raise refusals.Refused(503, "no_document", CONTROL_RETRY_S)
    if gateway.held_bytes > gateway.settings.max_held_bytes:
        raise refusals.Refused(503, "memory", CONTROL_RETRY_S)


def request_timeout_ms(route, call):
    """Return how long the caller waits for an answer, in milliseconds."""
    if call.deadline_ms is None:
        return route.time_limit_ms
    return min(route.time_limit_ms, call.deadline_ms)


def find_route(gateway, host, path):
    """Return the route of a request; raise `refusals.Refused` if there is none."""
    route = gateway.catalog.find_route(host, path)
    if route is None:
        raise make_denial(gateway, 404, "no_route")
    return route


def find_access(gateway, route, key):
    """Return the `catalog.WorkspaceAccess` of a key, or None if none is required.

    Without a lease nothing with a key is admitted, also where this gateway's copy asks
    for none: both may have been taken away since. An unknown key is refused on a public
    route, too: whose requests they are would be unknown. Raises `refusals.Refused`.
    """
    has_keys = bool(gateway.catalog.workspaces)
    if key is None and (route.is_public or not has_keys):
        return None
    if not gateway.is_catalog_trusted:
        raise refusals.Refused(503, "lease", CONTROL_RETRY_S)
    access = gateway.catalog.workspaces_by_key.get(key)
    if access is None and has_keys:
        raise make_denial(gateway, 401, "unknown_key")
    return access


def make_denial(gateway, status, reason):
    """Return a refusal of what the copy of keys and routes does not hold.

    While a newer one may be in force, the caller is told to come back instead.
    """
    if not gateway.is_catalog_fresh:
        return refusals.Refused(503, "lease", CONTROL_RETRY_S)
    return refusals.Refused(status, reason)


def take_allotment(gateway, access, call, tier):
    """Charge a request's cost to its workspace; return the cost.

    `tier` is that of the route: less urgent requests are refused first. The cost is
    charged now, however long the request has waited for the lease.
    """
    now_ms = clock.now_ms()
    if access is None:
        return 0.0
    cost = allotment_cost(call, access.allotment)
    gateway.catch_up(now_ms)
    wait_s = gateway.allotments.acquire(access.workspace, cost, now_ms, tier)
    if wait_s:
        log_refusal(gateway, access.workspace, call, cost, wait_s)
        raise refusals.Refused(429, "allotment", max(MIN_RETRY_S, wait_s))
    gateway.gossip.send_soon()
    return cost


def log_refusal(gateway, workspace, call, cost, wait_s):
    """Log that a request is beyond the allotment of its workspace."""
    standing = gateway.allotments.standing(workspace, clock.now_ms())
    gateway.log.info(
        "admitting: A request is beyond the allotment.",
        id=call.attempt_id,
        workspace=workspace,
        cost=cost,
        left=round(standing.left),
        rate=round(standing.rate),
        silent=standing.silent,
        wait_s=round(wait_s, 3),
    )


def allotment_cost(call, allotment):
    """Return the cost of a request in the allotment's unit: requests or tokens."""
    if allotment.unit is catalog.AllotmentUnit.REQUESTS:
        return 1.0
    if call.prompt is None:
        return allotment.default_tokens
    return float(call.prompt.input_tokens + call.prompt.max_output_tokens)
