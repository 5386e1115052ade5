"""The callers and operators of a soak."""

import asyncio
import random
import time

from brasstrail.fakes import fleetcalls
from brasstrail.tools import soakcheck

CALLERS = 24
OPERATORS = 2
DEADLINE_S = 8.0
CALLS_A_GATEWAY = 25
ROUTE_WEIGHTS = {"look": 4, "act": 4, "talk": 2, "tale": 3}
LONGEST_STREAM = 30
OPERATOR_LIMIT_S = 1.0
# The workspace with an allotment: requests a second and its burst.
SMALL = "small"
SMALL_RATE = 10.0
SMALL_BURST = 10.0
# What a run may let in beyond it, since counts are not exact: the platform states a
# slack with each allotment, here two seconds' worth.
SMALL_SLACK = 20.0
KEYS_IN_FORCE = 2
# Keys of so many versions ago: some just removed, some that must be long dead.
YOUNG_KEYS = range(4)
OLD_KEYS = range(10, 31)
# How often an operator sends an earlier document again, as a delayed change would be.
RESENT_PART = 0.25


class Load:
    """Callers and operators, and all that they see.

    Parameters
    ----------
    gateways : address by name of gateway.
    controls : addresses of control hosts for operators.
    seed : of the draws.
    seen : `soakcheck.Seen` to fill.
    """

    def __init__(self, gateways, controls, seed, seen):
        self.gateways = gateways
        self.controls = controls
        self.random = random.Random(seed)
        self.seen = seen
        self.number = 0
        self.version = 0
        self.documents = []
        self.stopped = False
        seen.allotted = (SMALL, SMALL_RATE, SMALL_BURST, SMALL_SLACK)

    def start(self):
        """Return the tasks of all callers and operators."""
        jobs = [self.call_on() for _ in range(CALLERS)]
        jobs.extend(self.operate_on() for _ in range(OPERATORS))
        jobs.append(self.read_on())
        return [asyncio.ensure_future(job) for job in jobs]

    # Callers.

    async def call_on(self):
        """Call until the load is stopped, mostly on one connection."""
        caller = fleetcalls.Caller()
        gateway = self.random.choice(sorted(self.gateways))
        calls = 0
        while not self.stopped:
            reply = await self.call(caller, gateway, self.seen.replies)
            calls += 1
            if not reply.is_complete or calls % CALLS_A_GATEWAY == 0:
                gateway = self.random.choice(sorted(self.gateways))
            await asyncio.sleep(self.random.uniform(0.05, 0.3))
        caller.close()

    async def call(self, caller, gateway, replies, key=None):
        """Send one request; return what came."""
        self.number += 1
        route = self.random.choices(*zip(*ROUTE_WEIGHTS.items(), strict=True))[0]
        reply = fleetcalls.Reply(
            f"{self.number:016x}", route, key or self.draw_key(), gateway, time.time()
        )
        if route in soakcheck.STREAMS:
            reply.events = self.random.randint(1, LONGEST_STREAM)
        replies.append(reply)
        address = self.gateways[gateway]
        await caller.call(address, reply, reply.events, DEADLINE_S)
        return reply

    def draw_key(self):
        """Return a key: of a workspace that stays, or one that may be removed."""
        kind = self.random.random()
        if kind < 0.5:
            return "key-steady"
        if kind < 0.8:
            return "key-small"
        ages = OLD_KEYS if kind > 0.95 else YOUNG_KEYS
        return f"key-{max(0, self.version - self.random.choice(ages))}"

    async def burst(self, seconds):
        """Let as many callers again call for a while."""
        end = time.monotonic() + seconds

        async def call_for_a_while():
            caller = fleetcalls.Caller()
            while time.monotonic() < end and not self.stopped:
                gateway = self.random.choice(sorted(self.gateways))
                await self.call(caller, gateway, self.seen.replies)
            caller.close()

        await asyncio.gather(*(call_for_a_while() for _ in range(2 * CALLERS)))

    async def call_at_the_end(self, count):
        """Call each gateway in turn after all faults."""
        names = sorted(self.gateways)
        calls = []
        for place in range(count):
            caller = fleetcalls.Caller()
            name = names[place % len(names)]
            calls.append(self.call(caller, name, self.seen.replies, "key-steady"))
            if len(calls) == len(names):
                self.seen.final.extend(await asyncio.gather(*calls))
                calls = []

    # Operators.

    async def operate_on(self):
        """Send documents until the load is stopped."""
        while not self.stopped:
            await self.change()
            if self.random.random() < RESENT_PART:
                await self.resend()
            await asyncio.sleep(self.random.uniform(0.3, 2.5))

    async def resend(self):
        """Send an earlier document once more; it must change nothing."""
        document = self.random.choice(self.documents)
        host = self.random.choice(self.controls)
        await fleetcalls.put_document(host, document, OPERATOR_LIMIT_S)

    async def change(self):
        """Send the next document until it is acknowledged or given up."""
        self.version += self.random.randint(1, 3)
        version = self.version
        held = [f"key-{version - back}" for back in range(KEYS_IN_FORCE + 1)]
        workspaces = (
            fleetcalls.Workspace("steady", ("key-steady",)),
            fleetcalls.Workspace(SMALL, ("key-small",), SMALL_RATE, SMALL_BURST),
            fleetcalls.Workspace("changing", tuple(held)),
        )
        document = fleetcalls.make_document(version, workspaces)
        self.documents.append(document)
        keys = frozenset(key for each in workspaces for key in each.keys)
        sent_at = time.time()
        place = len(self.seen.documents)
        self.seen.documents.append(soakcheck.Sent(version, keys, sent_at, None))
        for _ in range(12):
            host = self.random.choice(self.controls)
            status = await fleetcalls.put_document(host, document, OPERATOR_LIMIT_S)
            if status == 200:
                sent = soakcheck.Sent(version, keys, sent_at, time.time())
                self.seen.documents[place] = sent
                return True
            await asyncio.sleep(0.2)
        return False

    async def read_on(self):
        """Read the newest version until the load is stopped."""
        while not self.stopped:
            await self.read()
            await asyncio.sleep(0.2)

    async def read(self):
        """Read the newest version from some control host, or None."""
        sent_at = time.time()
        host = self.random.choice(self.controls)
        version = await fleetcalls.read_version(host, OPERATOR_LIMIT_S)
        if version is not None:
            self.seen.reads.append(soakcheck.Read(sent_at, version))
        return version
