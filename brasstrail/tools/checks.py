"""Runs the whole test suite for `make test` and CI, and sets the exit status.

Tests that are listed in KNOWN-RED.txt may fail: they are run and printed, but do
not fail the run. Each entry there begins with the test's full name; machines that
follow it, as `platform.machine` names them, are the only ones that it is for. A listed
test that passes is printed too, so that its entry gets removed.
"""

import dataclasses
import pathlib
import platform
import sys

import nose2
from nose2 import result

KNOWN_FAILURES_PATH = pathlib.Path("KNOWN-RED.txt")


def read_known_failures(path=KNOWN_FAILURES_PATH, machine=platform.machine()):
    """Return the names of the tests that are known to fail on a kind of machine.

    Lines that begin with `#` or a space are skipped.
    """
    if not path.exists():
        return set()
    names = set()
    for line in path.read_text().splitlines():
        if line.strip() and not line.startswith(("#", " ")):
            name, *machines = line.split()
            if not machines or machine in machines:
                names.add(name)
    return names


class Outcomes:
    """Collects the outcome of each test, as a hook of the test runner."""

    def __init__(self):
        self.executed = set()
        self.failed = set()
        self.skipped = set()

    def testOutcome(self, event):
        """Record the outcome of a test, or of one of its subtests under its name."""
        test = getattr(event.test, "test_case", event.test)
        name = test.id().split("\n")[0]
        self.executed.add(name)
        if event.outcome == result.SKIP:
            self.skipped.add(name)
        elif event.exc_info is not None:
            self.failed.add(name)


@dataclasses.dataclass(frozen=True)
class RunSummary:
    """Sorted names of tests, by how they count.

    `failed` fail the run, `known_failures` failed but are listed in KNOWN-RED.txt,
    `unexpected_passes` are listed there but passed.
    """

    failed: tuple
    known_failures: tuple
    unexpected_passes: tuple


def summarize(outcomes, known_failures):
    """Return the summary of a run, given the names of the tests that may fail."""
    return RunSummary(
        tuple(sorted(outcomes.failed - known_failures)),
        tuple(sorted(outcomes.failed & known_failures)),
        tuple(sorted(known_failures & (outcomes.executed - outcomes.failed))),
    )


def main():
    """Run all tests and print the summary.

    Exits with status 1 if a test failed that is not listed, or if no test ran.
    """
    outcomes = Outcomes()
    hooks = [("testOutcome", outcomes)]
    nose2.main(argv=["nose2", "-t", "."], exit=False, module=None, extraHooks=hooks)
    summary = summarize(outcomes, read_known_failures())
    for name in summary.known_failures:
        print(f"known failure, ignored: {name}")
    for name in summary.unexpected_passes:
        print(f"listed in {KNOWN_FAILURES_PATH} but passed: {name}")
    not_passed = (
        len(summary.failed) + len(summary.known_failures) + len(outcomes.skipped)
    )
    passed = len(outcomes.executed) - not_passed
    skipped = len(outcomes.skipped)
    print(f"{passed} passed, {len(summary.failed)} failed, {skipped} skipped")
    sys.exit(1 if summary.failed or not outcomes.executed else 0)


if __name__ == "__main__":
    main()
