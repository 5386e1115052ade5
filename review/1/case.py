"""All requests of a client are left at once, and the servers' places are lost.

A client has requests at a gateway, some of which run while the others wait. It ends,
so that all its channels are closed at the same time; some more clients do the same.
Later requests have to be served.
"""

import asyncio
import pathlib
import sys

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
FIRST_ROUTE = lib.make_route("status", "filing", "idempotent", max_attempts=2)
# The client's requests: as many as run at two engines, and some that wait.
RUNNING, WAITING = 12, 24
# Clients that do so, one after the other.
CLIENTS = 5
# Requests of other clients at the other gateways meanwhile, by second.
OTHERS_PER_S = 60
PATIENCE_S = 8.0
EVENTS, GAP_S = 36, 0.04


async def run(server, request):
    if server.service == SERVICE:
        is_long = request["id"].startswith("batch")
        return lib.Stream(EVENTS if is_long else 10, GAP_S)
    await asyncio.sleep(0.0225)
    return 200, b"x" * 800


async def send_others(deployment, seconds, number):
    """Send requests of other clients, none of which leaves, to the other gateways."""
    tasks = []
    for each in range(int(OTHERS_PER_S * seconds)):
        machine = deployment.machines[1 + each % 2]
        attempt = read_status(deployment, machine, f"other-{number}-{each}")
        tasks.append(asyncio.ensure_future(attempt))
        await asyncio.sleep(1 / OTHERS_PER_S)
    return await asyncio.gather(*tasks)


async def leave_at_once(deployment, machine, servers, number):
    """Let a client send its requests and end; record what the servers still run."""
    tasks = []
    others = asyncio.ensure_future(send_others(deployment, 2.5, number))
    for each in range(RUNNING + WAITING):
        attempt = send(deployment, machine, f"batch-{number}-{each}", PATIENCE_S)
        tasks.append(asyncio.ensure_future(attempt))
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.7)
    before = sum(server.active for server in servers)
    if lib.TROUBLE:
        deployment.record.say(f"the client ends; {before} of its requests run")
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0.5)
        still = sum(server.active for server in servers)
        deployment.record.say(f"half a second later {still} run")
        await others
        await asyncio.sleep(3.0)
        return
    await asyncio.gather(others, *tasks)


async def read_status(deployment, machine, identity):
    headers = {
        "Host": ROUTE["host"],
        "X-Attempt-Id": identity,
        "X-Deadline-Ms": "3000",
        "Authorization": f"Token {KEY}",
    }
    answer = await lib.call(
        deployment.frontend(machine), "GET", "/status/1", headers, timeout_s=3.0
    )
    deployment.record.write(f"{identity} at {machine.ip}: {answer}")
    return answer


async def send(deployment, machine, identity, patience_s):
    headers = {
        "Host": ROUTE["host"],
        "X-Attempt-Id": identity,
        "X-Deadline-Ms": "15000",
        "X-Model-Id": "m",
        "X-Token-Usage": "543,150",
        "X-Prefix-Hash": f"{abs(hash(identity)) % 2**32:08x}:543",
        "Authorization": f"Token {KEY}",
    }
    answer = await lib.call(
        deployment.frontend(machine),
        "POST",
        "/qa/1",
        headers,
        identity.encode() * 40,
        patience_s,
    )
    deployment.record.write(f"{identity} at {machine.ip}: {answer}")
    return answer


def count_served(answers):
    return sum(each.status == 200 and each.complete for each in answers)


async def play(record):
    async with lib.Deployment(record) as deployment:
        deployment.start_all()
        services = [lib.engine_service(SERVICE), lib.plain_service("filing")]
        tenants = [lib.make_tenant("bookkeepers", KEY)]
        await deployment.put(lib.make_document(7, [FIRST_ROUTE], services, tenants))
        servers = [lib.Server(deployment, SERVICE, run, each) for each in range(2)]
        servers += [
            lib.Server(deployment, "filing", run, each, slots=6) for each in (2, 3)
        ]
        for server in servers:
            await server.start()
        await deployment.wait_ready()
        await deployment.put(
            lib.make_document(9, [FIRST_ROUTE, ROUTE], services, tenants)
        )
        await asyncio.sleep(6.0)
        machines = deployment.machines
        for each in range(6):
            first = await send(deployment, machines[each % 3], f"calm-{each}", 8.0)
            if first.status != 200 or not first.complete:
                raise lib.CannotRun("a request on a calm system was not served")
        for number in range(CLIENTS):
            await leave_at_once(deployment, machines[0], servers[:2], number)
        await asyncio.sleep(8.0)
        record.say("the system has been calm for eight seconds")
        added, first = [], []
        for each in range(24):
            machine = machines[each % 3]
            added.append(
                asyncio.ensure_future(send(deployment, machine, f"after-{each}", 8.0))
            )
            first.append(await read_status(deployment, machine, f"status-{each}"))
            await asyncio.sleep(0.2)
        added = count_served(await asyncio.gather(*added))
        first = count_served(first)
        record.say(
            f"of 24 requests each, {first} were served on the first route and {added} "
            "on the route that was added later"
        )
        for server in servers:
            server.close()
        return lib.BROKEN if added < first / 4 else lib.HELD


lib.main(FOLDER, play)
