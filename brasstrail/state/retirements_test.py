"""Tests of the servers that have said that they leave."""

import unittest

from brasstrail.protocol import codec, commands, messages
from brasstrail.state import machine, retirements


def make_record(identity="a", phase="gone", born_ms=5, sequence=1):
    """Return the record of a server."""
    return messages.ServerRecord(
        identity, "s", "127.0.0.1:9", "east", phase, born_ms, sequence, 1, 0.0
    )


class RetirementsTest(unittest.TestCase):
    """What is kept of retirements, and for how long."""

    def setUp(self):
        self.retirements = retirements.Retirements()

    def retire(self, now_ms=0, **fields):
        self.retirements.apply(commands.RetireServers(now_ms, (make_record(**fields),)))

    def held(self):
        """Return the phase and the start of the server."""
        record = self.retirements.by_identity["a"].record
        return record.phase, record.born_ms, record.sequence

    def test_later_start_and_end_replace_earlier_ones(self):
        self.retire(phase="leaving", sequence=4)
        self.retire(phase="leaving", sequence=3)
        self.assertEqual(self.held(), ("leaving", 5, 4))
        self.retire(phase="gone", sequence=0)
        self.retire(phase="leaving", sequence=9)
        self.assertEqual(self.held(), ("gone", 5, 0))
        self.retire(phase="leaving", born_ms=6, sequence=1)
        self.retire(phase="gone", born_ms=5)
        self.assertEqual(self.held(), ("leaving", 6, 1))

    def test_covers_what_is_committed(self):
        self.retire(phase="leaving", sequence=4)
        for phase, born_ms, is_covered in (
            ("leaving", 5, True),
            ("gone", 5, False),
            ("leaving", 6, False),
        ):
            record = make_record(phase=phase, born_ms=born_ms, sequence=9)
            self.assertEqual(self.retirements.covers(record), is_covered)
        self.retire(phase="gone")
        self.assertTrue(self.retirements.covers(make_record(phase="leaving")))

    def test_old_ones_and_too_many_are_forgotten(self):
        for number in range(retirements.MAX_RETIREMENTS + 5):
            self.retire(identity=f"i{number}")
        self.assertEqual(len(self.retirements.by_identity), retirements.MAX_RETIREMENTS)
        self.assertNotIn("i4", self.retirements.by_identity)
        self.retire(now_ms=retirements.RETENTION_MS + 1, identity="new")
        self.assertEqual(list(self.retirements.by_identity), ["new"])
        self.assertEqual(len(self.retirements.news), 1)

    def test_news_are_taken_once_and_come_again_after_a_restore(self):
        state = machine.Machine()
        command = commands.RetireServers(3, (make_record(),))
        payload = codec.encode(codec.COMMAND, command)
        state.apply(messages.Entry(1, 1, payload))
        self.assertEqual(len(state.retirements.take_news()), 1)
        self.assertEqual(state.retirements.take_news(), ())
        restored = machine.Machine()
        restored.restore(state.dump())
        (retirement,) = restored.retirements.take_news()
        self.assertEqual((retirement.record, retirement.time_ms), (make_record(), 3))


class EarlierBuildTest(unittest.TestCase):
    """Builds that know no retirements."""

    def test_command_has_the_place_of_one_without_an_effect(self):
        self.assertIs(commands.COMMANDS[0], commands.RetireServers)

    def test_state_of_an_earlier_build_is_read(self):
        state = machine.Machine()
        state.restore(machine.Machine().dump())
        self.assertEqual(state.retirements.by_identity, {})


if __name__ == "__main__":
    unittest.main()
