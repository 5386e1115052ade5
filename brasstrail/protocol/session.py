"""Sessions: reliable, ordered delivery of messages over changing connections.

`Session` is a state machine without sockets or clocks. Its owner reports
connections, received frames and the time, and sends the frames in `outgoing`.
Every message is delivered once and in order even if the connection is lost
repeatedly, as long as both processes run and both keep the session.

Each side sends pings. If a ping is not answered for `PING_TIMEOUT_MS`, because
either the ping or its answer was lost, the connection counts as silent, and
`is_timed_out` returns true so that the owner closes it. The dialing side then
connects again, and both sides resend the messages that the other one has not
acknowledged.

Bytes that were sent before a ping delay it. The time-out is therefore longer while the
peer has messages to acknowledge, and starts again while parts of a message arrive.
"""

import collections
import dataclasses

from brasstrail.core import errors
from brasstrail.transport import frames

PING_INTERVAL_MS = 400
PING_TIMEOUT_MS = 1400
ACK_INTERVAL_MESSAGES = 32
MAX_UNACKED_BYTES = 64 * 1024 * 1024
# A ping waits behind what was sent before it. It may be late by the time in which a
# slow link, or a part of a shared one, transmits that.
MIN_RATE_BYTES_PER_MS = 200
MAX_TRANSMISSION_MS = 10_000


@dataclasses.dataclass(frozen=True)
class UnackedMessage:
    """A sent message that the peer has not acknowledged."""

    number: int
    payload: bytes


class Session:
    """One side of a session.

    Attributes
    ----------
    outgoing : frames to be written to the present connection, in order.
    sent : the number of the last message sent.
    received : the number of the last message delivered.
    acknowledged : the number of the last message that was acknowledged to the peer.
    unacked : the sent messages that the peer has not acknowledged.
    unanswered_pings : the time at which each unanswered ping was sent, by number.
    round_trip_ms : the round-trip time of the last answered ping.
    last_answered_ping_ms : when the last ping that was answered was sent.
    last_part_ms : when a part of a message that is not complete yet arrived.
    """

    def __init__(self, max_unacked_bytes=MAX_UNACKED_BYTES):
        self.max_unacked_bytes = max_unacked_bytes
        self.unacked = collections.deque()
        self.unacked_bytes = 0
        self.sent = 0
        self.received = 0
        self.acknowledged = 0
        self.connected = False
        self.outgoing = []
        self.next_ping_ms = 0
        self.last_answered_ping_ms = 0
        self.last_part_ms = 0
        self.unanswered_pings = {}
        self.ping_number = 0
        self.round_trip_ms = 0

    def connect(self, peer_received, now_ms):
        """Start a new connection to a peer that has received `peer_received` messages.

        The messages that it has not received are queued again.
        """
        self.drop_acknowledged(peer_received)
        self.connected = True
        self.acknowledged = self.received
        self.unanswered_pings = {}
        self.next_ping_ms = now_ms
        self.last_answered_ping_ms = now_ms
        self.last_part_ms = now_ms
        self.outgoing = [
            frames.Frame(frames.Kind.DATA, message.number, message.payload)
            for message in self.unacked
        ]

    def disconnect(self):
        """Record that the connection ended; unacknowledged messages are kept."""
        self.connected = False
        self.outgoing = []

    def send(self, payload):
        """Assign the next number to a message and queue it.

        Raises `errors.Overloaded` if the unacknowledged messages would exceed
        `max_unacked_bytes`.
        """
        if self.unacked_bytes + len(payload) > self.max_unacked_bytes:
            raise errors.not_run(
                errors.Overloaded,
                "A peer has stopped acknowledging messages.",
                "Look at the peer named in the log; it is cut off or stuck.",
            )
        self.sent += 1
        self.unacked.append(UnackedMessage(self.sent, payload))
        self.unacked_bytes += len(payload)
        if self.connected:
            frame = frames.Frame(frames.Kind.DATA, self.sent, payload)
            self.outgoing.append(frame)

    def receive(self, frame, now_ms):
        """Process a received frame; return the payloads that it delivers."""
        if frame.kind is frames.Kind.DATA:
            return self.receive_data(frame)
        if frame.kind is frames.Kind.ACK:
            self.drop_acknowledged(frame.number)
        elif frame.kind is frames.Kind.PING:
            self.outgoing.append(frames.Frame(frames.Kind.PONG, frame.number))
            self.queue_ack()
        elif frame.kind is frames.Kind.PONG:
            self.receive_pong(frame, now_ms)
        return []

    def receive_data(self, frame):
        """Deliver the next message; ignore one that was delivered before.

        Raises `errors.BadRequest` if messages before it are missing.
        """
        if frame.number <= self.received:
            return []
        if frame.number != self.received + 1:
            raise errors.BadRequest(
                f"Message {frame.number} arrived after message {self.received}.",
                "The session layer has a defect; report it with the logs.",
            )
        self.received = frame.number
        if self.received - self.acknowledged >= ACK_INTERVAL_MESSAGES:
            self.queue_ack()
        return [frame.payload]

    def receive_pong(self, frame, now_ms):
        """Record that the peer answered a ping."""
        sent_ms = self.unanswered_pings.pop(frame.number, None)
        if sent_ms is None:
            return
        self.last_answered_ping_ms = max(self.last_answered_ping_ms, sent_ms)
        self.round_trip_ms = now_ms - sent_ms

    def queue_ack(self):
        """Queue an acknowledgement if messages were received since the last one."""
        if self.acknowledged == self.received:
            return
        self.acknowledged = self.received
        self.outgoing.append(frames.Frame(frames.Kind.ACK, self.received))

    def drop_acknowledged(self, number):
        """Drop the messages up to `number`, which the peer has received."""
        while self.unacked and self.unacked[0].number <= number:
            message = self.unacked.popleft()
            self.unacked_bytes -= len(message.payload)

    def tick(self, now_ms):
        """Queue a ping and an acknowledgement if the ping interval is over."""
        if not self.connected or now_ms < self.next_ping_ms:
            return
        self.next_ping_ms = now_ms + PING_INTERVAL_MS
        self.ping_number += 1
        self.unanswered_pings[self.ping_number] = now_ms
        self.outgoing.append(frames.Frame(frames.Kind.PING, self.ping_number))
        self.queue_ack()

    def is_timed_out(self, now_ms):
        """Return whether the connection timed out and must be closed."""
        transmission_ms = min(
            MAX_TRANSMISSION_MS, self.unacked_bytes / MIN_RATE_BYTES_PER_MS
        )
        last_sign_ms = max(self.last_answered_ping_ms, self.last_part_ms)
        silence_ms = now_ms - last_sign_ms
        return self.connected and silence_ms > PING_TIMEOUT_MS + transmission_ms

    def record_part(self, now_ms):
        """Record that a part of a message arrived that is not complete yet."""
        self.last_part_ms = now_ms

    def take_outgoing(self):
        """Return the queued frames and clear the queue."""
        taken = self.outgoing
        self.outgoing = []
        return taken
