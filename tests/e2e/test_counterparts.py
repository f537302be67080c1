"""Checks that existing end-to-end tests fail against daemons with planted faults.

Each row runs one existing test or scenario with mutations of the entries or sides (see
tests/mutants) and passes only if that test fails in its own assertion. A fleet that doesn't start
or a process that crashes is a different failure, so the row fails.
"""

import pathlib
import re
import subprocess
import sys
import typing
import unittest

from support import OPTIONS, main

FOLDER = pathlib.Path(__file__).resolve().parent
TEST_TIMEOUT_S = 150


class Counterpart(typing.NamedTuple):
    """A row: a guarantee, the test that checks it, the mutations, and the expected failure."""

    promise: int
    file: str
    test: str
    failure: str  # pattern of the error, starting with its class
    entry: str = ""
    side: str = ""


def scenario(promise, name, failure, **mutations):
    """Returns a row for a scenario; `failure` is (pattern of the statement, of the text)."""
    line, text = failure
    return Counterpart(promise, "test_scenarios.py", f"ScenarioTest.test_{name.replace('-', '_')}",
                       rf"{name}\.scenario:\d+: {line}\nAssertionError: .*{text}", **mutations)


# CMake reads the row names and makes a test of each; a name has to be on a line of its own.
ROWS = {
    "job-acknowledged-unlogged":
        scenario(1, "job-outlives-its-entry", ("resend job plows .*", r"\('batch_"),
                 entry="AcknowledgeUnlogged"),
    "result-of-old-owner-taken":
        scenario(1, "owner-paused-while-log-down",
                 ("expect the results of plows unchanged at reader", "other results"),
                 entry="AnyResultWins"),
    "cancel-ignored":
        Counterpart(2, "test_batch.py", "BatchTest.test_cancel_stops_a_job",
                    r"AssertionError: \d+ != \d+ : items begun after the cancel",
                    entry="CancelIgnored"),
    "batch-before-online":
        scenario(3, "online-before-batch", ("expect no finished item of plows", "items finished"),
                 side="BatchBeforeOnline"),
    "customer-ignored":
        Counterpart(4, "test_batch.py", "BatchTest.test_other_customers_see_nothing",
                    r"AssertionError: 200 != 404 : another customer's job",
                    entry="IgnoreCustomer"),
    "any-key-accepted":
        Counterpart(4, "test_online.py", "OnlineTest.test_wrong_and_missing_keys",
                    r"AssertionError: 200 != 401", entry="AcceptAnyKey"),
    "key-forwarded":
        Counterpart(5, "test_online.py", "OnlineTest.test_no_upstream_sees_the_key",
                    r"AssertionError: 'tg_\w+' unexpectedly found in", entry="ForwardKey"),
    "withdrawn-stream-kept":
        Counterpart(6, "test_online.py", "FaultTest.test_withdrawn_key_ends_a_running_stream"
                    "_everywhere", r"AssertionError: .* : the stream goes on",
                    entry="KeepWithdrawnStream"),
    "all-admitted":
        Counterpart(7, "test_online.py", "OnlineTest.test_over_the_limit_is_refused_with_retry"
                    "_after", r"AssertionError: 429 not found in", entry="AdmitAll"),
    "new-home-starts-full":
        scenario(7, "rate-after-both-entries-lost-in-turn",
                 ("expect the admitted reads of ferry within rate and burst", "over the rate"),
                 entry="NewHomeStartsFull"),
    "broken-stream-ended":
        Counterpart(8, "test_online.py", "FaultTest.test_broken_stream_is_an_explicit_error",
                    r"AssertionError: b'\[DONE\]' unexpectedly found in",
                    entry="EndBrokenStream"),
    "not-run-claimed":
        scenario(9, "upstream-cut-after-run",
                 ("expect notice not said to be not run", '"executed":"no"'),
                 entry="ClaimNotRun"),
    "not-run-claimed-of-lost-side":
        scenario(9, "side-lost-in-call",
                 ("expect notice not said to be not run", '"executed":"no"'),
                 entry="ClaimNotRun"),
    "unknown-outcome-resent":
        scenario(10, "upstream-cut-after-run",
                 ("expect /records/7 ran exactly 1 time", "2"), entry="RetryOnUnknown"),
    "call-run-twice":
        scenario(10, "entry-lost-in-call", ("expect /records/9 ran exactly 1 time", "2"),
                 entry="RunTwice"),
    "leaving-ignored":
        Counterpart(11, "test_operators.py", "DrainTest.test_a_drained_side_gets_no_work",
                    r"AssertionError: \d+ != \d+ : work after the drain",
                    entry="RouterIgnoresLeaving", side="IgnoreDrain"),
    "entry-stops-at-once":
        Counterpart(12, "test_online.py", "FaultTest.test_planned_stop_of_an_entry_cuts_no_stream",
                    r"AssertionError: False is not true : the entry's stop cut a stream",
                    entry="StopAtOnce"),
    "side-stops-at-once":
        Counterpart(12, "test_online.py", "FaultTest.test_planned_stop_of_a_side_cuts_no_stream",
                    r"AssertionError: False is not true : the side's stop cut a stream",
                    side="StopAtOnce"),
    "losing-publish-in-force":
        Counterpart(13, "test_operators.py",
                    "OperatorsTest.test_of_two_racing_publishes_one_wins_and_the_other_is_told",
                    r"(?s)AssertionError: .* : the loser's is in force",
                    entry="IgnoreBase", side="IgnoreBase"),
}


class CounterpartTest(unittest.TestCase):
    """One test for each row."""

    def run_row(self, row):
        command = [sys.executable, "-W", "ignore", str(FOLDER / row.file), "--bin", OPTIONS.bin,
                   f"--mutate-entry={row.entry}", f"--mutate-side={row.side}", row.test]
        done = subprocess.run(command, capture_output=True, text=True, timeout=TEST_TIMEOUT_S)
        self.assertEqual(done.returncode, 1, done.stderr)
        self.assertRegex(done.stderr, r"(?m)^Ran 1 test ")
        self.assertRegex(done.stderr, r"(?m)^FAILED \(failures=1\)$")
        self.assertRegex(done.stderr, row.failure)


def add_tests():
    for name, row in ROWS.items():
        def test(self, row=row):
            self.run_row(row)
        setattr(CounterpartTest, f"test_{name.replace('-', '_')}", test)


add_tests()

if __name__ == "__main__":
    main()
