"""A process's attachment to a control host.

`Attachment` keeps the process joined to one control host at a time, holds the
view that the control host sends, and carries proposals and look-ups. It finds
out by itself when its control host is cut off: the leader's stamp then stands
still, and the process moves to the next host. Views of another cluster and
views older than the present one are not taken.
"""

import asyncio
import dataclasses
import itertools
import random

from tornado import ioloop

from brasstrail.core import clock, data, errors
from brasstrail.protocol import codec, messages
from brasstrail.state import view

BEAT_MS = 500
STAMP_PATIENCE_MS = 2000
PROPOSAL_TRY_S = 1.0
PROPOSAL_TIMEOUT_S = 6.0
RETRY_PAUSE_S = 0.05


class Attachment:
    """The process's view, and its way to the quorum.

    Parameters
    ----------
    hub : `hub.Hub` of the process.
    member : `data.Member`, what the process says of itself.

    Attributes
    ----------
    view : `view.View`, which is current while `fresh` is true.
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
        self.stamp_ms = clock.now_ms()
        self.has_view = False
        self.numbers = itertools.count(1)
        self.waiting = {}
        self.listeners = []
        self.ticker = ioloop.PeriodicCallback(self.tick, BEAT_MS)
        self.moved = asyncio.Event()
        hub.handlers.append(self)

    def start(self):
        """Attach to the first control host."""
        self.move()
        self.ticker.start()

    def close(self):
        """Say that the process stops, and stop attaching."""
        self.ticker.stop()
        if self.link is not None and self.link.connected:
            member = self.member
            self.link.send(messages.Leave(member.name, member.incarnation))
            self.link.flush()

    @property
    def fresh(self):
        """Whether a quorum has confirmed the leader's stamp lately."""
        age_ms = clock.now_ms() - self.stamp_ms
        return self.has_view and age_ms <= STAMP_PATIENCE_MS

    def update_member(self, **fields):
        """Change what the process says of itself, and say it."""
        changed = dataclasses.replace(self.member, **fields)
        if changed != self.member:
            self.member = changed
            self.join()

    def join(self):
        """Announce the process to its control host."""
        if self.link is None:
            return
        epoch = self.member.epoch + 1
        self.member = dataclasses.replace(self.member, epoch=epoch)
        self.link.send(messages.Join(self.member))

    def move(self):
        """Attach to the next control host."""
        old = self.link
        address = self.seeds.pop(0)
        self.seeds.append(address)
        self.stamp_ms = clock.now_ms()
        self.link = self.hub.dial(address, self)
        if old is not None and old is not self.link:
            self.hub.hang_up(old, self)
        self.log.info("membership: Attaching to a control host.", address=address)
        self.join()
        self.moved.set()
        self.moved = asyncio.Event()

    def tick(self):
        """Send a heartbeat; move on where the stamp stands still."""
        if clock.now_ms() - self.stamp_ms > STAMP_PATIENCE_MS:
            self.log.warning(
                "membership: The control host is cut off or down.",
                peer=self.link.name or self.link.address,
            )
            self.move()
        elif self.link.connected:
            self.link.send(messages.Beat(self.view.index))

    # What the hub tells.

    def link_up(self, link):
        """A connection carries a link."""

    def link_reset(self, link):
        """The control host started again: announce the process anew."""
        if link is self.link:
            self.join()

    def link_message(self, link, message):
        """Take a message from the control host."""
        handler = HANDLERS.get(type(message))
        if handler is not None and link is self.link:
            handler(self, message)

    def take_snapshot(self, snapshot):
        """Take a whole view, unless it is foreign or older."""
        known = self.view.cluster_id
        if known and snapshot.cluster_id != known:
            self.log.error(
                "membership: A control host of another cluster is refused.",
                cluster=snapshot.cluster_id,
            )
            self.move()
            return
        if snapshot.index < self.view.index:
            return
        self.view.restore(snapshot)
        self.has_view = True
        self.changed()

    def take_changes(self, changes):
        """Apply the commands that change the view."""
        if changes.index <= self.view.index:
            return
        if changes.after != self.view.index:
            self.join()
            return
        for payload in changes.commands:
            self.view.apply(codec.decode(codec.COMMAND, payload))
        self.view.index = changes.index
        self.has_view = True
        self.changed()

    def changed(self):
        """Tell the listeners and the control host."""
        if self.link.connected:
            self.link.send(messages.Beat(self.view.index))
        for listener in self.listeners:
            listener()

    def take_stamp(self, stamp):
        """Note that a quorum still answers the leader."""
        if stamp.number > self.stamp:
            self.stamp = stamp.number
            self.stamp_ms = clock.now_ms()

    def take_outcome(self, outcome):
        """Wake whoever waits for a proposal."""
        self.resolve(outcome.proposal_id, outcome)

    def take_found(self, found):
        """Wake whoever waits for a look-up."""
        self.resolve(found.lookup_id, found)

    def resolve(self, number, message):
        """Give a message to the future that waits for it."""
        future = self.waiting.pop(number, None)
        if future is not None and not future.done():
            future.set_result(message)

    # Proposals and look-ups.

    def make_number(self):
        """Return a number that no other proposal has."""
        member = self.member
        return f"{member.name}.{member.incarnation}.{next(self.numbers)}"

    async def ask(self, number, message, timeout_s):
        """Send a message and return its answer, or None in time of trouble."""
        future = self.hub.loop.create_future()
        self.waiting[number] = future
        moved = self.hub.loop.create_task(self.moved.wait())
        self.link.send(message)
        try:
            done, _ = await asyncio.wait(
                {future, moved},
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            return future.result() if future in done else None
        finally:
            moved.cancel()
            self.waiting.pop(number, None)

    async def propose(self, command, timeout_s=PROPOSAL_TIMEOUT_S):
        """Put a command into the log and return its result.

        It is tried again until it is committed; commands are made so that a
        repeat changes nothing. Raises `errors.NoQuorum` after `timeout_s`; the
        command may then still be committed later.
        """
        payload = codec.encode(codec.COMMAND, command)
        deadline = self.hub.loop.time() + timeout_s
        while self.hub.loop.time() < deadline:
            number = self.make_number()
            message = messages.Propose(number, payload)
            outcome = await self.ask(number, message, PROPOSAL_TRY_S)
            if outcome is not None and outcome.committed:
                return codec.decode(codec.RESULT, outcome.result)
            await asyncio.sleep(RETRY_PAUSE_S)
        raise no_quorum()

    async def look_up(self, workspace, key, wait, timeout_s=PROPOSAL_TIMEOUT_S):
        """Return the execution record of a key, confirmed by the quorum.

        Raises `errors.NoQuorum` after `timeout_s`.
        """
        deadline = self.hub.loop.time() + timeout_s
        while self.hub.loop.time() < deadline:
            number = self.make_number()
            message = messages.Lookup(number, workspace, key, wait)
            found = await self.ask(number, message, timeout_s)
            if found is not None and found.confirmed:
                return found.record
            await asyncio.sleep(RETRY_PAUSE_S)
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
    messages.ViewSnapshot: Attachment.take_snapshot,
    messages.ViewChanges: Attachment.take_changes,
    messages.Stamp: Attachment.take_stamp,
    messages.Outcome: Attachment.take_outcome,
    messages.Found: Attachment.take_found,
}
