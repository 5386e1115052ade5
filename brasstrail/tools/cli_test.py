"""Tests of the command line with recorded replies."""

import unittest
from unittest import mock

from click import testing

from brasstrail.core import errors
from brasstrail.tools import cli, client

CONFIG = {
    "version": 4,
    "services": [],
    "workspaces": [],
    "classes": [
        {
            "name": "question",
            "service": "assist-llm",
            "tier": 2,
            "idempotent": True,
            "target": {
                "fraction": 0.95,
                "within_ms": 4000,
                "first_token_within_ms": 1500,
            },
        }
    ],
}
CHANGED = {"version": 5, "change_id": "c", "members": 3, "behind": ["m1"]}


class CommandTest(unittest.TestCase):
    """Each test runs one command and checks its requests and its output."""

    def run_command(self, replies, *arguments):
        """Run a command; return its result and the (URL, body) pairs that it sent."""
        sent = []

        def call(endpoints, url, body=None):
            sent.append((url, body))
            reply = replies[len(sent) - 1]
            if isinstance(reply, Exception):
                raise reply
            return reply

        with mock.patch.object(client, "call", call):
            result = testing.CliRunner().invoke(cli.main, arguments)
        return result, sent

    def test_class_set_keeps_omitted_fields(self):
        arguments = ("class", "set", "question", "--within-ms", "3000")
        result, sent = self.run_command([CONFIG, CHANGED], *arguments)
        self.assertEqual(result.exit_code, 0)
        change = sent[1][1]
        self.assertEqual(change["expected_version"], 4)
        target = change["classes"][0]["target"]
        self.assertEqual(target["within_ms"], 3000)
        self.assertEqual(target["first_token_within_ms"], 1500)
        self.assertIn("m1", result.output)

    def test_class_set_requires_fields_of_new_class(self):
        arguments = ("class", "set", "fresh", "--tier", "1")
        result, sent = self.run_command([CONFIG], *arguments)
        self.assertEqual(result.exit_code, 2)
        self.assertIn("--fraction", result.output)
        self.assertEqual(len(sent), 1)

    def test_lost_reply_prints_change_id(self):
        lost_reply = errors.NoQuorum("None.", "Again.")
        arguments = ("class", "remove", "question", "--change-id", "mine")
        result, _ = self.run_command([CONFIG, lost_reply], *arguments)
        self.assertEqual(result.exit_code, 1)
        self.assertIn("mine", result.output)
        self.assertIn("no_quorum", result.output)

    def test_error_prints_remedy(self):
        conflict = errors.Conflict("It is 5.", "Read it again.")
        result, _ = self.run_command([conflict], "classes")
        self.assertEqual(result.exit_code, 1)
        self.assertIn("remedy: Read it again.", result.output)

    def test_json_output(self):
        result, _ = self.run_command([CONFIG], "--json", "classes")
        self.assertIn('"within_ms": 4000', result.output)


if __name__ == "__main__":
    unittest.main()
