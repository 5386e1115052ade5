"""The account of the bytes that others make a process hold, and the limits on it.

Each process has one `Account`. It counts the heads and bodies of requests that are
received or served, the answers that wait for a slow reader on either side, and the
buffers of all connections that others have opened. Bytes of bodies are counted before
they are held. If there is no room, connections without progress are closed, the oldest
first, and what still has no room is refused.
"""

import asyncio
import collections
import dataclasses
import enum
import resource

from tornado import iostream

from brasstrail.core import clock

# A connection that makes no progress for this long may be closed while memory is short.
STALL_MS = 1000
# Closing connections to make room is tried at most this often.
SHED_INTERVAL_MS = 100
# Room is made for this part of the limit at once, and for this part of connections.
SHED_FRACTION = 1 / 16
# A part of the limit that only small requests may use.
SMALL_FRACTION = 1 / 4
# At most this part of the memory of a process is for what others make it hold.
MEMORY_FRACTION = 1 / 4
# An estimate of what a connection without a request uses: its stream, its tasks and its
# read buffer. All connections together may use an eighth of the memory.
CONNECTION_BYTES = 16 * 1024
CONNECTION_MEMORY_FRACTION = 1 / 8
# Descriptors for files, listening ports and peers. Of the others, a third is left for
# the connections to backend servers.
OTHER_DESCRIPTORS = 64
CALLER_DESCRIPTOR_FRACTION = 2 / 3
MIN_CONNECTIONS = 16
# How long the reception of an answer is paused for room, and how often it is tried.
MAX_PAUSE_MS = 2000
PAUSE_POLL_S = 0.05
# Parsing of bodies in tiny pieces pauses for this multiple of the time that it takes.
PACE_FACTOR = 3.0


class Phase(enum.Enum):
    """What a connection that others have opened is used for at the moment."""

    HEAD = "head"
    BODY = "body"
    SERVING = "serving"


@dataclasses.dataclass(frozen=True)
class Limits:
    """The limits of an account.

    `held_bytes` is the limit on all held bytes, and `connections` that on connections
    of others; `server_connections` is how many idle ones to servers are kept.
    A request of up to `small_bytes` may use the part of the limit that is reserved. A
    head has at most `head_fields` fields. The reception of a body is ended when nothing
    arrives for `body_timeout_ms`.
    """

    held_bytes: int = 32 * 1024 * 1024
    connections: int = 1024
    server_connections: int = 512
    small_bytes: int = 65_536
    head_fields: int = 256
    body_timeout_ms: int = 15_000


def limit_held_bytes(max_held_bytes, memory_mb):
    """Return the limit on held bytes; a `memory_mb` of 0 is not stated.

    >>> limit_held_bytes(32 * 2**20, 64) // 2**20
    16
    """
    if not memory_mb:
        return max_held_bytes
    return min(max_held_bytes, int(MEMORY_FRACTION * memory_mb * 2**20))


def limit_connections(memory_mb):
    """Return how many connections others may open; a `memory_mb` of 0 is not stated."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    usable = (descriptors - OTHER_DESCRIPTORS) * CALLER_DESCRIPTOR_FRACTION
    if memory_mb:
        memory_bytes = CONNECTION_MEMORY_FRACTION * memory_mb * 2**20
        usable = min(usable, memory_bytes / CONNECTION_BYTES)
    return max(MIN_CONNECTIONS, int(usable))


def limit_server_connections():
    """Return how many idle connections to servers are kept."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    usable = (descriptors - OTHER_DESCRIPTORS) * (1 - CALLER_DESCRIPTOR_FRACTION)
    return max(MIN_CONNECTIONS, int(usable))


class Account:
    """The bytes that others make a process hold.

    Parameters
    ----------
    limits : `Limits`.

    Attributes
    ----------
    held_bytes : all bytes that are held now.
    streams : the open `Stream`s, in the order of their opening.
    large_owner : the stream with the one large body that is taken even beyond the
        limit, or None. Without it, a large document would never fit.
    answer_owner : the answer of a server that is received although memory is short, or
        None. Without it, many partly received answers would wait for each other.
    was_short : whether memory has been short since this was last reset.
    counts : how many requests were refused and connections closed, by reason.
    """

    def __init__(self, limits=Limits()):
        self.limits = limits
        self.held_bytes = 0
        self.streams = {}
        self.large_owner = None
        self.answer_owner = None
        self.was_short = False
        self.counts = collections.Counter()
        self.next_shed_ms = 0
        self.next_turn_ms = 0.0

    @property
    def is_short(self):
        """Whether more bytes are held than the limit allows."""
        return self.held_bytes > self.limits.held_bytes

    @property
    def is_crowded(self):
        """Whether only the part of the limit is left that small requests may use."""
        return self.held_bytes > (1 - SMALL_FRACTION) * self.limits.held_bytes

    def add(self, size):
        """Count bytes that are already held; a negative size releases them."""
        self.held_bytes += size

    def try_hold(self, stream, size, is_small):
        """Return whether a stream may hold more bytes; they are counted if so."""
        limit = self.limits.held_bytes
        if not is_small:
            limit -= SMALL_FRACTION * limit
            if self.large_owner is None:
                self.large_owner = stream
        if self.held_bytes + size > limit and self.large_owner is not stream:
            self.shed(clock.now_ms())
            if self.held_bytes + size > limit:
                return False
        self.held_bytes += size
        return True

    def shed(self, now_ms):
        """Close connections without progress, the oldest first, until there is room."""
        if now_ms < self.next_shed_ms:
            return
        self.next_shed_ms = now_ms + SHED_INTERVAL_MS
        self.was_short = True
        stalled = [each for each in self.streams if each.is_stalled(now_ms)]
        limit = self.limits.held_bytes * (1 - SMALL_FRACTION - SHED_FRACTION)
        for stream in sorted(stalled, key=lambda each: each.progress_ms):
            if self.held_bytes <= limit:
                return
            self.end(stream, "stalled")

    def end(self, stream, reason):
        """Close a connection and count it."""
        self.counts[reason] += 1
        stream.close()

    def make_connection_room(self):
        """Return whether another connection may be opened; close the oldest if not."""
        excess = len(self.streams) + 1 - self.limits.connections
        if excess <= 0:
            return True
        excess += int(SHED_FRACTION * self.limits.connections)
        waiting = [each for each in self.streams if each.phase is not Phase.SERVING]
        waiting.sort(key=lambda each: (each.request_bytes > 0, each.progress_ms))
        for stream in waiting[:excess]:
            self.end(stream, "connections")
        return len(self.streams) < self.limits.connections

    def sweep(self, now_ms):
        """Close the connections whose time for a head or a body is over."""
        for stream in list(self.streams):
            reason = stream.overdue_reason(now_ms)
            if reason is not None:
                self.end(stream, reason)
        if self.is_short:
            self.shed(now_ms)

    async def wait_for_room(self, answer):
        """Wait while memory is short, up to `MAX_PAUSE_MS`, for a part of an answer.

        One answer at a time does not wait, unless even the part for small requests is
        used: answers that callers do not read would fill the memory one by one.
        """
        latest_ms = clock.now_ms() + MAX_PAUSE_MS
        self.was_short = True
        while self.is_crowded and clock.now_ms() < latest_ms:
            if self.answer_owner in (None, answer) and not self.is_short:
                self.answer_owner = answer
                return
            self.shed(clock.now_ms())
            await asyncio.sleep(PAUSE_POLL_S)

    def release_answer(self, answer):
        """Let another answer be received while memory is short."""
        if self.answer_owner is answer:
            self.answer_owner = None

    async def wait_for_turn(self, cost_ms):
        """Wait until costly parsing may go on that has just taken `cost_ms`."""
        now_ms = 1000 * asyncio.get_running_loop().time()
        self.next_turn_ms = max(now_ms, self.next_turn_ms) + PACE_FACTOR * cost_ms
        await asyncio.sleep((self.next_turn_ms - now_ms) / 1000)


class Stream(iostream.IOStream):
    """A connection that another process has opened; an account counts its buffers.

    Parameters
    ----------
    account : `Account` of the process.
    connection : the socket.
    options : of `iostream.IOStream`.

    Attributes
    ----------
    phase : `Phase`.
    progress_ms : when bytes were last received or sent.
    head_since_ms : when the first byte of the present head arrived, or None.
    header_timeout_ms : the time for a head.
    buffered_bytes : the bytes in the stream's buffers, as counted.
    request_bytes : the bytes of the present request, as counted.
    body_since_ms, body_bytes : when the reception of the present body began, and how
        many bytes it will have; 0 if that is not known.
    received_bytes : how many bytes of the present body have arrived.
    """

    def __init__(self, account, connection, **options):
        super().__init__(connection, **options)
        self.account = account
        self.phase = Phase.HEAD
        self.progress_ms = clock.now_ms()
        self.head_since_ms = None
        self.header_timeout_ms = 10_000
        self.buffered_bytes = 0
        self.request_bytes = 0
        self.body_since_ms = 0
        self.body_bytes = 0
        self.received_bytes = 0
        account.streams[self] = None

    # The phases of a request.

    def begin_head(self):
        """Record that the next request is awaited."""
        self.release_request()
        self.phase = Phase.HEAD
        self.head_since_ms = clock.now_ms() if self._read_buffer_size else None

    def begin_body(self, size):
        """Record that a body is received; `size` is 0 if it is not known."""
        self.phase = Phase.BODY
        self.body_since_ms = clock.now_ms()
        self.body_bytes = size
        self.received_bytes = 0

    def begin_serving(self):
        """Record that the request has been received."""
        self.phase = Phase.SERVING

    def try_hold(self, size):
        """Return whether the present request may use `size` more bytes."""
        expected = max(self.body_bytes, self.request_bytes + size)
        is_small = expected <= self.account.limits.small_bytes
        if not self.account.try_hold(self, size, is_small):
            return False
        self.request_bytes += size
        return True

    def release_request(self):
        """Release the bytes of the present request."""
        self.account.add(-self.request_bytes)
        self.request_bytes = 0
        self.body_bytes = 0
        if self.account.large_owner is self:
            self.account.large_owner = None

    # What is overdue.

    def is_stalled(self, now_ms):
        """Return whether the connection may be closed while memory is short.

        Its other end neither sends nor reads, or sends a body so slowly that it would
        take longer than the time limit.
        """
        is_unread = not self.closed() and len(self._write_buffer) > 0
        if not is_unread and self.phase is Phase.SERVING:
            return False
        if not self.buffered_bytes and not self.request_bytes:
            return False
        if now_ms - self.progress_ms > STALL_MS:
            return True
        elapsed_ms = now_ms - self.body_since_ms - STALL_MS
        due_bytes = self.body_bytes * elapsed_ms / self.account.limits.body_timeout_ms
        return self.phase is Phase.BODY and self.received_bytes < due_bytes

    def overdue_reason(self, now_ms):
        """Return why the connection must be closed now, or None."""
        if self.phase is Phase.HEAD and self.head_since_ms is not None:
            if now_ms - self.head_since_ms > self.header_timeout_ms:
                return "head_timeout"
        if self.phase is Phase.BODY:
            if now_ms - self.progress_ms > self.account.limits.body_timeout_ms:
                return "body_timeout"
        return None

    # Buffers.

    def count_buffers(self):
        """Bring the account up to date with the sizes of the buffers."""
        if self.closed():
            return
        size = self._read_buffer_size + len(self._write_buffer)
        self.account.held_bytes += size - self.buffered_bytes
        self.buffered_bytes = size

    def unread(self, rest):
        """Put bytes back that belong to what follows."""
        self._read_buffer[:0] = rest
        self._read_buffer_size += len(rest)
        self.count_buffers()

    def _read_to_buffer(self):
        """Receive bytes; see `iostream.BaseIOStream`."""
        size = super()._read_to_buffer()
        if size:
            self.progress_ms = clock.now_ms()
            if self.head_since_ms is None and self.phase is Phase.HEAD:
                self.head_since_ms = self.progress_ms
            self.count_buffers()
        return size

    def _consume(self, size):
        """Take bytes from the buffer; see `iostream.BaseIOStream`."""
        taken = super()._consume(size)
        self.count_buffers()
        return taken

    def _handle_write(self):
        """Send from the buffer; see `iostream.BaseIOStream`."""
        waiting = len(self._write_buffer)
        super()._handle_write()
        if not self.closed() and len(self._write_buffer) < waiting:
            self.progress_ms = clock.now_ms()
        self.count_buffers()

    def write(self, data):
        """Send bytes, and count those that have to wait."""
        written = super().write(data)
        self.count_buffers()
        return written

    def close(self, exc_info=False):
        """Close the connection, and release the bytes of its buffers."""
        super().close(exc_info)
        self.account.streams.pop(self, None)
        self.account.add(-self.buffered_bytes)
        self.buffered_bytes = 0
