"""UNASKED: a gateway that was frozen shows a requester's new key to a server."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as st

SERVICE, KEY, NEW_KEY = "filing-app", "k-first-i9n73hh2b9wu3", "k-new-n2ctnfzs989a"
FREEZE_S = 3.0
# When the configuration is sent, after the freeze began.
CHANGE_S = 2.0
CHANNELS = 5


def configure(version, is_open, keys):
    return st.configuration(
        version,
        [st.route("status", SERVICE, public=is_open)],
        [SERVICE],
        [st.tenant("hule930", *keys), st.tenant("dema222", "k-other")],
    )


async def play(record):
    installation = st.Installation(record)
    controls = [f"{ip}:{st.CONTROL}" for ip in installation.core_ips]
    servers = [
        st.Server(record, name, SERVICE, f"{installation.net}.{last}", controls)
        for name, last in (("a", 21), ("b", 22))
    ]
    try:
        installation.start_all()
        operator = st.Operator(record, controls)
        # `status` is open to everybody: requests on it carry no key.
        await operator.put(configure(7, True, [KEY]))
        for server in servers:
            await server.start()
            server.begin_beats()
        await installation.wait_ready(installation.ips)
        await asyncio.sleep(3.0)
        ip = installation.ips[0]
        channels = [
            st.Channel(record, f"c{at}", f"{ip}:{st.FRONTEND}")
            for at in range(CHANNELS)
        ]
        for channel in channels:
            await channel.open()
            _, _, status = await channel.request("/status/1", None)
            if status != 200:
                raise st.CannotRun("a request was not served in calm")
        gateway = f"gateway-{ip}"
        began = time.monotonic()
        if st.TROUBLE:
            installation.send_signal(gateway, signal.SIGSTOP)
        await asyncio.sleep(CHANGE_S)
        # The route needs a key from now on, and the tenant gets a second one.
        await operator.put(configure(19, False, [KEY, NEW_KEY]))
        await asyncio.sleep(0.3)
        asking = [
            asyncio.ensure_future(each.request("/status/1", NEW_KEY))
            for each in channels
        ]
        await asyncio.sleep(max(0.0, began + FREEZE_S - time.monotonic()))
        if st.TROUBLE:
            installation.send_signal(gateway, signal.SIGCONT)
        await asyncio.gather(*asking)
        shown = [
            (server.name, attempt, headers["authorization"])
            for server in servers
            for _, attempt, headers, _ in server.runs
            if "authorization" in headers
        ]
        for name, attempt, value in shown:
            record(f"server {name} ran {attempt} and was shown {value!r}")
        return bool(shown)
    finally:
        for server in servers:
            server.end()
        installation.stop()


st.run_case(pathlib.Path(__file__).resolve().parent, play)
