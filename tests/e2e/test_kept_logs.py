"""Tests that the logs of a test that fails are kept, as its own folder is deleted."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

from support import ROOT, main

TEST = f"""
import pathlib, sys, tempfile
sys.path.insert(0, {str(ROOT / "scripts")!r})
from fleet import Process
with tempfile.TemporaryDirectory(prefix="own-") as folder:
    Process("gateway", ["echo", "the last line"], pathlib.Path(folder)).child.wait()
sys.exit(int(sys.argv[1]))
"""


class KeptLogsTest(unittest.TestCase):
    """Guards against a failure that shows once and leaves nothing to read."""

    def run_test(self, folder, code):
        done = subprocess.run([sys.executable, ROOT / "scripts" / "keep-logs.py", folder,
                               sys.executable, "-c", TEST, str(code)],
                              capture_output=True, text=True, check=False)
        self.assertEqual(done.returncode, code, done.stderr)
        return done

    def test_logs_stay_only_if_the_test_fails(self):
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory())) / "logs"
        self.assertIn("the last line", self.run_test(folder, 1).stdout)
        self.assertEqual([path.read_text() for path in folder.glob("own-*/gateway.log")],
                         ["the last line\n"])
        self.assertNotIn("the last line", self.run_test(folder, 0).stdout)
        self.assertFalse(folder.exists())

    def test_a_folder_that_cannot_be_made_stops_no_test(self):
        with tempfile.NamedTemporaryFile() as file:
            done = self.run_test(pathlib.Path(file.name) / "logs", 0)
            self.assertIn("logs aren't kept", done.stderr)


if __name__ == "__main__":
    main()
