"""Tests of announcements that another writer has sent."""

import asyncio
import unittest

import hypothesis
import orjson
from hypothesis import strategies
from tornado import httputil

from brasstrail.core import calls, errors
from brasstrail.platform import announcements, headers
from brasstrail.protocol import codec, messages
from brasstrail.roles import registry
from brasstrail.tools import fuzzing
from brasstrail.transport import upstream

VALID = {
    "service": "s",
    "address": "127.0.0.1:9",
    "zone": "east",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 2,
    "born": 7,
}
CALL = calls.Call("GET", "/", "h", ())


def nest(depth):
    """Return a list that is nested that deeply, as JSON text."""
    return b"[" * depth + b"]" * depth


ODD_VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(2**64) + 1, 2**64 - 1),
    strategies.sampled_from((2**63 - 1, 2**63, 2**64 - 999, -1, 0)),
    strategies.floats(allow_nan=False, allow_infinity=False),
    strategies.text(max_size=400),
    strategies.sampled_from(
        (
            "127.0.0.1:99999",
            "127.0.0.1:65535",
            "127.0.0.1:0",
            "127.0.0.1:-1",
            "127.0.0.1:²",
            "127.0.0.1:" + "9" * 5000,
            "a..b:80",
            "x" * 70 + ".example:80",
            "[::1]:80",
            "256.1.1.1:80",
            "\ud7ff:80",
            "i\r\nX-Tenant-Id: w",
            "",
        )
    ),
    strategies.lists(strategies.integers(0, 9), max_size=3),
)


async def try_to_use(announcement):
    """Pass a server on and send it a request, as the processes of the system do."""
    record = registry.to_record(announcement, 0)
    payload = codec.encode(codec.MESSAGE, messages.Directory(False, (record,)))
    (decoded,) = codec.decode(codec.MESSAGE, payload).records
    if registry.to_announcement(decoded) != announcement:
        raise AssertionError("It is another one after it was passed on.")
    sent = headers.server_headers(CALL, announcement.identity, "w", 1, "")
    lines = "\r\n".join(f"{name}: {value}" for name, value in sent.get_all())
    read = httputil.HTTPHeaders.parse(lines)
    if read[headers.EXPECTED_SERVER_HEADER] != announcement.identity:
        raise AssertionError("Its identity is another one in a header.")
    connections = upstream.ConnectionPool()
    try:
        connection = await connections.open(announcement.address, 1)
    except upstream.ConnectFailed:
        return
    connection.close()


class ForeignAnnouncementTest(unittest.TestCase):
    """What is accepted can be sent, stored and used; all else gets a typed error."""

    @fuzzing.SETTINGS
    @hypothesis.given(
        strategies.sampled_from(("identity", *VALID)),
        ODD_VALUES,
    )
    def test_odd_field_is_refused_or_usable(self, name, value):
        fields = {"identity": "i", **VALID, name: value}
        identity = str(fields.pop("identity"))
        try:
            found = announcements.decode(identity, orjson.dumps(fields))
        except errors.BadRequest:
            return
        asyncio.run(try_to_use(found))

    def test_deep_and_large_bodies_get_a_typed_error(self):
        bodies = [
            nest(100_000),
            b'{"service":' + nest(100_000) + b"}",
            b'{"born": 1e999}',
            b'{"born": ' + b"9" * 100_000 + b"}",
            b'"\\ud800"',
        ]
        for body in bodies:
            with self.subTest(body[:20]), self.assertRaises(errors.BadRequest):
                announcements.decode("i", body)

    def test_unknown_deep_field_is_ignored(self):
        body = orjson.dumps(VALID)[:-1] + b',"more":' + nest(500) + b"}"
        self.assertEqual(announcements.decode("i", body).service, "s")

    def test_identity_of_a_withdrawal_is_checked(self):
        for identity in ("i\r\nX: 1", "x" * 300, "²"):
            with self.subTest(identity), self.assertRaises(errors.BadRequest):
                announcements.decode_withdrawal(identity, b"")
        with self.assertRaises(errors.BadRequest):
            announcements.decode_withdrawal("i", b'{"born": 18446744073709551615}')


if __name__ == "__main__":
    unittest.main()
