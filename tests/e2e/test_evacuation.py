"""End-to-end tests of the evacuation of an availability zone, with real gateways."""

import datetime
import time
import unittest

from batch_calls import BatchCalls
from site_standins import complete_stream
from support import OPTIONS, main, wait_until
import test_gateway

EVACUATION = "evacuate/a"


def moment(line):
    """Returns when a log line was made."""
    return datetime.datetime.fromisoformat(line["time"])


class EvacuationTest(BatchCalls, test_gateway.SiteTestCase):
    """Engine 0 is in zone a, as the gateways are; engine `far` is in zone b."""

    engines = 1
    gateways = 2

    def setUp(self):
        super().setUp()
        self.near = self.engine[0]
        self.far = self.add_engine("far", zone="b")
        for gateway in self.gateway:
            wait_until(lambda: any(line["upstream"] == "far"  # noqa: B023
                                   for line in gateway.lines_of("upstream changed")),
                       "the other zone's engine known")

    def evacuate(self):
        self.store.put("keyed.op", EVACUATION, {})
        self.wait_for_evacuations(1)

    def take_back(self):
        self.store.put("keyed.op", EVACUATION, b"")
        self.wait_for_evacuations(0)

    def wait_for_evacuations(self, count):
        for gateway in self.gateway:
            wait_until(lambda: gateway.metric("tamarack_evacuated_zones") == count,  # noqa: B023
                       "evacuations in force")

    def assert_zone_gets_nothing(self, calls=20):
        """Guards against new work for a zone that is under evacuation."""
        self.near.arrived.clear()
        for i in range(calls):
            status, _, body, request = self.call(gateway=i % len(self.gateway))
            self.assertEqual((status, body), (200, complete_stream(request)))
        self.assertEqual(len(self.near.arrived), 0, "an evacuated zone got new work")

    def assert_no_item_was_sent_after_evacuation(self):
        """Checks each run of an item in the zone, as one that was sent before may arrive later."""
        wait_until(lambda: len(self.near.arrived)
                   <= sum(len(self.runs_in_zone(gateway)) for gateway in self.gateway),
                   "the lines of all runs in the zone")
        for gateway in self.gateway:
            begins = gateway.lines_of("evacuation of a zone begins")
            self.assertTrue(begins, f"{gateway.name} evacuates no zone")
            evacuated = moment(begins[0])
            for run in self.runs_in_zone(gateway):
                started = moment(run) - datetime.timedelta(milliseconds=run["run_ms"])
                self.assertLessEqual(started, evacuated, "an evacuated zone got new work")

    def runs_in_zone(self, gateway):
        return [line for line in gateway.lines_of("batch item run ended")
                if line["upstream"] == self.near.id]

    def test_online_requests_leave_the_zone_and_return(self):
        self.evacuate()
        self.assert_zone_gets_nothing()
        self.take_back()
        wait_until(lambda: self.call()[0] == 200 and self.near.arrived, "work in the zone again")

    def test_items_leave_the_zone(self):
        self.near.step_s = 0.2
        self.near.events = 20
        self.assertEqual(self.submit("j", items=20), 202)
        wait_until(lambda: self.near.arrived, "items in the zone")
        self.evacuate()
        self.far.events = 20
        self.finished("j", 20)
        self.assert_no_item_was_sent_after_evacuation()

    def test_a_broken_stream_goes_on_elsewhere(self):
        self.near.break_at = 3
        self.near.step_s = 0.3
        result = []
        caller = test_gateway.threading.Thread(target=lambda: result.append(self.call()))
        caller.start()
        wait_until(lambda: self.near.runs, "a stream in the zone")
        self.evacuate()
        self.near.arrived.clear()
        caller.join()
        status, _, body, request = result[0]
        self.assertEqual((status, body), (200, complete_stream(request)))
        self.assertEqual(len(self.near.arrived), 0, "an evacuated zone got new work")

    def test_it_holds_while_the_store_is_away_and_ends_after_its_return(self):
        self.evacuate()
        self.store.set_down(True)
        time.sleep(1)
        self.assert_zone_gets_nothing()
        self.store.set_down(False)
        self.take_back()
        wait_until(lambda: self.call()[0] == 200 and self.near.arrived, "work in the zone again")

    def test_a_gateway_that_starts_knows_of_it(self):
        self.evacuate()
        self.gateway.append(self.add_gateway("gateway-new"))
        self.assert_zone_gets_nothing()

    def test_the_store_forgets_its_history(self):
        self.evacuate()
        self.store.set_down(True)
        time.sleep(1)
        self.store.put("keyed.op", EVACUATION, b"")
        self.store.put("keyed.op", "evacuate/b", {})
        self.store.drop_history(("keyed.op", 0))
        self.store.set_down(False)
        wait_until(lambda: self.call()[0] == 200 and self.near.arrived, "work in the zone again")

    def test_without_another_zone_callers_are_refused_at_once(self):
        self.store.put("keyed.op", "evacuate/b", {})
        self.evacuate_all()
        status, headers, _, _ = self.call()
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertEqual(len(self.near.arrived) + len(self.far.arrived), 0)

    def evacuate_all(self):
        self.store.put("keyed.op", EVACUATION, {})
        self.wait_for_evacuations(2)

    def test_a_zone_that_nobody_has_changes_nothing(self):
        self.store.put("keyed.op", "evacuate/nowhere", {})
        self.wait_for_evacuations(1)
        self.assertEqual(self.call()[0], 200)
        self.assertTrue(self.near.arrived)


class CounterpartTest(unittest.TestCase):
    """The check above notices a gateway that ignores evacuations."""

    def test_a_gateway_that_ignores_evacuations_fails(self):
        class Mutant(EvacuationTest):
            def add_gateway(self, name):
                gateway = test_gateway.Gateway(name, self.store.address, self.work_dir,
                                               [f"{OPTIONS.bin}/mutant-gateway",
                                                "--mutation=IgnoreEvacuations"])
                self.addCleanup(self.kill_if_running, gateway)
                gateway.wait_until_ready()
                return gateway

            def wait_for_evacuations(self, count):
                time.sleep(1)

        result = unittest.TestResult()
        Mutant("test_online_requests_leave_the_zone_and_return").run(result)
        self.assertIn("an evacuated zone got new work", result.failures[0][1])


if __name__ == "__main__":
    main()
