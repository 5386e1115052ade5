"""A process's attachment to a control host.

`Attachment` keeps the process joined to one control host at a time, holds the
view that the control host sends, and sends proposals and look-ups. It detects
by itself that its control host is cut off from the quorum: the leader's stamp
then stops rising, and the process attaches to the next host. Views of another
cluster and views older than the present one are rejected.
"""

import asyncio
import dataclasses
import itertools
import random

from tornado import ioloop

from brasstrail.core import clock, data, errors
from brasstrail.protocol import codec, messages
from brasstrail.state import view

HEARTBEAT_INTERVAL_MS = 500
STAMP_TIMEOUT_MS = 2000
PROPOSAL_ATTEMPT_TIMEOUT_S = 1.0
PROPOSAL_TIMEOUT_S = 6.0
RETRY_DELAY_S = 0.05


class Attachment:
    """The process's view, and its connection to the quorum.

    Parameters
    ----------
    hub : `hub.Hub` of the process.
    member : `data.Member`, the description that the process announces.

    Attributes
    ----------
    view : `view.View`, which is current while `fresh` is true.
    link : the link to the present control host.
    seeds : addresses of control hosts, the next one to attach to first.
    stamp : the highest leader's stamp received.
    stamp_received_ms : when `stamp` last rose or the control host was changed.
    has_view : whether any view was received.
    waiting : futures of proposals and look-ups without an answer, by message id.
    host_changed : an event that is set when the process attaches to another host.
    listeners : functions called after each change of the view.
    """

    def __init__(self, hub, member):
        self.hub = hub
        self.log = hub.log
        self.member = member
        self.view = view.View()
        self.link = None
        self.seeds = list(hub.settings.cluster.seeds)
        random.shuffle(self.seeds)
        self.stamp = 0
        self.stamp_received_ms = clock.now_ms()
        self.has_view = False
        self.id_counter = itertools.count(1)
        self.waiting = {}
        self.listeners = []
        self.ticker = ioloop.PeriodicCallback(self.tick, HEARTBEAT_INTERVAL_MS)
        self.host_changed = asyncio.Event()
        hub.handlers.append(self)

    def start(self):
        """Attach to a control host and start sending heartbeats."""
        self.attach_to_next_host()
        self.ticker.start()

    def close(self):
        """Send a leave message and stop the heartbeats."""
        self.ticker.stop()
        if self.link is not None and self.link.connected:
            member = self.member
            self.link.send(messages.Leave(member.name, member.incarnation))
            self.link.flush()

    @property
    def fresh(self):
        """Whether the leader's stamp rose within `STAMP_TIMEOUT_MS`.

        The stamp rises only while a quorum answers the leader.
        """
        age_ms = clock.now_ms() - self.stamp_received_ms
        return self.has_view and age_ms <= STAMP_TIMEOUT_MS

    def update_member(self, **fields):
        """Change the announced description and announce it if it differs."""
        updated = dataclasses.replace(self.member, **fields)
        if updated != self.member:
            self.member = updated
            self.join()

    def join(self):
        """Announce the process to its control host, with a new epoch."""
        if self.link is None:
            return
        epoch = self.member.epoch + 1
        self.member = dataclasses.replace(self.member, epoch=epoch)
        self.link.send(messages.Join(self.member))

    def attach_to_next_host(self):
        """Attach to the next control host; calls that wait are ended."""
        previous = self.link
        address = self.seeds.pop(0)
        self.seeds.append(address)
        self.stamp_received_ms = clock.now_ms()
        self.link = self.hub.dial(address, self)
        if previous is not None and previous is not self.link:
            self.hub.release_link(previous, self)
        self.log.info("membership: Attaching to a control host.", address=address)
        self.join()
        self.host_changed.set()
        self.host_changed = asyncio.Event()

    def tick(self):
        """Send a heartbeat, or change the control host if the stamp timed out."""
        if clock.now_ms() - self.stamp_received_ms > STAMP_TIMEOUT_MS:
            self.log.warning(
                "membership: The control host is down or cut off from the quorum.",
                peer=self.link.name or self.link.address,
            )
            self.attach_to_next_host()
        elif self.link.connected:
            self.link.send(messages.Beat(self.view.index))

    # Callbacks of the hub.

    def link_up(self, link):
        """Do nothing on a new connection: the session delivers what was sent."""

    def link_reset(self, link):
        """Announce the process again after the control host lost the session."""
        if link is self.link:
            self.join()

    def link_message(self, link, message):
        """Handle a message from the present control host; ignore all others."""
        handler = HANDLERS.get(type(message))
        if handler is not None and link is self.link:
            handler(self, message)

    def handle_snapshot(self, snapshot):
        """Replace the view, unless the new one is foreign or older.

        A control host of another cluster is left for the next one.
        """
        known = self.view.cluster_id
        if known and snapshot.cluster_id != known:
            self.log.error(
                "membership: The control host belongs to another cluster.",
                cluster=snapshot.cluster_id,
            )
            self.attach_to_next_host()
            return
        if snapshot.index < self.view.index:
            return
        self.view.restore(snapshot)
        self.has_view = True
        self.notify_view_changed()

    def handle_changes(self, changes):
        """Apply the commands that change the view.

        Where commands before them are missing, the process joins again to get the
        whole view.
        """
        if changes.index <= self.view.index:
            return
        if changes.after != self.view.index:
            self.join()
            return
        for payload in changes.commands:
            self.view.apply(codec.decode(codec.COMMAND, payload))
        self.view.index = changes.index
        self.has_view = True
        self.notify_view_changed()

    def notify_view_changed(self):
        """Notify the control host of the new index, and call the listeners."""
        if self.link.connected:
            self.link.send(messages.Beat(self.view.index))
        for listener in self.listeners:
            listener()

    def handle_stamp(self, stamp):
        """Record a higher stamp: a quorum still answers the leader."""
        if stamp.number > self.stamp:
            self.stamp = stamp.number
            self.stamp_received_ms = clock.now_ms()

    def handle_outcome(self, outcome):
        """Complete the proposal that waits for this outcome."""
        self.resolve(outcome.proposal_id, outcome)

    def handle_found(self, found):
        """Complete the look-up that waits for this record."""
        self.resolve(found.lookup_id, found)

    def resolve(self, message_id, message):
        """Set the result of the future that waits for a message."""
        future = self.waiting.pop(message_id, None)
        if future is not None and not future.done():
            future.set_result(message)

    # Proposals and look-ups.

    def make_unique_id(self):
        """Return an id that no other message or request of the cluster has."""
        member = self.member
        return f"{member.name}.{member.incarnation}.{next(self.id_counter)}"

    async def call(self, message_id, message, timeout_s):
        """Send a message and return its answer.

        Returns None on a time-out, or when the control host is changed first.
        """
        future = self.hub.loop.create_future()
        self.waiting[message_id] = future
        host_changed = self.hub.loop.create_task(self.host_changed.wait())
        self.link.send(message)
        try:
            done, _ = await asyncio.wait(
                {future, host_changed},
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            return future.result() if future in done else None
        finally:
            host_changed.cancel()
            self.waiting.pop(message_id, None)

    async def propose(self, command, timeout_s=PROPOSAL_TIMEOUT_S):
        """Put a command into the log and return its result.

        The proposal is repeated until it is committed; commands are idempotent,
        so a repeat changes nothing. Raises `errors.NoQuorum` after `timeout_s`;
        the command may still be committed later.
        """
        payload = codec.encode(codec.COMMAND, command)
        deadline = self.hub.loop.time() + timeout_s
        while self.hub.loop.time() < deadline:
            message_id = self.make_unique_id()
            message = messages.Propose(message_id, payload)
            outcome = await self.call(message_id, message, PROPOSAL_ATTEMPT_TIMEOUT_S)
            if outcome is not None and outcome.committed:
                return codec.decode(codec.RESULT, outcome.result)
            await asyncio.sleep(RETRY_DELAY_S)
        raise no_quorum()

    async def look_up(self, workspace, key, wait, timeout_s=PROPOSAL_TIMEOUT_S):
        """Return the execution record of a key, confirmed by the quorum.

        With `wait`, a record whose request is running is returned only after it
        has changed, or after a time limit at the leader. Raises `errors.NoQuorum`
        after `timeout_s`.
        """
        deadline = self.hub.loop.time() + timeout_s
        while self.hub.loop.time() < deadline:
            message_id = self.make_unique_id()
            message = messages.Lookup(message_id, workspace, key, wait)
            found = await self.call(message_id, message, timeout_s)
            if found is not None and found.confirmed:
                return found.record
            await asyncio.sleep(RETRY_DELAY_S)
        raise no_quorum()


def no_quorum():
    """Return the error for a quorum that could not be reached."""
    return errors.NoQuorum(
        "No quorum of the control hosts answered in time.",
        "Send the request again with the same key; ask operators to look at "
        "`brasstrail status`.",
        data.RunStatus.UNKNOWN,
        2,
    )


HANDLERS = {
    messages.ViewSnapshot: Attachment.handle_snapshot,
    messages.ViewChanges: Attachment.handle_changes,
    messages.Stamp: Attachment.handle_stamp,
    messages.Outcome: Attachment.handle_outcome,
    messages.Found: Attachment.handle_found,
}
