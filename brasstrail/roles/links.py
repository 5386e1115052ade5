"""Links: sessions with other processes, each over one connection at a time."""

import asyncio
import contextlib
import secrets

from tornado import iostream

from brasstrail.core import clock, errors
from brasstrail.protocol import codec, session
from brasstrail.transport import frames

READ_CHUNK_BYTES = 65536
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
    name : the peer's name; empty until a dialed peer has told it.
    incarnation : the peer's incarnation.
    address : where the peer was dialed; empty where the peer dialed.
    owners : the tasks that need a dialed link; it is closed with the last.
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
        """Whether a connection carries the link now."""
        return self.session.connected

    def send(self, message):
        """Send a message; it arrives once, while both processes live."""
        self.send_payload(codec.encode(codec.MESSAGE, message))

    def send_payload(self, payload):
        """Send a message that is encoded already."""
        self.session.send(payload)
        self.schedule_flush()

    def schedule_flush(self):
        """Write what is queued once the present callback has ended."""
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
        """Send heartbeats and close a connection that has gone silent."""
        self.session.tick(now_ms)
        if self.session.expired(now_ms):
            self.hub.log.warning(
                "link: A connection is silent and is replaced.", peer=self.name
            )
            self.drop_stream()
        self.flush()

    def attach(self, stream, peer_received):
        """Carry the session over a new connection."""
        self.drop_stream()
        self.stream = stream
        self.session.connect(peer_received, clock.now_ms())
        self.established = True

    def drop_stream(self):
        """Close the present connection; the session is kept."""
        self.session.disconnect()
        self.idle_since_ms = clock.now_ms()
        if self.stream is not None:
            self.stream.close()
            self.stream = None

    def start_new_session(self):
        """Begin a new session in place of one that the peer has lost."""
        self.session = session.Session()
        self.session_id = secrets.token_hex(8)

    def close(self):
        """Close the link for good."""
        self.closed = True
        self.drop_stream()

    async def receive_loop(self, stream, decoder):
        """Deliver what arrives until the connection ends."""
        while stream is self.stream:
            chunk = await stream.read_bytes(READ_CHUNK_BYTES, partial=True)
            for frame in decoder.feed(chunk):
                self.receive_frame(frame)
            self.flush()

    def receive_frame(self, frame):
        """Give the messages of one frame to the handler."""
        for payload in self.session.receive(frame, clock.now_ms()):
            message = codec.decode(codec.MESSAGE, payload)
            self.hub.deliver(self, message)
