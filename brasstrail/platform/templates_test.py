"""Tests of the settings files that the platform fills in from the templates."""

import pathlib
import re
import unittest

from brasstrail.settings import settings

DEPLOY = pathlib.Path(__file__).resolve().parents[2] / "deploy"
SECTION = re.compile(r"\{\{#([^{}]+)\}\}(.*?)\{\{/\1\}\}", re.S)
PLACE = re.compile(r"\{\{([^{}#/]+)\}\}")
BOUNDS = {
    "fail_closed": "true",
    "retry_budget_ratio": "0.2",
    **dict.fromkeys(
        (
            *("revoke_ms", "retry_slack", "retry_window_s", "grace_s"),
            *("quota_slack", "quota_window_s"),
        ),
        "10",
    ),
}
# What the first deployments told a process.
FIRST_FIELDS = {
    "ip": "10.1.0.25",
    "zone": "east",
    "region": "r",
    "data_dir": "/data",
    "bootstrap": "true",
    "heartbeat_ms": "1200",
    "fault_tolerance.machines": "1",
    "internal_ports.0": "7600",
    "internal_ports.1": "7615",
    "listen.frontend": "10.1.0.25:8221",
    "listen.ready": "10.1.0.25:8224",
    "listen.control_plane": "10.1.0.25:8229",
    **{f"bounds.{name}": value for name, value in BOUNDS.items()},
}
# What was added since, in the order in which it came.
LATER_FIELDS = (
    {"limits.memory_mb": "150"},
    {
        "bounds.canary_share": "0.1",
        "bounds.canary_slack": "20",
        "bounds.rollback_ms": "4000",
    },
)
LISTS = {"seeds": ("10.1.0.25:8229",), "zones": ("r",)}


def fill_in(template, fields):
    """Return a template that is filled in; unknown places outside sections stay."""

    def section(match):
        name, inner = match.groups()
        if name in LISTS:
            inner = inner.replace("{{@}}", "east").replace("{{,}}", "")
            return "".join(inner.replace("{{.}}", each) for each in LISTS[name])
        return PLACE.sub(place, inner) if name in fields else ""

    def place(match):
        return fields.get(match[1].removesuffix("|json"), match[0])

    return PLACE.sub(place, SECTION.sub(section, template))


class TemplateTest(unittest.TestCase):
    """Whatever the platform tells, the settings can be read."""

    def test_settings_of_each_earlier_time_can_be_read(self):
        """Guards against a process that does not start without a new field."""
        fields = dict(FIRST_FIELDS)
        for added in ({}, *LATER_FIELDS):
            fields.update(added)
            for role in ("gateway", "control"):
                template = (DEPLOY / f"{role}.toml.in").read_text()
                with self.subTest(role=role, added=sorted(added)):
                    loaded = settings.parse(fill_in(template, fields))
                    told = fields.get("limits.memory_mb", "0")
                    self.assertEqual(getattr(loaded, role).memory_mb, int(told))


if __name__ == "__main__":
    unittest.main()
