"""The settings of a process, as typed records read from a TOML file.

Every key has a type and a default, or is required. `load` validates the whole
file and reports all problems at once, each with its key and a remedy.
Settings describe the identity, location and limits of one process. What operators
define about classes of work is configuration, which is stored in the replicated
state instead.
"""

import dataclasses
import ipaddress
import pathlib
import tomllib

import cattrs

from brasstrail.core import errors

NODE_ROLES = ("entry", "agent", "control", "gateway")
TOKEN_SCOPES = ("caller", "operator")
LOG_FORMATS = ("lines", "json")
LOG_OUTPUTS = ("stderr", "stdout")
LOG_LEVELS = ("debug", "info", "warning", "error")
MIN_SECRET_CHARACTERS = 16
MAX_PORT = 65535
KEYS_THAT_ALLOW_ZERO = (
    "replicas",
    "losses",
    "admin_port",
    "memory_mb",
    "max_connections",
)
# A request of 9 KB then costs 90 s, longer than any caller waits.
MAX_LINK_COST_MS_PER_KB = 10_000
# The lease lasts this fraction of `revoke_ms`, the time within which a removed key must
# stop working. The rest covers requests that were admitted just before the lease ended.
LEASE_FRACTION = 0.9


@dataclasses.dataclass(frozen=True)
class Node:
    """The identity, roles and location of the process.

    `address` is the IP address on which it listens. `peer_port` is the port for
    the other processes of the cluster. They connect to `peer_address` (IP:port)
    instead if that is not empty. `regions` maps each data centre to its region.
    """

    name: str
    roles: tuple[str, ...]
    region: str
    data_centre: str
    address: str = "127.0.0.1"
    peer_port: int = 7000
    peer_address: str = ""
    regions: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def advertised_address(self):
        """The address (IP:port) to which other processes of the cluster connect."""
        return self.peer_address or f"{self.address}:{self.peer_port}"


@dataclasses.dataclass(frozen=True)
class Cluster:
    """The cluster to which the process belongs.

    `seeds` are the peer addresses of control hosts. `secret` is a shared secret
    that only the processes of the cluster know. If `seed_port` is not 0, `seeds`
    name control hosts by another of their ports, and `seed_port` is the peer port
    at which they are reached.
    """

    name: str
    secret: str
    seeds: tuple[str, ...] = ()
    seed_port: int = 0

    @property
    def peer_seeds(self):
        """The seeds' peer addresses, with `seed_port` if that is not 0."""
        if not self.seed_port:
            return self.seeds
        return tuple(
            f"{seed.rpartition(':')[0]}:{self.seed_port}" for seed in self.seeds
        )


@dataclasses.dataclass(frozen=True)
class EntryRole:
    """The entry role: the port to which callers connect, and the limits on them.

    Sizes are bytes and times are milliseconds. `region_rate_bytes` is the bandwidth
    of the link to other regions in bytes per second; all entries of a region share
    it. At most `max_waiting` requests wait at once, `max_held_bytes` limits all held
    bodies together, and at most `subset` agents are used for each service.
    """

    http_port: int = 8080
    policy: str = "granted"
    max_body_bytes: int = 8 * 1024 * 1024
    max_held_bytes: int = 256 * 1024 * 1024
    max_waiting: int = 2000
    body_timeout_ms: int = 10_000
    stream_window_bytes: int = 65536
    drain_ms: int = 120_000
    subset: int = 16
    region_rate_bytes: int = 1_875_000


@dataclasses.dataclass(frozen=True)
class AgentRole:
    """The agent role: the port to which the backend server announces itself.

    An engine counts as stalled after `stall_ms` without a token (later if the first
    token waits for the prefill of other requests), and a plain service after
    `plain_timeout_ms` without any data. A grant reserves capacity for
    `grant_hold_ms`. Times are milliseconds.
    """

    announce_port: int = 7100
    announce_timeout_ms: int = 2000
    report_interval_ms: int = 500
    grant_hold_ms: int = 2000
    stall_ms: int = 3000
    plain_timeout_ms: int = 120_000
    max_answer_bytes: int = 1024 * 1024
    drain_ms: int = 120_000


@dataclasses.dataclass(frozen=True)
class ControlRole:
    """The control role: its data folder, its port for operators, and its limits.

    `initial_replicas` names the control hosts that form the cluster's first
    quorum; it is read only while none of them has stored data. An `admin_port` of 0
    disables the operators' API. If `seeds_found` is true, the seeds form the first
    quorum instead, and control hosts are identified by their peer addresses.
    `replicas` is the number of replicas that vote. 0 means as many as initially
    or, if `losses` is not 0, as many as are needed to tolerate the simultaneous loss
    of `losses` hosts. If `document_address` (IP:port) is not empty, operators
    replace the whole document there and backend servers announce themselves there,
    in the format of `dialect`. A snapshot is stored when the log has more than
    `snapshot_every` entries. Of the requests of a service, a version in roll-out gets
    at most `canary_share`, plus `canary_slack` requests, until it has proved good; a
    bad one gets none later than `rollback_ms` after its 50th bad answer.
    `max_held_bytes` and `memory_mb` are as those of a gateway; one document is taken
    even beyond them.
    """

    data_folder: str = "var/control"
    admin_port: int = 7200
    initial_replicas: tuple[str, ...] = ()
    snapshot_every: int = 2000
    member_timeout_ms: int = 3000
    answer_retention_s: int = 7 * 24 * 3600
    max_keys: int = 1_000_000
    suspicion_s: int = 3600
    seeds_found: bool = False
    replicas: int = 0
    losses: int = 0
    document_address: str = ""
    dialect: str = "fleet"
    announce_interval_ms: int = 1200
    canary_share: float = 0.1
    canary_slack: float = 50.0
    rollback_ms: int = 5000
    max_held_bytes: int = 32 * 1024 * 1024
    memory_mb: int = 0

    @property
    def wanted_voters(self):
        """The number of replicas that vote; 0 means as many as initially.

        A majority of 2n + 1 voters remains after the loss of n.
        """
        if self.replicas or not self.losses:
            return self.replicas
        return 2 * self.losses + 1


@dataclasses.dataclass(frozen=True)
class LinkCost:
    """The price of a kilobyte that crosses a link, as milliseconds of delay.

    `region` applies between data centres of a region, and `other_region` between
    regions. With both at 0, distances only add constants to the expected delays.
    Otherwise a request leaves its data centre only if the servers there are expected
    to be short, and the time that it gains is worth more than this price and the
    measured round trips.
    """

    region: float = 0.0
    other_region: float = 0.0

    @property
    def is_set(self):
        """Whether a price is set."""
        return self.region > 0 or self.other_region > 0


@dataclasses.dataclass(frozen=True)
class GatewayRole:
    """The gateway role: serves callers that use plain HTTP, routed by the catalog.

    Callers connect to `http_address` (IP:port), and the platform sends readiness
    checks to `ready_address` (IP:port). If `fails_closed` is true, a removed key must
    stop working within `revoke_ms`. A process that is stopped has `grace_s` seconds
    to exit. Retries to a service stay below `retry_ratio` of its requests
    plus `retry_slack` in any `retry_window_s` seconds, over all gateways. Counts are
    not exact, so workspaces may be admitted beyond their allotments; the excess
    stays below `allotment_slack` (in the allotment's unit) in any
    `allotment_window_s` seconds. `link_cost_ms_per_kb` is the table of the prices of
    bytes by distance. `canary_share`, `canary_slack` and `rollback_ms` are the bounds
    on the requests that a version in roll-out gets, as for a control host. Callers may
    make the process hold `max_held_bytes`, and at most a quarter of `memory_mb`, the
    memory of the process in MiB, if that is not 0.
    """

    http_address: str = "127.0.0.1:8090"
    ready_address: str = "127.0.0.1:8091"
    dialect: str = "fleet"
    fails_closed: bool = True
    revoke_ms: int = 5000
    grace_s: float = 30.0
    retry_ratio: float = 0.2
    retry_slack: float = 60.0
    retry_window_s: float = 10.0
    allotment_slack: float = 0.0
    allotment_window_s: float = 8.0
    max_held_bytes: int = 32 * 1024 * 1024
    memory_mb: int = 0
    canary_share: float = 0.1
    canary_slack: float = 50.0
    rollback_ms: int = 5000
    link_cost_ms_per_kb: LinkCost = LinkCost()

    @property
    def lease_ms(self):
        """The duration of the lease in milliseconds.

        While it is valid, the gateway may rely on its copy of the catalog. It is
        a little shorter than `revoke_ms`, so that a removed key stops working
        in time.
        """
        return LEASE_FRACTION * self.revoke_ms


@dataclasses.dataclass(frozen=True)
class Intake:
    """What others may make a process of any role hold, beside `max_held_bytes`.

    At most `max_connections` connections are open; 0 derives the number from the limit
    on descriptors and from `memory_mb`. The head of a request has at most
    `max_head_fields` fields. A quarter of the held bytes is reserved for requests of up
    to `small_request_bytes`. The reception of a body is ended when nothing arrives for
    `body_timeout_ms`, or earlier while memory is short.
    """

    max_connections: int = 0
    max_head_fields: int = 256
    small_request_bytes: int = 65_536
    body_timeout_ms: int = 15_000


@dataclasses.dataclass(frozen=True)
class MetricsPage:
    """The port that serves metrics as text; 0 disables it."""

    port: int = 0


@dataclasses.dataclass(frozen=True)
class Token:
    """A bearer token, stored as the SHA-256 hash of its text.

    If `workspace` is not empty, a caller's token is valid only for that workspace.
    """

    name: str
    scope: str
    sha256: str
    workspace: str = ""


@dataclasses.dataclass(frozen=True)
class Auth:
    """The accepted tokens. Without tokens only loopback addresses may be served."""

    tokens: tuple[Token, ...] = ()


@dataclasses.dataclass(frozen=True)
class Log:
    """The format and the level of the log.

    `output` is stderr or stdout. At most `lines_a_second` lines are written per
    second; a separate line reports how many were left out.
    """

    format: str = "lines"
    level: str = "info"
    output: str = "stderr"
    lines_a_second: int = 200


@dataclasses.dataclass(frozen=True)
class Shaping:
    """Simulated delays and rates of links between processes, for measurements only.

    `rate_bytes` is the bandwidth between regions in bytes per second; 0 means
    unlimited.
    """

    data_centre_delay_ms: float = 0.0
    region_delay_ms: float = 0.0
    rate_bytes: int = 0


@dataclasses.dataclass(frozen=True)
class Settings:
    """All settings of a process."""

    node: Node
    cluster: Cluster
    entry: EntryRole = EntryRole()
    agent: AgentRole = AgentRole()
    control: ControlRole = ControlRole()
    gateway: GatewayRole = GatewayRole()
    intake: Intake = Intake()
    metrics: MetricsPage = MetricsPage()
    auth: Auth = Auth()
    log: Log = Log()
    shaping: Shaping = Shaping()


CONVERTER = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)


def structure_scalar(value, expected_type):
    """Return a value if it has the expected type; raise `TypeError` otherwise.

    Values are not converted, except that an integer is accepted for a float.
    """
    if expected_type is float and type(value) is int:
        return float(value)
    if type(value) is not expected_type:
        raise TypeError(
            f"expected {expected_type.__name__}, not {type(value).__name__}"
        )
    return value


for _scalar_type in (int, str, bool, float):
    CONVERTER.register_structure_hook(_scalar_type, structure_scalar)


def load(path):
    """Return the settings in the TOML file at `path`.

    Raises `errors.SettingsInvalid`, which lists all problems.
    """
    try:
        toml_text = pathlib.Path(path).read_text()
    except OSError as error:
        raise errors.SettingsInvalid(
            path, [f"cannot be read ({error.strerror}); name a readable file"]
        ) from error
    return parse(toml_text, path)


def parse(toml_text, path="settings"):
    """Return the settings in a TOML text.

    `path` is the file name for error messages. Raises `errors.SettingsInvalid`,
    which lists all problems.
    """
    try:
        toml_table = tomllib.loads(toml_text)
    except tomllib.TOMLDecodeError as error:
        raise errors.SettingsInvalid(path, [f"is not TOML: {error}"]) from error
    try:
        loaded = CONVERTER.structure(toml_table, Settings)
    except cattrs.BaseValidationError as error:
        problems = cattrs.transform_error(
            error, path="", format_exception=describe_structure_error
        )
        raise errors.SettingsInvalid(path, problems) from error
    problems = list(find_problems(loaded))
    if problems:
        raise errors.SettingsInvalid(path, problems)
    return loaded


def describe_structure_error(error, expected_type):
    """Return the error text for a value that does not fit the typed records.

    Both parameters are passed by `cattrs.transform_error`.
    """
    if isinstance(error, KeyError):
        return f"required key {error.args[0]} is missing; add it"
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        unknown = ", ".join(sorted(error.extra_fields))
        return f"unknown key {unknown}; remove it or correct its spelling"
    return f"{error}; give a value of that type"


def find_problems(loaded):
    """Yield a text for each problem that the types do not rule out."""
    yield from find_node_problems(loaded.node)
    yield from find_log_and_cluster_problems(loaded)
    yield from find_port_problems(loaded)
    yield from find_number_problems(loaded)
    yield from find_auth_problems(loaded)


def find_node_problems(node):
    """Yield the problems of the `node` table."""
    if not node.name:
        yield "node.name is empty; give each process a unique name"
    unknown = [role for role in node.roles if role not in NODE_ROLES]
    if unknown or not node.roles:
        yield f"node.roles must be one or more of {', '.join(NODE_ROLES)}"
    try:
        ipaddress.ip_address(node.address)
    except ValueError:
        yield f"node.address {node.address!r} is no IP number; give one"


def find_log_and_cluster_problems(loaded):
    """Yield the problems of the `log` and `cluster` tables."""
    if loaded.log.format not in LOG_FORMATS:
        yield f"log.format must be one of {', '.join(LOG_FORMATS)}"
    if loaded.log.output not in LOG_OUTPUTS:
        yield f"log.output must be one of {', '.join(LOG_OUTPUTS)}"
    if loaded.log.level not in LOG_LEVELS:
        yield f"log.level must be one of {', '.join(LOG_LEVELS)}"
    if len(loaded.cluster.secret) < MIN_SECRET_CHARACTERS:
        yield f"cluster.secret must have at least {MIN_SECRET_CHARACTERS} characters"
    if not loaded.cluster.seeds and "control" not in loaded.node.roles:
        yield "cluster.seeds is empty; name the peer addresses of control hosts"
    for seed in loaded.cluster.seeds:
        host, _, port = seed.rpartition(":")
        if not host or not port.isdigit():
            yield f"cluster.seeds has {seed!r}; write it as IP:port"


def find_port_problems(loaded):
    """Yield the problems of ports that are out of range or used twice."""
    keys_by_port = {}
    for key, port in used_ports(loaded):
        if not 0 < port <= MAX_PORT:
            yield f"{key} is {port}; give a port from 1 to {MAX_PORT}"
        if port in keys_by_port:
            yield f"{key} and {keys_by_port[port]} are both {port}; use different ones"
        keys_by_port[port] = key


def used_ports(loaded):
    """Yield the key and number of each port that the roles use."""
    yield "node.peer_port", loaded.node.peer_port
    if "entry" in loaded.node.roles:
        yield "entry.http_port", loaded.entry.http_port
    if "agent" in loaded.node.roles:
        yield "agent.announce_port", loaded.agent.announce_port
    if "control" in loaded.node.roles and loaded.control.admin_port:
        yield "control.admin_port", loaded.control.admin_port
    if "gateway" in loaded.node.roles:
        yield "gateway.http_address", parse_port(loaded.gateway.http_address)
        yield "gateway.ready_address", parse_port(loaded.gateway.ready_address)
    if "control" in loaded.node.roles and loaded.control.document_address:
        yield "control.document_address", parse_port(loaded.control.document_address)


def parse_port(address):
    """Return the port in an address (IP:port), or 0 if there is none."""
    _, _, port = address.rpartition(":")
    return int(port) if port.isdigit() else 0


def find_number_problems(loaded):
    """Yield the problems of integers that must be positive and are not."""
    for table in ("entry", "agent", "control", "gateway", "intake"):
        record = getattr(loaded, table)
        for field in dataclasses.fields(record):
            value = getattr(record, field.name)
            if field.name in KEYS_THAT_ALLOW_ZERO:
                continue
            if field.type is int and value <= 0:
                yield f"{table}.{field.name} is {value}; give a positive number"
    yield from find_link_cost_problems(loaded.gateway.link_cost_ms_per_kb)


def find_link_cost_problems(link_cost):
    """Yield the problems of prices that are negative or beyond any use."""
    for field in dataclasses.fields(link_cost):
        value = getattr(link_cost, field.name)
        if not 0 <= value <= MAX_LINK_COST_MS_PER_KB:
            yield (
                f"gateway.link_cost_ms_per_kb.{field.name} is {value}; "
                f"give 0 to {MAX_LINK_COST_MS_PER_KB}"
            )


def find_auth_problems(loaded):
    """Yield the problems of tokens."""
    for token in loaded.auth.tokens:
        if token.scope not in TOKEN_SCOPES:
            yield f"auth token {token.name!r}: scope must be caller or operator"
        if len(token.sha256) != 64:
            yield f"auth token {token.name!r}: sha256 must be 64 hex digits"
    has_client_port = "entry" in loaded.node.roles
    if "control" in loaded.node.roles and loaded.control.admin_port:
        has_client_port = True
    if (
        has_client_port
        and not loaded.auth.tokens
        and not is_loopback(loaded.node.address)
    ):
        yield "auth.tokens is empty on a public address; add hashed tokens"


def is_loopback(address):
    """Return whether `address` is a loopback address, reachable only from this host.

    True also for an invalid address, which `find_node_problems` reports.
    """
    try:
        return ipaddress.ip_address(address).is_loopback
    except ValueError:
        return True
