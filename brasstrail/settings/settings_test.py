"""Tests of loading and validating the settings file."""

import unittest

from brasstrail.core import errors
from brasstrail.settings import settings

VALID_TOML = """
[node]
name = "all"
roles = ["entry", "agent", "control"]
region = "r"
data_centre = "d"
[cluster]
name = "demo"
secret = "0123456789abcdef"
"""

# Each row replaces a text of the valid file by a second one. The error must contain the
# third text.
INVALID_CHANGES = [
    ('name = "all"\n', "", "name is missing"),
    ('roles = ["entry", "agent", "control"]', 'roles = ["boss"]', "node.roles"),
    ('secret = "0123456789abcdef"', 'secret = "short"', "cluster.secret"),
    ('data_centre = "d"', "data_centre = 5", "expected str"),
    ('data_centre = "d"', 'data_centre = "d"\ncolour = 1', "colour"),
    ('data_centre = "d"', 'data_centre = "d"\npeer_port = 99999', "peer_port"),
    ('data_centre = "d"', 'data_centre = "d"\npeer_port = 8080', "are both"),
    ('data_centre = "d"', 'data_centre = "d"\naddress = "host"', "no IP number"),
    ('data_centre = "d"', 'data_centre = "d"\naddress = "0.0.0.0"', "auth.tokens"),
    ('name = "demo"', 'name = "demo"\nseeds = ["nowhere"]', "cluster.seeds"),
    ("[node]", "[node", "is not TOML"),
    ("[node]", "[entry]\nmax_waiting = 0\n[node]", "entry.max_waiting"),
    ("[node]", '[log]\nformat = "xml"\n[node]', "log.format"),
    (
        "[node]",
        "[gateway.link_cost_ms_per_kb]\nregion = -1.0\n[node]",
        "link_cost_ms_per_kb.region",
    ),
]


class SettingsTest(unittest.TestCase):
    """A valid file loads, and each problem of an invalid one is reported."""

    def test_loads_a_valid_file(self):
        loaded = settings.parse(VALID_TOML)
        self.assertEqual(loaded.node.name, "all")
        self.assertEqual(loaded.entry, settings.EntryRole())

    def test_each_problem_names_its_key(self):
        for old, new, expected in INVALID_CHANGES:
            with self.subTest(expected=expected):
                self.assertIn(old, VALID_TOML)
                with self.assertRaises(errors.SettingsInvalid) as caught:
                    settings.parse(VALID_TOML.replace(old, new))
                self.assertIn(expected, str(caught.exception))

    def test_reports_all_problems_at_once(self):
        text = VALID_TOML.replace('region = "r"', "region = 1").replace('"all"', "2")
        with self.assertRaises(errors.SettingsInvalid) as caught:
            settings.parse(text)
        self.assertEqual(len(caught.exception.problems), 2)

    def test_voter_count_tolerates_the_configured_losses(self):
        self.assertEqual(settings.ControlRole().wanted_voters, 0)
        self.assertEqual(settings.ControlRole(losses=2).wanted_voters, 5)
        self.assertEqual(settings.ControlRole(losses=2, replicas=3).wanted_voters, 3)

    def test_a_missing_file_is_a_typed_error(self):
        with self.assertRaises(errors.SettingsInvalid):
            settings.load("/nonexistent/file.toml")


if __name__ == "__main__":
    unittest.main()
