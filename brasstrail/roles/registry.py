"""What backend servers announce, as one control host knows it.

An announcement is taken by a host that reaches the quorum; what is new in it goes to
the other control hosts and to the gateways at once, and each second control hosts
tell one another whom they have heard. Nothing is replicated in the log: all of it is
heard again within seconds after all is lost.
"""

import dataclasses

from brasstrail.coordination import directory
from brasstrail.core import clock, servers
from brasstrail.protocol import messages


class Registry:
    """The backend servers that control hosts have heard of.

    Parameters
    ----------
    hub : `hub.Hub` of the process.
    publisher : `publisher.Publisher` of the process, which sends what is new.

    Attributes
    ----------
    silent : the identities of servers that have missed several announcements.
    """

    def __init__(self, hub, publisher):
        self.log = hub.log
        self.publisher = publisher
        self.directory = directory.Directory(hub.settings.control.announce_interval_ms)
        self.silent = set()
        self.started_ms = clock.now_ms()
        self.shared_ms = 0
        hub.handlers.append(self)

    @property
    def is_complete(self):
        """Whether every server that is alive has been heard since the start."""
        listened_ms = clock.now_ms() - self.started_ms
        return (
            listened_ms > directory.SILENT_AFTER_INTERVALS * self.directory.interval_ms
        )

    # Links.

    def link_up(self, link):
        """Leave it to the publisher to show what is known."""

    def link_reset(self, link):
        """Keep what is known: it does not hang on a link."""

    def link_message(self, link, message):
        """Take what another control host has heard."""
        if isinstance(message, messages.Directory):
            self.take_directory(link, message)

    def show(self, link):
        """Send another control host all that is known."""
        now_ms = clock.now_ms()
        records = tuple(
            to_record(known.announcement, now_ms - known.last_seen_ms)
            for known in self.directory.known.values()
        )
        if records:
            link.send(messages.Directory(False, records))

    # What servers say.

    def announce(self, announcement):
        """Take a server's announcement and pass on what is new in it.

        It is learned in any case, so that all servers are known as soon as there is
        a quorum again. Raises `errors.NoQuorum` where this host may not acknowledge
        it, since it could be the only one that knows.
        """
        self.learn(announcement, clock.now_ms(), to_peers=True)
        self.publisher.check_confirmed()

    def withdraw(self, identity, born_ms):
        """Take a server's last word, as `announce` does.

        `born_ms` is the start that it speaks of, or None where it does not say.
        """
        ended = servers.Announcement(
            identity, "", "", "", servers.ServerPhase.GONE, born_ms or 0, 0
        )
        self.learn(ended, clock.now_ms(), to_peers=True)
        self.publisher.check_confirmed()

    def learn(self, announcement, heard_ms, to_peers):
        """Take what was heard; pass on what is new."""
        changed = self.directory.record_announcement(announcement, heard_ms)
        if announcement.identity in self.silent and self.is_heard(announcement):
            self.silent.discard(announcement.identity)
            changed = True
        if changed:
            age_ms = clock.now_ms() - heard_ms
            self.log_server(announcement, age_ms)
            self.pass_on(announcement, age_ms, to_peers)

    def is_heard(self, announcement):
        """Return whether a server is not silent any more."""
        known = self.directory.known.get(announcement.identity)
        return known is not None and not self.directory.is_silent(known, clock.now_ms())

    def log_server(self, announcement, age_ms):
        """Log a change of what is believed of a server."""
        self.log.info(
            "registry: A server changed.",
            server=announcement.identity,
            service=announcement.service,
            address=announcement.address,
            phase=str(announcement.phase),
            born=announcement.born_ms,
            sequence=announcement.sequence,
            age_ms=age_ms,
        )

    def pass_on(self, announcement, age_ms, to_peers):
        """Send what changed to the gateways, and to the other control hosts."""
        record = to_record(announcement, age_ms)
        update = messages.Directory(False, (record,))
        self.publisher.send_followers(update)
        if to_peers:
            self.publisher.send_peers(update)

    def take_directory(self, link, update):
        """Take what another control host has heard."""
        now_ms = clock.now_ms()
        for record in update.records:
            self.learn(to_announcement(record), now_ms - record.age_ms, False)

    def whole(self):
        """Return all that is known, as gateways are told of it."""
        now_ms = clock.now_ms()
        records = []
        for identity, known in self.directory.known.items():
            record = to_record(known.announcement, now_ms - known.last_seen_ms)
            if identity in self.silent and record.phase == servers.ServerPhase.READY:
                record = dataclasses.replace(record, phase=servers.ServerPhase.SILENT)
            records.append(record)
        return messages.Directory(self.is_complete, tuple(records))

    def note_silence(self, now_ms):
        """Tell the gateways of servers that have fallen silent."""
        for identity, known in self.directory.known.items():
            if identity in self.silent or known.phase is not servers.ServerPhase.READY:
                continue
            if self.directory.is_silent(known, now_ms):
                self.silent.add(identity)
                quiet = dataclasses.replace(
                    known.announcement, phase=servers.ServerPhase.SILENT
                )
                self.log_server(quiet, now_ms - known.last_seen_ms)
                self.pass_on(quiet, now_ms - known.last_seen_ms, to_peers=False)

    def share(self, now_ms):
        """Tell the other control hosts who was heard here lately."""
        heard = [
            to_record(known.announcement, now_ms - known.last_seen_ms)
            for known in self.directory.known.values()
            if known.last_seen_ms > self.shared_ms
        ]
        self.shared_ms = now_ms
        if heard:
            self.publisher.send_peers(messages.Directory(False, tuple(heard)))
        self.forget(now_ms)

    def forget(self, now_ms):
        """Forget servers of which nothing was heard for long."""
        for known in self.directory.remove_expired(now_ms):
            age_ms = now_ms - known.last_seen_ms
            self.pass_on(as_gone(known.announcement), age_ms, to_peers=False)
        self.silent &= set(self.directory.known)


def to_record(announcement, age_ms):
    """Return an announcement in the form in which it travels."""
    return messages.ServerRecord(
        announcement.identity,
        announcement.service,
        announcement.address,
        announcement.data_centre,
        str(announcement.phase),
        announcement.born_ms,
        announcement.sequence,
        announcement.slots,
        announcement.cold_ms,
        age_ms,
    )


def to_announcement(record):
    """Return the announcement that a record holds."""
    return servers.Announcement(
        record.identity,
        record.service,
        record.address,
        record.data_centre,
        servers.ServerPhase(record.phase),
        record.born_ms,
        record.sequence,
        record.slots,
        record.cold_ms,
    )


def as_gone(announcement):
    """Return the announcement of a server as of one that is gone."""
    return dataclasses.replace(announcement, phase=servers.ServerPhase.GONE)


def as_ready(announcement):
    """Return the announcement of a silent server as of one that is ready."""
    return dataclasses.replace(announcement, phase=servers.ServerPhase.READY)
