"""Tests of the codec and of the generated schema."""

import dataclasses
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from brasstrail.core import data, errors
from brasstrail.protocol import codec, messages, schema
from brasstrail.tools import fuzzing

TEXTS = st.text(max_size=12)
INTEGERS = st.integers(-(2**63), 2**63 - 1)
SCALAR_STRATEGIES = {
    int: INTEGERS,
    float: st.floats(allow_nan=False),
    str: TEXTS,
    bytes: st.binary(max_size=20),
    bool: st.booleans(),
}


def value_strategy(annotation):
    """Return a Hypothesis strategy for values of a field's type."""
    item = schema.item_type(annotation)
    if item is not None:
        return st.lists(value_strategy(item), max_size=3).map(tuple)
    unwrapped = schema.unwrap_optional(annotation)
    if dataclasses.is_dataclass(unwrapped):
        inner = record_strategy(unwrapped)
        return inner if unwrapped is annotation else st.none() | inner
    return SCALAR_STRATEGIES[unwrapped]


def record_strategy(record):
    """Return a Hypothesis strategy for values of a record type."""
    fields = [value_strategy(field.type) for field in dataclasses.fields(record)]
    return st.builds(record, *fields)


class CodecTest(unittest.TestCase):
    """Round trips keep every value, and invalid bytes raise `errors.BadRequest`."""

    def test_schema_file_is_current(self):
        self.assertEqual(schema.SCHEMA_PATH.read_text(), schema.generate())

    @settings(fuzzing.SETTINGS, max_examples=200)
    @given(st.data())
    def test_round_trip(self, draw):
        union = draw.draw(st.sampled_from(sorted(schema.UNIONS)))
        record = draw.draw(st.sampled_from(schema.UNIONS[union]))
        value = draw.draw(record_strategy(record))
        self.assertEqual(codec.decode(union, codec.encode(union, value)), value)

    @settings(fuzzing.SETTINGS, max_examples=200)
    @given(st.binary(max_size=80))
    def test_random_bytes_raise_only_bad_request(self, payload):
        try:
            codec.decode(codec.MESSAGE, payload)
        except errors.BadRequest:
            pass

    def test_absent_optional_record_decodes_to_none(self):
        record = data.Execution("w", "k", b"d", "received", 5)
        result = schema.commands.ExecutionResult(True, record)
        payload = codec.encode(codec.RESULT, result)
        self.assertEqual(codec.decode(codec.RESULT, payload), result)

    def test_truncated_message_is_rejected(self):
        payload = codec.encode(codec.MESSAGE, messages.Grant("x"))
        with self.assertRaises(errors.BadRequest):
            codec.decode(codec.MESSAGE, payload[:12])


if __name__ == "__main__":
    unittest.main()
