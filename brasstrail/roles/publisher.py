"""Serves gateways: the operators' document, the lease, the list of gateways.

A gateway follows one control host. Its beats are confirmed once the leader has
shown, in a round that began after the beat arrived, that a quorum knows of no
newer document, and that document has been sent to the gateway. A control host
that is cut off from the quorum confirms nothing, and its gateways move on.

Control hosts tell one another which gateways follow them. That is not replicated in
the log: it is heard again within seconds after all is lost. What backend servers
announce is kept by a `registry`.
"""

import asyncio
import dataclasses

from tornado import ioloop

from brasstrail.core import clock, errors
from brasstrail.protocol import codec, commands, messages
from brasstrail.roles import registry
from brasstrail.state import documents

TICK_MS = 100
CONFIRM_INTERVAL_MS = 400
# An announcement is acknowledged only by a host that the quorum answered lately,
# since a host that is cut off could not pass it on.
CONFIRMED_FOR_MS = 1500
SHARE_INTERVAL_MS = 1000
FOLLOWER_TIMEOUT_MS = 3000
APPLY_TIMEOUT_S = 1.0
APPLY_POLL_S = 0.005
COMMIT_TIMEOUT_S = 1.5


@dataclasses.dataclass
class Follower:
    """A gateway that follows this host, or another one (`link` is None then)."""

    name: str
    address: str
    data_centre: str
    heard_ms: int
    link: object = None
    version: int = 0


@dataclasses.dataclass(frozen=True)
class Beat:
    """A beat that waits to be confirmed."""

    follower: Follower
    number: int


class Publisher:
    """The part of the control role that serves gateways.

    Parameters
    ----------
    hub : `hub.Hub` of the process.
    control : `control.Control` of the process.
    recorded : `metrics.Metrics` of the process.
    """

    def __init__(self, hub, control, recorded):
        self.hub = hub
        self.metrics = recorded
        self.log = hub.log
        self.control = control
        self.registry = registry.Registry(hub, self)
        self.followers = {}
        self.remote = {}
        self.beats = []
        self.confirmed_ms = None
        self.next_confirm_ms = 0
        self.next_share_ms = 0
        self.confirming = False
        self.gateways = None
        self.ticker = ioloop.PeriodicCallback(self.tick, TICK_MS)
        hub.handlers.append(self)
        control.listeners.append(self.document_applied)

    def start(self):
        """Begin to serve."""
        self.register_gauges()
        self.ticker.start()

    def register_gauges(self):
        """Register what is shown of documents, gateways and backend servers."""
        gauge = self.metrics.gauge
        known = self.registry.directory.known
        gauge("control_document_version", lambda: self.document.version)
        gauge("control_confirmed_age_ms", self.confirmed_age_ms)
        gauge("control_followers", lambda: len(self.followers))
        gauge("control_servers", lambda: len(known))
        gauge("control_servers_silent", lambda: len(self.registry.silent))

    def confirmed_age_ms(self):
        """Return the time since a quorum answered, or -1."""
        if self.confirmed_ms is None:
            return -1
        return clock.now_ms() - self.confirmed_ms

    def close(self):
        """Stop serving."""
        self.ticker.stop()

    @property
    def document(self):
        """The document as far as it is applied here."""
        return self.control.machine.document

    @property
    def is_confirmed(self):
        """Whether a quorum has answered lately."""
        if self.confirmed_ms is None:
            return False
        return clock.now_ms() - self.confirmed_ms <= CONFIRMED_FOR_MS

    # Links.

    def link_up(self, link):
        """Show another control host what is known here."""
        if link.address:
            self.registry.show(link)

    def link_reset(self, link):
        """Forget a gateway that lost its session; it will follow again."""
        for name, follower in list(self.followers.items()):
            if follower.link is link:
                del self.followers[name]

    def link_message(self, link, message):
        """Take a message of a gateway or another control host."""
        handler = HANDLERS.get(type(message))
        if handler is not None:
            handler(self, link, message)

    def take_watch(self, link, watch):
        """Take a gateway's beat."""
        now_ms = clock.now_ms()
        follower = self.followers.get(link.name)
        if follower is None or follower.link is not link:
            follower = Follower(
                link.name, watch.address, link.data_centre, now_ms, link
            )
            self.followers[link.name] = follower
            self.log.info("publisher: A gateway follows.", peer=link.name)
            self.publish_gateways()
        follower.heard_ms = now_ms
        follower.version = watch.document_version
        if watch.needs_directory:
            link.send(self.registry.whole())
            link.send(self.gateways)
        self.beats.append(Beat(follower, watch.beat_id))

    # Confirmation.

    def tick(self):
        """Do what is due."""
        now_ms = clock.now_ms()
        if now_ms >= self.next_confirm_ms or self.beats:
            self.start_confirming(now_ms)
        if now_ms >= self.next_share_ms:
            self.next_share_ms = now_ms + SHARE_INTERVAL_MS
            self.share(now_ms)
            self.registry.share(now_ms)
            self.drop_lost(now_ms)
        self.registry.note_silence(now_ms)

    def start_confirming(self, now_ms):
        """Ask the quorum, unless that is under way."""
        if self.confirming:
            return
        self.confirming = True
        self.next_confirm_ms = now_ms + CONFIRM_INTERVAL_MS
        self.hub.spawn(self.confirm())

    async def confirm(self):
        """Confirm the beats that have arrived so far."""
        try:
            beats, self.beats = self.beats, []
            asked_ms = clock.now_ms()
            if not await self.reach_quorum():
                # A later round confirms them too: each counts from its sending.
                self.beats = newest_beats(beats + self.beats)
                return
            self.confirmed_ms = asked_ms
            for beat in beats:
                self.answer(beat)
        finally:
            self.confirming = False

    async def reach_quorum(self):
        """Return whether all that was committed is now applied here."""
        reply = await self.control.read()
        if reply is None or not reply.index:
            return False
        deadline_ms = clock.now_ms() + APPLY_TIMEOUT_S * 1000
        while self.control.machine.index < reply.index:
            if clock.now_ms() > deadline_ms:
                return False
            await asyncio.sleep(APPLY_POLL_S)
        return True

    def answer(self, beat):
        """Send a gateway what it lacks, and confirm its beat."""
        link = beat.follower.link
        if not link.connected:
            return
        self.send_document(beat.follower)
        link.send(messages.Current(beat.number, self.document.version))

    def send_document(self, follower):
        """Send a gateway the document if it holds an older one."""
        if follower.version >= self.document.version:
            return
        follower.version = self.document.version
        follower.link.send(
            messages.Document(self.document.version, self.document.packed)
        )

    def document_applied(self):
        """Send a new document to the gateways at once."""
        for follower in self.followers.values():
            if follower.link.connected:
                self.send_document(follower)

    # The operators' document.

    async def replace_document(self, version, body):
        """Make a document durable; raise `errors.NoQuorum` where that fails.

        On return the document, or one with a higher version, is committed.
        """
        arrived_ms = clock.now_ms()
        command = commands.ReplaceDocument(version, documents.pack(body))
        waited = self.hub.loop.create_future()

        def answer(result):
            if not waited.done():
                waited.set_result(result)

        self.control.submit(codec.encode(codec.COMMAND, command), answer)
        try:
            result = await asyncio.wait_for(waited, COMMIT_TIMEOUT_S)
        except asyncio.TimeoutError:
            result = messages.Outcome("", False, b"")
        self.log.info(
            "publisher: A document was proposed.",
            version=version,
            bytes=len(body),
            committed=result.committed,
            held=self.document.version,
        )
        outcome = "committed" if result.committed else "not_in_time"
        self.metrics.count("control_documents", outcome=outcome)
        self.metrics.record("control_commit", (clock.now_ms() - arrived_ms) / 1000)
        if not result.committed:
            raise errors.NoQuorum(
                "The document was not committed in time; it may still be.",
                "Send it again, to any control host.",
            )

    async def read_document(self):
        """Return the newest document's body, or None where there is none.

        Raises `errors.NoQuorum` where it is not certain which is the newest.
        """
        if not await self.reach_quorum():
            raise errors.NoQuorum(
                "It is not certain which document is the newest.",
                "Ask again, or ask another control host.",
            )
        if not self.document.version:
            return None
        return documents.unpack(self.document.packed)

    def check_confirmed(self):
        """Raise `errors.NoQuorum` where this host could pass nothing on."""
        outcome = "taken" if self.is_confirmed else "no_quorum"
        self.metrics.count("control_announcements", outcome=outcome)
        if not self.is_confirmed:
            raise errors.NoQuorum(
                "This control host does not reach the quorum.",
                "Announce to another control host.",
            )

    def send_followers(self, message):
        """Send a message to the gateways that follow this host."""
        for follower in self.followers.values():
            if follower.link.connected:
                follower.link.send(message)

    def send_peers(self, message):
        """Send a message to the other control hosts."""
        for link in self.control.replication.peers.values():
            if link.connected:
                link.send(message)

    # What control hosts tell one another.

    def share(self, now_ms):
        """Tell the other control hosts which gateways follow this one."""
        own = self.followers.values()
        self.send_peers(
            messages.Gateways(
                tuple(item.name for item in own),
                tuple(item.address for item in own),
                (),
                tuple(item.data_centre for item in own),
            )
        )

    def take_gateways(self, link, update):
        """Note which gateways follow another control host."""
        if link.name in self.followers:
            return
        now_ms = clock.now_ms()
        told = zip(update.names, update.addresses, update.data_centres, strict=True)
        for name, address, data_centre in told:
            self.remote[name] = Follower(name, address, data_centre, now_ms)
        self.publish_gateways()

    def drop_lost(self, now_ms):
        """Forget gateways that no control host hears."""
        for table in (self.followers, self.remote):
            for name, follower in list(table.items()):
                if now_ms - follower.heard_ms > FOLLOWER_TIMEOUT_MS:
                    del table[name]
        self.publish_gateways()

    def publish_gateways(self):
        """Tell the gateways of one another when that has changed."""
        merged = {**self.remote, **self.followers}
        names = tuple(sorted(merged))
        addresses = tuple(merged[name].address for name in names)
        centres = tuple(merged[name].data_centre for name in names)
        update = messages.Gateways(names, addresses, self.control_addresses(), centres)
        if update != self.gateways:
            self.gateways = update
            self.send_followers(update)

    def control_addresses(self):
        """Return the addresses of the control hosts, where names are addresses."""
        node = self.control.replication.replica.raft
        if node is None:
            return ()
        hosts = {identity.rsplit("/", 1)[0] for identity in node.voters()}
        return tuple(sorted(host for host in hosts if ":" in host))


def newest_beats(beats):
    """Return the newest beat of each follower."""
    newest = {id(beat.follower): beat for beat in beats}
    return list(newest.values())


HANDLERS = {
    messages.Watch: Publisher.take_watch,
    messages.Gateways: Publisher.take_gateways,
}
