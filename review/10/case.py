"""CONFIG: reports of another writer take sound servers out of use."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as st

FIRST, LATER, FOREIGN, KEY = "filing-app", "archive-app", "other-app", "k-bookkeeper"
REQUESTS = 24
# Seconds after the reports of the other writer at which requests are counted.
COUNTED_AT_S = (5.0, 25.0, 45.0)


async def count_served(record, gateways, route):
    """Return how many of `REQUESTS` requests on a route are answered 200."""
    served = 0
    for number in range(REQUESTS):
        gateway = gateways[number % len(gateways)]
        attempt = f"{route}-{record.file.tell():08x}"
        headers = {
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": "3000",
            "Authorization": f"Token {KEY}",
        }
        answer = await st.call(gateway, "GET", f"/{route}/1", headers)
        record(f"{attempt} at {gateway}: {answer.status}")
        served += answer.status == 200
        await asyncio.sleep(0.05)
    return served


def configure(version, routes):
    return st.configuration(
        version, routes, [FIRST, LATER], [st.tenant("hule930", KEY)]
    )


async def report_as_other_writer(record, control, number, server):
    """Report a server of a service that isn't named here, once."""
    report = {
        "service": FOREIGN,
        "address": server.address,
        "zone": server.zone,
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": server.born,
    }
    path = f"/v1/instances/other-{number}"
    body = json.dumps(report).encode()
    answer = await st.call(control, "PUT", path, st.JSON, body, control)
    record(f"other writer: {path} {report} answered {answer.status}")


async def play(record):
    installation = st.Installation(record)
    controls = [f"{ip}:{st.CONTROL}" for ip in installation.core_ips]
    servers = [
        st.Server(record, name, service, f"{installation.net}.{last}", controls)
        for name, service, last in (
            ("a", FIRST, 21),
            ("b", FIRST, 22),
            ("c", LATER, 23),
            ("d", LATER, 24),
        )
    ]
    try:
        installation.start_all()
        operator = st.Operator(record, controls)
        first, later = st.route("first", FIRST), st.route("later", LATER)
        await operator.put(configure(7, [first]))
        for server in servers:
            await server.start()
            server.begin_beats()
        await installation.wait_ready(installation.ips)
        await operator.put(configure(19, [first, later]))
        await asyncio.sleep(4.0)
        gateways = [f"{ip}:{st.FRONTEND}" for ip in installation.ips]
        for route in ("first", "later"):
            if await count_served(record, gateways, route) < REQUESTS:
                raise st.CannotRun(f"route {route} was not served in calm")
        if st.TROUBLE:
            for number, server in enumerate(servers[2:]):
                await report_as_other_writer(record, controls[0], number, server)
        reported_at = asyncio.get_running_loop().time()
        results = []
        for seconds in COUNTED_AT_S:
            left_s = reported_at + seconds - asyncio.get_running_loop().time()
            await asyncio.sleep(max(0.0, left_s))
            counts = [
                await count_served(record, gateways, route)
                for route in ("first", "later")
            ]
            record(
                f"{seconds:.0f} s later: {counts[0]} of {REQUESTS} on the first route, "
                f"{counts[1]} of {REQUESTS} on the later one"
            )
            results.append(counts)
        return all(later < 0.25 * first for first, later in results)
    finally:
        for server in servers:
            server.end()
        installation.stop()


st.run_case(pathlib.Path(__file__).resolve().parent, play)
