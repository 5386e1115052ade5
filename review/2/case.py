"""A planned stop of one gateway while requests wait for a server.

Two engines of four places are busy with long answers. Requests of the lowest rank wait
at all gateways. One gateway gets SIGTERM. Each of its requests must get an answer.
"""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import lib  # noqa: E402

SERVICE = "assist"
KEY = "key-of-the-bookkeepers"
ROUTE = lib.make_route(
    "qa",
    SERVICE,
    "streaming",
    timeout_ms=15000,
    goal_ms=2000,
    priority=2,
    itl_goal_ms=500,
    resumable=True,
    sticky=True,
    max_attempts=2,
)
DEADLINE_MS = 15000
# The longest answer of filing-qa has 560 events. At four requests a step of an engine
# takes 4.1 ms or more, and an event holds 5 tokens.
LONG_EVENTS = 520
EVENT_GAP_S = 0.0235
# A requester abandons a stream before its first event after four times the objective.
PATIENCE_S = 8.0


async def run(server, request):
    if request["id"].startswith("long"):
        return lib.Stream(LONG_EVENTS, EVENT_GAP_S)
    return lib.Stream(20, EVENT_GAP_S)


async def request(deployment, machine, identity, results):
    """One attempt of a requester, who leaves as the pages say."""
    body = identity.encode() * 40
    headers = {
        "Host": ROUTE["host"],
        "X-Attempt-Id": identity,
        "X-Deadline-Ms": str(DEADLINE_MS),
        "X-Model-Id": "m",
        "X-Token-Usage": "543,2600" if identity.startswith("long") else "543,100",
        "X-Prefix-Hash": f"{abs(hash(identity)) % 2**32:08x}:543",
        "Authorization": f"Token {KEY}",
    }
    deployment.record.write(f"{identity} sent to {machine.ip}")
    patience_s = DEADLINE_MS / 1000 if identity.startswith("long") else PATIENCE_S
    answer = await lib.call(
        deployment.frontend(machine),
        "POST",
        f"/{ROUTE['name']}/1",
        headers,
        body,
        patience_s,
    )
    deployment.record.write(f"{identity}: {answer}")
    results[identity] = answer


async def play(record):
    async with lib.Deployment(record) as deployment:
        deployment.start_all()
        document = lib.make_document(
            7,
            [ROUTE],
            [lib.engine_service(SERVICE)],
            [lib.make_tenant("bookkeepers", KEY)],
        )
        await deployment.put(document)
        servers = [lib.Server(deployment, SERVICE, run, each) for each in range(2)]
        for server in servers:
            await server.start()
        await deployment.wait_ready()
        await asyncio.sleep(6.0)
        results, tasks = {}, []

        def send(machine, identity):
            tasks.append(
                asyncio.ensure_future(request(deployment, machine, identity, results))
            )

        machines = deployment.machines
        for number in range(10):
            send(machines[number % 3], f"warm-{number}")
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)
        if not all(each.complete and each.status == 200 for each in results.values()):
            raise lib.CannotRun("a request on a calm system was not served")
        # Each engine runs four requests for twelve seconds, and two wait there.
        for number in range(12):
            send(machines[1 + number % 2], f"long-{number}")
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.2)
        stopped = machines[0]
        stopped_at = time.monotonic()
        if lib.TROUBLE:
            deployment.signal(stopped, "gateway", signal.SIGTERM)
        await asyncio.sleep(0.3)
        # The platform sends new channels to the node until two checks have failed.
        waiting = [f"wait-{number}" for number in range(6)]
        for identity in waiting:
            send(stopped, identity)
            await asyncio.sleep(0.2)
        if lib.TROUBLE:
            process, _ = stopped.processes["gateway"]
            while process.poll() is None and time.monotonic() - stopped_at < 9.0:
                await asyncio.sleep(0.05)
            record.write(f"the gateway ended with {process.poll()}")
        await asyncio.gather(*tasks)
        for server in servers:
            server.close()
        lost = []
        for identity in waiting:
            answer = results[identity]
            arrived = any(
                f": {identity} arrived" in line
                for line in (FOLDER / "record.txt").read_text().splitlines()
            )
            lasted_s = answer.ended - answer.sent
            is_cut = not answer.complete and answer.end != "the requester left"
            if is_cut and lasted_s > lib.BOUNDS["loss_slack_ms"] / 1000 and not arrived:
                lost.append(identity)
        record.say(
            f"{len(waiting)} requests were read and waited, {len(lost)} of them were "
            f"cut without an answer and never reached a server: {', '.join(lost)}"
        )
        return lib.BROKEN if lost else lib.HELD


lib.main(FOLDER, play)
