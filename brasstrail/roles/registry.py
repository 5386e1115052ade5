"""The backend servers that one control host knows from their announcements.

Only a host that reaches the quorum acknowledges an announcement. Changes are sent to
the other control hosts and to the gateways at once, and each second control hosts
exchange the announcements received since the last exchange. That a server leaves or is
gone is also committed to the replicated log before it is acknowledged, since a report
from before may arrive after a loss of all state. Servers that are ready announce
themselves again within seconds.
"""

import dataclasses

from brasstrail.coordination import claims, directory, origins
from brasstrail.core import clock, errors, servers
from brasstrail.protocol import messages

MAX_AGE_MS = 2 * directory.RETENTION_MS


class Registry:
    """The known backend servers.

    Parameters
    ----------
    hub : `hub.Hub` of the process.
    publisher : `publisher.Publisher` of the process, which sends the changes.

    Attributes
    ----------
    silent : the identities of servers that have missed several announcements.
    versions : `origins.VersionHistory` of all services since `complete_since_ms`, from
        when on this host has always reached a quorum.
    """

    def __init__(self, hub, publisher):
        self.log = hub.log
        self.publisher = publisher
        self.directory = directory.Directory(hub.settings.control.announce_interval_ms)
        self.claims = claims.Claims(self.directory)
        self.silent = set()
        self.versions = origins.VersionHistory()
        self.started_ms = clock.now_ms()
        self.complete_since_ms = self.started_ms
        self.last_shared_ms = 0
        hub.handlers.append(self)

    @property
    def is_complete(self):
        """Whether every running server had time to announce itself since startup."""
        uptime_ms = clock.now_ms() - self.started_ms
        return uptime_ms > directory.SILENT_AFTER_INTERVALS * self.directory.interval_ms

    # Links.

    def link_up(self, link):
        """Do nothing; the publisher calls `send_all` for new links."""

    def link_reset(self, link):
        """Do nothing; the known servers do not depend on a link."""

    def link_message(self, link, message):
        """Handle a directory update from another control host."""
        if isinstance(message, messages.Directory):
            self.handle_directory(link, message)

    def send_all(self, link):
        """Send all known announcements to another control host."""
        now_ms = clock.now_ms()
        records = tuple(
            to_record(known.announcement, now_ms - known.last_seen_ms)
            for known in self.directory.known.values()
        )
        if records:
            link.send(messages.Directory(False, records))

    # Announcements.

    async def announce(self, announcement):
        """Record a server's announcement and publish it if it changes anything.

        It is recorded even without a quorum, so that all servers are known as soon as
        a quorum is reached again. Raises `errors.NoQuorum` if this host may not
        acknowledge it, since this could be the only host that received it, and
        `errors.NotReady` if it does not know yet which start has ended.
        """
        announcement = self.with_end_time(announcement)
        was_ready = self.is_ready(announcement.identity)
        self.record_announcement(announcement, clock.now_ms(), to_peers=True)
        self.publisher.check_confirmed()
        if announcement.phase is servers.ServerPhase.READY:
            return
        record = to_record(announcement, 0)
        if was_ready or not self.retirements.covers(record):
            await self.publisher.retire(record)

    @property
    def retirements(self):
        """The committed `retirements.Retirements`."""
        return self.publisher.control.machine.retirements

    def is_ready(self, identity):
        """Return whether a server is known to be ready."""
        known = self.directory.known.get(identity)
        return known is not None and known.phase is servers.ServerPhase.READY

    def with_end_time(self, announcement):
        """Return an announcement with the time of the end, if it states no start."""
        is_gone = announcement.phase is servers.ServerPhase.GONE
        if not is_gone or announcement.born_ms is not None:
            return announcement
        known = self.directory.known.get(announcement.identity)
        committed = self.retirements.by_identity.get(announcement.identity)
        if known is None and committed is None and not self.is_complete:
            raise errors.NotReady(
                "This control host does not know yet which servers run.",
                "Withdraw again, here or at another control host.",
            )
        earlier = [known.announcement] if known else []
        if committed:
            earlier.append(to_announcement(committed.record))
        return directory.with_end_time(announcement, earlier, clock.wall_ms())

    def apply_retirements(self):
        """Record the servers that leave or are gone that were committed lately."""
        now_ms = clock.now_ms()
        records = tuple(each.record for each in self.retirements.take_news())
        update = messages.Directory(False, records)
        for _, announcement, _ in valid_records(update, self.log):
            self.record_announcement(announcement, now_ms, to_peers=False)

    def record_announcement(self, announcement, seen_ms, to_peers):
        """Record an announcement received at `seen_ms`; publish any change.

        One that would replace a running server is only kept, and passed on.
        """
        if self.claims.hold_back(announcement, seen_ms):
            self.log_claim("registry: An announcement claims a server.", announcement)
            if to_peers:
                age_ms = clock.now_ms() - seen_ms
                update = messages.Directory(False, (to_record(announcement, age_ms),))
                self.publisher.send_to_peers(update)
            self.admit_claim(announcement.identity, clock.now_ms())
            return
        self.apply_announcement(announcement, seen_ms, to_peers)

    def admit_claims(self, now_ms):
        """Record the announcements that waited, and are proved now."""
        for identity in list(self.claims.waiting):
            self.admit_claim(identity, now_ms)

    def admit_claim(self, identity, now_ms):
        """Record the announcement of a server that waits, if it is proved now."""
        claim = self.claims.take_proved(identity, now_ms)
        if claim is None:
            return
        announcement = claim.announcement
        self.log_claim("registry: A claim takes effect.", announcement)
        if not announcement.is_contested:
            for each in claims.find_replaced(self.directory, announcement):
                self.apply_announcement(each, now_ms, to_peers=True)
        self.apply_announcement(announcement, claim.last_seen_ms, to_peers=True)

    def log_claim(self, event, announcement):
        """Log an announcement that would replace servers, and these."""
        now_ms = clock.now_ms()
        rivals = self.directory.rivals(announcement)
        self.log.info(
            event,
            server=announcement.identity,
            service=announcement.service,
            address=announcement.address,
            born=announcement.born_ms,
            sequence=announcement.sequence,
            contested=announcement.is_contested,
            rivals=[each.announcement.identity for each in rivals],
            heard_of_them_ms_ago=[now_ms - each.last_seen_ms for each in rivals],
        )

    def apply_announcement(self, announcement, seen_ms, to_peers):
        """Record an announcement that takes effect; publish any change."""
        if announcement.phase is not servers.ServerPhase.GONE:
            software = announcement.software
            self.versions.record(announcement.service, software, seen_ms)
            self.log_ended_start(announcement, seen_ms)
        changed = self.directory.record_announcement(announcement, seen_ms)
        if announcement.identity in self.silent and self.has_recovered(announcement):
            self.silent.discard(announcement.identity)
            changed = True
        if changed:
            age_ms = clock.now_ms() - seen_ms
            self.log_server(announcement, age_ms)
            self.publish(announcement, age_ms, to_peers)

    def log_ended_start(self, announcement, seen_ms):
        """Log that an announcement is ignored, if its start has ended."""
        held = self.directory.known.get(announcement.identity)
        if self.directory.is_start_ended(held, announcement, seen_ms):
            self.log.info(
                "registry: An announcement of a start that has ended is ignored.",
                server=announcement.identity,
                born=announcement.born_ms,
                sequence=announcement.sequence,
                ended_born=held.announcement.born_ms,
                ended_by=held.announcement.ended_by_ms,
                ended_ms_ago=seen_ms - held.last_seen_ms,
            )

    def has_recovered(self, announcement):
        """Return whether a silent server has announced itself again."""
        known = self.directory.known.get(announcement.identity)
        return known is not None and not self.directory.is_silent(known, clock.now_ms())

    def log_server(self, announcement, age_ms):
        """Log a change of a server."""
        self.log.info(
            "registry: A server changed.",
            server=announcement.identity,
            service=announcement.service,
            address=announcement.address,
            phase=str(announcement.phase),
            version=announcement.version,
            born=announcement.born_ms,
            ended_by=announcement.ended_by_ms,
            sequence=announcement.sequence,
            age_ms=age_ms,
        )

    def publish(self, announcement, age_ms, to_peers):
        """Send a change to the gateways and, if `to_peers`, to the control hosts."""
        record = to_record(announcement, age_ms)
        update = messages.Directory(False, (record,))
        self.publisher.send_to_subscribers(update)
        if to_peers:
            self.publisher.send_to_peers(update)

    def handle_directory(self, link, update):
        """Record the announcements that another control host received."""
        now_ms = clock.now_ms()
        for _, announcement, age_ms in valid_records(update, self.log):
            self.record_announcement(announcement, now_ms - age_ms, False)

    def snapshot(self):
        """Return all known servers as the message that is sent to gateways."""
        now_ms = clock.now_ms()
        records = []
        for identity, known in self.directory.known.items():
            record = to_record(known.announcement, now_ms - known.last_seen_ms)
            if identity in self.silent and record.phase == servers.ServerPhase.READY:
                record = dataclasses.replace(record, phase=servers.ServerPhase.SILENT)
            records.append(record)
        versions = tuple(
            messages.ServiceVersion(service, software, max(0, now_ms - seen_ms))
            for service, seen in self.versions.last_seen_ms.items()
            for software, seen_ms in seen.items()
        )
        history_ms = max(1, now_ms - self.complete_since_ms)
        return messages.Directory(
            self.is_complete, tuple(records), history_ms, versions
        )

    def detect_silent_servers(self, now_ms):
        """Mark servers whose announcements have stopped; report them to gateways."""
        for identity, known in self.directory.known.items():
            if identity in self.silent or known.phase is not servers.ServerPhase.READY:
                continue
            if self.directory.is_silent(known, now_ms):
                self.silent.add(identity)
                silent_announcement = dataclasses.replace(
                    known.announcement, phase=servers.ServerPhase.SILENT
                )
                self.log_server(silent_announcement, now_ms - known.last_seen_ms)
                self.publish(
                    silent_announcement, now_ms - known.last_seen_ms, to_peers=False
                )

    def share(self, now_ms):
        """Send announcements received since the last call to the control hosts."""
        recent_records = [
            to_record(known.announcement, now_ms - known.last_seen_ms)
            for known in self.directory.known.values()
            if known.last_seen_ms > self.last_shared_ms
        ]
        self.last_shared_ms = now_ms
        if not self.publisher.is_confirmed:
            self.complete_since_ms = now_ms
        self.versions.remove_expired(now_ms)
        if recent_records:
            self.publisher.send_to_peers(
                messages.Directory(False, tuple(recent_records))
            )
        self.drop_expired(now_ms)

    def drop_expired(self, now_ms):
        """Remove servers that have not announced themselves for a long time."""
        for known in self.directory.remove_expired(now_ms):
            age_ms = now_ms - known.last_seen_ms
            self.publish(with_gone_phase(known.announcement), age_ms, to_peers=False)
        self.silent &= set(self.directory.known)


def to_record(announcement, age_ms):
    """Return the message record of an announcement."""
    return messages.ServerRecord(
        announcement.identity,
        announcement.service,
        announcement.address,
        announcement.data_centre,
        str(announcement.phase),
        announcement.born_ms or 0,
        announcement.sequence,
        announcement.slots,
        announcement.cold_ms,
        age_ms,
        announcement.version,
        announcement.ended_by_ms or 0,
        announcement.is_contested,
    )


def to_announcement(record):
    """Return the announcement in a message record, where 0 is an unknown time."""
    phase = servers.ServerPhase(record.phase)
    is_gone = phase is servers.ServerPhase.GONE
    return servers.Announcement(
        record.identity,
        record.service,
        record.address,
        record.data_centre,
        phase,
        (record.born_ms or None) if is_gone else record.born_ms,
        record.sequence,
        record.slots,
        record.cold_ms,
        record.version,
        record.ended_by_ms or None,
        record.is_contested,
    )


def valid_records(update, log):
    """Yield the valid records of a `messages.Directory`, and log the others.

    Each comes with its announcement and with its age in milliseconds. Those that are
    older than servers are kept for have the same effect, whatever their age.
    """
    for record in update.records:
        try:
            announcement = to_announcement(record)
            servers.check_announcement(announcement)
        except (ValueError, errors.BadRequest) as error:
            log.error(
                "registry: A record of a server is not valid and is ignored.",
                server=record.identity,
                reason=str(error),
            )
            continue
        yield record, announcement, min(max(0, record.age_ms), MAX_AGE_MS)


def with_gone_phase(announcement):
    """Return a copy of an announcement with the phase `GONE`."""
    return dataclasses.replace(announcement, phase=servers.ServerPhase.GONE)


def with_ready_phase(announcement):
    """Return a copy of an announcement with the phase `READY`."""
    return dataclasses.replace(announcement, phase=servers.ServerPhase.READY)
