"""Exchanges: the processing of a caller's request until it is answered whole.

An exchange makes one or more attempts. Each attempt has an id of its own, which
identifies its offers, its dispatch and its answer. The entry queues the events of
an attempt, and the exchange handles them in order.
"""

import asyncio
import dataclasses
import hashlib

import orjson

from brasstrail.core import clock, data, errors
from brasstrail.protocol import chat, messages

MAX_ATTEMPTS = 3
MAX_CRASHED_SERVERS = 2
CREDIT_WINDOW_DIVISOR = 4


@dataclasses.dataclass(frozen=True)
class Placed:
    """Event: the attempt was placed at an agent.

    `pushed` is set if it is sent without a grant.
    """

    agent: str
    incarnation: int
    pushed: bool


@dataclasses.dataclass(frozen=True)
class Refused:
    """Event: the attempt was refused before it was started."""

    error: errors.BrasstrailError


@dataclasses.dataclass(frozen=True)
class AgentLost:
    """Event: the agent of the attempt left, restarted or cannot be reached."""

    agent: str


@dataclasses.dataclass(frozen=True)
class Request:
    """A caller's request, as it is forwarded to a backend server.

    `chat_request` is None for requests to plain services.
    """

    method: str
    path: str
    headers: tuple[str, ...]
    body: bytes
    service: data.Service
    work_class: data.WorkClass
    workspace: str
    key: str = ""
    chat_request: chat.ChatRequest | None = None

    @property
    def fingerprint(self):
        """The hash that identifies a request suspected of crashing servers."""
        text = f"{self.service.name} {self.method} {self.path} ".encode()
        return hashlib.blake2b(text + self.body, digest_size=12).hexdigest()

    @property
    def digest(self):
        """The hash that detects two different requests with the same key."""
        text = f"{self.service.name} {self.method} {self.path} ".encode()
        return hashlib.sha256(text + self.body).digest()


class Attempt:
    """One attempt of an entry to run a request on a backend server.

    Attributes
    ----------
    work : `data.Work`; its `request_id` is the id of the attempt.
    agent : the name of its agent once it is placed, else an empty string.
    placed_ms : when it was placed, or 0 before that.
    started : whether its request was sent to the agent.
    ended : whether its whole answer has arrived.
    uncredited_bytes : bytes that the caller took since the last credit was sent.
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
        self.uncredited_bytes = 0

    def push_event(self, event):
        """Queue an event for the exchange."""
        self.events.put_nowait(event)

    async def next_event(self):
        """Wait for the next event and return it."""
        return await self.events.get()

    def add_consumed_bytes(self, amount):
        """Count bytes that the caller took and grant the agent credit for them.

        Credit is sent once it amounts to a quarter of the stream window.
        """
        self.uncredited_bytes += amount
        if (
            self.uncredited_bytes
            >= self.entry.settings.stream_window_bytes // CREDIT_WINDOW_DIVISOR
        ):
            message = messages.Credit(self.work.request_id, self.uncredited_bytes)
            self.uncredited_bytes = 0
            self.entry.send(self.agent, message)


class Sink:
    """Writes an answer to the caller.

    `response_started` is set once a part of the answer was written.
    """

    response_started = False

    async def write_head(self, status, headers):
        """Write the status and the headers."""

    async def write_part(self, payload):
        """Write a chunk of the body."""

    async def write_end(self):
        """Finish a whole answer."""


class Exchange:
    """Processes a request of an idempotent class until it is answered whole.

    Parameters
    ----------
    entry : the entry role.
    request : `Request`.
    sink : `Sink`, which writes the answer to the caller.

    Attributes
    ----------
    number : the unique id of the request; an attempt's id adds the attempt's number.
    attempts : how many attempts were made.
    crashed_agents : agents whose backend servers failed while running the request.
    avoided_agents : agents at which an attempt failed; used again only if there is
        no other, and never for a request that may have crashed a server.
    ran : `data.RunStatus`, what is known about whether a server ran the request.
    sent_chunks : the payloads of a chat stream that were sent to the caller.
    first_event : the first event of the stream, parsed; None until it is needed.
    first_token_ms : when the first part of the answer arrived, or None.
    """

    def __init__(self, entry, request, sink):
        self.entry = entry
        self.request = request
        self.sink = sink
        self.number = entry.attachment.make_unique_id()
        self.attempts = 0
        self.crashed_agents = set()
        self.avoided_agents = set()
        self.ran = data.RunStatus.NOT_RUN
        self.sent_chunks = []
        self.first_event = None
        self.arrived_ms = clock.now_ms()
        self.first_token_ms = None

    async def run(self):
        """Run the request; raise a typed error if it is not answered whole."""
        while True:
            self.check_crashed_servers()
            attempt = self.entry.submit(self)
            try:
                fault = await self.forward_answer(attempt)
            finally:
                self.entry.end_attempt(attempt)
            if fault is None:
                await self.sink.write_end()
                self.entry.clear_suspicion(self.request)
                return
            self.record_fault(attempt, fault)
            if not self.may_retry():
                raise errors.from_code(
                    fault.code, fault.message, fault.remedy, self.ran
                )

    def check_crashed_servers(self):
        """Raise `errors.Suspect` if too many servers failed during the request.

        The limit is `MAX_CRASHED_SERVERS`, counting servers that the control hosts
        have recorded and those that this entry has seen crash.
        """
        self.crashed_agents |= self.entry.recent_crashes.agents(
            self.request.fingerprint, clock.now_ms()
        )
        suspicion = self.entry.attachment.view.suspicions.get(self.request.fingerprint)
        if suspicion is not None:
            self.crashed_agents |= set(suspicion.servers)
        if len(self.crashed_agents) >= MAX_CRASHED_SERVERS:
            raise errors.Suspect(
                "Backend servers died while they ran this request.",
                "Change the request, or ask an operator to lift the suspicion.",
                self.ran,
            )

    def record_fault(self, attempt, fault):
        """Update the exchange after a failed attempt.

        Further attempts avoid its agent. If the request may have run there, `ran`
        becomes unknown, and a server that failed counts as crashed.
        """
        self.avoided_agents.add(attempt.agent)
        if fault.ran == data.RunStatus.NOT_RUN:
            return
        self.ran = data.RunStatus.UNKNOWN
        if fault.code == errors.ServerFailed.code:
            self.crashed_agents.add(attempt.agent)
        if fault.has_crashed:
            self.entry.recent_crashes.record(
                self.request.fingerprint, attempt.agent, clock.now_ms()
            )

    def may_retry(self):
        """Return whether the request may be retried on another server.

        An answer that is passed through cannot be resumed once it has started.
        """
        is_passthrough = self.request.chat_request is None
        if self.sink.response_started and is_passthrough:
            return False
        if self.attempts >= MAX_ATTEMPTS:
            return False
        return self.entry.spend_retry()

    async def forward_answer(self, attempt):
        """Forward an attempt's answer to the caller.

        Returns the fault that ended the attempt, or None for a whole answer.
        """
        while True:
            event = await attempt.next_event()
            if isinstance(event, Refused):
                event.error.ran = self.ran
                raise event.error
            if isinstance(event, Placed):
                self.entry.start_attempt(attempt, event, self.resume_text())
            elif isinstance(event, messages.Head):
                if self.sent_chunks:
                    return make_rest_refused_fault(attempt, event.status)
                await self.sink.write_head(event.status, event.headers)
            elif isinstance(event, messages.Part):
                await self.forward_part(attempt, event)
            elif isinstance(event, messages.Done):
                self.entry.record_output_length(attempt, event)
                return None
            elif isinstance(event, messages.Fault):
                return event
            elif isinstance(event, AgentLost):
                return make_agent_lost_fault(attempt)

    async def forward_part(self, attempt, part):
        """Write a part of the answer to the caller and account for its bytes."""
        payload = part.payload
        if part.tokens:
            payload = self.buffer_chunk(payload)
        if self.first_token_ms is None:
            self.first_token_ms = clock.now_ms()
        await self.sink.write_part(payload)
        attempt.add_consumed_bytes(len(part.payload))

    def buffer_chunk(self, payload):
        """Store the events of a chat stream, so that it can be resumed elsewhere.

        Returns the payload to send. The events of a resumed stream get the identity
        of the stream's first event.
        """
        if self.attempts > 1 and self.sent_chunks:
            first = self.parse_first_event()
            events = chat.EventSplitter().feed(payload)
            payload = b"".join(
                chat.event(chat.with_stream_identity(event, first)) for event in events
            )
        self.sent_chunks.append(payload)
        return payload

    def parse_first_event(self):
        """Return the first event of the answer as a mapping; it is parsed once."""
        if self.first_event is None:
            events = chat.EventSplitter().feed(self.sent_chunks[0])
            self.first_event = orjson.loads(events[0])
        return self.first_event

    def resume_text(self):
        """Return the text of the answer that was already sent to the caller."""
        if not self.sent_chunks:
            return ""
        return chat.joined_text(chat.EventSplitter().feed(b"".join(self.sent_chunks)))


def make_rest_refused_fault(attempt, status):
    """Return the fault for an engine that answers with an error instead of the rest.

    A part of the answer is with the caller, or buffered; the error is no part of it.
    """
    return messages.Fault(
        attempt.work.request_id,
        errors.ServerFailed.code,
        f"The backend server did not continue the answer: it answered {status}.",
        "Send the request again.",
        str(data.RunStatus.NOT_RUN),
    )


def make_agent_lost_fault(attempt):
    """Return the fault for an attempt whose agent was lost."""
    return messages.Fault(
        attempt.work.request_id,
        errors.ServerStalled.code,
        "The agent beside the backend server is gone.",
        "Send the request again if its class is idempotent.",
        str(data.RunStatus.UNKNOWN if attempt.started else data.RunStatus.NOT_RUN),
    )
