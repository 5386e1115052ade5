"""DRAIN: a server that has withdrawn is used again when a report of it comes late.

With SAME_ID=1 the server starts again under the id that it had, and its withdrawal
states when it was born. Otherwise it has a new id, and its withdrawal has no body.
"""

import asyncio
import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as st

SERVICE, KEY = "filing-app", "k-bookkeeper"
DRAIN_S = st.BOUNDS["drain_ms"] / 1000
SAME_ID = os.environ.get("SAME_ID") == "1"
# How long the path for liveness reports of the second boot is held up.
HELD_S = 3.0
# When the report that was under way arrives, after that path works again.
LATE_S = 1.5
# The server goes on for this long after its withdrawal was acknowledged.
SERVES_ON_S = 9.0


class CutServer(st.Server):
    """A server whose reports are held up on their way while `held` is true."""

    held = False

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.late = []

    async def send_report(self, control, method, body):
        if not self.held:
            return await super().send_report(control, method, body)
        # The bytes are under way; the network delivers them after the cut.
        self.late.append((control, method, self.identity, body))
        await asyncio.sleep(3600)

    async def deliver_late(self):
        """Deliver what was under way, in the order in which it was sent."""
        late, self.late = self.late, []
        for control, method, identity, body in late:
            path = f"/v1/instances/{identity}"
            answer = await st.call(control, method, path, st.JSON, body, control)
            self.record(f"late {method} of {identity} {body} answered {answer.status}")


async def request_steadily(record, gateways, stop):
    """Send 20 requests a second until `stop` is set."""
    tasks, number = [], 0

    async def one(gateway, attempt):
        headers = {
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": "3000",
            "Authorization": f"Token {KEY}",
        }
        record(f"sent {attempt} to {gateway}")
        try:
            answer = await st.call(gateway, "GET", "/status/1", headers)
            record(f"answered {attempt} {answer.status}")
        except (OSError, EOFError) as error:
            record(f"no answer to {attempt}: {error!r}")

    while not stop.is_set():
        number += 1
        gateway = random.choice(gateways)
        tasks.append(asyncio.ensure_future(one(gateway, f"{number:016x}")))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)


async def play(record):
    installation = st.Installation(record)
    controls = [f"{ip}:{st.CONTROL}" for ip in installation.core_ips]
    leaving = CutServer(record, "a", SERVICE, f"{installation.net}.21", controls)
    other = st.Server(record, "b", SERVICE, f"{installation.net}.22", controls)
    stop = asyncio.Event()
    try:
        installation.start_all()
        operator = st.Operator(record, controls)
        await operator.put(
            st.configuration(
                7,
                [st.route("status", SERVICE)],
                [SERVICE],
                [st.tenant("hule930", KEY)],
            )
        )
        for server in (leaving, other):
            await server.start()
            server.begin_beats()
        await installation.wait_ready(installation.ips)
        gateways = [f"{ip}:{st.FRONTEND}" for ip in installation.ips]
        load = asyncio.ensure_future(request_steadily(record, gateways, stop))
        await asyncio.sleep(6.0)
        if not leaving.runs or not other.runs:
            raise st.CannotRun("a server got no requests in calm")
        # The server crashes and starts again; its reports are held up.
        leaving.end()
        await asyncio.sleep(2.0)
        leaving.held = st.TROUBLE
        leaving.withdrawal_has_body = SAME_ID
        await leaving.start(None if SAME_ID else "i-a2")
        leaving.begin_beats()
        await asyncio.sleep(HELD_S)
        # New channels work again. The server is told to leave, and is one of those
        # that withdraw without a report of `draining`.
        leaving.held = False
        leaving.beats.cancel()
        if not await leaving.tell("DELETE"):
            raise st.CannotRun("the withdrawal was not acknowledged")
        acknowledged = time.monotonic()
        record("the withdrawal was acknowledged")
        await asyncio.sleep(LATE_S)
        await leaving.deliver_late()
        await asyncio.sleep(SERVES_ON_S - LATE_S)
        stop.set()
        await load
        late_runs = [
            attempt for at, attempt, _, _ in leaving.runs if at - acknowledged > DRAIN_S
        ]
        record(f"{len(late_runs)} requests reached the server later than drain_ms")
        return len(late_runs) > 0
    finally:
        stop.set()
        leaving.end()
        other.end()
        installation.stop()


st.run_case(pathlib.Path(__file__).resolve().parent, play)
