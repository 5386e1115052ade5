"""Announcements and load reports of backend servers, as plain records."""

import dataclasses
import enum

from brasstrail.core import bounds


class ServerPhase(enum.StrEnum):
    """Whether a backend server is available for new work.

    A leaving server finishes its requests and accepts no new ones. A gone server has
    ended. Servers do not announce themselves as silent: it is the phase that is
    reported for one whose announcements have stopped.
    """

    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True)
class Announcement:
    """One announcement of a backend server.

    `born_ms` is the wall-clock time at which the server started. It orders the
    starts of one identity or one address, and `sequence` orders the announcements
    of one start. `cold_ms` is how much longer the server is slow because it
    started recently. `version` is that of the server's software, or empty if the
    announcement does not state it; one start has one version.

    The end of a server may state no start: `born_ms` is then the latest start that is
    known, or None, and `ended_by_ms` the wall-clock time by which the server ended.
    Starts until then have ended; whether one that began soon before it has is
    uncertain, since clocks differ.

    A server `is_contested` if another one announces itself at its address, too. One
    that is ready takes that address from nobody; one that is gone has not said so
    itself, but was replaced, and may announce itself again.
    """

    identity: str
    service: str
    address: str
    data_centre: str
    phase: ServerPhase
    born_ms: int | None
    sequence: int
    slots: int = 1
    cold_ms: float = 0.0
    version: str = ""
    ended_by_ms: int | None = None
    is_contested: bool = False

    @property
    def software(self):
        """What identifies the software of the server.

        It is the version; a start that does not state one is equal to itself only.
        """
        return self.version or f"{self.identity}@{self.born_ms}"

    @property
    def sort_key(self):
        """The key that orders announcements; a later one has a larger key."""
        return (self.born_ms, self.sequence)


def make_end(identity, born_ms):
    """Return the announcement that a start of a server has ended.

    `born_ms` is None if it is not known which start has.
    """
    return Announcement(identity, "", "", "", ServerPhase.GONE, born_ms, 0)


def check_announcement(announcement):
    """Raise `errors.BadRequest` unless an announcement can be sent on and used.

    That of a server that is gone states its identity and, if known, its start only.
    """
    is_gone = announcement.phase is ServerPhase.GONE
    bounds.check_header_text("The identity", announcement.identity)
    if announcement.born_ms is not None or not is_gone:
        bounds.check_integer("The time of the start", announcement.born_ms)
    if announcement.ended_by_ms is not None:
        bounds.check_integer("The time of the end", announcement.ended_by_ms)
    bounds.check_integer("The sequence", announcement.sequence)
    if is_gone and not announcement.address:
        return
    bounds.split_address(announcement.address)
    bounds.check_name("The service", announcement.service)
    bounds.check_name("The data centre", announcement.data_centre)
    if announcement.version:
        bounds.check_name("The version", announcement.version)
    bounds.check_integer("The number of slots", announcement.slots, 1)
    bounds.check_number("The time of slowness", announcement.cold_ms)


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """The load of a backend server, as reported in an answer.

    `host_factor` is how long work takes on the server's host at this moment, relative
    to the usual time: 1.0 is as usual, 2.0 takes twice as long. It is None if the
    server does not tell it.
    """

    running: int
    waiting: int
    slots: int
    host_factor: float | None = None
