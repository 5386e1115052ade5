"""The catalog: which requests go where, as one versioned document says.

A catalog is replaced as a whole: the highest version wins. It is kept beside the
classes of work that operators change step by step, and it serves callers who
speak plain HTTP. An adapter decodes an operator's document into these records;
nothing else knows the document's format.
"""

import dataclasses
import enum
import functools


class RouteKind(enum.StrEnum):
    """What may be repeated, and the shape of the answer."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class AllotmentUnit(enum.StrEnum):
    """What an allotment counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclasses.dataclass(frozen=True)
class Split:
    """A service's share of a route, relative to the other shares."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Requests of one host and path prefix.

    `tier` 1 is the highest. `time_limit_ms` bounds how long a caller is kept
    waiting, `goal_ms` is the time within which an answer is on time (for a
    stream, its first event), `max_pause_ms` is the longest pause between events
    of a stream that is on time; 0 sets no bound. Callers wait no longer than
    `event_timeout_ms` for the next event. `max_servers` bounds the servers
    that one request may be sent to. `is_resumable` streams may go on at another
    server after their last event.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    splits: tuple[Split, ...]
    tier: int
    time_limit_ms: float
    goal_ms: float
    max_servers: int = 1
    is_public: bool = False
    is_resumable: bool = False
    max_pause_ms: float = 0.0
    event_timeout_ms: float = float("inf")

    @property
    def is_repeatable(self):
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True)
class Engine:
    """What is known of a model service's engines.

    `slots` is how many requests one engine batches; `memory_tokens` bounds the
    tokens that its running requests and its cache hold together; an event of its
    streams holds `tokens_per_event`.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: float = 1.0


@dataclasses.dataclass(frozen=True)
class Service:
    """A service that routes name. `engine` is None for a plain service."""

    name: str
    max_connections: int
    health_path: str = ""
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Bounds on callers: sizes in bytes, times in milliseconds."""

    max_header_bytes: int = 65_536
    max_body_bytes: int = 8 * 1024 * 1024
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


@dataclasses.dataclass(frozen=True)
class Allotment:
    """What a workspace may ask: a rate a second and a burst, of a unit.

    A rate of 0 sets no bound. `default_tokens` is the cost of a request that
    does not state its tokens.
    """

    unit: AllotmentUnit = AllotmentUnit.REQUESTS
    rate: float = 0.0
    burst: float = 0.0
    default_tokens: float = 1.0


@dataclasses.dataclass(frozen=True)
class WorkspaceAccess:
    """A workspace's keys, its allotment, and its tier where it has its own."""

    workspace: str
    keys: tuple[str, ...]
    allotment: Allotment = Allotment()
    tier: int | None = None


@dataclasses.dataclass(frozen=True)
class Catalog:
    """A whole catalog. With `workspaces`, requests need a key."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits = CallerLimits()
    workspaces: tuple[WorkspaceAccess, ...] = ()

    @functools.cached_property
    def routes_by_host(self):
        """The routes of each host, longest prefix first."""
        by_host = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))
        return by_host

    @functools.cached_property
    def workspaces_by_key(self):
        """The workspace access that each key gives."""
        return {key: access for access in self.workspaces for key in access.keys}

    @functools.cached_property
    def services_by_name(self):
        """The services by name."""
        return {service.name: service for service in self.services}

    def find_route(self, host, path):
        """Return the route with the longest prefix of `path`, or None.

        >>> route = Route("r", "h", "/a/", RouteKind.IDEMPOTENT, (), 1, 9.0, 9.0)
        >>> Catalog(1, (route,), ()).find_route("h", "/a/b").name
        'r'
        """
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def choose_service(route, random_fraction):
    """Return the service of a route for a number drawn from 0 to 1."""
    total_weight = sum(split.weight for split in route.splits)
    remaining_weight = random_fraction * total_weight
    for split in route.splits:
        remaining_weight -= split.weight
        if remaining_weight < 0:
            return split.service
    return route.splits[-1].service
