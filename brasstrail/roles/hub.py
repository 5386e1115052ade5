"""The hub: the peer port and all links of a process.

A `Hub` owns the port on which a process listens for its peers, the links that
peers opened and the links that this process dials. It calls handlers, which have
three methods:

- `link_up(link)`: the link has a new connection.
- `link_message(link, message)`: a message arrived.
- `link_reset(link)`: the peer lost the session or restarted; all messages in
  flight are lost, and the link starts with a new session.
"""

import asyncio
import collections
import random

from tornado import ioloop, iostream, tcpclient, tcpserver

from brasstrail.core import clock, errors
from brasstrail.protocol import codec, handshake, messages
from brasstrail.roles import intakewatch, links
from brasstrail.transport import frames, shaping

TICK_MS = 100
HANDSHAKE_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
RECONNECT_DELAY_MIN_S = 0.05
RECONNECT_DELAY_MAX_S = 1.0
SESSION_RETENTION_MS = 60_000
MAX_HANDSHAKE_BYTES = 4096
# Connections in their handshake, as a part of the limit on connections. Peers that
# start together have theirs within milliseconds.
HANDSHAKE_FRACTION = 1 / 4
# Limit on the received bytes that Tornado buffers for one connection.
MAX_READ_BUFFER_BYTES = 256 * 1024 * 1024


async def read_handshake(stream):
    """Return the handshake record in the next frame."""
    decoder = frames.Decoder(MAX_HANDSHAKE_BYTES)
    while True:
        chunk = await stream.read_bytes(links.READ_CHUNK_BYTES, partial=True)
        received_frames = decoder.feed(chunk)
        if received_frames:
            return codec.decode(codec.HANDSHAKE, received_frames[0].payload)


async def write_handshake(stream, record):
    """Send a handshake record."""
    payload = codec.encode(codec.HANDSHAKE, record)
    frame = frames.Frame(frames.Kind.HANDSHAKE, 0, payload)
    await stream.write(frames.encode(frame))


class PeerServer(tcpserver.TCPServer):
    """The TCP server to which peers connect."""

    def __init__(self, hub):
        super().__init__(max_buffer_size=MAX_READ_BUFFER_BYTES)
        self.hub = hub

    def handle_stream(self, stream, address):
        """Return a coroutine that serves one connection until it ends.

        Connections are limited here, since many are accepted before a coroutine runs.
        """
        self.hub.limit_handshakes(stream)
        return self.serve_stream(stream, address)

    async def serve_stream(self, stream, address):
        """Serve one connection until it ends."""
        try:
            await self.hub.accept(stream)
        except links.NETWORK_ERRORS as error:
            if not isinstance(error, iostream.StreamClosedError):
                self.hub.log.warning(
                    "link: A connection was closed after an error.",
                    address=address[0],
                    reason=str(error) or type(error).__name__,
                )
        finally:
            self.hub.handshaking.pop(stream, None)
            stream.close()


class Hub:
    """All links of a process.

    Parameters
    ----------
    settings : `settings.Settings` of the process.
    incarnation : the incarnation of this process.
    log : a structlog logger.

    Attributes
    ----------
    handlers : the objects that are notified of links and messages.
    accepted : links that peers opened, by peer name.
    dialed : links that this process dials, by address.
    bytes_sent : bytes sent within the region and between regions.
    shaper : shapes traffic where the settings ask for it, or None.
    account : `intake.Account` of the process.
    handshaking : the connections whose dialers have not proved who they are, in the
        order of their opening.
    """

    def __init__(self, settings, incarnation, log):
        self.settings = settings
        self.name = settings.node.name
        self.incarnation = incarnation
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.handlers = []
        self.accepted = {}
        self.dialed = {}
        self.server = PeerServer(self)
        self.ticker = ioloop.PeriodicCallback(self.tick, TICK_MS)
        self.tasks = set()
        self.closed = False
        self.bytes_sent = collections.Counter()
        self.shaper = shaping.make_shaper(settings, self.loop)
        self.account = intakewatch.make_account(settings)
        self.intake_watch = intakewatch.IntakeWatch(self.account, log)
        self.handshaking = {}

    def start(self):
        """Listen for peers and start the periodic work."""
        node = self.settings.node
        self.server.listen(node.peer_port, node.address)
        self.ticker.start()

    def cancel_tasks(self):
        """Cancel the tasks that were started with `spawn`."""
        for task in self.tasks:
            task.cancel()

    def close(self):
        """Stop listening, close every link and cancel the tasks."""
        self.closed = True
        self.ticker.stop()
        self.server.stop()
        for link in [*self.accepted.values(), *self.dialed.values()]:
            link.close()
        self.cancel_tasks()

    def write(self, link, chunk):
        """Write to a link's connection, and count the bytes."""
        crosses_regions = link.region != self.settings.node.region
        self.bytes_sent["between regions" if crosses_regions else "within"] += len(
            chunk
        )
        if self.shaper is None:
            link.stream.write(chunk)
        else:
            self.shaper.write(link, chunk)

    def deliver(self, link, message):
        """Pass a message to all handlers."""
        for handler in self.handlers:
            self.run_callback(handler.link_message, link, message)

    def notify_reset(self, link):
        """Notify the handlers that a peer has lost its session."""
        for handler in self.handlers:
            self.run_callback(handler.link_reset, link)

    def notify_up(self, link):
        """Notify the handlers that a link has a new connection."""
        for handler in self.handlers:
            self.run_callback(handler.link_up, link)

    def tick(self):
        """Run the sessions' periodic work and drop sessions of absent peers.

        A session that a peer opened is dropped `SESSION_RETENTION_MS` after its
        last connection ended.
        """
        now_ms = clock.now_ms()
        self.run_callback(self.intake_watch.tick, now_ms)
        for link in [*self.accepted.values(), *self.dialed.values()]:
            self.run_callback(link.tick, now_ms)
        for name, link in list(self.accepted.items()):
            idle_ms = now_ms - link.idle_since_ms
            if not link.connected and idle_ms > SESSION_RETENTION_MS:
                del self.accepted[name]
                self.notify_reset(link)

    def dial(self, address, owner):
        """Return the link to the process at `address`, dialing it if necessary.

        Owners share a link. Each releases it with `release_link`.
        """
        link = self.dialed.get(address)
        if link is None:
            link = links.Link(self, address)
            self.dialed[address] = link
            self.spawn(self.keep_connected(link))
        link.owners.add(owner)
        return link

    def release_link(self, link, owner):
        """Release a dialed link; it is closed when it has no owner left."""
        link.owners.discard(owner)
        if link.owners:
            return
        if self.dialed.get(link.address) is link:
            del self.dialed[link.address]
        link.close()

    def spawn(self, coroutine):
        """Run a coroutine as a task that is cancelled when the hub closes."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.task_ended)

    def run_callback(self, callback, *arguments):
        """Call a function; an exception in it is logged and not raised."""
        try:
            callback(*arguments)
        except Exception as error:
            self.log.error(
                "hub: A callback failed.",
                callback=getattr(callback, "__qualname__", repr(callback)),
                reason=repr(error),
            )

    def send_to_all(self, destinations, message):
        """Send a message over several links; it is encoded only once.

        A link that cannot take it is logged and does not keep the others from it.
        """
        payload = codec.encode(codec.MESSAGE, message)
        for link in destinations:
            try:
                link.send_payload(payload)
            except errors.BrasstrailError as error:
                self.log.error(
                    "hub: A message was not sent.",
                    peer=link.name or link.address,
                    message=type(message).__name__,
                    reason=str(error),
                )

    def task_ended(self, task):
        """Drop a finished task; log the exception that ended it, if any."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.log.error("hub: A task failed within.", reason=repr(task.exception()))

    async def keep_connected(self, link):
        """Connect a link, and reconnect it whenever its connection ends.

        The delay between attempts doubles up to `RECONNECT_DELAY_MAX_S`, with
        random jitter.
        """
        delay_s = RECONNECT_DELAY_MIN_S
        while not link.closed:
            was_established = link.established
            try:
                await self.connect(link)
                delay_s = RECONNECT_DELAY_MIN_S
            except links.NETWORK_ERRORS as error:
                self.log_connection_failure(link, error, delay_s)
            except Exception as error:
                # Whatever failed: a link that is not dialed again is lost for good.
                self.log.error(
                    "link: A connection failed within.",
                    peer=link.name or link.address,
                    reason=repr(error),
                )
            link.drop_stream()
            if link.established and not was_established:
                delay_s = RECONNECT_DELAY_MIN_S
            await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
            delay_s = min(delay_s * 2, RECONNECT_DELAY_MAX_S)

    def log_connection_failure(self, link, error, delay_s):
        """Log a failed connection, once for each series of attempts."""
        if delay_s != RECONNECT_DELAY_MIN_S or link.closed:
            return
        reason = str(error) or type(error).__name__
        self.log.info(
            "link: A connection ended.",
            peer=link.name or link.address,
            reason=reason,
        )

    async def connect(self, link):
        """Dial a peer, do the handshake and receive until the connection ends."""
        host, port = link.address.rsplit(":", 1)
        dialing = tcpclient.TCPClient().connect(
            host, int(port), max_buffer_size=MAX_READ_BUFFER_BYTES
        )
        stream = await asyncio.wait_for(dialing, CONNECT_TIMEOUT_S)
        try:
            stream.set_nodelay(True)
            handshaking = self.dialer_handshake(link, stream)
            welcome = await asyncio.wait_for(handshaking, HANDSHAKE_TIMEOUT_S)
            self.handle_welcome(link, stream, welcome)
            await link.receive_loop(stream, frames.Decoder())
        finally:
            stream.close()

    async def dialer_handshake(self, link, stream):
        """Do the dialer's side of the handshake; return the listener's welcome.

        Raises a typed error if the listener is no peer of this cluster.
        """
        challenge = await read_handshake(stream)
        if not isinstance(challenge, messages.Challenge):
            raise errors.BadRequest(
                "The listener did not send a challenge first.",
                "Check the address; it must be a peer port.",
            )
        secret = self.settings.cluster.secret
        hello = handshake.make_hello(
            self.settings,
            challenge,
            self.incarnation,
            link.session_id,
            link.session.received,
        )
        await write_handshake(stream, hello)
        welcome = await read_handshake(stream)
        if not isinstance(welcome, messages.Welcome):
            raise errors.BadRequest(
                "The listener did not answer the hello with a welcome.",
                "Check the address; it must be a peer port.",
            )
        handshake.check_welcome(secret, hello, welcome)
        return welcome

    def handle_welcome(self, link, stream, welcome):
        """Attach the connection of a dialed link after the handshake.

        If the listener lost the session, the link starts a new session and the
        connection is closed; the next one uses the new session.
        """
        link.name = welcome.name
        link.region, link.data_centre = welcome.region, welcome.data_centre
        if link.established and not welcome.resumed:
            self.log.warning("link: A peer lost its session.", peer=link.name)
            link.start_new_session()
            link.established = False
            link.incarnation = welcome.incarnation
            self.notify_reset(link)
            raise iostream.StreamClosedError()
        link.incarnation = welcome.incarnation
        link.attach(stream, welcome.received)
        link.schedule_flush()
        self.notify_up(link)

    async def accept(self, stream):
        """Do the handshake with a dialer and receive until the connection ends.

        A dialer that received messages of a session that is lost here is sent the
        welcome, and the connection is closed; it connects again with a new session.
        """
        stream.set_nodelay(True)
        authenticating = self.authenticate_dialer(stream)
        hello = await asyncio.wait_for(authenticating, HANDSHAKE_TIMEOUT_S)
        self.handshaking.pop(stream, None)
        link, resumed = self.find_session(hello)
        link.region, link.data_centre = hello.region, hello.data_centre
        welcome = handshake.make_welcome(
            self.settings, hello, self.incarnation, link.session.received, resumed
        )
        await write_handshake(stream, welcome)
        if not resumed and hello.received:
            return
        link.attach(stream, hello.received)
        link.schedule_flush()
        self.notify_up(link)
        try:
            await link.receive_loop(stream, frames.Decoder())
        finally:
            if link.stream is stream:
                link.drop_stream()

    def limit_handshakes(self, stream):
        """Count a connection without a handshake; close the oldest of too many."""
        self.handshaking[stream] = None
        limit = HANDSHAKE_FRACTION * self.account.limits.connections
        if len(self.handshaking) > limit:
            oldest = next(iter(self.handshaking))
            del self.handshaking[oldest]
            self.account.end(oldest, "handshakes")

    async def authenticate_dialer(self, stream):
        """Return the hello of a dialer that proved that it knows the secret."""
        challenge = messages.Challenge(
            messages.PROTOCOL_VERSION, handshake.make_nonce()
        )
        await write_handshake(stream, challenge)
        hello = await read_handshake(stream)
        if not isinstance(hello, messages.Hello):
            raise errors.BadRequest(
                "A peer did not send a hello first.",
                "Connect only processes of the same cluster to a peer port.",
            )
        cluster = self.settings.cluster
        handshake.check_hello(cluster.secret, cluster.name, challenge.nonce, hello)
        return hello

    def find_session(self, hello):
        """Return the link of a dialer, and whether its session is resumed.

        Raises `errors.Forbidden` for an incarnation older than the known one.
        """
        link = self.accepted.get(hello.name)
        if link is not None and link.session_id == hello.session_id:
            return link, True
        if link is not None and link.incarnation > hello.incarnation:
            raise errors.Forbidden(
                f"An earlier incarnation of {hello.name!r} tried to connect.",
                "Run only one process with each name.",
            )
        fresh = links.Link(self, name=hello.name, incarnation=hello.incarnation)
        fresh.session_id = hello.session_id
        self.accepted[hello.name] = fresh
        if link is not None:
            link.close()
            self.notify_reset(link)
        return fresh, False
