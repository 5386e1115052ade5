"""Exchanges: a caller's request on its way from receipt to its whole answer.

An exchange makes one or more attempts. Each attempt has a number of its own,
under which it is offered, started and followed. What happens to an attempt
comes to the exchange as events, in order.
"""

import asyncio
import dataclasses
import hashlib

import orjson

from brasstrail.core import clock, data, errors
from brasstrail.protocol import chat, messages

MAX_ATTEMPTS = 3
MAX_CRASHED_SERVERS = 2
CREDIT_SHARE = 4


@dataclasses.dataclass(frozen=True)
class Placed:
    """The attempt has room at an agent."""

    agent: str
    incarnation: int
    pushed: bool


@dataclasses.dataclass(frozen=True)
class Refused:
    """The attempt was given up before it was started."""

    error: errors.BrasstrailError


@dataclasses.dataclass(frozen=True)
class Lost:
    """The agent that ran the attempt is gone."""

    agent: str


@dataclasses.dataclass(frozen=True)
class Request:
    """A caller's request, as it is passed on."""

    method: str
    path: str
    headers: tuple[str, ...]
    body: bytes
    service: data.Service
    work_class: data.WorkClass
    workspace: str
    key: str = ""
    reading: chat.Chat | None = None

    @property
    def fingerprint(self):
        """The hash by which the request is known when servers die under it."""
        text = f"{self.service.name} {self.method} {self.path} ".encode()
        return hashlib.blake2b(text + self.body, digest_size=12).hexdigest()

    @property
    def digest(self):
        """The hash that tells two requests with one key apart."""
        text = f"{self.service.name} {self.method} {self.path} ".encode()
        return hashlib.sha256(text + self.body).digest()


class Attempt:
    """One try to have a request run.

    Attributes
    ----------
    work : `data.Work`; its `request_id` is the number of the attempt.
    agent : where it runs, once it is placed.
    """

    def __init__(self, entry, request, work):
        self.entry = entry
        self.request = request
        self.work = work
        self.events = asyncio.Queue()
        self.agent = ""
        self.placed_ms = 0
        self.started = False
        self.ended = False
        self.owed = 0

    def tell(self, event):
        """Take an event."""
        self.events.put_nowait(event)

    async def next(self):
        """Return the next event."""
        return await self.events.get()

    def consumed(self, amount):
        """Note that the caller took bytes, and let the stream go on."""
        self.owed += amount
        if self.owed >= self.entry.settings.stream_window_bytes // CREDIT_SHARE:
            message = messages.Credit(self.work.request_id, self.owed)
            self.owed = 0
            self.entry.send(self.agent, message)


class Sink:
    """Where the pieces of an answer go; `begun` once the caller has some."""

    begun = False

    async def head(self, status, headers):
        """Take the status and the headers."""

    async def part(self, payload):
        """Take a piece of the body."""

    async def end(self):
        """Take the end of a whole answer."""


class Exchange:
    """A request of an idempotent class, from receipt to its whole answer.

    Parameters
    ----------
    entry : the entry role.
    request : `Request`.
    sink : `Sink`, which hands the answer to the caller.
    """

    def __init__(self, entry, request, sink):
        self.entry = entry
        self.request = request
        self.sink = sink
        self.number = entry.attachment.make_number()
        self.attempts = 0
        self.crashed_agents = set()
        self.avoided = set()
        self.ran = data.RunStatus.NOT_RUN
        self.pieces = []
        self.first = None
        self.arrived_ms = clock.now_ms()
        self.first_token_ms = None

    async def run(self):
        """Run the request; raise a typed error where it is not answered whole."""
        while True:
            self.check_suspicion()
            attempt = self.entry.submit(self)
            try:
                fault = await self.follow(attempt)
            finally:
                self.entry.end_attempt(attempt)
            if fault is None:
                await self.sink.end()
                self.entry.clear_suspicion(self.request)
                return
            self.note_fault(attempt, fault)
            if not self.may_move():
                raise errors.from_code(
                    fault.code, fault.message, fault.remedy, self.ran
                )

    def check_suspicion(self):
        """Raise a typed error where servers have died under the request."""
        known = self.entry.attachment.view.suspicions.get(self.request.fingerprint)
        if known is not None:
            self.crashed_agents |= set(known.servers)
        if len(self.crashed_agents) >= MAX_CRASHED_SERVERS:
            raise errors.Suspect(
                "Backend servers died while they ran this request.",
                "Change the request, or ask an operator to lift the suspicion.",
                self.ran,
            )

    def note_fault(self, attempt, fault):
        """Remember what a failed attempt says about the request."""
        self.avoided.add(attempt.agent)
        if fault.ran == data.RunStatus.NOT_RUN:
            return
        self.ran = data.RunStatus.UNKNOWN
        if fault.code == errors.ServerFailed.code:
            self.crashed_agents.add(attempt.agent)

    def may_move(self):
        """Return whether the request may be tried on another server."""
        passes_through = self.request.reading is None
        if self.sink.begun and passes_through:
            return False
        if self.attempts >= MAX_ATTEMPTS:
            return False
        return self.entry.spend_retry()

    async def follow(self, attempt):
        """Hand on the attempt's answer; return the fault that ended it, or None."""
        while True:
            event = await attempt.next()
            if isinstance(event, Refused):
                event.error.ran = self.ran
                raise event.error
            if isinstance(event, Placed):
                self.entry.start(attempt, event, self.resume_text())
            elif isinstance(event, messages.Head):
                await self.sink.head(event.status, event.headers)
            elif isinstance(event, messages.Part):
                await self.take_part(attempt, event)
            elif isinstance(event, messages.Done):
                self.entry.learn(attempt, event)
                return None
            elif isinstance(event, messages.Fault):
                return event
            elif isinstance(event, Lost):
                return lost_fault(attempt)

    async def take_part(self, attempt, part):
        """Hand a piece of the answer to the caller."""
        payload = part.payload
        if part.tokens:
            payload = self.keep(payload)
        if self.first_token_ms is None:
            self.first_token_ms = clock.now_ms()
        await self.sink.part(payload)
        attempt.consumed(len(part.payload))

    def keep(self, payload):
        """Keep what a stream brought, in case it must be resumed elsewhere.

        The pieces of a resumed stream get the identity of the first one.
        """
        if self.attempts > 1 and self.pieces:
            first = self.first_event()
            events = chat.EventSplitter().feed(payload)
            payload = b"".join(
                chat.event(chat.same_identity(event, first)) for event in events
            )
        self.pieces.append(payload)
        return payload

    def first_event(self):
        """Return the first event of the answer, as a mapping."""
        if self.first is None:
            events = chat.EventSplitter().feed(self.pieces[0])
            self.first = orjson.loads(events[0])
        return self.first

    def resume_text(self):
        """Return the text that the caller holds already."""
        if not self.pieces:
            return ""
        return chat.text_of(chat.EventSplitter().feed(b"".join(self.pieces)))


def lost_fault(attempt):
    """Return the fault for an attempt whose agent is gone."""
    return messages.Fault(
        attempt.work.request_id,
        errors.ServerStalled.code,
        "The agent beside the backend server is gone.",
        "Send the request again if its class is idempotent.",
        str(data.RunStatus.UNKNOWN if attempt.started else data.RunStatus.NOT_RUN),
    )
