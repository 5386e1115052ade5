"""Tests of a replica whose disk writes fail, with a real folder and real time.

Also tests that the hub logs tasks that fail.
"""

import asyncio
import errno
import tempfile
import unittest
from unittest import mock

import structlog

from brasstrail.coordination import replica
from brasstrail.core import errors
from brasstrail.protocol import codec, commands
from brasstrail.roles import hub, replication
from brasstrail.settings import settings
from brasstrail.state import files
from brasstrail.tools import ports

PORTS = ports.PortAllocator()
SNAPSHOT_EVERY = 3
WAIT_TIMEOUT_S = 5.0


class FailingFiles(files.Files):
    """A disk on which putting a file in place can be made to fail."""

    fails = False
    append_errors = 0

    def append(self, file, content):
        if self.append_errors:
            self.append_errors -= 1
            raise errors.DiskFailed("The device is full.", "Free space.")
        super().append(file, content)

    def replace(self, path, chunk):
        if self.fails:
            raise errors.DiskFailed("The device is full.", "Free space.")
        super().replace(path, chunk)


class SnapshotTest(unittest.IsolatedAsyncioTestCase):
    """Snapshots on a disk that is temporarily full."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        loaded = settings.Settings(
            settings.Node("c", ("control",), "one", "east", peer_port=PORTS.allocate()),
            settings.Cluster("c", "a-secret-of-16-letters", ()),
            control=settings.ControlRole(
                folder.name, snapshot_every=SNAPSHOT_EVERY, initial_replicas=("c",)
            ),
        )
        log = structlog.wrap_logger(None, processors=[drop_line])
        self.hub = hub.Hub(loaded, 1, log)
        self.addCleanup(self.hub.close)
        self.applied = []
        self.replication = replication.Replication(
            self.hub, lambda entry, outcome: self.applied.append(entry), lambda _: None
        )
        self.disk = FailingFiles()
        self.replication.journal.disk = self.disk
        self.replication.start()
        self.addCleanup(self.replication.close)
        await self.wait_until(lambda: self.replication.is_leader)

    async def wait_until(self, check):
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not check():
                await asyncio.sleep(0.01)

    async def commit(self, version):
        """Commit one document and wait until it is applied."""
        command = commands.ReplaceDocument(version, b"packed")
        count = len(self.applied)
        self.replication.propose(codec.encode(codec.COMMAND, command))
        await self.wait_until(lambda: len(self.applied) > count)

    async def test_failed_snapshot_write_is_retried_while_replica_continues(self):
        """A failed snapshot write once stopped the replica for good.

        Found by the soak test with seed 4.
        """
        self.disk.fails = True
        for version in range(1, 2 * SNAPSHOT_EVERY):
            await self.commit(version)
        self.assertIsNone(self.replication.failed)
        self.assertEqual(self.replication.journal.snapshot_paths(), [])
        self.disk.fails = False
        await self.commit(100)
        await self.wait_until(self.replication.journal.snapshot_paths)
        self.assertEqual(self.replication.machine.document.version, 100)


class RefusingDiskTest(SnapshotTest):
    """A disk that refuses more than the writes of the log."""

    async def test_replica_goes_on_after_a_disk_that_refuses_to_remove_files(self):
        """Guards against changes that stay unanswered once a disk has room again."""
        error = OSError(errno.ENOSPC, "No space left on device")
        with mock.patch("pathlib.Path.unlink", side_effect=error) as unlink:
            for version in range(1, 4 * SNAPSHOT_EVERY):
                await self.commit(version)
            self.assertTrue(unlink.called)
        await self.commit(4 * SNAPSHOT_EVERY)
        self.assertIsNone(self.replication.failed)

    async def test_replica_goes_on_after_a_segment_that_cannot_be_closed(self):
        """Guards against the same where the disk fails when a file is closed."""
        stack = self.replication.journal.exit_stack
        close = stack.close
        error = OSError(errno.ENOSPC, "No space left on device")
        outcomes = iter((error, error))

        def fail_to_close():
            close()
            if outcome := next(outcomes, None):
                raise outcome

        stack.close = fail_to_close
        self.disk.append_errors = 1
        await self.commit(1)
        await self.commit(2)
        self.assertIsNone(next(outcomes, None))
        self.assertIsNone(self.replication.failed)


class LeftRecordsTest(SnapshotTest):
    """Records whose identity was moved aside before the process ended."""

    async def test_records_without_an_identity_are_not_read(self):
        """Guards against a new replica that begins with the records of another one."""
        await self.commit(7)
        self.replication.close()
        self.replication.journal.identity_path.unlink()
        restarted = replication.Replication(self.hub, print, print)
        self.addCleanup(restarted.close)
        restarted.load()
        self.assertIs(restarted.replica.phase, replica.Phase.BLANK)
        self.assertEqual(restarted.machine.document.version, 0)
        self.assertEqual(restarted.journal.load().entries, ())

    test_failed_snapshot_write_is_retried_while_replica_continues = None


class LogSizeTest(SnapshotTest):
    """The log of a replica with the default settings, and large documents."""

    DOCUMENT_BYTES = 100_000
    CHANGES = 150
    # A thirtieth of the memory of the users' smallest host, a thirteenth of its disk.
    MAX_LOG_BYTES = 5_000_000

    # Guards against a log that keeps hundreds of large documents: memory and disk of a
    # control host fill up, and a replica without a disk has to be sent them all.
    async def test_log_is_compacted_by_its_size(self):
        self.replication.settings = settings.ControlRole(
            self.replication.settings.data_folder, initial_replicas=("c",)
        )
        for version in range(1, self.CHANGES + 1):
            command = commands.ReplaceDocument(version, bytes(self.DOCUMENT_BYTES))
            count = len(self.applied)
            self.replication.propose(codec.encode(codec.COMMAND, command))
            await self.wait_until(lambda count=count: len(self.applied) > count)
        await self.wait_until(lambda: self.log_bytes() <= self.MAX_LOG_BYTES)
        self.assertEqual(self.replication.machine.document.version, self.CHANGES)

    def log_bytes(self):
        """Return the bytes of the commands in the log."""
        entries = self.replication.replica.raft.log.entries
        return sum(len(entry.command) for entry in entries)

    test_failed_snapshot_write_is_retried_while_replica_continues = None


class HubTaskTest(unittest.IsolatedAsyncioTestCase):
    """Tasks of the hub that end with an unexpected exception."""

    async def test_failed_task_is_logged(self):
        lines = []
        log = structlog.wrap_logger(
            None, processors=[lambda _, __, event: lines.append(event) or drop()]
        )
        loaded = settings.Settings(
            settings.Node("c", ("control",), "one", "east", peer_port=PORTS.allocate()),
            settings.Cluster("c", "a-secret-of-16-letters", ()),
        )
        tested_hub = hub.Hub(loaded, 1, log)
        self.addCleanup(tested_hub.close)

        async def fail():
            raise ValueError("a fault")

        tested_hub.spawn(fail())
        await asyncio.sleep(0.01)
        self.assertIn("a fault", lines[0]["reason"])


def drop_line(logger, method, event):
    """Discard a log line; a structlog processor."""
    drop()


def drop():
    """Make structlog discard the present line."""
    raise structlog.DropEvent


if __name__ == "__main__":
    unittest.main()
