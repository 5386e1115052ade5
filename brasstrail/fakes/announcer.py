"""Announcements of a fake backend server to the agent on its host."""

import asyncio
import contextlib
import dataclasses

import orjson
from tornado import httpclient

ANNOUNCE_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True)
class Announcement:
    """The body of an announcement: the address and properties of a backend server.

    `slots` is the number of requests that the server accepts at once. `leaving` is
    whether it is about to shut down.
    """

    service: str
    kind: str
    url: str
    models: tuple[str, ...] = ()
    slots: int = 1
    leaving: bool = False


async def announce(agent_url, announcement):
    """Send one announcement; errors are ignored because the next one replaces it."""
    request = httpclient.HTTPRequest(
        f"{agent_url}/v1/announce",
        method="POST",
        body=orjson.dumps(dataclasses.asdict(announcement)),
        request_timeout=ANNOUNCE_INTERVAL_S,
    )
    with contextlib.suppress(OSError, httpclient.HTTPError):
        await httpclient.AsyncHTTPClient().fetch(request)


async def announce_periodically(agent_url, announcement):
    """Send the announcement every `ANNOUNCE_INTERVAL_S` until cancelled."""
    while True:
        await announce(agent_url, announcement)
        await asyncio.sleep(ANNOUNCE_INTERVAL_S)
