"""End-to-end test of engines that state in their answers that they leave, while the store is away."""

import time
import unittest

from batch_calls import BatchCalls
from site_standins import complete_stream
from support import OPTIONS, main, wait_until
import test_gateway

LEAVING = "Server-Leaving"


class LeavingTest(BatchCalls, test_gateway.SiteTestCase):
    """Engine 0 leaves; the store's list goes on calling it sound."""

    engines = 3
    gateways = 2
    mutation = ""

    def setUp(self):
        super().setUp()
        wait_until(lambda: all(gateway.lines_of("gateway in contact") for gateway in self.gateway),
                   "gateways in contact")

    def add_gateway(self, name):
        if not self.mutation:
            return super().add_gateway(name)
        gateway = test_gateway.Gateway(name, self.store.address, self.work_dir,
                                       [f"{OPTIONS.bin}/mutant-gateway",
                                        f"--mutation={self.mutation}"])
        self.addCleanup(self.kill_if_running, gateway)
        gateway.wait_until_ready()
        return gateway

    def call_until_answered_by(self, engine, path="/stream/x"):
        while not engine.arrived:
            self.call(path)

    def assert_nothing_new(self, engine, gateway=0, calls=30):
        engine.arrived.clear()
        for _ in range(calls):
            status, _, body, request = self.call(gateway=gateway)
            self.assertEqual((status, body), (200, complete_stream(request)))
        self.assertEqual(len(engine.arrived), 0, "a leaving engine got new work")

    def check_kind(self, path="/stream/x", **changes):
        engine = self.engine[0]
        engine.extra_headers = [(LEAVING, "1")]
        for name, value in changes.items():
            setattr(engine, name, value)
        self.store.set_down(True)
        self.call_until_answered_by(engine, path)
        self.assert_nothing_new(engine)

    def test_a_stream_states_it(self):
        self.check_kind()
        wait_until(lambda: self.gateway[0].lines_of("upstream states that it leaves"), "log line")
        line = self.gateway[0].lines_of("upstream states that it leaves")[0]
        self.assertEqual((line["upstream"], line["source"]), ("engine-0", "response"))

    def test_an_error_states_it(self):
        self.check_kind("/once/x", status=500)

    def test_a_refusal_states_it(self):
        self.check_kind(shed=1)

    def test_an_answer_that_breaks_off_states_it(self):
        self.check_kind(break_at=2)

    def test_the_answer_to_a_batch_item_states_it(self):
        self.engine[0].extra_headers = [(LEAVING, "1")]
        self.assertEqual(self.submit("j", items=12), 202)
        wait_until(lambda: self.engine[0].arrived, "an item at the engine")
        wait_until(lambda: self.results("j")[1]["next"] == 12, "job finished")
        time.sleep(0.5)
        for gateway in range(2):
            self.assert_nothing_new(self.engine[0], gateway)

    def test_the_other_gateways_learn_of_it(self):
        self.check_kind()
        time.sleep(0.5)
        self.assert_nothing_new(self.engine[0], gateway=1)

    def test_another_start_under_its_id_is_free_and_an_old_record_is_not(self):
        engine = self.engine[0]
        engine.extra_headers = [(LEAVING, "1")]
        self.call_until_answered_by(engine)
        self.store.put("keyed.servers", engine.id, engine.record())
        time.sleep(0.6)
        self.assert_nothing_new(engine)
        engine.extra_headers = []
        engine.born += 1
        self.store.put("keyed.servers", engine.id, engine.record())
        wait_until(lambda: self.call() and engine.arrived, "work at the next start")

    def test_other_values_state_nothing_and_one_of_two_is_enough(self):
        engine = self.engine[0]
        for values in (["0"], ["yes"], [""], ["1, 1"]):
            engine.extra_headers = [(LEAVING, value) for value in values]
            engine.arrived.clear()
            self.call_until_answered_by(engine)
            engine.arrived.clear()
            self.call_until_answered_by(engine)
        engine.extra_headers = [(LEAVING, "0"), (LEAVING, "1")]
        engine.arrived.clear()
        self.call_until_answered_by(engine)
        self.assert_nothing_new(engine)

    def test_when_all_leave_callers_are_refused_at_once(self):
        for engine in self.engine:
            engine.extra_headers = [(LEAVING, "1")]
        self.store.set_down(True)
        for _ in range(3):
            self.assertEqual(self.call()[0], 200)
        before = time.monotonic()
        status, headers, _, _ = self.call()
        self.assertEqual(status, 503)
        self.assertLess(time.monotonic() - before, 0.1)
        self.assertGreater(float(headers["Retry-After"]), 0)


class CounterpartTest(unittest.TestCase):
    """The checks above notice a gateway that ignores the header."""

    def test_a_gateway_that_ignores_the_header_fails(self):
        class Mutant(LeavingTest):
            mutation = "IgnoreLeavingHeader"

        result = unittest.TestResult()
        Mutant("test_a_stream_states_it").run(result)
        self.assertIn("a leaving engine got new work", result.failures[0][1])


if __name__ == "__main__":
    main()
