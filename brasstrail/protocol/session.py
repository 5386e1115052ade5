"""A session: numbered messages between two processes that outlive connections.

`Session` is a state machine without sockets or clocks. It is told of
connections, frames and the time, and it leaves the frames to be sent in
`outgoing`. Every message is delivered once and in order, however often the
connection below is lost, as long as both processes live and the session is
kept by both.

Each side pings. A connection is held to be silent when a ping has not been
answered for `SILENCE_MS`, whether it was the ping or the answer that was lost;
`expired` then tells the owner to close it. The dialing side connects again and
both sides send what the other has not acknowledged.
"""

import collections
import dataclasses

from brasstrail.core import errors
from brasstrail.transport import frames

PING_INTERVAL_MS = 400
PING_TIMEOUT_MS = 1400
ACK_INTERVAL_MESSAGES = 32
MAX_UNACKED_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class UnackedMessage:
    """A message that the peer has not acknowledged."""

    number: int
    payload: bytes


class Session:
    """One side of a session.

    Attributes
    ----------
    outgoing : frames to be written to the present connection, in order.
    received : the number of the last message delivered.
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
        self.unanswered_pings = {}
        self.ping_number = 0
        self.round_trip_ms = 0

    def connect(self, peer_received, now_ms):
        """Begin a new connection to a peer that holds `peer_received` messages."""
        self.drop_acknowledged(peer_received)
        self.connected = True
        self.acknowledged = self.received
        self.unanswered_pings = {}
        self.next_ping_ms = now_ms
        self.last_answered_ping_ms = now_ms
        self.outgoing = [
            frames.Frame(frames.Kind.DATA, message.number, message.payload)
            for message in self.unacked
        ]

    def disconnect(self):
        """Note that the connection is gone; what is unacknowledged is kept."""
        self.connected = False
        self.outgoing = []

    def send(self, payload):
        """Number a message and queue it.

        Raises `errors.Overloaded` where the peer has left more than the bound
        unacknowledged.
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
        """Take a frame and return the payloads that it delivers."""
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
        """Deliver the next message; pass over one that was delivered before."""
        if frame.number <= self.received:
            return []
        if frame.number != self.received + 1:
            raise errors.BadRequest(
                f"Message {frame.number} came after {self.received}.",
                "This is a fault of the session layer; report it with the logs.",
            )
        self.received = frame.number
        if self.received - self.acknowledged >= ACK_INTERVAL_MESSAGES:
            self.queue_ack()
        return [frame.payload]

    def receive_pong(self, frame, now_ms):
        """Note that the peer answered a ping."""
        sent_ms = self.unanswered_pings.pop(frame.number, None)
        if sent_ms is None:
            return
        self.last_answered_ping_ms = max(self.last_answered_ping_ms, sent_ms)
        self.round_trip_ms = now_ms - sent_ms

    def queue_ack(self):
        """Tell the peer what has been received, if that is news."""
        if self.acknowledged == self.received:
            return
        self.acknowledged = self.received
        self.outgoing.append(frames.Frame(frames.Kind.ACK, self.received))

    def drop_acknowledged(self, number):
        """Forget the messages up to `number`, which the peer holds."""
        while self.unacked and self.unacked[0].number <= number:
            message = self.unacked.popleft()
            self.unacked_bytes -= len(message.payload)

    def tick(self, now_ms):
        """Queue a ping and an acknowledgement when they are due."""
        if not self.connected or now_ms < self.next_ping_ms:
            return
        self.next_ping_ms = now_ms + PING_INTERVAL_MS
        self.ping_number += 1
        self.unanswered_pings[self.ping_number] = now_ms
        self.outgoing.append(frames.Frame(frames.Kind.PING, self.ping_number))
        self.queue_ack()

    def is_timed_out(self, now_ms):
        """Return whether the present connection is silent and must be closed."""
        return self.connected and now_ms - self.last_answered_ping_ms > PING_TIMEOUT_MS

    def take_outgoing(self):
        """Return the frames to write now, and forget them."""
        taken = self.outgoing
        self.outgoing = []
        return taken
