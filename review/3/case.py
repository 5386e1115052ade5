"""Another writer's liveness reports, and open channels that go silent.

One writer reports, every heartbeat, a service that the configuration does not name; its
`sequence` is no 64-bit integer with a sign. Later the open channels between the
machines go silent, and new ones work. The configuration has to be read back after that.
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
ROUTE = lib.make_route("status", SERVICE, "idempotent", max_attempts=2)
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.4
# How long after the disruption the operator begins to read the configuration.
CALM_S = 15.0
READ_S = 12.0


# Each half of the disruption can be left out alone.
REPORTS = lib.TROUBLE and os.environ.get("REPORTS", "1") != "0"
SILENCE = lib.TROUBLE and os.environ.get("SILENCE", "1") != "0"


async def run(server, request):
    await asyncio.sleep(0.0225)
    return 200, b"x" * 800


async def write_reports(deployment):
    """Report as another writer does; move on with some back-off after a failure."""
    node = 0
    sequence = 2**64 - 1000
    born = int(time.time() * 1000)
    while True:
        sequence += 1
        report = {
            "service": "mailer",
            "address": f"{deployment.prefix}.250:9000",
            "zone": "ub-east",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": sequence,
            "born": born,
        }
        backoff_s = MIN_BACKOFF_S
        while True:
            control = deployment.controls()[node % 3]
            answer = await lib.call(
                control,
                "PUT",
                "/v1/instances/m-9f31",
                {"Content-Type": "application/json"},
                json.dumps(report).encode(),
                timeout_s=1.0,
            )
            deployment.record.write(f"the other writer reports to {control}: {answer}")
            if answer.status and answer.status < 500:
                break
            node += 1
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
        await asyncio.sleep(lib.HEARTBEAT_S)


async def send_requests(deployment, name, seconds):
    """Send requests to the gateways in turn; return how many, and how many served."""
    tasks = []
    for number in range(int(seconds * 10)):
        machine = deployment.machines[number % len(deployment.machines)]
        headers = {
            "Host": ROUTE["host"],
            "X-Attempt-Id": f"{name}-{number}",
            "X-Deadline-Ms": "3000",
            "Authorization": f"Token {KEY}",
        }
        attempt = lib.call(
            deployment.frontend(machine), "GET", "/status/1", headers, timeout_s=3.0
        )
        tasks.append(asyncio.ensure_future(attempt))
        await asyncio.sleep(0.1)
    answers = await asyncio.gather(*tasks)
    for number, answer in enumerate(answers):
        deployment.record.write(f"{name}-{number}: {answer}")
    served = sum(each.status == 200 and each.complete for each in answers)
    deployment.record.say(f"{name}: {served} of {len(answers)} requests served")
    return served / len(answers)


async def read_back(deployment):
    """Read the configuration from all nodes in turn; return the versions that come."""
    versions = []
    end = time.monotonic() + READ_S
    node = 0
    while time.monotonic() < end:
        control = deployment.controls()[node % 3]
        answer = await lib.call(control, "GET", "/v1/configuration", timeout_s=1.0)
        deployment.record.write(f"configuration read from {control}: {answer}")
        if answer.status == 200 and answer.complete:
            versions.append(json.loads(answer.body)["version"])
        node += 1
        await asyncio.sleep(0.2)
    return versions


async def play(record):
    async with lib.Deployment(record, proxied=True) as deployment:
        deployment.start_all()
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
            await server.start()
        await deployment.wait_ready()
        await asyncio.sleep(6.0)
        writer = None
        if REPORTS:
            writer = asyncio.ensure_future(write_reports(deployment))
        if await send_requests(deployment, "before", 5) < 0.9:
            raise lib.CannotRun("requests before the disruption were not served")
        if SILENCE:
            record.say("the open channels between the machines go silent")
            deployment.network.silence()
        await asyncio.sleep(CALM_S)
        versions = await read_back(deployment)
        record.say(f"the configuration was read back {len(versions)} times")
        await send_requests(deployment, "after", 5)
        if writer is not None:
            writer.cancel()
        for server in servers:
            server.close()
        return lib.HELD if versions and versions[-1] == 7 else lib.BROKEN


lib.main(FOLDER, play)
