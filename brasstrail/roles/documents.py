"""Reads the documents that arrive at a gateway, without holding its requests up.

A document with thousands of routes takes longer to decode than a request may wait. Only
its first steps are taken at once; the rest is decoded in a task, between requests. Of
the documents that arrive meanwhile only the newest is read.
"""

import asyncio

from brasstrail.core import clock, errors
from brasstrail.state import documents

# Steps that are taken at once, each of a few milliseconds: enough for small documents.
STEPS_AT_ONCE = 3


class DocumentReader:
    """Decodes documents one at a time, and puts them in force at a gateway.

    Parameters
    ----------
    gateway : `gateway.Gateway`.

    Attributes
    ----------
    current : the `messages.Document` that is being decoded, or None.
    waiting : the newest document that has arrived since, or None.
    """

    def __init__(self, gateway):
        self.gateway = gateway
        self.log = gateway.log
        self.current = None
        self.waiting = None
        self.steps = None
        self.started_ms = 0

    @property
    def is_reading(self):
        """Whether a document is being decoded."""
        return self.current is not None

    def add(self, document):
        """Read a document, unless a newer one is in force or being read."""
        known = [self.gateway.document_version]
        known += [each.version for each in (self.current, self.waiting) if each]
        if document.version <= max(known):
            return
        if self.is_reading:
            self.waiting = document
            return
        self.begin(document)
        for _ in range(STEPS_AT_ONCE):
            if not self.step():
                return
        self.gateway.hub.spawn(self.run())

    def begin(self, document):
        """Begin to decode a document."""
        self.current, self.waiting = document, None
        self.steps = None
        self.started_ms = clock.now_ms()

    async def run(self):
        """Decode the document to its end, and then those that have arrived."""
        while self.is_reading:
            await asyncio.sleep(0)
            self.step()

    def log_unreadable(self, reason):
        """Log that the document is not put in force."""
        self.log.error(
            "gateway: A document could not be decoded.",
            version=self.current.version,
            reason=reason,
        )

    def step(self):
        """Take one step; return whether there is more to decode."""
        try:
            if self.steps is None:
                body = documents.unpack(self.current.packed)
                self.steps = self.gateway.dialect.catalog_steps(body)
            next(self.steps)
        except StopIteration as end:
            decode_ms = clock.now_ms() - self.started_ms
            self.gateway.use_document(self.current.version, end.value, decode_ms)
        except errors.BrasstrailError as error:
            self.log_unreadable(str(error))
        except Exception as error:
            # Whatever failed: later documents must be read.
            self.log_unreadable(repr(error))
        else:
            return True
        version, self.current = self.current.version, None
        self.gateway.subscription.report_document(version)
        if self.waiting is not None:
            self.begin(self.waiting)
        return self.is_reading
