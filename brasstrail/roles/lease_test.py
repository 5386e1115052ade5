"""Tests of a gateway's lease, on clocks that the test turns."""

import asyncio
import unittest
import unittest.mock

from brasstrail.core import clock
from brasstrail.roles import lease

LASTS_MS = 4500


class LeaseTest(unittest.IsolatedAsyncioTestCase):
    """A lease from the start of a process on."""

    def setUp(self):
        self.now_ms = 1_000_000
        for name in ("now_ms", "boot_ms"):
            patched = unittest.mock.patch.object(clock, name, lambda: self.now_ms)
            patched.start()
            self.addCleanup(patched.stop)
        self.lease = lease.Lease(LASTS_MS)

    def test_without_a_beat_there_is_none(self):
        self.assertFalse(self.lease.holds)
        self.assertFalse(self.lease.is_fresh)
        self.assertIsNone(self.lease.age_ms)

    def test_it_counts_from_the_sending_of_the_beat(self):
        """Bytes held up on the way, or a frozen process, do not lengthen it."""
        sent_ms = self.now_ms
        self.now_ms += LASTS_MS - 1
        self.lease.renew(sent_ms)
        self.assertTrue(self.lease.holds)
        self.now_ms += 1
        self.assertFalse(self.lease.holds)

    def test_an_earlier_beat_that_comes_later_changes_nothing(self):
        self.lease.renew(self.now_ms)
        self.lease.renew(self.now_ms - LASTS_MS)
        self.assertEqual(self.lease.age_ms, 0)

    def test_callers_are_asked_for_by_a_fresh_one_only(self):
        self.lease.renew(self.now_ms - lease.READY_AGE_MS + 1)
        self.assertTrue(self.lease.is_fresh)
        self.now_ms += 1
        self.assertFalse(self.lease.is_fresh)
        self.assertTrue(self.lease.holds)

    def test_it_is_expected_after_a_start_and_when_just_lost(self):
        self.assertTrue(self.lease.is_expected)
        self.now_ms += lease.START_MS
        self.assertFalse(self.lease.is_expected)
        self.lease.renew(self.now_ms)
        self.now_ms += LASTS_MS + lease.START_MS - 1
        self.assertTrue(self.lease.is_expected)
        self.now_ms += 1
        self.assertFalse(self.lease.is_expected)

    async def test_all_who_wait_go_on_and_nobody_is_kept(self):
        waits = [asyncio.ensure_future(self.lease.wait(60_000)) for _ in range(3)]
        await asyncio.sleep(0)
        self.assertEqual(len(self.lease.waiting), 3)
        waits[0].cancel()
        self.lease.wake()
        await asyncio.gather(*waits[1:])
        await asyncio.sleep(0)
        self.assertEqual(self.lease.waiting, set())

    async def test_a_wait_has_an_end(self):
        await self.lease.wait(1)
        self.assertEqual(self.lease.waiting, set())


if __name__ == "__main__":
    unittest.main()
