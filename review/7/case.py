"""CONFIG: a gateway that was frozen serves requests with a key taken away before."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as st

SERVICE, OLD_KEY, NEW_KEY = "filing-app", "k-old-i9n73hh2b9wu3", "k-new-n2ctnfzs989a"
REVOKE_S = st.BOUNDS["revoke_ms"] / 1000
FREEZE_S = 7.45
# When the configuration is sent, after the freeze began.
CHANGE_S = 2.0
CHANNELS = 5


def configure(version, is_open, keys):
    return st.configuration(
        version,
        [st.route("status", SERVICE, public=is_open), st.route("history", SERVICE)],
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
        # `status` is open to everybody; the other route needs a key.
        await operator.put(configure(7, True, [OLD_KEY, NEW_KEY]))
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
            _, _, status = await channel.request("/history/1", OLD_KEY)
            if status != 200:
                raise st.CannotRun("a request was not served in calm")
        gateway = f"gateway-{ip}"
        began = time.monotonic()
        if st.TROUBLE:
            installation.send_signal(gateway, signal.SIGSTOP)
        await asyncio.sleep(CHANGE_S)
        # The route is closed to all without a key, and the old key is taken away.
        await operator.put(configure(19, False, [NEW_KEY]))
        acknowledged = time.monotonic()
        await asyncio.sleep(REVOKE_S + 0.15)
        asking = [
            asyncio.ensure_future(each.request("/status/1", OLD_KEY))
            for each in channels
        ]
        await asyncio.sleep(max(0.0, began + FREEZE_S - time.monotonic()))
        if st.TROUBLE:
            installation.send_signal(gateway, signal.SIGCONT)
        sent_ms = {
            attempt: (sent - acknowledged) * 1000
            for sent, attempt, _ in await asyncio.gather(*asking)
        }
        ran = [
            attempt
            for server in servers
            for _, attempt, _, _ in server.runs
            if attempt in sent_ms
        ]
        for attempt in ran:
            record(
                f"{attempt} ran; it was sent {sent_ms[attempt]:.0f} ms after the ack "
                "of the configuration that took its key away"
            )
        return any(sent_ms[attempt] > REVOKE_S * 1000 for attempt in ran)
    finally:
        for server in servers:
            server.end()
        installation.stop()


st.run_case(pathlib.Path(__file__).resolve().parent, play)
