"""End-to-end test of upstreams that warm up, whose rate all gateways share."""

import threading
import time
import unittest

from support import OPTIONS, main
import test_gateway

RATE = 4.0  # requests per second of an upstream that warms up
BOUND = 1.5 * RATE + 5  # in each second, from all gateways
WARM_UP_MS = 600_000


class WarmUpTest(test_gateway.SiteTestCase):
    """One engine that warms up, behind two gateways whose callers press."""

    engines = 1
    gateways = 2
    command = ["tamarack-gateway"]

    def setUp(self):
        service = {"name": "engines", "maxConnections": 100, "coldPerS": RATE,
                   "engine": {"slots": 8}}
        self.value = test_gateway.config(services=[service])
        super().setUp()

    def add_engine(self, name, **options):
        engine = super().add_engine(name, **options)
        self.state(engine, WARM_UP_MS)
        return engine

    def state(self, engine, remaining_ms):
        self.store.put("keyed.servers", engine.id,
                       dict(engine.record(), coldRemainingMs=remaining_ms))

    def add_gateway(self, name):
        self.store.put("keyed.op", "config", self.value)
        gateway = test_gateway.Gateway(name, self.store.address, self.work_dir,
                                       [f"{OPTIONS.bin}/{self.command[0]}", *self.command[1:]])
        self.addCleanup(self.kill_if_running, gateway)
        gateway.wait_until_ready()
        return gateway

    def press(self, seconds):
        """Sends requests to both gateways, many more than the engine takes; returns arrivals."""
        engine = self.engine[0]
        engine.arrived.clear()
        end = time.monotonic() + seconds

        def caller(index):
            while time.monotonic() < end:
                self.call(gateway=index % 2)

        callers = [threading.Thread(target=caller, args=(i,)) for i in range(8)]
        for each in callers:
            each.start()
        for each in callers:
            each.join()
        return sorted(request["at"] for request in engine.arrived)

    def test_its_rate_holds_over_all_gateways(self):
        """Guards against a fleet that crashes upstreams that have just started."""
        times = self.press(6)
        most = max(sum(1 for other in times if at <= other < at + 1) for at in times)
        self.assertLessEqual(most, BOUND, "more than it takes while it warms up")

    def test_work_goes_on_after_it(self):
        self.press(1)
        self.state(self.engine[0], 0)
        time.sleep(1)
        self.assertGreater(len(self.press(3)), 3 * BOUND)


class CounterpartTest(unittest.TestCase):
    """The check above notices gateways that ignore the warm-up."""

    def test_gateways_that_ignore_it_fail(self):
        class Mutant(WarmUpTest):
            command = ["mutant-gateway", "--mutation=IgnoreWarmUps"]

        result = unittest.TestResult()
        Mutant("test_its_rate_holds_over_all_gateways").run(result)
        self.assertIn("more than it takes while it warms up", result.failures[0][1])


if __name__ == "__main__":
    main()
