"""Runs the tests as `make test` and CI do, and judges the outcome.

Tests that are listed in KNOWN-RED.txt may fail; they are run, shown and passed
over. Each entry there begins with the test's full name. A listed test that
passes is shown too, so that its entry gets removed.
"""

import dataclasses
import pathlib
import sys

import nose2
from nose2 import result

KNOWN_FAILURES_PATH = pathlib.Path("KNOWN-RED.txt")


def read_known_failures(path=KNOWN_FAILURES_PATH):
    """Return the names of the tests that are known to fail."""
    if not path.exists():
        return set()
    names = set()
    for line in path.read_text().splitlines():
        if line.strip() and not line.startswith(("#", " ")):
            names.add(line.split()[0])
    return names


class Outcomes:
    """Collects how each test ended, as a hook of the test runner."""

    def __init__(self):
        self.executed = set()
        self.failed = set()
        self.skipped = set()

    def testOutcome(self, event):
        """Note the outcome of one test, or of one of its subtests."""
        test = getattr(event.test, "test_case", event.test)
        name = test.id().split("\n")[0]
        self.executed.add(name)
        if event.outcome == result.SKIP:
            self.skipped.add(name)
        elif event.exc_info is not None:
            self.failed.add(name)


@dataclasses.dataclass(frozen=True)
class RunSummary:
    """The names of tests that failed, were passed over, or are mended."""

    failed: tuple
    known_failures: tuple
    unexpected_passes: tuple


def summarize(outcomes, known_failures):
    """Return the verdict on a run, given the names that may fail."""
    return RunSummary(
        tuple(sorted(outcomes.failed - known_failures)),
        tuple(sorted(outcomes.failed & known_failures)),
        tuple(sorted(known_failures & (outcomes.executed - outcomes.failed))),
    )


def main():
    """Run all tests and end with the verdict."""
    outcomes = Outcomes()
    hooks = [("testOutcome", outcomes)]
    nose2.main(argv=["nose2", "-t", "."], exit=False, module=None, extraHooks=hooks)
    summary = summarize(outcomes, read_known_failures())
    for name in summary.known_failures:
        print(f"known red, passed over: {name}")
    for name in summary.unexpected_passes:
        print(f"listed in {KNOWN_FAILURES_PATH} but green: {name}")
    not_passed = (
        len(summary.failed) + len(summary.known_failures) + len(outcomes.skipped)
    )
    passed = len(outcomes.executed) - not_passed
    skipped = len(outcomes.skipped)
    print(f"{passed} passed, {len(summary.failed)} failed, {skipped} skipped")
    sys.exit(1 if summary.failed or not outcomes.executed else 0)


if __name__ == "__main__":
    main()
