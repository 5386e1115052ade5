"""Tests of the soak's checks on streams that are taken up again."""

import unittest

from brasstrail.tools import soakcheck, soakstreams
from brasstrail.tools.soakcheck_test import make_stream


def make_up_record(name, version):
    """Return the journal record of the start of a server's process."""
    return {"event": "up", "at": 1.0, "server": "i", "name": name, "version": version}


class StreamCheckTest(unittest.TestCase):
    """Streams of one and of two versions, and shares of streams that go on."""

    def setUp(self):
        self.observations = soakcheck.Observations(final_version=0)

    def violated(self, check):
        """Return the details of the violations that a check finds."""
        return list(check(self.observations))

    def test_stream_of_two_versions_in_one_answer(self):
        reply = make_stream(1, 2)
        reply.body += make_stream(3, version="v2").body
        self.observations.replies = [reply]
        self.assertTrue(self.violated(soakstreams.find_mixed_versions))

    def test_stream_of_two_versions_over_tries(self):
        first = make_stream(1, 2, is_complete=False)
        for version, is_wrong in (("v1", False), ("v2", True)):
            later = make_stream(
                3, identity="2", version=version, after=2, resumes=first.identity
            )
            self.observations.replies = [first, later]
            found = self.violated(soakstreams.find_mixed_versions)
            self.assertEqual(bool(found), is_wrong)
            self.assertEqual(self.violated(soakcheck.find_broken_streams), [])

    def test_taken_up_stream_must_begin_after_the_last_event(self):
        later = make_stream(2, 3, identity="2", after=2, resumes="1")
        self.observations.replies = [later]
        self.assertTrue(self.violated(soakcheck.find_broken_streams))

    def test_too_few_streams_that_are_taken_up_go_on(self):
        first = make_stream(1, 2, 3)
        self.observations.records = [
            make_up_record("server-1", "v1"),
            make_up_record("server-2", "v1"),
        ]
        for refused, is_wrong in ((5, False), (7, True)):
            taken_up = [
                make_stream(
                    *((3,) if number >= refused else ()),
                    identity=f"t{number}",
                    after=2,
                    resumes=first.identity,
                    status=503 if number < refused else 200,
                )
                for number in range(soakstreams.MIN_TAKE_UPS)
            ]
            self.observations.replies = [first, *taken_up]
            found = self.violated(soakstreams.find_refused_take_ups)
            self.assertEqual(bool(found), is_wrong)

    def test_streams_without_servers_of_their_version_are_not_counted(self):
        first = make_stream(1, 2, 3)
        later = make_stream(identity="2", after=2, resumes="1", status=503)
        self.observations.replies = [first, later]
        for count, expected in ((1, 0), (2, 1)):
            self.observations.records = [
                make_up_record(f"server-{number}", "v1") for number in range(count)
            ]
            shares = soakstreams.count_shares(self.observations)
            self.assertEqual(shares.taken_up, expected)


if __name__ == "__main__":
    unittest.main()
