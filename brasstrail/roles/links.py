"""Links: sessions with other processes, each over one connection at a time."""

import asyncio
import contextlib
import secrets

from tornado import iostream

from brasstrail.core import clock, errors
from brasstrail.protocol import codec, session
from brasstrail.transport import frames

READ_CHUNK_BYTES = 65536
# The parts of a message arrive at shorter intervals than this, or its transmission has
# stalled: a connection that shares a slow link with many others has its turn in less.
PART_INTERVAL_MS = 500
NETWORK_ERRORS = (
    iostream.StreamClosedError,
    iostream.StreamBufferFullError,
    OSError,
    asyncio.TimeoutError,
    errors.BrasstrailError,
)


class Link:
    """A session with one peer.

    Attributes
    ----------
    name : the peer's name; empty until a dialed peer has sent it.
    incarnation : the peer's incarnation.
    address : the address that was dialed; empty if the peer dialed.
    stream : the present connection, or None.
    established : whether the present session has had a connection.
    owners : the objects that use a dialed link; it is closed with the last.
    idle_since_ms : when the last connection was closed.
    """

    def __init__(self, hub, address="", name="", incarnation=0):
        self.hub = hub
        self.address = address
        self.name = name
        self.incarnation = incarnation
        self.session_id = secrets.token_hex(8)
        self.session = session.Session()
        self.stream = None
        self.established = False
        self.closed = False
        self.owners = set()
        self.region = ""
        self.data_centre = ""
        self.flush_scheduled = False
        self.idle_since_ms = 0

    @property
    def connected(self):
        """Whether the link has a connection now."""
        return self.session.connected

    def send(self, message):
        """Send a message.

        It is delivered exactly once as long as both processes run and keep the
        session.
        """
        self.send_payload(codec.encode(codec.MESSAGE, message))

    def send_payload(self, payload):
        """Send an encoded message."""
        self.session.send(payload)
        self.schedule_flush()

    @property
    def is_receiving(self):
        """Whether a part of a message that is not complete arrived lately."""
        part_age_ms = clock.now_ms() - self.session.last_part_ms
        return self.connected and part_age_ms <= PART_INTERVAL_MS

    def schedule_flush(self):
        """Flush after the present callback, so that frames are written together."""
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.hub.loop.call_soon(self.flush)

    def flush(self):
        """Write the queued frames to the connection, if there is one."""
        self.flush_scheduled = False
        if self.stream is None or not self.session.connected:
            return
        outgoing_frames = self.session.take_outgoing()
        if not outgoing_frames or self.stream.closed():
            return
        with contextlib.suppress(*NETWORK_ERRORS):
            self.hub.write(self, b"".join(map(frames.encode, outgoing_frames)))

    def tick(self, now_ms):
        """Send heartbeats and close a connection whose peer does not answer them."""
        self.session.tick(now_ms)
        if self.session.is_timed_out(now_ms):
            self.hub.log.warning(
                "link: A connection was silent for too long and is closed.",
                peer=self.name,
            )
            self.drop_stream()
        self.flush()

    def attach(self, stream, peer_received):
        """Continue the session on a new connection.

        `peer_received` is the number of the last message that the peer received.
        """
        self.drop_stream()
        self.stream = stream
        self.session.connect(peer_received, clock.now_ms())
        self.established = True

    def drop_stream(self):
        """Close the present connection and keep the session."""
        self.session.disconnect()
        self.idle_since_ms = clock.now_ms()
        if self.stream is not None:
            self.stream.close()
            self.stream = None

    def start_new_session(self):
        """Replace a session that the peer has lost by a new one."""
        self.session = session.Session()
        self.session_id = secrets.token_hex(8)

    def close(self):
        """Close the link for good."""
        self.closed = True
        self.drop_stream()

    async def receive_loop(self, stream, decoder):
        """Read frames and deliver their messages until the connection ends."""
        while stream is self.stream:
            chunk = await stream.read_bytes(READ_CHUNK_BYTES, partial=True)
            for frame in decoder.feed(chunk):
                self.receive_frame(frame)
            if decoder.buffer:
                self.session.record_part(clock.now_ms())
            self.flush()

    def receive_frame(self, frame):
        """Deliver the messages of one frame to the hub."""
        for payload in self.session.receive(frame, clock.now_ms()):
            message = codec.decode(codec.MESSAGE, payload)
            self.hub.deliver(self, message)
