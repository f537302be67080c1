"""A planned stop of an entry with keyed calls, whose outcomes aren't stored yet."""

import signal
import time

from support import main, wait_until
import test_keyed_calls

LOG_OUTAGE_S = 1.5  # after SIGTERM


class StopTest(test_keyed_calls.KeyedCallTestCase):
    """A planned stop waits until the entry has stored the outcomes of its keyed calls."""

    def test_a_stop_waits_for_the_record_of_an_answer(self):
        name = self.new_name()
        path = f"/records/{name}"
        entry = self.fleet.entries[0]
        self.fleet.fault(self.service.upstream, delay_ms=500)
        first = self.begin(entry, name, path)
        wait_until(lambda: self.runs(path), "the run")
        self.fleet.fault(self.fleet.platform, log="down")
        first.join()
        self.assertEqual(self.answers[0][0], 200)
        entry.process.signal(signal.SIGTERM)
        time.sleep(LOG_OUTAGE_S)
        self.fleet.fault(self.fleet.platform, log="up")
        self.assertEqual(entry.process.child.wait(test_keyed_calls.CALL_TIMEOUT_S), 0)
        again = self.send_admitted(self.fleet.entries[1], name, path)
        self.assertEqual((again[0], again[2]), (200, self.answers[0][2]))
        self.assertEqual(len(self.runs(path)), 1)


class LateEntryTest(test_keyed_calls.KeyedCallTestCase):
    """Guards against a stop after which the other entry refuses all calls with 429 for a minute."""

    entries = 1

    def test_a_stop_leaves_no_home_that_nobody_can_take_over(self):
        path = f"/records/{self.new_name()}"
        first = self.fleet.entries[0]
        self.fleet.fault(self.fleet.platform, log="down")
        late = self.fleet.add_entry()  # which can't become the first one's successor yet
        self.fleet.wait_vm_ready(late)
        first.process.signal(signal.SIGTERM)
        time.sleep(LOG_OUTAGE_S)
        self.fleet.fault(self.fleet.platform, log="up")
        self.assertEqual(first.process.child.wait(test_keyed_calls.CALL_TIMEOUT_S), 0)
        self.assertEqual(self.send_admitted(late, None, path)[0], 200)


if __name__ == "__main__":
    main()
