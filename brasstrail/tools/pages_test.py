"""Tests of committed files: generated pages, example settings and links."""

import pathlib
import re
import unittest

from brasstrail.settings import settings
from brasstrail.tools import checks, pages

ROOT = pathlib.Path(__file__).parents[2]
LINK = re.compile(r"\]\(([^)#:]+)\)")


class PagesTest(unittest.TestCase):
    """Generated pages match the code, examples are valid and links resolve."""

    def test_generated_pages_are_current(self):
        for path, render in pages.PAGES.items():
            with self.subTest(page=str(path)):
                self.assertEqual((ROOT / path).read_text(), render())

    def test_example_settings_are_valid(self):
        found = sorted((ROOT / "examples").glob("*/*.toml"))
        self.assertTrue(found)
        for path in found:
            with self.subTest(example=str(path)):
                settings.load(path)

    def test_relative_links_resolve(self):
        for page in [ROOT / "README.md", *(ROOT / "docs").glob("**/*.md")]:
            for target in LINK.findall(page.read_text()):
                with self.subTest(page=page.name, target=target):
                    self.assertTrue((page.parent / target).exists())


class SummarizeTest(unittest.TestCase):
    """Failures listed as known do not fail a run; all other failures do."""

    def test_known_failures_are_separated_from_new_ones(self):
        outcomes = checks.Outcomes()
        outcomes.executed = {"a", "b", "c", "d"}
        outcomes.failed = {"a", "b"}
        summary = checks.summarize(outcomes, {"b", "c"})
        self.assertEqual(summary, checks.RunSummary(("a",), ("b",), ("c",)))


if __name__ == "__main__":
    unittest.main()
