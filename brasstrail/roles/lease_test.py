"""Tests of a gateway's lease, on clocks that the test sets."""

import asyncio
import unittest
import unittest.mock

from brasstrail.core import clock
from brasstrail.roles import lease

DURATION_MS = 4500


class LeaseTest(unittest.IsolatedAsyncioTestCase):
    """The states of a lease from process startup to expiry, and waiting for it."""

    def setUp(self):
        self.now_ms = 1_000_000
        for name in ("now_ms", "boot_ms"):
            patched = unittest.mock.patch.object(clock, name, lambda: self.now_ms)
            patched.start()
            self.addCleanup(patched.stop)
        self.lease = lease.Lease(DURATION_MS)

    def test_no_lease_before_first_renewal(self):
        self.assertFalse(self.lease.is_valid)
        self.assertFalse(self.lease.is_fresh)
        self.assertIsNone(self.lease.age_ms)

    def test_lease_counts_from_sending_of_heartbeat(self):
        """Neither network delay nor a frozen process extends the lease."""
        sent_ms = self.now_ms
        self.now_ms += DURATION_MS - 1
        self.lease.renew(sent_ms)
        self.assertTrue(self.lease.is_valid)
        self.now_ms += 1
        self.assertFalse(self.lease.is_valid)

    def test_older_heartbeat_does_not_shorten_lease(self):
        self.lease.renew(self.now_ms)
        self.lease.renew(self.now_ms - DURATION_MS)
        self.assertEqual(self.lease.age_ms, 0)

    def test_lease_is_fresh_until_max_ready_age(self):
        self.lease.renew(self.now_ms - lease.MAX_READY_AGE_MS + 1)
        self.assertTrue(self.lease.is_fresh)
        self.now_ms += 1
        self.assertFalse(self.lease.is_fresh)
        self.assertTrue(self.lease.is_valid)

    def test_lease_is_expected_after_startup_and_after_expiry(self):
        self.assertTrue(self.lease.is_expected)
        self.now_ms += lease.STARTUP_MS
        self.assertFalse(self.lease.is_expected)
        self.lease.renew(self.now_ms)
        self.now_ms += DURATION_MS + lease.STARTUP_MS - 1
        self.assertTrue(self.lease.is_expected)
        self.now_ms += 1
        self.assertFalse(self.lease.is_expected)

    async def test_wake_releases_all_waiters(self):
        waits = [asyncio.ensure_future(self.lease.wait(60_000)) for _ in range(3)]
        await asyncio.sleep(0)
        self.assertEqual(len(self.lease.waiting), 3)
        waits[0].cancel()
        self.lease.wake_waiters()
        await asyncio.gather(*waits[1:])
        await asyncio.sleep(0)
        self.assertEqual(self.lease.waiting, set())

    async def test_wait_times_out(self):
        await self.lease.wait(1)
        self.assertEqual(self.lease.waiting, set())


if __name__ == "__main__":
    unittest.main()
