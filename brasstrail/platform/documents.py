"""Decodes the platform's configuration document into a catalog.

Names that mislead: `type` of a route says what may be repeated and `streaming` is
one of its values; `priority` 0 is the highest, while tiers begin at 1; `goal_ms` of
a stream is the goal of its first event; `itl_goal_ms` is the longest pause between
events; `stride` is the tokens in an event; `max_attempts` counts servers; `tenants`
are workspaces; `rate_per_s` and `burst` count tokens where `unit` is `token_count`.
"""

import orjson

from brasstrail.core import catalog, errors

KINDS = {
    "idempotent": catalog.RouteKind.IDEMPOTENT,
    "non_idempotent": catalog.RouteKind.NON_IDEMPOTENT,
    "streaming": catalog.RouteKind.STREAM,
}
UNITS = {
    "token_count": catalog.AllotmentUnit.TOKENS,
    "request_count": catalog.AllotmentUnit.REQUESTS,
}
LEAST_PATIENCE_MS = 2000.0
GOALS_WAITED = 4.0
PAUSES_WAITED = 8.0
REMEDY = "Correct what is named and send it again."


class Problem(Exception):
    """One thing that is wrong with a document."""


def decode(body):
    """Return the catalog in a document; raise `errors.InvalidChange`."""
    try:
        return read_catalog(orjson.loads(body))
    except orjson.JSONDecodeError as error:
        raise errors.InvalidChange(f"It is not JSON: {error}.", REMEDY) from error
    except Problem as error:
        raise errors.InvalidChange(f"{error}.", REMEDY) from error


def read_catalog(document):
    """Return the catalog in a decoded document; raise `Problem`."""
    if not isinstance(document, dict):
        raise Problem("the document is no object")
    services = tuple(read_service(each) for each in items(document, "services"))
    names = {service.name for service in services}
    routes = tuple(read_route(each, names) for each in items(document, "routes"))
    check_places(routes)
    workspaces = tuple(read_workspace(each) for each in items(document, "tenants"))
    check_keys(workspaces)
    return catalog.Catalog(
        whole(document, "version"),
        routes,
        services,
        read_limits(document.get("limits")),
        workspaces,
    )


def read_service(table):
    """Return a service."""
    engine = table.get("runtime")
    return catalog.Service(
        text(table, "name"),
        int(number(table, "max_conns", 0)),
        text(table, "health_path", ""),
        read_engine(engine) if isinstance(engine, dict) else None,
    )


def read_engine(table):
    """Return what is known of a service's engines."""
    return catalog.Engine(
        int(number(table, "slots", 1)),
        int(number(table, "kv_capacity", 0)),
        max(1.0, number(table, "stride", 1)),
    )


def read_route(table, services):
    """Return a route; `services` are the names that it may use."""
    name = text(table, "name")
    kind = table.get("type")
    if kind not in KINDS:
        raise Problem(f"route {name!r} has the unknown type {kind!r}")
    time_limit_ms = number(table, "timeout_ms")
    if time_limit_ms <= 0:
        raise Problem(f"route {name!r} has no time-out above 0")
    prefix = text(table, "path_prefix")
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise Problem(f"route {name!r}: its prefix needs a slash at both ends")
    return catalog.Route(
        name,
        text(table, "host").lower(),
        prefix,
        KINDS[kind],
        read_splits(table, name, services),
        int(number(table, "priority", 0)) + 1,
        time_limit_ms,
        number(table, "goal_ms", time_limit_ms),
        max(1, int(number(table, "max_attempts", 1))),
        flag(table, "public"),
        flag(table, "resumable"),
        number(table, "itl_goal_ms", 0),
        read_patience(table, time_limit_ms),
    )


def read_patience(table, time_limit_ms):
    """Return how long callers wait for the next event of a stream.

    The platform states it: the longest of two seconds, four times the goal of the
    first event, and eight times the longest pause that is on time.
    """
    if KINDS[table["type"]] is not catalog.RouteKind.STREAM:
        return time_limit_ms
    goal_ms = number(table, "goal_ms", time_limit_ms)
    pause_ms = number(table, "itl_goal_ms", 0)
    return max(LEAST_PATIENCE_MS, GOALS_WAITED * goal_ms, PAUSES_WAITED * pause_ms)


def read_splits(table, name, services):
    """Return a route's services and their shares."""
    if table.get("split"):
        splits = tuple(
            catalog.Split(text(each, "service"), number(each, "weight"))
            for each in items(table, "split")
        )
    else:
        splits = (catalog.Split(text(table, "service"), 1.0),)
    for split in splits:
        if split.service not in services:
            raise Problem(f"route {name!r} names unknown service {split.service!r}")
        if split.weight < 0:
            raise Problem(f"route {name!r} has a weight below 0")
    if sum(split.weight for split in splits) <= 0:
        raise Problem(f"route {name!r}: its weights add up to 0")
    return splits


def read_limits(table):
    """Return the bounds on callers."""
    if table is None:
        return catalog.CallerLimits()
    if not isinstance(table, dict):
        raise Problem("limits is no object")
    usual = catalog.CallerLimits()
    return catalog.CallerLimits(
        int(number(table, "max_header_bytes", usual.max_header_bytes)),
        int(number(table, "max_body_bytes", usual.max_body_bytes)),
        number(table, "header_timeout_ms", usual.header_timeout_ms),
        number(table, "idle_timeout_ms", usual.idle_timeout_ms),
    )


def read_workspace(table):
    """Return a workspace's keys, tier and allotment."""
    name = text(table, "name")
    keys = table.get("api_keys", [])
    if not isinstance(keys, list) or not all(isinstance(key, str) for key in keys):
        raise Problem(f"tenant {name!r}: its keys are no list of words")
    priority = table.get("priority")
    if priority is not None and type(priority) is not int:
        raise Problem(f"tenant {name!r}: its priority is no whole number")
    allotment = catalog.Allotment(
        UNITS.get(table.get("unit"), catalog.AllotmentUnit.REQUESTS),
        number(table, "rate_per_s", 0),
        number(table, "burst", 0),
        number(table, "uncached_tokens", 1),
    )
    tier = None if priority is None else priority + 1
    return catalog.WorkspaceAccess(name, tuple(keys), allotment, tier)


def check_places(routes):
    """Raise `Problem` where two routes have the same host and prefix."""
    places = set()
    for route in routes:
        place = route.host, route.prefix
        if place in places:
            raise Problem(f"route {route.name!r} has the place of another route")
        places.add(place)


def check_keys(workspaces):
    """Raise `Problem` where two workspaces share a key."""
    holders = {}
    for workspace in workspaces:
        for key in workspace.keys:
            if holders.setdefault(key, workspace.workspace) != workspace.workspace:
                raise Problem(
                    f"tenants {holders[key]!r} and {workspace.workspace!r} share a key"
                )


def items(table, name):
    """Return a list of objects; a list that is not given is empty."""
    value = table.get(name)
    if value is None:
        return []
    if not isinstance(value, list) or not all(isinstance(each, dict) for each in value):
        raise Problem(f"{name} is no list of objects")
    return value


def text(table, name, default=None):
    """Return a word."""
    value = table.get(name, default)
    if not isinstance(value, str) or (default is None and not value):
        raise Problem(f"{name} is no word")
    return value


def number(table, name, default=None):
    """Return a number."""
    value = table.get(name, default)
    if value is None and default is not None:
        return default
    if type(value) not in (int, float):
        raise Problem(f"{name} is no number")
    return value


def whole(table, name):
    """Return a whole number that is not negative."""
    value = table.get(name)
    if type(value) is not int or value < 0:
        raise Problem(f"{name} is no whole number")
    return value


def flag(table, name):
    """Return a truth value; one that is not given is false."""
    value = table.get(name, False)
    if type(value) is not bool:
        raise Problem(f"{name} is neither true nor false")
    return value
