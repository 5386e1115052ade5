"""A server that has left is in use again after all processes were killed.

A server withdraws, serves on for some seconds and exits, as some servers do. One of its
liveness reports from before arrives late. In between all processes were killed.
"""

import asyncio
import json
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import lib  # noqa: E402

SERVICE = "filing"
KEY = "key-of-the-bookkeepers"
ROUTE = lib.make_route("submit", SERVICE, "non_idempotent")
# How late the report arrives, and how long the server serves on after its withdrawal.
LATE_S = 4.0
SERVES_ON_S = 14.0
DOWN_S = 0.7
KILL = lib.TROUBLE and os.environ.get("KILL", "1") != "0"
LATE = lib.TROUBLE and os.environ.get("LATE", "1") != "0"


async def run(server, request):
    server.runs.append((time.monotonic(), request["id"]))
    await asyncio.sleep(0.0225)
    return 200, b"x" * 800


async def send(deployment, machine, identity, sent):
    headers = {
        "Host": ROUTE["host"],
        "X-Attempt-Id": identity,
        "X-Deadline-Ms": "3000",
        "Authorization": f"Token {KEY}",
    }
    sent[identity] = time.monotonic()
    answer = await lib.call(
        deployment.frontend(machine), "POST", "/submit/1", headers, b"x" * 600, 3.0
    )
    deployment.record.write(f"{identity} at {machine.ip}: {answer}")
    return answer


async def deliver(deployment, server, method, body, delay_s=0.0):
    """Deliver a call of a server to control; return whether it was acknowledged."""
    await asyncio.sleep(delay_s)
    for control in deployment.controls():
        answer = await lib.call(
            control,
            method,
            f"/v1/instances/{server.identity}",
            {"Content-Type": "application/json"},
            json.dumps(body).encode(),
            1.0,
        )
        deployment.record.write(f"{method} of {server.identity} at {control}: {answer}")
        if answer.status == 200:
            return True
    return False


async def play(record):
    async with lib.Deployment(record) as deployment:
        deployment.start_all()
        deployment.bootstrap = False
        document = lib.make_document(
            7,
            [ROUTE],
            [lib.plain_service(SERVICE)],
            [lib.make_tenant("bookkeepers", KEY)],
        )
        await deployment.put(document)
        zones = list(lib.ZONES)
        servers = [
            lib.Server(deployment, SERVICE, run, each, zones[each], slots=6)
            for each in range(3)
        ]
        for server in servers:
            server.runs = []
            await server.start()
        await deployment.wait_ready()
        await asyncio.sleep(6.0)
        sent = {}
        for number in range(9):
            machine = deployment.machines[number % 3]
            answer = await send(deployment, machine, f"calm-{number}", sent)
            if answer.status != 200:
                raise lib.CannotRun("a request on a calm system was not served")
        leaver = servers[0]
        leaver.beats.cancel()
        await asyncio.sleep(1.0)
        leaver.sequence += 1
        report = leaver.report()
        late = None
        if LATE:
            record.write(f"a report of {leaver.identity} is under way for {LATE_S} s")
            late = asyncio.ensure_future(
                deliver(deployment, leaver, "PUT", report, LATE_S)
            )
        await asyncio.sleep(0.3)
        leaver.sequence += 1
        withdrawal = {"born": leaver.born, "sequence": leaver.sequence}
        if not await deliver(deployment, leaver, "DELETE", withdrawal):
            raise lib.CannotRun("the withdrawal was not acknowledged")
        acked = time.monotonic()
        record.say("a server's withdrawal was acknowledged")
        await asyncio.sleep(0.3)
        if KILL:
            record.say("all processes are killed")
            for machine in deployment.machines:
                deployment.kill(machine, "control")
                deployment.kill(machine, "gateway")
            await asyncio.sleep(DOWN_S)
            deployment.start_all()
        started = time.monotonic()
        in_touch = started + lib.BOUNDS["contact_ms"] / 1000 + 0.5
        await asyncio.sleep(in_touch - time.monotonic())
        number = 0
        while time.monotonic() < acked + SERVES_ON_S - 1.0:
            machine = deployment.machines[number % 3]
            await send(deployment, machine, f"after-{number}", sent)
            number += 1
            await asyncio.sleep(0.1)
        if late is not None:
            await late
        for server in servers:
            server.close()
        drained = acked + lib.BOUNDS["drain_ms"] / 1000
        reached = [
            identity
            for at, identity in leaver.runs
            if at > drained and sent[identity] >= in_touch
        ]
    record.say(
        f"{len(reached)} of {number} requests reached the server later than drain_ms "
        "after the acknowledgement, through machines in touch"
    )
    return lib.BROKEN if reached else lib.HELD


lib.main(FOLDER, play)
