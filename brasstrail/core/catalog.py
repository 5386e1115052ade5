"""The catalog: the routes, services and limits of one versioned document.

A catalog is replaced as a whole, and the highest version wins. It is separate
from the classes of work, which operators change incrementally, and applies to
callers that use plain HTTP. An adapter decodes an operator's document into these
records; no other code depends on the document's format.
"""

import dataclasses
import enum
import functools


class RouteKind(enum.StrEnum):
    """Whether requests may be repeated, and whether answers are streams."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class AllotmentUnit(enum.StrEnum):
    """The unit that an allotment is counted in."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclasses.dataclass(frozen=True)
class Split:
    """A service of a route and its weight relative to the route's other services."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Routing and time limits for requests of one host and path prefix.

    `tier` 1 is the highest. `time_limit_ms` bounds how long a caller waits.
    `goal_ms` is the time within which an answer, or the first event of a stream,
    is on time. `max_pause_ms` is the longest pause between two events of a stream
    that is on time; 0 sets no bound. `event_timeout_ms` is how long a caller waits
    for the next event before it disconnects. `max_servers` bounds the servers that
    one request may be sent to. A stream with `is_resumable` may continue at
    another server after its last event.
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
    def services(self):
        """The names of the services that requests of this route may go to."""
        return {split.service for split in self.splits if split.weight > 0}

    @property
    def is_repeatable(self):
        """Whether a request of this route may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True)
class Engine:
    """The capacity of a model service's engines.

    `slots` is the number of requests that one engine batches. `memory_tokens`
    bounds the total number of tokens held by an engine's running requests and its
    cache. `tokens_per_event` is the number of tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: float = 1.0


@dataclasses.dataclass(frozen=True)
class Service:
    """A service that routes refer to, as opposed to `data.Service` of the classes.

    `max_connections` and `health_path` are kept as the document states them; no
    scheduling decision uses them. `engine` is None for a plain service.
    """

    name: str
    max_connections: int
    health_path: str = ""
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Size limits in bytes and time-outs in milliseconds for callers."""

    max_header_bytes: int = 65_536
    max_body_bytes: int = 8 * 1024 * 1024
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


@dataclasses.dataclass(frozen=True)
class Allotment:
    """The rate limit of a workspace: `rate` units per second, with a `burst`.

    A rate of 0 sets no bound. `default_tokens` is the cost of a request that
    does not state its number of tokens.
    """

    unit: AllotmentUnit = AllotmentUnit.REQUESTS
    rate: float = 0.0
    burst: float = 0.0
    default_tokens: float = 1.0


@dataclasses.dataclass(frozen=True)
class WorkspaceAccess:
    """A workspace's API keys, its allotment and, if set, its own tier.

    `tier` replaces the tier of the route; None keeps the route's.
    """

    workspace: str
    keys: tuple[str, ...]
    allotment: Allotment = Allotment()
    tier: int | None = None


@dataclasses.dataclass(frozen=True)
class Catalog:
    """A complete catalog. If it has `workspaces`, requests need an API key."""

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
        """The workspace access of each API key."""
        return {key: access for access in self.workspaces for key in access.keys}

    @functools.cached_property
    def services_by_name(self):
        """The services, keyed by name."""
        return {service.name: service for service in self.services}

    def find_route(self, host, path):
        """Return the host's route with the longest prefix of `path`, or None.

        >>> route = Route("r", "h", "/a/", RouteKind.IDEMPOTENT, (), 1, 9.0, 9.0)
        >>> Catalog(1, (route,), ()).find_route("h", "/a/b").name
        'r'
        """
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def choose_service(route, random_fraction):
    """Return a service of a route, selected by weight.

    `random_fraction` is a random number of at least 0 and below 1.
    """
    total_weight = sum(split.weight for split in route.splits)
    remaining_weight = random_fraction * total_weight
    for split in route.splits:
        remaining_weight -= split.weight
        if remaining_weight < 0:
            return split.service
    return route.splits[-1].service
