"""Where streams began: the service and the software that made their first events.

A stream may go on only at servers of the software that began it, also when its caller
takes it up at another gateway. `OriginTable` holds what a gateway knows of its own
streams and of those that other gateways have told it. `VersionHistory` tells whether a
service had one software only, so that nothing else can have begun a stream. Both use
neither sockets nor clocks.
"""

import collections
import dataclasses
import hashlib
import heapq
import itertools

# Streams in a gateway's table. A full table drops the oldest ones of the workspace that
# has the most.
MAX_STREAMS = 16_384
EVICTED_FRACTION = 1 / 16
# How long a version that was seen of a service counts as one that may have begun a
# stream.
VERSION_MEMORY_MS = 3_600_000
# Length of the key of a stream in bytes: two of a million streams have equal keys with
# a probability of about 1 in 10 million.
KEY_BYTES = 8
# The software of a stream that is not known for certain.
UNCERTAIN = ""


def stream_key(workspace, content, attempt_id):
    """Return the key of a stream, as hex text.

    Parameters
    ----------
    content : `calls.digest_content` of the request, the same in all attempts.
    attempt_id : the id of the attempt that brought the stream's first event.
    """
    text = "\0".join((workspace, content, attempt_id))
    return hashlib.blake2b(text.encode(), digest_size=KEY_BYTES).hexdigest()


@dataclasses.dataclass(frozen=True)
class Origin:
    """Where a stream began.

    `software` is a `servers.Announcement.software`, or `UNCERTAIN`. `begun_ms` is when
    the first event was passed on, and `expires_ms` until when the stream may be taken
    up, both on the gateway's own clock.
    """

    workspace: str
    service: str
    software: str
    begun_ms: int
    expires_ms: int


class OriginTable:
    """The origins of streams by key.

    Attributes
    ----------
    by_key : `Origin` by the key of the stream.
    keys_by_workspace : the keys of each workspace, the oldest first.
    expiries : a heap of (expires_ms, key); it may hold keys that were removed.
    """

    def __init__(self):
        self.by_key = {}
        self.keys_by_workspace = {}
        self.expiries = []

    def add(self, key, origin):
        """Add the origin of a stream; return whether it changes the table.

        Two origins of one stream that differ make it uncertain.
        """
        known = self.by_key.get(key)
        if known is not None:
            is_same = (known.service, known.software) == (
                origin.service,
                origin.software,
            )
            if is_same or known.software == UNCERTAIN:
                return False
            origin = dataclasses.replace(known, software=UNCERTAIN)
        self.by_key[key] = origin
        if known is None:
            self.keys_by_workspace.setdefault(origin.workspace, {})[key] = None
            self.push_expiry(key, origin)
            if len(self.by_key) > MAX_STREAMS:
                self.evict()
        return True

    def push_expiry(self, key, origin):
        """Record when a stream expires; forget those of removed streams at times."""
        heapq.heappush(self.expiries, (origin.expires_ms, key))
        if len(self.expiries) > 2 * MAX_STREAMS:
            self.expiries = [
                (each.expires_ms, key) for key, each in self.by_key.items()
            ]
            heapq.heapify(self.expiries)

    def find(self, key, now_ms):
        """Return the origin of a stream, or None if it is unknown or has expired."""
        origin = self.by_key.get(key)
        return None if origin is None or origin.expires_ms < now_ms else origin

    def remove(self, key):
        """Remove a stream."""
        origin = self.by_key.pop(key)
        keys = self.keys_by_workspace[origin.workspace]
        del keys[key]
        if not keys:
            del self.keys_by_workspace[origin.workspace]

    def evict(self):
        """Remove the oldest streams of the workspace that has the most."""
        largest = max(self.keys_by_workspace.values(), key=len)
        count = max(1, int(EVICTED_FRACTION * len(largest)))
        for key in list(itertools.islice(largest, count)):
            self.remove(key)

    def remove_expired(self, now_ms):
        """Remove the streams that can no longer be taken up."""
        while self.expiries and self.expiries[0][0] < now_ms:
            _, key = heapq.heappop(self.expiries)
            if key in self.by_key and self.by_key[key].expires_ms < now_ms:
                self.remove(key)


class VersionHistory:
    """Which software the servers of each service had, and since when that is known.

    Attributes
    ----------
    last_seen_ms : when a software was last seen, by service and software.
    known_since_ms : the time from which on no software of a service was missed, or None
        if nothing is known for certain.
    """

    def __init__(self):
        self.last_seen_ms = collections.defaultdict(dict)
        self.known_since_ms = None

    def record(self, service, software, seen_ms):
        """Record that a server of a service had a software at a time."""
        seen = self.last_seen_ms[service]
        seen[software] = max(seen_ms, seen.get(software, seen_ms))

    def has_one_software(self, service):
        """Return whether one software only has been seen of a service."""
        return len(self.last_seen_ms.get(service, ())) == 1

    def record_list(self, since_ms, last_complete_ms):
        """Record that all servers since a time have been listed.

        `last_complete_ms` is the time until which none had been missed before, or None.
        """
        if self.known_since_ms is not None and last_complete_ms is not None:
            if since_ms <= last_complete_ms:
                return
        self.known_since_ms = since_ms

    def sole_software(self, service, since_ms, now_ms):
        """Return the only software that a service had, or None if that is not certain.

        What is known must reach back to `since_ms`. All software that was seen within
        `VERSION_MEMORY_MS` counts.
        """
        if self.known_since_ms is None or self.known_since_ms > since_ms:
            return None
        seen = self.last_seen_ms.get(service, {})
        recent = [
            software
            for software, seen_ms in seen.items()
            if now_ms - seen_ms <= VERSION_MEMORY_MS
        ]
        return recent[0] if len(recent) == 1 else None

    def remove_expired(self, now_ms):
        """Remove the software that was seen too long ago to have begun a stream."""
        for service, seen in list(self.last_seen_ms.items()):
            for software, seen_ms in list(seen.items()):
                if now_ms - seen_ms > VERSION_MEMORY_MS:
                    del seen[software]
            if not seen:
                del self.last_seen_ms[service]
