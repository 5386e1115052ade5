"""How a backend server announces itself to the agent beside it."""

import asyncio
import contextlib
import dataclasses

import orjson
from tornado import httpclient

ANNOUNCE_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True)
class Announcement:
    """What a backend server says of itself."""

    service: str
    kind: str
    url: str
    models: tuple[str, ...] = ()
    slots: int = 1
    leaving: bool = False


async def announce(agent_url, announcement):
    """Send one announcement; a lost one is made good by the next."""
    request = httpclient.HTTPRequest(
        f"{agent_url}/v1/announce",
        method="POST",
        body=orjson.dumps(dataclasses.asdict(announcement)),
        request_timeout=ANNOUNCE_INTERVAL_S,
    )
    with contextlib.suppress(OSError, httpclient.HTTPError):
        await httpclient.AsyncHTTPClient().fetch(request)


async def announce_periodically(agent_url, announcement):
    """Announce for as long as the server runs."""
    while True:
        await announce(agent_url, announcement)
        await asyncio.sleep(ANNOUNCE_INTERVAL_S)
