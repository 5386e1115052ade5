"""Tests of configuration changes, the view and the replicated state machine."""

import dataclasses
import unittest

from brasstrail.core import data, errors
from brasstrail.protocol import codec, commands, messages
from brasstrail.state import machine

TARGET = data.Target(0.99, 2000, 300)
SERVICE = data.Service("assist-llm", "model", ("assist-1",))
CLASS = data.WorkClass("review", "assist-llm", 1, True, TARGET)

# Each row is a change that must be refused, and a part of the expected message.
INVALID = [
    ({"classes": (CLASS,)}, "unknown service"),
    ({"services": (data.Service("x", "odd"),)}, "model or plain"),
    ({"services": (data.Service("x", "plain", ("m",)),)}, "no models"),
    ({"workspaces": (data.Workspace(""),)}, "1 to 64 letters"),
    ({"removed_classes": ("none",)}, "no class 'none'"),
]


class Harness:
    """A state machine and the index of the last record applied to it."""

    def __init__(self):
        self.machine = machine.Machine()
        self.index = 0

    def apply(self, command):
        """Apply a command as the next record and return its result."""
        self.index += 1
        payload = codec.encode(codec.COMMAND, command)
        entry = messages.Entry(self.index, 1, payload)
        return codec.decode(codec.RESULT, self.machine.apply(entry).result)

    def change(self, change_id, version, **fields):
        """Apply a change of the configuration."""
        return self.apply(
            commands.ChangeConfig(change_id, version, "op", self.index, **fields)
        )


class MachineTest(unittest.TestCase):
    """Versions, repeated changes, conflicts, membership and snapshots."""

    def test_second_change_against_one_version_is_refused(self):
        harness = Harness()
        first = harness.change("c1", 0, services=(SERVICE,))
        second = harness.change("c2", 0, workspaces=(data.Workspace("w"),))
        self.assertTrue(first.applied)
        self.assertFalse(second.applied)
        self.assertEqual(second.code, errors.Conflict.code)
        self.assertEqual(second.winner, "op c1")

    def test_repeated_change_gets_the_first_result_after_a_snapshot(self):
        harness = Harness()
        first = harness.change("lost", 0, services=(SERVICE,))
        for number in range(1, 400):
            added = (data.Workspace(f"w{number}"),)
            self.assertTrue(
                harness.change(f"c{number}", number, workspaces=added).applied
            )
        encoded_state = harness.machine.dump()
        harness.machine.restore(encoded_state)
        self.assertEqual(harness.change("lost", 0, services=(SERVICE,)), first)
        self.assertEqual(harness.machine.view.config.version, 400)

    def test_invalid_changes_are_refused(self):
        for fields, expected in INVALID:
            with self.subTest(expected=expected):
                result = Harness().change("c", 0, **fields)
                self.assertFalse(result.applied)
                self.assertEqual(result.code, errors.InvalidChange.code)
                self.assertIn(expected, result.message)

    def test_restored_snapshot_equals_the_dumped_state(self):
        harness = Harness()
        harness.apply(commands.FoundCluster("id"))
        harness.change("c", 0, services=(SERVICE,), classes=(CLASS,))
        member = data.Member("a", 1, ("agent",), "1.1.1.1:1", "r", "d")
        harness.apply(commands.AddMember(member))
        harness.apply(commands.Receive("w", "k", b"d", 7))
        harness.apply(commands.Suspect("f", "agent-1", 8))
        encoded_state = harness.machine.dump()
        restored = machine.Machine()
        restored.restore(encoded_state)
        self.assertEqual(restored.dump(), encoded_state)
        self.assertEqual(restored.view.cluster_id, "id")

    def test_late_removal_keeps_a_member_that_restarted(self):
        harness = Harness()
        for incarnation in (1, 2):
            member = data.Member("a", incarnation, ("agent",), "1.1.1.1:1", "r", "d")
            harness.apply(commands.AddMember(member))
        result = harness.apply(commands.RemoveMember("a", 1, 0))
        self.assertFalse(result.applied)
        self.assertIn("a", harness.machine.view.members)

    def test_attaching_to_another_control_host_leaves_the_view_index(self):
        harness = Harness()
        member = data.Member("a", 1, ("agent",), "1.1.1.1:1", "r", "d", epoch=1)
        harness.apply(commands.AddMember(member))
        index = harness.machine.view.index
        moved = dataclasses.replace(member, epoch=2)
        self.assertTrue(harness.apply(commands.AddMember(moved)).applied)
        self.assertEqual(harness.machine.view.index, index)
        self.assertEqual(harness.machine.view.members["a"].epoch, 2)
        with_service = dataclasses.replace(moved, epoch=3, service="s")
        harness.apply(commands.AddMember(with_service))
        self.assertGreater(harness.machine.view.index, index)

    def test_time_of_the_state_never_goes_back(self):
        harness = Harness()
        harness.apply(commands.Receive("w", "k1", b"d", 1000))
        second = harness.apply(commands.Receive("w", "k2", b"d", 10))
        self.assertEqual(second.record.updated_ms, 1000)


if __name__ == "__main__":
    unittest.main()
