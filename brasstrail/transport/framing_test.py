"""Tests of the decoding of bodies in chunks."""

import unittest

from tornado import httputil

from brasstrail.transport import framing

BODY = b"3\r\nabc\r\n1\r\nx\r\n0\r\n\r\n"


class ChunkDecoderTest(unittest.TestCase):
    """Bodies that arrive in any parts."""

    def test_body_is_the_same_wherever_it_is_split(self):
        """Guards against content that is lost or doubled between two reads."""
        for first in range(len(BODY)):
            for second in range(first, len(BODY)):
                decoder = framing.ChunkDecoder()
                parts = BODY[:first], BODY[first:second], BODY[second:] + b"next"
                content = b"".join(decoder.feed(part) for part in parts)
                self.assertEqual((content, decoder.rest), (b"abcx", b"next"))
                self.assertTrue(decoder.is_done)

    def test_bytes_that_are_no_chunks_are_refused(self):
        """Guards against framing that two readers could understand differently."""
        for sent in (
            b"g\r\n",
            b"+3\r\n",
            b"3;a=b\r\n",
            b"3\r\nabcde",
            b"0\r\na:",
            b"\r\n",
        ):
            with self.assertRaises(httputil.HTTPInputError, msg=sent):
                framing.ChunkDecoder().feed(sent)
        with self.assertRaises(httputil.HTTPInputError):
            framing.ChunkDecoder().feed(b"0" * framing.MAX_SIZE_LINE_BYTES)
