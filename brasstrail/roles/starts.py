"""Questions to servers when they started.

A stream goes on at a server only if it is the start that its gateway believes in. After
an answer broke off, `StartProbes` asks the server whether it has ended.
"""

import asyncio
import enum

from brasstrail.core import clock
from brasstrail.transport import upstream

MAX_REPORT_BYTES = 1024 * 1024
# When a server is asked after an answer broke off, in seconds from one question to the
# next one, as long as it is not certain that it lives.
PROBE_DELAYS_S = (0.05, 0.45, 2.0)
# How long a connection and an answer take at most: a round trip between regions each,
# and a busy host.
PROBE_TIMEOUT_MS = 400
MAX_PROBES = 64


class StartState(enum.StrEnum):
    """What a server says, or its host, about a start."""

    ALIVE = "alive"
    REPLACED = "replaced"
    REFUSED = "refused"
    UNKNOWN = "unknown"


async def ask_start(dialect, connection):
    """Ask on a connection when the server started; return it in Unix ms, or None.

    Raises `upstream.AnswerIncomplete` if the connection ends.
    """
    target, headers = dialect.start_request(connection.address)
    connection.send("GET", target, headers, b"")
    start_line, _ = await connection.read_head()
    body = await connection.read_body(MAX_REPORT_BYTES)
    return dialect.read_start(start_line.code, body)


class StartProbes:
    """Finds out whether servers have ended whose answers broke off.

    Parameters
    ----------
    gateway : `gateway.Gateway`.

    Attributes
    ----------
    asked : the servers that are being asked, with their starts.
    """

    def __init__(self, gateway):
        self.gateway = gateway
        self.asked = set()

    def begin(self, identity):
        """Ask a server, unless it is being asked already."""
        server = self.gateway.pool.servers.get(identity)
        if server is None or len(self.asked) >= MAX_PROBES:
            return
        key = identity, server.announcement.born_ms
        if key not in self.asked:
            self.asked.add(key)
            self.gateway.hub.spawn(self.probe(key, server.announcement))

    async def probe(self, key, announcement):
        """Ask a server some times, until it is certain whether it has ended."""
        try:
            await self.ask_repeatedly(announcement)
        finally:
            self.asked.discard(key)

    async def ask_repeatedly(self, announcement):
        """Ask a server after each delay; record each answer."""
        for delay_s in PROBE_DELAYS_S:
            await asyncio.sleep(delay_s)
            asked_ms = clock.now_ms()
            state = await self.find_state(announcement)
            self.gateway.crashes.record_probe(announcement, state, asked_ms)
            if state in (StartState.ALIVE, StartState.REPLACED):
                return

    async def find_state(self, announcement):
        """Return the `StartState` of a start; a server that rests is not asked."""
        start = announcement.identity, announcement.born_ms
        if self.gateway.pool.rests.until_ms(start, clock.now_ms()) is not None:
            return StartState.UNKNOWN
        try:
            connection = await self.gateway.connections.open(
                announcement.address, PROBE_TIMEOUT_MS
            )
        except upstream.ConnectRefused:
            return StartState.REFUSED
        except upstream.ConnectFailed:
            return StartState.UNKNOWN
        try:
            asking = ask_start(self.gateway.dialect, connection)
            born_ms = await asyncio.wait_for(asking, PROBE_TIMEOUT_MS / 1000)
        except (upstream.AnswerIncomplete, asyncio.TimeoutError):
            return StartState.UNKNOWN
        finally:
            connection.close()
        if born_ms is None:
            return StartState.UNKNOWN
        is_same = born_ms == announcement.born_ms
        return StartState.ALIVE if is_same else StartState.REPLACED
