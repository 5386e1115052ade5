"""Tests of the documents that a gateway reads, without a network."""

import unittest
from unittest import mock

import orjson

from brasstrail.fakes import memory
from brasstrail.protocol import messages
from brasstrail.roles import crashes_test
from brasstrail.state import documents


def make_message(version):
    """Return a document as a control host sends it."""
    body = orjson.dumps({**crashes_test.DOCUMENT, "version": version})
    return messages.Document(version, documents.pack(body))


class DocumentReaderTest(unittest.IsolatedAsyncioTestCase):
    """A gateway that receives documents."""

    async def test_document_that_cannot_be_read_does_not_keep_later_ones_out(self):
        """Guards against a gateway that never reads a document again."""
        gateway = memory.Platform(crashes_test.DOCUMENT, 1).gateways["g0"]
        held = gateway.document_version
        for error in (RecursionError("deep"), OverflowError("large")):
            with mock.patch.object(gateway.dialect, "catalog_steps", side_effect=error):
                gateway.apply_document(make_message(held + 1))
            self.assertEqual(gateway.document_version, held)
        gateway.apply_document(make_message(held + 2))
        self.assertEqual(gateway.document_version, held + 2)


class DatagramTest(unittest.IsolatedAsyncioTestCase):
    """Two gateways, of which one sends a state that the other cannot use."""

    async def test_error_in_one_datagram_does_not_reach_requests(self):
        platform = memory.Platform(crashes_test.DOCUMENT, 2)
        platform.add_servers("s", 1)
        receiver = platform.gateways["g1"]
        with mock.patch.object(receiver, "apply_peer_state", side_effect=KeyError("w")):
            platform.exchange()
            receiver.gossip.apply_all_pending()
            connection = await platform.call("g1", "/safe/1")
        self.assertEqual(connection.status, 200)


if __name__ == "__main__":
    unittest.main()
