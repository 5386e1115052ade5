"""Provides gateways with the operators' document, the lease and the gateway list.

A gateway subscribes to one control host. A heartbeat is confirmed after two
conditions hold: the leader has shown, in a round that started after the heartbeat
arrived, that the quorum has no newer document, and that document was sent to the
gateway. A control host without a quorum confirms nothing, and its gateways switch to
another control host.

Control hosts exchange the lists of gateways that subscribe to them. These lists are
not replicated in the log: after a loss of all state they are rebuilt within seconds.
The announcements of backend servers are kept in a `registry`; that a server leaves or
is gone is committed to the log before it is acknowledged.
"""

import asyncio
import dataclasses

from tornado import ioloop

from brasstrail.core import clock, errors
from brasstrail.protocol import codec, commands, messages
from brasstrail.roles import registry, rollouts
from brasstrail.state import documents

TICK_MS = 100
CONFIRM_INTERVAL_MS = 400
# An announcement is acknowledged only by a host that the quorum answered within this
# time, since a host that is cut off from the quorum could not forward it.
CONFIRMATION_VALIDITY_MS = 1500
SHARE_INTERVAL_MS = 1000
SUBSCRIBER_TIMEOUT_MS = 3000
APPLY_TIMEOUT_S = 1.0
APPLY_POLL_S = 0.005
COMMIT_TIMEOUT_S = 1.5
# Servers wait a second for the answer to an announcement.
RETIRE_TIMEOUT_S = 0.9
# A document that a gateway has not reported for this long no longer holds back newer
# ones: longer than the slowest links between regions take for one.
UNDERWAY_TIMEOUT_MS = 10_000


@dataclasses.dataclass
class Subscriber:
    """A gateway that subscribes to this host, or to another one if `link` is None.

    `version` is that of the newest document that the gateway has or was sent, at
    `sent_ms`. It has read those up to `received_version`. `unanswered` is its newest
    confirmed heartbeat that must wait for a document, or None. `rollouts_index` is the
    log index of the roll-outs that it was sent, 0 if there were none.
    """

    name: str
    address: str
    data_centre: str
    last_seen_ms: int
    link: object = None
    version: int = 0
    received_version: int = 0
    sent_ms: int = 0
    unanswered: int | None = None
    rollouts_index: int = 0

    def is_document_underway(self, now_ms):
        """Return whether the gateway has yet to read a document that it was sent."""
        is_recent = now_ms - self.sent_ms <= UNDERWAY_TIMEOUT_MS
        return self.received_version < self.version and is_recent


@dataclasses.dataclass(frozen=True)
class PendingHeartbeat:
    """A heartbeat that is not confirmed yet."""

    subscriber: Subscriber
    number: int


class Publisher:
    """The part of the control role that serves gateways and their operators.

    Parameters
    ----------
    hub : `hub.Hub` of the process.
    control : `control.Control` of the process.
    process_metrics : `metrics.Metrics` of the process.

    Attributes
    ----------
    subscribers : `Subscriber` by gateway name, for the gateways of this host.
    remote_subscribers : the same for the gateways of other control hosts.
    confirmed_ms : when the last confirmation round that a quorum answered was
        started, or None.
    gateways : the `messages.Gateways` that was last sent, or None.
    applied_version : the version of the document that was last applied on this host.
    """

    def __init__(self, hub, control, process_metrics):
        self.hub = hub
        self.metrics = process_metrics
        self.log = hub.log
        self.control = control
        self.registry = registry.Registry(hub, self)
        self.subscribers = {}
        self.remote_subscribers = {}
        self.pending_heartbeats = []
        self.confirmed_ms = None
        self.next_confirm_ms = 0
        self.next_share_ms = 0
        self.is_confirming = False
        self.gateways = None
        self.ticker = ioloop.PeriodicCallback(self.tick, TICK_MS)
        hub.handlers.append(self)
        self.applied_version = 0
        control.listeners.append(self.on_document_applied)
        control.listeners.append(self.registry.apply_retirements)
        self.rollouts = rollouts.RolloutDesk(self)
        control.listeners.append(self.rollouts.on_applied)

    def start(self):
        """Register the gauges and start the periodic work."""
        self.register_gauges()
        self.registry.apply_retirements()
        self.ticker.start()
        self.rollouts.start()

    def register_gauges(self):
        """Register the gauges of documents, gateways and backend servers."""
        gauge = self.metrics.gauge
        known = self.registry.directory.known
        gauge("control_document_version", lambda: self.document.version)
        gauge("control_confirmed_age_ms", self.confirmed_age_ms)
        gauge("control_followers", lambda: len(self.subscribers))
        gauge("control_servers", lambda: len(known))
        gauge("control_servers_silent", lambda: len(self.registry.silent))

    def confirmed_age_ms(self):
        """Return the milliseconds since a quorum answered, or -1 if it never did."""
        if self.confirmed_ms is None:
            return -1
        return clock.now_ms() - self.confirmed_ms

    def close(self):
        """Stop the periodic work."""
        self.ticker.stop()
        self.rollouts.close()

    @property
    def document(self):
        """The newest document that is applied on this host."""
        return self.control.machine.document

    @property
    def is_confirmed(self):
        """Whether a quorum answered within `CONFIRMATION_VALIDITY_MS`."""
        if self.confirmed_ms is None:
            return False
        return clock.now_ms() - self.confirmed_ms <= CONFIRMATION_VALIDITY_MS

    # Links.

    def link_up(self, link):
        """Send the known servers to another control host."""
        if link.address:
            self.registry.send_all(link)

    def link_reset(self, link):
        """Remove a gateway that lost its session; it will subscribe again."""
        for name, subscriber in list(self.subscribers.items()):
            if subscriber.link is link:
                del self.subscribers[name]

    def link_message(self, link, message):
        """Dispatch a message from a gateway or control host to its handler."""
        handler = HANDLERS.get(type(message))
        if handler is not None:
            handler(self, link, message)

    def handle_watch(self, link, watch):
        """Handle a gateway's heartbeat."""
        now_ms = clock.now_ms()
        subscriber = self.subscribers.get(link.name)
        if subscriber is None or subscriber.link is not link:
            subscriber = Subscriber(
                link.name, watch.address, link.data_centre, now_ms, link
            )
            subscriber.version = watch.document_version
            self.subscribers[link.name] = subscriber
            self.log.info("publisher: A gateway subscribed.", peer=link.name)
            self.publish_gateways()
            self.share(now_ms)
        subscriber.last_seen_ms = now_ms
        subscriber.received_version = max(
            watch.document_version, watch.received_version
        )
        self.send_document(subscriber)
        if watch.needs_directory:
            link.send(self.registry.snapshot())
            link.send(self.gateways)
        self.pending_heartbeats.append(PendingHeartbeat(subscriber, watch.beat_id))

    # Confirmation.

    def tick(self):
        """Run the periodic work; an error in one part is logged, and the others run."""
        now_ms = clock.now_ms()
        run = self.hub.run_callback
        if now_ms >= self.next_confirm_ms or self.pending_heartbeats:
            run(self.start_confirmation_round, now_ms)
        if now_ms >= self.next_share_ms:
            self.next_share_ms = now_ms + SHARE_INTERVAL_MS
            run(self.share, now_ms)
            run(self.registry.share, now_ms)
            run(self.drop_expired_subscribers, now_ms)
        run(self.registry.admit_claims, now_ms)
        run(self.registry.detect_silent_servers, now_ms)

    def start_confirmation_round(self, now_ms):
        """Start a confirmation round unless one is running."""
        if self.is_confirming:
            return
        self.is_confirming = True
        self.next_confirm_ms = now_ms + CONFIRM_INTERVAL_MS
        self.hub.spawn(self.run_confirmation_round())

    async def run_confirmation_round(self):
        """Confirm the heartbeats that have arrived so far."""
        try:
            heartbeats, self.pending_heartbeats = self.pending_heartbeats, []
            round_start_ms = clock.now_ms()
            if not await self.wait_for_read_index():
                # A later round can confirm them: a lease counts from the time at
                # which its heartbeat was sent.
                self.pending_heartbeats = newest_per_subscriber(
                    heartbeats + self.pending_heartbeats
                )
                return
            self.confirmed_ms = round_start_ms
            for heartbeat in heartbeats:
                self.hub.run_callback(self.answer, heartbeat)
        finally:
            self.is_confirming = False

    async def wait_for_read_index(self):
        """Return whether all log entries committed before the call are applied.

        The result is False without a quorum, or after `APPLY_TIMEOUT_S`.
        """
        reply = await self.control.read()
        if reply is None or not reply.index:
            return False
        deadline_ms = clock.now_ms() + APPLY_TIMEOUT_S * 1000
        while self.control.machine.index < reply.index:
            if clock.now_ms() > deadline_ms:
                return False
            await asyncio.sleep(APPLY_POLL_S)
        return True

    def answer(self, heartbeat):
        """Send a gateway any newer document, then confirm its heartbeat."""
        link = heartbeat.subscriber.link
        if not link.connected:
            return
        heartbeat.subscriber.unanswered = heartbeat.number
        self.send_document(heartbeat.subscriber)

    def send_document(self, subscriber):
        """Send a gateway the document if it lacks it, and confirm its heartbeat.

        Only one document is under way to a gateway; those that it is replaced by in the
        meantime are never sent. The confirmation of a heartbeat follows the document.
        """
        now_ms = clock.now_ms()
        self.rollouts.send(subscriber)
        if subscriber.version < self.document.version:
            if subscriber.is_document_underway(now_ms):
                return
            subscriber.version = self.document.version
            subscriber.sent_ms = now_ms
            subscriber.link.send(
                messages.Document(self.document.version, self.document.packed)
            )
        if subscriber.unanswered is not None:
            number, subscriber.unanswered = subscriber.unanswered, None
            subscriber.link.send(messages.Current(number, subscriber.version))

    def on_document_applied(self):
        """Send a newly applied document to the gateways at once."""
        if self.document.version != self.applied_version:
            self.applied_version = self.document.version
            self.log.info(
                "publisher: A document was applied.",
                version=self.document.version,
                bytes=len(self.document.packed),
                index=self.control.machine.index,
            )
        for subscriber in self.subscribers.values():
            if subscriber.link.connected:
                self.hub.run_callback(self.send_document, subscriber)

    # The operators' document.

    async def replace_document(self, version, body):
        """Commit a document; raise `errors.NoQuorum` if it is not committed in time.

        On return the document, or one with a higher version, is committed.
        """
        arrived_ms = clock.now_ms()
        command = commands.ReplaceDocument(version, documents.pack(body))
        result = await self.commit(command, COMMIT_TIMEOUT_S)
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

    async def retire(self, record):
        """Commit a `messages.ServerRecord` of a server that leaves or is gone.

        Raises `errors.NoQuorum` if it is not committed in time.
        """
        arrived_ms = clock.now_ms()
        command = commands.RetireServers(clock.wall_ms(), (record,))
        result = await self.commit(command, RETIRE_TIMEOUT_S)
        self.log.info(
            "publisher: That a server leaves was proposed.",
            server=record.identity,
            born=record.born_ms,
            phase=record.phase,
            committed=result.committed,
            took_ms=clock.now_ms() - arrived_ms,
        )
        if not result.committed:
            raise errors.NoQuorum(
                "That the server leaves was not committed in time; it may still be.",
                "Say it again, to any control host.",
            )

    async def commit(self, command, timeout_s):
        """Return the `messages.Outcome` of a command, after a time-out at the latest.

        A command that was not committed in time may still be.
        """
        result_future = self.hub.loop.create_future()

        def answer(result):
            if not result_future.done():
                result_future.set_result(result)

        self.control.submit(codec.encode(codec.COMMAND, command), answer)
        try:
            return await asyncio.wait_for(result_future, timeout_s)
        except asyncio.TimeoutError:
            return messages.Outcome("", False, b"")

    async def read_document(self):
        """Return the body of the newest document, or None if there is no document.

        Raises `errors.NoQuorum` if this host cannot verify which document is newest.
        """
        if not await self.wait_for_read_index():
            raise errors.NoQuorum(
                "It is not certain which document is the newest.",
                "Ask again, or ask another control host.",
            )
        if not self.document.version:
            return None
        return documents.unpack(self.document.packed)

    def check_confirmed(self):
        """Raise `errors.NoQuorum` if no quorum answered this host recently."""
        outcome = "taken" if self.is_confirmed else "no_quorum"
        self.metrics.count("control_announcements", outcome=outcome)
        if not self.is_confirmed:
            raise errors.NoQuorum(
                "This control host does not reach the quorum.",
                "Announce to another control host.",
            )

    def send_to_subscribers(self, message):
        """Send a message to the gateways that subscribe to this host."""
        subscribed = [each.link for each in self.subscribers.values()]
        self.send_to_connected(subscribed, message)

    def send_to_peers(self, message):
        """Send a message to the other control hosts."""
        self.send_to_connected(self.control.replication.peers.values(), message)

    def send_to_connected(self, links, message):
        """Send a message over those of some links that have a connection."""
        connected = [link for link in links if link.connected]
        if connected:
            self.hub.send_to_all(connected, message)

    # Exchange between control hosts.

    def share(self, now_ms):
        """Send the other control hosts the list of this host's subscribers."""
        own_subscribers = self.subscribers.values()
        self.send_to_peers(
            messages.Gateways(
                tuple(subscriber.name for subscriber in own_subscribers),
                tuple(subscriber.address for subscriber in own_subscribers),
                (),
                tuple(subscriber.data_centre for subscriber in own_subscribers),
            )
        )

    def handle_gateways(self, link, update):
        """Record the subscribers of another control host."""
        if link.name in self.subscribers:
            return
        now_ms = clock.now_ms()
        rows = zip(update.names, update.addresses, update.data_centres, strict=True)
        for name, address, data_centre in rows:
            self.remote_subscribers[name] = Subscriber(
                name, address, data_centre, now_ms
            )
        self.publish_gateways()

    def drop_expired_subscribers(self, now_ms):
        """Remove gateways that were not seen for `SUBSCRIBER_TIMEOUT_MS`."""
        for table in (self.subscribers, self.remote_subscribers):
            for name, subscriber in list(table.items()):
                if now_ms - subscriber.last_seen_ms > SUBSCRIBER_TIMEOUT_MS:
                    del table[name]
        self.publish_gateways()

    def publish_gateways(self):
        """Send the list of gateways to the subscribers if it has changed."""
        merged = {**self.remote_subscribers, **self.subscribers}
        names = tuple(sorted(merged))
        addresses = tuple(merged[name].address for name in names)
        data_centres = tuple(merged[name].data_centre for name in names)
        update = messages.Gateways(
            names, addresses, self.control_addresses(), data_centres
        )
        if update != self.gateways:
            self.gateways = update
            self.send_to_subscribers(update)

    def control_addresses(self):
        """Return the addresses of the control hosts whose names are addresses."""
        node = self.control.replication.replica.raft
        if node is None:
            return ()
        hosts = {identity.rsplit("/", 1)[0] for identity in node.voters()}
        return tuple(sorted(host for host in hosts if ":" in host))


def newest_per_subscriber(heartbeats):
    """Return the newest heartbeat of each subscriber."""
    newest = {id(heartbeat.subscriber): heartbeat for heartbeat in heartbeats}
    return list(newest.values())


HANDLERS = {
    messages.Watch: Publisher.handle_watch,
    messages.Gateways: Publisher.handle_gateways,
    messages.RolloutOutcomes: lambda publisher, link, message: (
        publisher.rollouts.handle_outcomes(message)
    ),
}
