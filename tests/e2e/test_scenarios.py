"""Runs each file of tests/scenarios as one test against real processes."""

import pathlib
import tempfile
import unittest

import scenario
from support import OPTIONS, ROOT, main

SCENARIOS = ROOT / "tests" / "scenarios"


class ScenarioTest(unittest.TestCase):
    """One test for each scenario file."""

    def run_file(self, path):
        with tempfile.TemporaryDirectory(prefix="tamarack-scenario-") as folder:
            run = scenario.Scenario(path, OPTIONS.bin, folder)
            try:
                run.run()
            finally:
                run.close()


class LanguageTest(unittest.TestCase):
    """Malformed scenarios are rejected with file and line."""

    def test_a_malformed_line_is_named_with_file_and_line(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "bad.scenario"
            path.write_text("# a comment\nstart 2 entries\nexplode entry-1\n")
            with self.assertRaisesRegex(scenario.ScenarioError, r"^bad\.scenario:3: .*explode"):
                scenario.parse(path)

    def test_an_empty_scenario_is_malformed(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "empty.scenario"
            path.write_text("# nothing\n")
            with self.assertRaisesRegex(scenario.ScenarioError, r"^empty\.scenario:1:"):
                scenario.parse(path)


def add_tests():
    for path in sorted(SCENARIOS.glob("*.scenario")):
        def test(self, path=path):
            self.run_file(path)
        setattr(ScenarioTest, f"test_{path.stem.replace('-', '_')}", test)


add_tests()

if __name__ == "__main__":
    main()
