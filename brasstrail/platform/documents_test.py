"""Tests of the decoding of successive documents."""

import unittest

import orjson

from brasstrail.core import errors
from brasstrail.platform import documents, platform_test

ROUTES = 1000


def make_body(version, changes=()):
    """Return a document with `ROUTES` routes; `changes` are by number of the route."""
    changes = dict(changes)
    (route,) = platform_test.make_document()["routes"][:1]
    routes = [
        {**route, "path_prefix": f"/{number}/", **changes.get(number, {})}
        for number in range(ROUTES)
    ]
    return orjson.dumps(
        {**platform_test.make_document(routes=routes), "version": version}
    )


class DecoderTest(unittest.TestCase):
    """A decoder that has read a document and reads the next ones."""

    def setUp(self):
        self.decoder = documents.Decoder()
        self.first = self.decoder.decode(make_body(1))

    # Guards against a gateway that is held up by each change of a large document.
    def test_only_changed_routes_are_decoded(self):
        second = self.decoder.decode(make_body(2, {7: {"timeout_ms": 77}}))
        self.assertEqual(second.routes[7].time_limit_ms, 77)
        others = zip(self.first.routes, second.routes, strict=True)
        same = sum(earlier is later for earlier, later in others)
        self.assertEqual(same, ROUTES - 1)

    def test_result_is_that_of_a_new_decoder(self):
        body = make_body(2, {7: {"path_prefix": "/new/"}, 9: {"priority": 4}})
        self.assertEqual(self.decoder.decode(body), documents.decode(body))

    def test_service_that_is_gone_makes_unchanged_routes_invalid(self):
        document = orjson.loads(make_body(2))
        document["services"] = []
        with self.assertRaises(errors.InvalidChange):
            self.decoder.decode(orjson.dumps(document))

    def test_invalid_document_changes_nothing(self):
        for change in ({"timeout_ms": 0}, {"path_prefix": "/8/"}, {"public": 1}):
            with self.assertRaises(errors.InvalidChange):
                self.decoder.decode(make_body(2, {7: change}))
        third = self.decoder.decode(make_body(3))
        self.assertEqual(third.routes, self.first.routes)

    def test_steps_are_short(self):
        steps = sum(1 for _ in documents.Decoder().steps(make_body(1)))
        self.assertEqual(steps, ROUTES // documents.ROUTES_PER_STEP)


if __name__ == "__main__":
    unittest.main()
