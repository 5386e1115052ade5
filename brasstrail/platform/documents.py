"""Decodes the platform's configuration document into a catalog.

Some of the platform's names are misleading:

- `type` of a route says whether its requests may be repeated; `streaming` is one of
  its values.
- `priority` 0 is the highest priority, while tiers start at 1.
- `goal_ms` of a stream is the goal for its first event.
- `itl_goal_ms` is the longest pause between two events of a stream that is on time.
- `stride` is the number of tokens in one event of a stream.
- `max_attempts` is the number of servers that one request may be sent to.
- `tenants` are workspaces.
- `rate_per_s` and `burst` count tokens if `unit` is `token_count`, and requests
  otherwise.
- `uncached_tokens` is the cost of a request that does not state its tokens.
- `runtime` holds the capacity of a service's engines, and its `kv_capacity` the
  tokens that fit into an engine's memory.
"""

import orjson

from brasstrail.core import bounds, catalog, errors

ROUTE_KINDS_BY_TYPE = {
    "idempotent": catalog.RouteKind.IDEMPOTENT,
    "non_idempotent": catalog.RouteKind.NON_IDEMPOTENT,
    "streaming": catalog.RouteKind.STREAM,
}
ALLOTMENT_UNITS = {
    "token_count": catalog.AllotmentUnit.TOKENS,
    "request_count": catalog.AllotmentUnit.REQUESTS,
}
# The platform states these bounds; `decode_event_timeout_ms` applies them.
MIN_EVENT_TIMEOUT_MS = 2000.0
EVENT_TIMEOUT_GOALS = 4.0
EVENT_TIMEOUT_PAUSES = 8.0
# Routes that are decoded in about 3 ms.
ROUTES_PER_STEP = 100
REMEDY = "Correct what is named and send it again."


class InvalidDocument(Exception):
    """A document contains an invalid value; the message names it."""


class Decoder:
    """Decodes successive documents, and in each only the routes that have changed.

    Attributes
    ----------
    known : the routes of the last document: the decoded route and the JSON text that
        it was decoded from, by the host and prefix in it.
    known_services : the names of the services in the last document.
    """

    def __init__(self):
        self.known = {}
        self.known_services = set()

    def decode(self, body):
        """Return the catalog in a document; raise `errors.InvalidChange` if invalid."""
        steps = self.steps(body)
        while True:
            try:
                next(steps)
            except StopIteration as end:
                return end.value

    def steps(self, body):
        """Decode a document in steps of a few milliseconds, and return its catalog.

        This is a generator, so that a process can serve requests between two steps.
        Raises `errors.InvalidChange` if the document is invalid.
        """
        try:
            return (yield from self.catalog_steps(orjson.loads(body)))
        except orjson.JSONDecodeError as error:
            raise errors.InvalidChange(f"It is not JSON: {error}.", REMEDY) from error
        except orjson.JSONEncodeError as error:
            # It is nested too deeply to be compared with later documents.
            raise errors.InvalidChange(
                f"It cannot be read: {error}.", REMEDY
            ) from error
        except InvalidDocument as error:
            raise errors.InvalidChange(f"{error}.", REMEDY) from error

    def catalog_steps(self, document):
        """Decode a parsed document in steps; raise `InvalidDocument` if invalid."""
        if not isinstance(document, dict):
            raise InvalidDocument("the document is no object")
        for name in ("routes", "services"):
            if document.get(name) is None:
                raise InvalidDocument(f"{name} is missing")
        services = tuple(
            decode_service(each) for each in get_objects(document, "services")
        )
        service_names = {service.name for service in services}
        routes = []
        known = {}
        for json_object in get_objects(document, "routes"):
            text = orjson.dumps(json_object)
            place = json_object.get("host"), json_object.get("path_prefix")
            route = self.find_known(place, text, service_names)
            if route is None:
                route = decode_route(json_object, service_names)
            known[place] = route, text
            routes.append(route)
            if len(routes) % ROUTES_PER_STEP == 0:
                yield
        decoded = finish_catalog(document, services, tuple(routes))
        self.known, self.known_services = known, service_names
        return decoded

    def find_known(self, place, text, service_names):
        """Return the route that the same JSON text was decoded to, or None."""
        try:
            route, earlier = self.known.get(place, (None, b""))
        except TypeError:
            # The place is no pair of words; to decode it raises `InvalidDocument`.
            return None
        if earlier != text:
            return None
        if service_names != self.known_services and any(
            split.service not in service_names for split in route.splits
        ):
            return None
        return route


def service_names(body):
    """Return the names of the services in a document that was decoded before."""
    return {each["name"] for each in orjson.loads(body)["services"]}


def decode(body):
    """Return the catalog in a document; raise `errors.InvalidChange` if invalid."""
    return Decoder().decode(body)


def finish_catalog(document, services, routes):
    """Return the catalog of a document whose services and routes are decoded."""
    check_routes_are_distinct(routes)
    workspaces = tuple(
        decode_workspace(each) for each in get_objects(document, "tenants")
    )
    check_keys_are_distinct(workspaces)
    return catalog.Catalog(
        get_non_negative_integer(document, "version"),
        routes,
        services,
        decode_caller_limits(document.get("limits")),
        workspaces,
    )


def decode_service(json_object):
    """Return a service; its engine is None if no `runtime` is given."""
    engine = json_object.get("runtime")
    return catalog.Service(
        get_string(json_object, "name"),
        int(get_number(json_object, "max_conns", 0)),
        get_string(json_object, "health_path", ""),
        decode_engine(engine) if isinstance(engine, dict) else None,
    )


def decode_engine(json_object):
    """Return the capacity of a service's engines."""
    return catalog.Engine(
        int(get_number(json_object, "slots", 1)),
        int(get_number(json_object, "kv_capacity", 0)),
        max(1.0, get_number(json_object, "stride", 1)),
    )


def decode_route(json_object, service_names):
    """Return a route; it may refer only to services in `service_names`."""
    name = get_string(json_object, "name")
    route_type = json_object.get("type")
    if route_type not in ROUTE_KINDS_BY_TYPE:
        raise InvalidDocument(f"route {name!r} has the unknown type {route_type!r}")
    time_limit_ms = get_number(json_object, "timeout_ms")
    if time_limit_ms <= 0:
        raise InvalidDocument(f"route {name!r} has no time-out above 0")
    prefix = get_string(json_object, "path_prefix")
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise InvalidDocument(f"route {name!r}: its prefix needs a slash at both ends")
    return catalog.Route(
        name,
        get_string(json_object, "host").lower(),
        prefix,
        ROUTE_KINDS_BY_TYPE[route_type],
        decode_splits(json_object, name, service_names),
        int(get_number(json_object, "priority", 0)) + 1,
        time_limit_ms,
        get_number(json_object, "goal_ms", time_limit_ms),
        max(1, int(get_number(json_object, "max_attempts", 1))),
        get_boolean(json_object, "public"),
        get_boolean(json_object, "resumable"),
        get_number(json_object, "itl_goal_ms", 0),
        decode_event_timeout_ms(json_object, time_limit_ms),
    )


def decode_event_timeout_ms(json_object, time_limit_ms):
    """Return how long callers wait for the next event of a stream.

    The platform defines it as the largest of two seconds, four times the goal of
    the first event, and eight times the longest pause that is on time. For a
    route without streams it is the time limit of the request.
    """
    if ROUTE_KINDS_BY_TYPE[json_object["type"]] is not catalog.RouteKind.STREAM:
        return time_limit_ms
    goal_ms = get_number(json_object, "goal_ms", time_limit_ms)
    max_pause_ms = get_number(json_object, "itl_goal_ms", 0)
    return max(
        MIN_EVENT_TIMEOUT_MS,
        EVENT_TIMEOUT_GOALS * goal_ms,
        EVENT_TIMEOUT_PAUSES * max_pause_ms,
    )


def decode_splits(json_object, name, service_names):
    """Return a route's services with their weights; the weights are relative."""
    if json_object.get("split"):
        splits = tuple(
            catalog.Split(get_string(each, "service"), get_number(each, "weight"))
            for each in get_objects(json_object, "split")
        )
    else:
        splits = (catalog.Split(get_string(json_object, "service"), 1.0),)
    for split in splits:
        if split.service not in service_names:
            raise InvalidDocument(
                f"route {name!r} names unknown service {split.service!r}"
            )
        if split.weight < 0:
            raise InvalidDocument(f"route {name!r} has a weight below 0")
    if sum(split.weight for split in splits) <= 0:
        raise InvalidDocument(f"route {name!r}: its weights add up to 0")
    return splits


def decode_caller_limits(json_object):
    """Return the size limits and time-outs for callers; missing ones are defaults."""
    if json_object is None:
        return catalog.CallerLimits()
    if not isinstance(json_object, dict):
        raise InvalidDocument("limits is no object")
    defaults = catalog.CallerLimits()
    return catalog.CallerLimits(
        int(get_number(json_object, "max_header_bytes", defaults.max_header_bytes)),
        int(get_number(json_object, "max_body_bytes", defaults.max_body_bytes)),
        get_number(json_object, "header_timeout_ms", defaults.header_timeout_ms),
        get_number(json_object, "idle_timeout_ms", defaults.idle_timeout_ms),
    )


def decode_workspace(json_object):
    """Return a workspace's API keys, its allotment and its tier, if it has one."""
    name = get_string(json_object, "name")
    keys = json_object.get("api_keys", [])
    if not isinstance(keys, list) or not all(isinstance(key, str) for key in keys):
        raise InvalidDocument(f"tenant {name!r}: its keys are no list of words")
    priority = json_object.get("priority")
    if priority is not None and type(priority) is not int:
        raise InvalidDocument(f"tenant {name!r}: its priority is no whole number")
    allotment = catalog.Allotment(
        ALLOTMENT_UNITS.get(json_object.get("unit"), catalog.AllotmentUnit.REQUESTS),
        get_number(json_object, "rate_per_s", 0),
        get_number(json_object, "burst", 0),
        get_number(json_object, "uncached_tokens", 1),
    )
    tier = None if priority is None else priority + 1
    return catalog.WorkspaceAccess(name, tuple(keys), allotment, tier)


def check_routes_are_distinct(routes):
    """Raise `InvalidDocument` if two routes have the same host and prefix."""
    seen = set()
    for route in routes:
        host_and_prefix = route.host, route.prefix
        if host_and_prefix in seen:
            raise InvalidDocument(
                f"route {route.name!r} has the place of another route"
            )
        seen.add(host_and_prefix)


def check_keys_are_distinct(workspaces):
    """Raise `InvalidDocument` if two workspaces share an API key."""
    owners = {}
    for access in workspaces:
        for key in access.keys:
            if owners.setdefault(key, access.workspace) != access.workspace:
                raise InvalidDocument(
                    f"tenants {owners[key]!r} and {access.workspace!r} share a key"
                )


def get_objects(json_object, name):
    """Return the list of JSON objects in a field, or [] if it is missing or null.

    Raises `InvalidDocument` if the value is not a list of JSON objects.
    """
    value = json_object.get(name)
    if value is None:
        return []
    if not isinstance(value, list) or not all(isinstance(each, dict) for each in value):
        raise InvalidDocument(f"{name} is no list of objects")
    return value


def get_string(json_object, name, default=None):
    """Return the string in a field; raise `InvalidDocument` if there is none.

    A missing field has the value `default`. An empty string is invalid unless a
    `default` is given.
    """
    value = json_object.get(name, default)
    if not isinstance(value, str) or (default is None and not value):
        raise InvalidDocument(f"{name} is no word")
    return value


def get_number(json_object, name, default=None):
    """Return the number in a field; raise `InvalidDocument` if there is none.

    A field that is missing or null has the value `default`, if one is given.
    """
    value = json_object.get(name, default)
    if value is None and default is not None:
        return default
    if type(value) not in (int, float) or not abs(value) <= bounds.MAX_INTEGER:
        raise InvalidDocument(f"{name} is no number in 64 bits")
    return value


def get_non_negative_integer(json_object, name):
    """Return the integer of at least 0 in a field; raise `InvalidDocument` if none."""
    value = json_object.get(name)
    if type(value) is not int or not 0 <= value <= bounds.MAX_INTEGER:
        raise InvalidDocument(f"{name} is no whole number of at least 0 in 64 bits")
    return value


def get_boolean(json_object, name):
    """Return the boolean in a field, or False if the field is missing.

    Raises `InvalidDocument` if the value is not a boolean.
    """
    value = json_object.get(name, False)
    if type(value) is not bool:
        raise InvalidDocument(f"{name} is neither true nor false")
    return value
