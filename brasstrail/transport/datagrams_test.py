"""Tests of the datagram socket."""

import asyncio
import unittest

from brasstrail.transport import datagrams

LOCAL_ADDRESS = ("127.0.0.1", 0)


class DatagramSocketTest(unittest.IsolatedAsyncioTestCase):
    """Two sockets on the loopback address."""

    async def asyncSetUp(self):
        self.received = []
        self.loop = asyncio.get_running_loop()
        self.reads = self.batches = 0
        self.target = self.open(self.record)
        self.source = self.open(self.record)
        self.address = self.target.socket.getsockname()

    def open(self, receive):
        opened = datagrams.DatagramSocket(
            self.loop, LOCAL_ADDRESS, receive, self.count_batch
        )
        self.addCleanup(opened.close)
        return opened

    def count_batch(self):
        self.batches += 1

    def record(self, payload, address):
        self.received.append((payload, address))

    async def wait_for(self, count):
        """Wait until a number of datagrams has been received."""
        while len(self.received) < count:
            await asyncio.sleep(0)

    async def test_datagrams_arrive_in_order_with_their_source(self):
        for number in range(20):
            self.source.sendto(bytes([number]), self.address)
        await self.wait_for(20)
        source = self.source.socket.getsockname()
        expected = [(bytes([number]), source) for number in range(20)]
        self.assertEqual(self.received, expected)

    async def test_many_datagrams_cost_few_wake_ups(self):
        """Guards against a turn of the event loop for each datagram of a fleet."""
        read = self.target.read
        self.target.unwatch()

        def count_and_read():
            self.reads += 1
            read()

        self.target.read = count_and_read
        self.target.watch()
        for number in range(100):
            self.source.sendto(b"x", self.address)
        await self.wait_for(100)
        self.assertLessEqual(self.reads, 3)
        self.assertEqual(self.batches, self.reads)

    async def test_socket_is_watched_again_after_a_pause(self):
        self.source.sendto(b"first", self.address)
        await self.wait_for(1)
        while not self.target.is_watched:
            await asyncio.sleep(datagrams.READ_INTERVAL_S)
        self.source.sendto(b"second", self.address)
        await self.wait_for(2)

    async def test_reading_goes_on_after_an_error_in_the_receiver(self):
        """Guards against a gateway that hears nothing more after one bad datagram."""
        errors = []
        self.loop.set_exception_handler(lambda loop, details: errors.append(details))

        def fail_once(payload, address):
            self.record(payload, address)
            if len(self.received) == 1:
                raise ValueError("bad datagram")

        self.target.receive = fail_once
        self.source.sendto(b"first", self.address)
        self.source.sendto(b"second", self.address)
        await self.wait_for(2)
        self.assertEqual(len(errors), 1)

    async def test_datagram_that_cannot_be_sent_is_counted(self):
        self.source.sendto(b"x" * 70_000, self.address)
        self.assertEqual(self.source.unsent, 1)

    async def test_closed_socket_reads_and_sends_nothing(self):
        self.source.sendto(b"x", self.address)
        await self.wait_for(1)
        self.target.close()
        self.target.close()
        self.assertTrue(self.target.is_closing())
        self.target.sendto(b"x", self.address)
        self.assertEqual(self.target.unsent, 1)

    async def test_address_in_use_is_an_error(self):
        with self.assertRaises(OSError):
            datagrams.DatagramSocket(
                self.loop, self.address, self.record, self.count_batch
            )


if __name__ == "__main__":
    unittest.main()
