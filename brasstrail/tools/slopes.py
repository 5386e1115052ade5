"""Measures how the cost of each component grows with its size, on one machine.

Each measurement is taken at several sizes, and a line is fitted to the costs. The
output file stores the sizes, the costs, the slope, the intercept and the largest
residual; the capacity page is computed from this file. Members and servers are
simulated in this process. The name of a measurement's function is its key in the
file.
"""

import dataclasses
import gc
import json
import pathlib
import random
import socket
import time
import tracemalloc

import click

from brasstrail.coordination import admission, holders, origins, pool, scheduler
from brasstrail.core import catalog, data, servers
from brasstrail.protocol import codec, commands, messages, session
from brasstrail.roles import columns
from brasstrail.settings import settings
from brasstrail.state import ledger, machine, view
from brasstrail.transport import frames

OUT_PATH = pathlib.Path("docs/slopes.json")
KILOBYTE = 1024
MICROSECONDS_PER_SECOND = 1e6
MIN_MEASURING_TIME_S = 0.2
# The number of servers on which a gateway has work at a time, as in the users'
# deployments. The capacity page assumes `capacity.SERVERS_WITH_WORK` instead.
LOAD_SHARES_SENT = 5
MEASUREMENTS = {}


@dataclasses.dataclass(frozen=True)
class Slope:
    """A measured line: cost = intercept + slope * size.

    `residual` is the largest distance of a point from the line, as a share of
    the point's cost.
    """

    what: str
    size_unit: str
    cost_unit: str
    sizes: tuple
    costs: tuple
    slope: float
    intercept: float
    residual: float


def register_measurement(what, size_unit, cost_unit, sizes):
    """Return a decorator that registers a function from a size to its cost."""

    def register(function):
        MEASUREMENTS[function.__name__] = (what, size_unit, cost_unit, sizes, function)
        return function

    return register


def fit_line(sizes, costs):
    """Return slope, intercept and largest relative residual of a least-squares fit."""
    count = len(sizes)
    mean_size = sum(sizes) / count
    mean_cost = sum(costs) / count
    squared_deviations = sum((size - mean_size) ** 2 for size in sizes)
    pairs = list(zip(sizes, costs, strict=True))
    cross_products = sum(
        (size - mean_size) * (cost - mean_cost) for size, cost in pairs
    )
    slope = cross_products / squared_deviations if squared_deviations else 0.0
    intercept = mean_cost - slope * mean_size
    residual = max(
        abs(intercept + slope * size - cost) / max(abs(cost), 1e-9)
        for size, cost in pairs
    )
    return slope, intercept, residual


def cpu_time_us(function):
    """Return the mean processor time of a call, in microseconds."""
    function()
    calls = 0
    began = time.process_time()
    while time.process_time() - began < MIN_MEASURING_TIME_S:
        function()
        calls += 1
    return (time.process_time() - began) / calls * MICROSECONDS_PER_SECOND


def memory_kb(build):
    """Return the memory that a built object occupies, in kilobytes."""
    gc.collect()
    tracemalloc.start()
    built_object = build()
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built_object
    return allocated_bytes / KILOBYTE


# Simulated members and servers.


def make_member(number):
    """Return a member whose fields are as long as those of real members."""
    return data.Member(
        f"agent-{number:05d}",
        1_790_000_000_000,
        ("agent",),
        f"10.1.{number // 250}.{number % 250}:7000",
        "region-1",
        "data-centre-1",
        "assist-llm",
        1,
    )


def make_view(members=0, workspaces=0, classes=0):
    """Return a view with given numbers of members, workspaces and classes."""
    new_view = view.View()
    new_view.config = data.Config(
        1,
        (data.Service("assist-llm", "model", ("m1", "m2", "m3", "m4")),),
        tuple(
            data.WorkClass(
                f"class-{number}",
                "assist-llm",
                1 + number % 5,
                True,
                data.Target(0.95, 5000, 330),
            )
            for number in range(classes)
        ),
        tuple(data.Workspace(f"workspace-{number}") for number in range(workspaces)),
    )
    new_view.members = {
        member.name: member for member in map(make_member, range(members))
    }
    return new_view


def make_work(number, tier=1):
    """Return a request of a tier."""
    return data.Work(
        f"entry.1.{number}.1",
        "assist-llm",
        "class-1",
        f"workspace-{number % 50}",
        tier,
        True,
        0,
        5_000,
        0,
        "m1",
        900,
        120,
        tuple(range(4)),
    )


def make_scheduler(agents):
    """Return an entry's scheduler that has received a state report from each agent."""
    new_scheduler = scheduler.Scheduler("entry", "granted", random.Random(1))
    new_scheduler.set_tiers({"assist-llm": {1, 2, 3, 4, 5}})
    for number in range(agents):
        name = f"agent-{number}"
        new_scheduler.add_server(name, False, 1)
        state = messages.ServerState(
            name, 1, "assist-llm", "model", ("m1",), 64, number % 30, 0, 1000,
            9000.0, 40.0, 1.0, False, tuple(range(64)), 9000.0, 20.0,
        )  # fmt: skip
        new_scheduler.handle_state(name, state)
    return new_scheduler


# Messages. `heartbeats` measures the pings of transport sessions; `beats_taken`
# measures the `Beat` messages that members send to a control host.


@register_measurement(
    "One relayed part, encoded and framed by the agent", "bytes", "us",
    (100, 400, 1600, 6400),
)  # fmt: skip
def part_sent(size):
    peer_session = session.Session()
    peer_session.connect(0, 0)
    part = messages.Part("entry.1.1.1", bytes(size), 1)

    def send():
        peer_session.send(codec.encode(codec.MESSAGE, part))
        b"".join(map(frames.encode, peer_session.take_outgoing()))
        peer_session.drop_acknowledged(peer_session.sent)

    return cpu_time_us(send)


@register_measurement(
    "One relayed part, unframed and decoded by the entry", "bytes", "us",
    (100, 400, 1600, 6400),
)  # fmt: skip
def part_received(size):
    payload = codec.encode(codec.MESSAGE, messages.Part("entry.1.1.1", bytes(size), 1))
    chunk = frames.encode(frames.Frame(frames.Kind.DATA, 1, payload))
    decoder = frames.Decoder()

    def receive():
        for frame in decoder.feed(chunk):
            codec.decode(codec.MESSAGE, frame.payload)

    return cpu_time_us(receive)


@register_measurement(
    "One chunk passed on unread, from socket to socket", "bytes", "us",
    (100, 400, 1600, 6400),
)  # fmt: skip
def chunk_passed(size):
    source, relay_input = socket.socketpair()
    relay_output, target = socket.socketpair()
    chunk = bytes(size)

    def relay():
        source.send(chunk)
        relay_output.send(relay_input.recv(65536))
        target.recv(65536)

    def send_and_receive():
        source.send(chunk)
        relay_input.recv(65536)

    cost = cpu_time_us(relay) - cpu_time_us(send_and_receive)
    for open_socket in (source, relay_input, relay_output, target):
        open_socket.close()
    return cost


@register_measurement(
    "An agent's report on the wire", "blocks of news", "KB", (0, 16, 256)
)
def report_bytes(size):
    state = messages.ServerState(
        "agent-00001", 1, "assist-llm", "model", ("m1",), 64, 30, 0, 1000,
        9000.0, 40.0, 1.0, False, tuple(range(size)), 9000.0, 20.0, 3,
    )  # fmt: skip
    return len(codec.encode(codec.MESSAGE, state)) / KILOBYTE


@register_measurement("Taking reports of agents", "reports", "us", (16, 64, 256))
def reports_taken(size):
    entry_scheduler = make_scheduler(size)
    state = entry_scheduler.views["agent-0"].state
    payload = codec.encode(codec.MESSAGE, state)

    def handle_all():
        for name in entry_scheduler.views:
            entry_scheduler.handle_state(name, codec.decode(codec.MESSAGE, payload))

    return cpu_time_us(handle_all)


@register_measurement(
    "Heartbeats of sessions, one second of them", "sessions", "us", (10, 40, 160)
)
def heartbeats(size):
    sessions = [session.Session() for _ in range(size)]
    for peer_session in sessions:
        peer_session.connect(0, 0)
    clock = [0]

    def run_one_second():
        for _ in range(1000 // session.PING_INTERVAL_MS + 1):
            clock[0] += session.PING_INTERVAL_MS
            for peer_session in sessions:
                peer_session.tick(clock[0])
                for frame in peer_session.take_outgoing():
                    frames.encode(frame)
                    pong = frames.Frame(frames.Kind.PONG, frame.number)
                    peer_session.receive(pong, clock[0])

    return cpu_time_us(run_one_second)


@register_measurement("Memory of sessions", "sessions", "KB", (1000, 4000, 16000))
def session_memory(size):
    return memory_kb(lambda: [session.Session() for _ in range(size)])


# View and configuration.


@register_measurement(
    "A member's whole view on the wire", "members", "KB", (100, 1000, 9200)
)
def view_bytes(size):
    snapshot = make_view(size).snapshot()
    return len(codec.encode(codec.MESSAGE, snapshot)) / KILOBYTE


@register_measurement("Taking a whole view", "members", "us", (100, 1000, 9200))
def view_decoded(size):
    payload = codec.encode(codec.MESSAGE, make_view(size).snapshot())
    empty_view = view.View()
    return cpu_time_us(lambda: empty_view.restore(codec.decode(codec.MESSAGE, payload)))


@register_measurement(
    "Memory of a view, by members", "members", "KB", (1000, 4000, 9200)
)
def member_memory(size):
    return memory_kb(lambda: make_view(size))


@register_measurement(
    "Memory of a view, by workspaces", "workspaces", "KB", (1000, 5000, 20000)
)
def workspace_memory(size):
    return memory_kb(lambda: make_view(0, size))


@register_measurement(
    "Applying one change of configuration", "workspaces", "us", (100, 1000, 5000)
)
def change_applied(size):
    current_view = make_view(0, size, 20)
    numbers = iter(range(10**9))

    def apply_change():
        number = next(numbers)
        command = commands.ChangeConfig(
            f"change-{number}",
            current_view.config.version,
            "operator",
            0,
            workspaces=(data.Workspace(f"workspace-{number % size}"),),
        )
        current_view.apply(command)

    return cpu_time_us(apply_change)


@register_measurement(
    "Sending one change to attached members", "members", "us", (10, 100, 800)
)
def change_published(size):
    sessions = [session.Session() for _ in range(size)]
    for peer_session in sessions:
        peer_session.connect(0, 0)
    changes = messages.ViewChanges(1, 2, (bytes(200),))

    def publish():
        payload = codec.encode(codec.MESSAGE, changes)
        for peer_session in sessions:
            peer_session.send(payload)
            b"".join(map(frames.encode, peer_session.take_outgoing()))
            peer_session.drop_acknowledged(peer_session.sent)

    return cpu_time_us(publish)


@register_measurement(
    "Heartbeats taken by a control host", "members", "us", (10, 100, 800)
)
def beats_taken(size):
    payload = codec.encode(codec.MESSAGE, messages.Beat(1000))

    def decode_all():
        for _ in range(size):
            codec.decode(codec.MESSAGE, payload)

    return cpu_time_us(decode_all)


# Execution records.


def make_record(number):
    """Return the execution record of an answered request."""
    return data.Execution(
        f"workspace-{number % 50}",
        f"key-{number:012d}-{number:012d}",
        bytes(32),
        data.ExecutionState.ANSWERED,
        1_790_000_000_000 + number,
        data.Dispatch(f"entry.1790000000000.{number}.1", "agent-00001", 17),
        data.Answer(201, ("Content-Type: application/json",), bytes(200)),
    )


@register_measurement("Memory of execution records", "keys", "KB", (2000, 8000, 32000))
def key_memory(size):
    return memory_kb(lambda: ledger.Ledger(tuple(map(make_record, range(size)))))


@register_measurement("Dumping the replicated state", "keys", "us", (500, 2000, 8000))
def state_dumped(size):
    state_machine = machine.Machine()
    state_machine.ledger = ledger.Ledger(tuple(map(make_record, range(size))))
    return cpu_time_us(state_machine.dump)


@register_measurement(
    "One command through the state machine", "keys held", "us", (100, 1000, 10000)
)
def command_applied(size):
    state_machine = machine.Machine()
    state_machine.ledger = ledger.Ledger(tuple(map(make_record, range(size))))
    numbers = iter(range(10**9))

    def apply():
        number = next(numbers)
        command = commands.Receive("w", f"new-{number}", bytes(32), number)
        payload = codec.encode(codec.COMMAND, command)
        state_machine.apply(messages.Entry(number, 1, payload))

    return cpu_time_us(apply)


# Decisions.


@register_measurement(
    "Placing a request at an entry", "servers known", "us", (4, 16, 64)
)
def placed(size):
    entry_scheduler = make_scheduler(size)
    numbers = iter(range(10**9))

    def place():
        work = make_work(next(numbers))
        entry_scheduler.add_request(work, False, (), 0)
        send_action = entry_scheduler.drain_actions()[0]
        entry_scheduler.handle_grant(send_action.agent, work.request_id, 1)
        entry_scheduler.drain_actions()
        entry_scheduler.record_run_end(work, 100)

    return cpu_time_us(place)


@register_measurement(
    "One tick of an entry's scheduler", "waiting", "us", (10, 100, 1000)
)
def scheduler_tick(size):
    entry_scheduler = make_scheduler(8)
    for number in range(size):
        entry_scheduler.add_request(make_work(number, 1 + number % 5), False, (), 0)
    entry_scheduler.drain_actions()

    def tick():
        entry_scheduler.tick(1)
        entry_scheduler.drain_actions()

    return cpu_time_us(tick)


@register_measurement("One offer at an agent", "offers standing", "us", (4, 32, 128))
def offered(size):
    controller = admission.AdmissionController(2000)
    controller.slots, controller.models = 1, ("m1",)
    for number in range(size + 1):
        offer = messages.Offer(
            f"o{number}", "assist-llm", "m1", f"w{number % 20}", 1, 5000, 900, 120
        )
        controller.offer("entry", offer, 0)
    numbers = iter(range(10**9))

    def offer_one():
        name = f"x{next(numbers)}"
        offer = messages.Offer(name, "assist-llm", "m1", "w", 1, 5000, 900, 120)
        controller.offer("entry", offer, 1)
        controller.withdraw("entry", name, 1)

    return cpu_time_us(offer_one)


# Gateways. The `gossip` measurements are of the `GatewayState` messages that gateways
# send to each other.


def make_pool(size):
    """Return a gateway's pool with `size` ready backend servers."""
    node = settings.Node("g", ("gateway",), "one", "east", regions={})
    new_pool = pool.Pool(node, {})
    new_pool.configure([catalog.Service("s", 9, "", catalog.Engine(5, 10**5, 5.0))])
    for number in range(size):
        announcement = servers.Announcement(
            f"i-{number:010x}", "s", "a:1", "east", servers.ServerPhase.READY, 1, 1, 5
        )
        new_pool.put_server(announcement, False)
    return new_pool


def make_gateway_state(size):
    """Return the state of a gateway that runs work on `size` servers."""
    share = pool.LoadShare(2, 2000, 300)
    shares = {f"i-{number:010x}": share for number in range(size)}
    fields = {
        **columns.load_fields(shares, as_columns=True),
        **columns.spending_fields({f"w{n}": 1000.0 for n in range(5)}, as_columns=True),
    }
    return messages.GatewayState("gateway-10.1.0.17", 1, 7, **fields)


@register_measurement(
    "What a gateway tells another", "servers with work", "bytes", (1, 8, 64)
)
def gossip_bytes(size):
    return len(codec.encode_packed(codec.MESSAGE, make_gateway_state(size)))


@register_measurement(
    "Telling it, once encoded for all", "servers with work", "us", (1, 8, 64)
)
def gossip_sent(size):
    state = make_gateway_state(size)
    return cpu_time_us(lambda: codec.encode_packed(codec.MESSAGE, state))


@register_measurement(
    "Taking what a gateway tells", "servers known", "us", (16, 64, 256)
)
def gossip_taken(size):
    gateway_pool = make_pool(size)
    payload = codec.encode_packed(codec.MESSAGE, make_gateway_state(LOAD_SHARES_SENT))

    def receive():
        message = codec.decode_packed(codec.MESSAGE, payload)
        gateway_pool.update_load_shares(message.name, columns.read_load(message), 0)

    return cpu_time_us(receive)


@register_measurement(
    "Choosing a server at a gateway", "servers known", "us", (16, 64, 256)
)
def server_chosen(size):
    gateway_pool = make_pool(size)
    work = pool.Work("r", "s", (1, 1), 0, 1000, 6000, 2000, 50)
    return cpu_time_us(lambda: gateway_pool.choose(work, (), 0))


# Streams that may be taken up. The `stream` measurements are of what gateways tell each
# other of where streams began.


def make_stream_origin(number):
    """Return a stream's key and origin, as long as those of real streams."""
    key = origins.stream_key("workspace-1", f"{number:016x}", f"{number:016x}")
    return key, origins.Origin(f"w{number % 50}", "assist-llm", "v1.2", 0, 30_000)


def make_stream_table(size):
    """Return a table that holds `size` streams."""
    table = origins.OriginTable()
    for number in range(size):
        table.add(*make_stream_origin(number))
    return table


def make_stream_message(size):
    """Return the message that tells a gateway of `size` streams."""
    rows = (make_stream_origin(number) for number in range(size))
    return messages.StreamOrigins(
        tuple(
            messages.StreamOrigin(
                key, origin.workspace, origin.service, origin.software, 20, 29_980
            )
            for key, origin in rows
        )
    )


def make_holder_ring(size):
    """Return the ring of `size` gateways in two data centres of each of six regions."""
    return holders.HolderRing(
        [
            holders.Candidate(
                f"gateway-{each}", f"dc-{each % 12}", f"region-{each % 6}"
            )
            for each in range(size)
        ]
    )


@register_measurement("What a gateway tells of streams", "streams", "bytes", (1, 4, 16))
def stream_bytes(size):
    return len(codec.encode_packed(codec.MESSAGE, make_stream_message(size)))


@register_measurement(
    "Recording a stream and telling its holders", "gateways", "us", (60, 480, 1920)
)
def stream_told(size):
    """The first event of the stream waits for this."""
    ring = make_holder_ring(size)
    table = origins.OriginTable()
    numbers = iter(range(10**9))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as target:
        target.bind(("127.0.0.1", 0))
        address = target.getsockname()

        def tell():
            number = next(numbers)
            key, origin = make_stream_origin(number)
            table.add(key, origin)
            message = make_stream_message(1)
            payload = codec.encode_packed(codec.MESSAGE, message)
            for _ in ring.holders("region-1", key):
                target.sendto(payload, address)

        return cpu_time_us(tell)


@register_measurement(
    "Taking what a gateway tells of a stream", "streams held", "us", (500, 4000, 16000)
)
def stream_taken(size):
    table = make_stream_table(size)
    numbers = iter(range(size, 10**9))
    payload = codec.encode_packed(codec.MESSAGE, make_stream_message(1))

    def receive():
        message = codec.decode_packed(codec.MESSAGE, payload)
        key, origin = make_stream_origin(next(numbers))
        table.add(key, origin)
        table.find(key, len(message.origins))
        if len(table.by_key) > size:
            table.remove(next(iter(table.by_key)))

    return cpu_time_us(receive)


@register_measurement("A table of streams", "streams held", "KB", (500, 4000, 16000))
def stream_memory(size):
    return memory_kb(lambda: make_stream_table(size))


@register_measurement(
    "A change of the list of gateways", "gateways", "us", (60, 480, 1920)
)
def holders_changed(size):
    return cpu_time_us(lambda: make_holder_ring(size))


def run_measurement(name):
    """Run a measurement at all its sizes and return the fitted slope."""
    what, size_unit, cost_unit, sizes, function = MEASUREMENTS[name]
    costs = [function(size) for size in sizes]
    slope, intercept, residual = fit_line(sizes, costs)
    return Slope(
        what, size_unit, cost_unit, sizes, tuple(costs), slope, intercept, residual
    )


@click.command()
@click.option("--out", type=click.Path(), default=str(OUT_PATH))
@click.option("--bench", type=click.Path(exists=True))
@click.option("--state", type=click.Path(exists=True))
@click.option(
    "--only", multiple=True, help="Run only this measurement; may be repeated."
)
def main(out, bench, state, only):
    """Measure slopes and write them to a file.

    The figures of the full request path and of the replicated state are copied
    from the files that their benchmarks wrote. Entries of the file that this run
    does not measure stay unchanged.
    """
    path = pathlib.Path(out)
    table = json.loads(path.read_text()) if path.exists() else {"slopes": {}}
    for name in only or MEASUREMENTS:
        slope = run_measurement(name)
        table["slopes"][name] = dataclasses.asdict(slope)
        click.echo(
            f"{slope.what}: {slope.intercept:.1f} + {slope.slope:.4f} "
            f"{slope.cost_unit} a {slope.size_unit}, "
            f"largest residual {slope.residual:.0%}"
        )
    for name, source in (("bench", bench), ("state", state)):
        if source:
            table[name] = json.loads(pathlib.Path(source).read_text())
    path.write_text(json.dumps(table, indent=1) + "\n")


if __name__ == "__main__":
    main()
