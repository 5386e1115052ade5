"""The load of a soak: callers that send requests and operators that send documents."""

import asyncio
import collections
import dataclasses
import random
import time

import orjson

from brasstrail.fakes import fleetcalls
from brasstrail.tools import (
    soakcheck,
    soakforeign,
    soakparts,
    soakroutes,
    soakstreams,
)

CALLER_COUNT = 24
OPERATOR_COUNT = 2
CALL_DEADLINE_S = 8.0
CALLS_PER_GATEWAY = 25
ROUTE_WEIGHTS = {"look": 4, "act": 4, "talk": 2, "tale": 3}
MAX_STREAM_EVENTS = 30
OPERATOR_TIMEOUT_S = 1.0
# Operators wait longer for the answers to large documents: so much for each route.
OPERATOR_TIMEOUT_A_ROUTE_S = 0.003
# The workspace with an allotment: requests per second, and burst in requests.
LIMITED_WORKSPACE = "small"
LIMITED_RATE_PER_S = 10.0
LIMITED_BURST_REQUESTS = 10.0
# Requests that a run may admit beyond the allotment, since counts are not exact: the
# platform states a slack with each allotment, here two seconds' worth of the rate.
LIMITED_SLACK_REQUESTS = 20.0
# A configuration document contains the key of its own version and of this many versions
# before it.
EARLIER_KEYS_IN_FORCE = 2
# Ages, in versions, of the keys that callers use: recent keys are in force or were just
# removed, old ones were removed long ago and must be refused.
RECENT_KEY_AGES = range(4)
OLD_KEY_AGES = range(10, 31)
# How often an operator sends an earlier document again, as if a change were delayed.
RESEND_PROBABILITY = 0.25
# How often two operators send unlike documents with one version, and how often one
# sends a document that must not come into force.
RACE_PROBABILITY = 0.15
REFUSED_PROBABILITY = 0.2
# Documents that may be sent again.
MAX_KEPT_DOCUMENTS = 40
# How often a request that ends its servers is sent again.
FATAL_INTERVAL_S = 0.5
# Fraction of the ordinary requests whose content no other request has.
UNIQUE_CONTENT_FRACTION = 0.5


@dataclasses.dataclass(frozen=True)
class FatalRequest:
    """A request that ends each backend server that begins to execute it.

    `name` distinguishes it from other such requests. `ending` is one of
    `fleet.ENDINGS`. Each time it is sent with one of `keys`.
    """

    name: str
    route: str
    ending: str
    keys: tuple[str, ...]
    gateways_at_once: int

    @property
    def is_stream(self):
        """Whether the answer would be an event stream."""
        return self.route in soakcheck.STREAM_ROUTES


class Load:
    """Callers and operators, which record what they observe.

    Parameters
    ----------
    gateways : addresses of the gateways by name.
    controls : addresses of the control hosts for operators' calls.
    seed : seed of the random draws.
    observations : `soakcheck.Observations` to fill.
    fixed_routes : how many routes each document has that nobody requests.

    `number` is that of the last request, `version` that of the last new document.
    `server_addresses` are those that backend servers announce.
    """

    def __init__(self, gateways, controls, seed, observations, fixed_routes=0):
        self.gateways = gateways
        self.controls = controls
        self.random = random.Random(seed)
        self.observations = observations
        self.number = 0
        self.version = 0
        self.documents = collections.deque(maxlen=MAX_KEPT_DOCUMENTS)
        self.plan = soakroutes.RoutePlan(seed, fixed_routes)
        self.operator_timeout_s = (
            OPERATOR_TIMEOUT_S + fixed_routes * OPERATOR_TIMEOUT_A_ROUTE_S
        )
        self.stopped = False
        self.server_addresses = ()
        observations.allotment = (
            LIMITED_WORKSPACE,
            LIMITED_RATE_PER_S,
            LIMITED_BURST_REQUESTS,
            LIMITED_SLACK_REQUESTS,
        )

    def start(self):
        """Start the callers, operators and the version reader; return their tasks."""
        jobs = [self.run_caller() for _ in range(CALLER_COUNT)]
        jobs.extend(self.run_operator() for _ in range(OPERATOR_COUNT))
        jobs.append(self.run_reader())
        jobs.append(soakroutes.run_prober(self))
        jobs.append(soakforeign.run_foreign_writer(self))
        return [asyncio.ensure_future(job) for job in jobs]

    # Callers.

    async def run_caller(self):
        """Send requests until the load is stopped.

        The caller stays on one connection and draws a gateway again after an incomplete
        reply and after every `CALLS_PER_GATEWAY` calls.
        """
        caller = fleetcalls.Caller()
        gateway = self.random.choice(sorted(self.gateways))
        calls = 0
        while not self.stopped:
            reply = await self.call(caller, gateway, self.observations.replies)
            calls += 1
            if not reply.is_complete and soakstreams.received_events(reply):
                await soakstreams.StreamCaller(self, reply).run()
            if not reply.is_complete or calls % CALLS_PER_GATEWAY == 0:
                gateway = self.random.choice(sorted(self.gateways))
            await asyncio.sleep(self.random.uniform(0.05, 0.3))
        caller.close()

    async def call(self, caller, gateway, replies, key=None):
        """Send one request with a drawn route; append its reply and return it."""
        route = self.random.choices(*zip(*ROUTE_WEIGHTS.items(), strict=True))[0]
        reply = self.make_reply(route, key or self.draw_key(), gateway)
        if route in soakcheck.STREAM_ROUTES:
            reply.events = self.random.randint(1, MAX_STREAM_EVENTS)
            if key is None and self.random.random() < soakstreams.LEAVE_PROBABILITY:
                reply.leave_after = self.random.randint(1, reply.events)
            reply.prompt = soakparts.make_prompt(self, reply)
        if self.random.random() < UNIQUE_CONTENT_FRACTION:
            reply.query = f"?number={self.number}"
        replies.append(reply)
        address = self.gateways[gateway]
        await caller.call(address, reply, reply.events, CALL_DEADLINE_S)
        return reply

    def make_reply(self, route, key, gateway):
        """Return the empty `fleetcalls.Reply` of a new request."""
        self.number += 1
        identity = f"{self.number:016x}"
        return fleetcalls.Reply(identity, route, key, gateway, time.time())

    def draw_key(self):
        """Return a key of a permanent workspace, or one that may have been removed."""
        kind = self.random.random()
        if kind < 0.5:
            return "key-steady"
        if kind < 0.8:
            return "key-small"
        ages = OLD_KEY_AGES if kind > 0.95 else RECENT_KEY_AGES
        return f"key-{max(0, self.version - self.random.choice(ages))}"

    async def burst(self, seconds):
        """Add twice the usual number of callers for some seconds, without pauses."""
        end = time.monotonic() + seconds

        async def call_until_end():
            caller = fleetcalls.Caller()
            while time.monotonic() < end and not self.stopped:
                gateway = self.random.choice(sorted(self.gateways))
                await self.call(caller, gateway, self.observations.replies)
            caller.close()

        await asyncio.gather(*(call_until_end() for _ in range(2 * CALLER_COUNT)))

    async def repeat_fatal_request(self, request, seconds):
        """Send a request that ends its servers again and again, for some seconds.

        Each round sends it to several gateways at the same time, each time with a new
        attempt id. `request` is a `FatalRequest`.
        """
        end = time.monotonic() + seconds
        calls = []
        while time.monotonic() < end and not self.stopped:
            names = sorted(self.gateways)
            for gateway in self.random.sample(names, request.gateways_at_once):
                calls.append(asyncio.ensure_future(self.send_fatal(request, gateway)))
            await asyncio.sleep(FATAL_INTERVAL_S)
        await asyncio.wait(calls)

    async def send_fatal(self, request, gateway):
        """Send a request that ends its servers once, on a connection of its own."""
        key = self.random.choice(request.keys)
        reply = self.make_reply(request.route, key, gateway)
        reply.events = MAX_STREAM_EVENTS if request.is_stream else 0
        reply.query = f"?end={request.ending}&name={request.name}"
        reply.fatal = request.name
        self.observations.replies.append(reply)
        caller = fleetcalls.Caller()
        await caller.call(self.gateways[gateway], reply, reply.events, CALL_DEADLINE_S)
        caller.close()

    async def make_final_calls(self, count):
        """Send calls to the gateways in turn, after all faults have ended.

        Each round sends one call to every gateway at the same time. An incomplete last
        round of the `count` calls is not sent.
        """
        names = sorted(self.gateways)
        calls = []
        for index in range(count):
            caller = fleetcalls.Caller()
            name = names[index % len(names)]
            calls.append(
                self.call(caller, name, self.observations.replies, "key-steady")
            )
            if len(calls) == len(names):
                self.observations.final_replies.extend(await asyncio.gather(*calls))
                calls = []

    # Operators.

    async def run_operator(self):
        """Send new documents, and sometimes earlier ones, until the load is stopped."""
        while not self.stopped:
            if self.random.random() < RACE_PROBABILITY:
                version = self.next_version()
                await asyncio.gather(*(self.send_document(version) for _ in range(2)))
            else:
                await self.send_next_document()
            if self.random.random() < RESEND_PROBABILITY:
                await self.resend_document()
            if self.random.random() < REFUSED_PROBABILITY:
                await soakroutes.send_refused_document(self)
            await asyncio.sleep(self.random.uniform(0.3, 2.5))

    async def resend_document(self):
        """Send an earlier document again; the newest one must stay in force."""
        document = self.random.choice(self.documents)
        host = self.random.choice(self.controls)
        await fleetcalls.put_document(host, document, self.operator_timeout_s)

    async def send_storm(self, seconds):
        """Send a document each 0.1 s, without waiting for what becomes of the last."""
        end = time.monotonic() + seconds
        sending = []
        while time.monotonic() < end and not self.stopped:
            sending.append(asyncio.ensure_future(self.send_next_document()))
            await asyncio.sleep(soakroutes.STORM_INTERVAL_S)
        await asyncio.wait(sending)

    def next_version(self):
        """Return a version that is higher than all before it."""
        self.version += self.random.randint(1, 3)
        return self.version

    async def send_next_document(self):
        """Send the next document; return whether it was acknowledged."""
        return await self.send_document(self.next_version())

    def make_workspaces(self, version):
        """Return the workspaces of a document.

        The workspace "changing" holds the keys that come and go.
        """
        held = [f"key-{version - age}" for age in range(EARLIER_KEYS_IN_FORCE + 1)]
        return (
            fleetcalls.Workspace("steady", ("key-steady",)),
            fleetcalls.Workspace(
                LIMITED_WORKSPACE,
                ("key-small",),
                LIMITED_RATE_PER_S,
                LIMITED_BURST_REQUESTS,
            ),
            fleetcalls.Workspace("changing", tuple(held)),
        )

    def make_document(self, version):
        """Return a document without changing routes."""
        return fleetcalls.make_document(version, self.make_workspaces(version))

    async def send_document(self, version):
        """Send a new document until it is acknowledged, at most 12 times.

        Return whether it was acknowledged.
        """
        document = self.make_document(version)
        routes = self.plan.add_routes(document)
        body = orjson.dumps(document)
        self.documents.append(body)
        workspaces = self.make_workspaces(version)
        keys = frozenset(key for each in workspaces for key in each.keys)
        index = len(self.observations.documents)
        sent = soakcheck.SentDocument(version, keys, time.time(), None, routes)
        self.observations.documents.append(sent)
        for _ in range(12):
            host = self.random.choice(self.controls)
            status = await fleetcalls.put_document(host, body, self.operator_timeout_s)
            if status == 200:
                self.observations.documents[index] = dataclasses.replace(
                    sent, acknowledged_at=time.time()
                )
                return True
            await asyncio.sleep(0.2)
        return False

    async def run_reader(self):
        """Read the newest version every 0.2 s until the load is stopped."""
        while not self.stopped:
            await self.read_newest_version()
            await asyncio.sleep(0.2)

    async def read_newest_version(self):
        """Return the newest version read from a random control host, or None."""
        sent_at = time.time()
        host = self.random.choice(self.controls)
        document = await fleetcalls.read_document(host, self.operator_timeout_s)
        if document is None:
            return None
        names = frozenset(each["name"] for each in document["routes"])
        version = document["version"]
        self.observations.reads.append(soakcheck.Read(sent_at, version, names))
        return version
