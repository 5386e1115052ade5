"""Tests of the operators' document."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from brasstrail.core import errors
from brasstrail.protocol import codec, commands, messages
from brasstrail.state import documents, machine
from brasstrail.tools import fuzzing


class DocumentTest(unittest.TestCase):
    """Replacement in any order, restoring from snapshots, and damaged documents."""

    @settings(fuzzing.SETTINGS, max_examples=100)
    @given(st.lists(st.tuples(st.integers(1, 9), st.binary(max_size=8)), max_size=12))
    def test_first_content_of_the_highest_version_is_kept(self, documents_sent):
        state = machine.Machine()
        expected = (0, b"")
        for index, (version, body) in enumerate(documents_sent, 1):
            command = commands.ReplaceDocument(version, documents.pack(body))
            payload = codec.encode(codec.COMMAND, command)
            state.apply(messages.Entry(index, 1, payload))
            if version > expected[0]:
                expected = (version, documents.pack(body))
            if index % 3 == 0:
                encoded_state = state.dump()
                state = machine.Machine()
                state.restore(encoded_state)
        self.assertEqual((state.document.version, state.document.packed), expected)

    def test_unpack_restores_the_packed_document(self):
        body = b'{"version": 1, "unknown": [1, 2]}'
        self.assertEqual(documents.unpack(documents.pack(body)), body)

    def test_damaged_document_raises_bad_request(self):
        for packed in (b"", b"nothing", documents.pack(b"x" * 100)[:-2]):
            with self.assertRaises(errors.BadRequest):
                documents.unpack(packed)


if __name__ == "__main__":
    unittest.main()
