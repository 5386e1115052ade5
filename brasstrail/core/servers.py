"""What backend servers say of themselves, as plain records."""

import dataclasses
import enum


class ServerPhase(enum.StrEnum):
    """How a backend server stands towards new work."""

    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True)
class Announcement:
    """One announcement of a backend server.

    `born_ms` is the time of day at which the server started, and orders the
    starts of one identity or one address; `sequence` orders the announcements of
    one start. `cold_ms` is how much longer the server stays slow after its start.
    """

    identity: str
    service: str
    address: str
    data_centre: str
    phase: ServerPhase
    born_ms: int
    sequence: int
    slots: int = 1
    cold_ms: float = 0.0

    @property
    def sort_key(self):
        """What decides which of two announcements is the later one."""
        return (self.born_ms, self.sequence)


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """What an answer said of its server's load."""

    running: int
    waiting: int
    slots: int
