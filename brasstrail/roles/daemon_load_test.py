"""A test of which modules the start of a role imports."""

import subprocess
import sys
import unittest

NOT_NEEDED = ("tornado.web", "brasstrail.roles.control", "brasstrail.roles.entry")
SCRIPT = """
import sys
from brasstrail.roles import daemon
daemon.load_role("gateway")
print([name for name in {names!r} if name in sys.modules])
"""


class ModuleLoadingTest(unittest.TestCase):
    """Imports lengthen the start of a process.

    After a power failure, callers wait for the slowest host to start.
    """

    def test_gateway_loads_no_other_role(self):
        script = SCRIPT.format(names=NOT_NEEDED)
        completed = subprocess.run(
            [sys.executable, "-c", script], capture_output=True, text=True, check=True
        )
        self.assertEqual(completed.stdout.strip(), "[]")


if __name__ == "__main__":
    unittest.main()
