"""Orders that reach upstreams through the log, against real processes."""

import http.client
import json
import pathlib
import signal
import threading
import time

from support import MANIFEST, FleetTestCase, http_call, main, wait_until

PLATFORM_FLAGS = ("--weight_bytes=100000",)
PAUSED_INTERVAL_S = 6  # load interval of tests that need a waiting order


def with_interval(text):
    return MANIFEST.replace("partitions = 4", f"partitions = 4\nload-interval = {text}")


class OrdersTestCase(FleetTestCase):
    """No entries; an engine that ignores fences, one that checks them, and a plain service."""

    platform_flags = PLATFORM_FLAGS
    manifest = with_interval("100ms")

    @classmethod
    def start_fleet(cls):
        store = f"--weight_store={cls.fleet.platform}"
        cls.unfenced = cls.fleet.add_upstream("engines", flags=["--fence=ignore", store])
        cls.fenced = cls.fleet.add_upstream("engines", flags=["--fence=check", store])
        cls.service = cls.fleet.add_upstream("records", kind="service")
        path = pathlib.Path(cls.folder.name) / "manifest.ini"
        path.write_text(cls.manifest)
        cls.fleet.publish(path)
        cls.fleet.wait_ready()

    def order(self, side, kind, argument, *flags, check=True):
        """Runs `tamarackctl order` and returns the finished process."""
        return self.fleet.ctl("--output=json", "order", side.name, kind, argument, *flags,
                              check=check)

    def submit(self, *arguments):
        """Submits an order without waiting for it; returns the output of tamarackctl."""
        return json.loads(self.order(*arguments).stdout)

    @staticmethod
    def engine(side):
        return json.loads(http_call(side.upstream, "GET", "/orders")[2])

    def received(self, side):
        """Returns the fences of the orders that the engine received, in order of arrival."""
        return [order["fence"] for order in self.engine(side)["orders"]]

    def in_force(self, side):
        return {order["kind"]: order["argument"] for order in self.engine(side)["in_force"]}

    def tracked(self, side):
        """Returns the orders in the side's status, by id."""
        status = json.loads(http_call(side.admin, "GET", "/status")[2])
        return {order["order_id"]: order for order in status["orders"]}

    def log_end(self):
        """Returns the offset that the next order will get."""
        return int(http_call(self.fleet.platform, "GET",
                             "/v1/streams/orders/records?from=1&limit=1")[1]["X-Next-Offset"])

    def assert_fences_rise(self, side):
        fences = self.received(side)
        self.assertEqual(fences, sorted(set(fences)))


class OrdersTest(OrdersTestCase):
    """Execution, repetition and refusal of orders."""

    def test_an_order_is_carried_out_and_reported(self):
        for side in (self.unfenced, self.fenced):
            done = self.order(side, "load-model", "drafter-2", "--wait")
            report = json.loads(done.stdout)
            self.assertEqual((report["vm"], report["state"]), (side.name, "done"))
            self.assertEqual(self.in_force(side)["load_model"], "drafter-2")
            self.assertIn(report["fence"], self.received(side))
            self.order(side, "load-adapter", "streets", "--wait")
            self.order(side, "load-version", "drafter-2.1", "--wait")
            self.order(side, "change-role", "standby", "--wait")
            rows = json.loads(self.fleet.ctl("--output=json", "status").stdout)
            row = next(row for row in rows if row["vm"] == side.name)
            last = row["orders"][-1]
            self.assertEqual((last["kind"], last["argument"], last["state"]),
                             ("change-role", "standby", "done"))
            self.assert_fences_rise(side)

    def test_racing_operators_never_turn_an_engine_back(self):
        def operate(name):
            for number in range(12):
                kind = ("load-model", "change-role")[number % 2]
                self.order(self.unfenced, kind, f"{name}-{number}")
        operators = [threading.Thread(target=operate, args=(name,)) for name in ("ada", "ben")]
        for operator in operators:
            operator.start()
        for operator in operators:
            operator.join()
        for kind in ("load-model", "change-role"):
            self.order(self.unfenced, kind, f"last-{kind}", "--wait")
        self.assert_fences_rise(self.unfenced)
        self.assertEqual(self.in_force(self.unfenced)["load_model"], "last-load-model")
        self.assertEqual(self.in_force(self.unfenced)["change_role"], "last-change-role")

    def test_a_killed_side_comes_back_without_giving_again(self):
        first = json.loads(self.order(self.unfenced, "load-model", "kept", "--wait").stdout)
        before = self.received(self.unfenced)
        self.unfenced.process.kill()
        newer = self.submit(self.unfenced, "change-role", "after-the-kill")
        self.unfenced.process.start()
        wait_until(lambda: self.tracked(self.unfenced).get(newer["order_id"], {}).get("state")
                   == "done", "the newer order done")
        self.assertEqual(self.tracked(self.unfenced)[first["order_id"]]["state"], "done")
        self.assertEqual(self.received(self.unfenced), before + [newer["fence"]])

    def test_an_engine_that_restarted_gets_the_newest_order_of_each_kind_again(self):
        self.order(self.fenced, "load-model", "older", "--wait")
        newest = [json.loads(self.order(self.fenced, kind, f"newest-{kind}", "--wait").stdout)
                  for kind in ("load-model", "load-adapter", "load-version", "change-role")]
        engine = self.fleet.upstreams[self.fenced.name]
        engine.kill()
        engine.start()
        wait_until(lambda: len(self.in_force(self.fenced)) == 4, "the orders in force again")
        self.assertEqual(self.received(self.fenced), [order["fence"] for order in newest])

    def test_a_dead_engine_keeps_the_order_waiting(self):
        engine = self.fleet.upstreams[self.unfenced.name]
        engine.kill()
        late = self.order(self.unfenced, "load-model", "patient", "--wait", "--timeout=1",
                          check=False)
        self.assertEqual(late.returncode, 5, late.stderr)
        engine.start()
        wait_until(lambda: self.in_force(self.unfenced).get("load_model") == "patient",
                   "the order in force")
        self.assert_fences_rise(self.unfenced)

    def test_unknown_vm_or_kind_orders_nothing(self):
        end = self.log_end()
        for arguments, words in (
                (("nowhere", "load-model", "x"), "no VM 'nowhere'"),
                ((self.unfenced.name, "explode", "x"), "unknown kind of order 'explode'"),
                ((self.unfenced.name, "load-model"), "usage: tamarackctl order"),
                ((self.unfenced.name, "load-model", ""), "usage: tamarackctl order")):
            done = self.fleet.ctl("order", *arguments, check=False)
            self.assertEqual(done.returncode, 2, done.stderr)
            self.assertIn(words, done.stderr)
        self.assertEqual(self.log_end(), end)

    def test_a_plain_service_takes_no_orders(self):
        done = self.order(self.service, "load-model", "x", "--wait", check=False)
        self.assertEqual(done.returncode, 6, done.stderr)
        self.assertIn("takes no orders", done.stdout)

    def test_while_the_log_is_down_nothing_is_ordered(self):
        end = self.log_end()
        before = self.received(self.unfenced)
        self.fleet.fault(self.fleet.platform, log="down")
        try:
            done = self.order(self.unfenced, "load-model", "never", check=False)
        finally:
            self.fleet.fault(self.fleet.platform, log="up")
        self.assertEqual(done.returncode, 1, done.stderr)
        self.assertIn("nothing was ordered", done.stderr)
        self.assertEqual(self.log_end(), end)
        self.order(self.unfenced, "change-role", "log-is-back", "--wait")
        self.assertEqual(len(self.received(self.unfenced)), len(before) + 1)

    def test_a_lost_answer_orders_once(self):
        for lost, code in ((1, 0), (3, 4)):
            before = self.engine(self.unfenced)["orders"]
            self.fleet.fault(self.fleet.platform, lose_next_answers=lost)
            done = self.order(self.unfenced, "change-role", f"lost-{lost}", check=False)
            self.assertEqual(done.returncode, code, done.stderr)
            wait_until(lambda n=lost: self.in_force(self.unfenced).get("change_role")
                       == f"lost-{n}", "the order in force")
            # The completion of a later order shows that no repeat of the first one is pending.
            self.order(self.unfenced, "change-role", f"after-{lost}", "--wait")
            given = self.engine(self.unfenced)["orders"][len(before):]
            self.assertEqual([order["argument"] for order in given],
                             [f"lost-{lost}", f"after-{lost}"])
            if code == 0:
                self.assertEqual(json.loads(done.stdout)["fence"], given[0]["fence"])


class RefusalTest(OrdersTestCase):
    """An engine that has received a newer fence from another sender."""

    def test_a_refused_order_is_reported(self):
        newer = {"order_id": "elsewhere", "fence": 10**6, "kind": "change_role", "argument": "x"}
        self.assertEqual(http_call(self.fenced.upstream, "POST", "/orders",
                                   json.dumps(newer))[0], 200)
        done = self.order(self.fenced, "load-model", "y", "--wait", check=False)
        self.assertEqual(done.returncode, 6, done.stderr)
        self.assertIn("fence 1000000", done.stdout)
        self.assertNotIn("load_model", self.in_force(self.fenced))


class BusyStoreTest(OrdersTestCase):
    """A weight store that is occupied by another reader."""

    platform_flags = ("--weight_bytes=100000", "--weight_rate=25000", "--weight_readers=1")

    def test_a_load_is_given_again_when_the_store_was_busy(self):
        host, port = self.fleet.platform.split(":")
        reader = http.client.HTTPConnection(host, int(port), timeout=60)
        reader.request("GET", "/v1/weights/other")
        response = reader.getresponse()
        order = self.submit(self.unfenced, "load-model", "in-demand")
        wait_until(lambda: "weight store" in
                   self.tracked(self.unfenced).get(order["order_id"], {}).get("message", ""),
                   "the side reporting a busy weight store")
        self.assertEqual(len(response.read()), 100000)
        reader.close()
        wait_until(lambda: self.in_force(self.unfenced).get("load_model") == "in-demand",
                   "the order in force")
        fences = self.received(self.unfenced)
        self.assertGreater(len(fences), 1)
        self.assertEqual(set(fences), {order["fence"]})


class WaitingOrderTest(OrdersTestCase):
    """Loads that wait for their turn at the weight store."""

    manifest = with_interval(f"{PAUSED_INTERVAL_S}s")

    def test_a_paused_side_drops_the_order_that_a_newer_one_replaced(self):
        first = json.loads(self.order(self.unfenced, "load-model", "m1", "--wait").stdout)
        second = self.submit(self.unfenced, "load-model", "m2")
        wait_until(lambda: second["order_id"] in self.tracked(self.unfenced), "the order known")
        self.assertEqual(self.tracked(self.unfenced)[second["order_id"]]["state"], "waiting")
        self.unfenced.process.signal(signal.SIGSTOP)
        third = self.submit(self.unfenced, "load-model", "m3")
        time.sleep(PAUSED_INTERVAL_S + 1)  # until the second order's turn has passed
        self.unfenced.process.signal(signal.SIGCONT)
        wait_until(lambda: self.in_force(self.unfenced).get("load_model") == "m3",
                   "the newest order in force")
        self.assertEqual(self.received(self.unfenced), [first["fence"], third["fence"]])
        self.assertEqual(self.tracked(self.unfenced)[second["order_id"]]["state"], "superseded")

    def test_loads_of_different_vms_take_turns(self):
        started = time.monotonic()
        for number in range(2):
            self.submit(self.unfenced, "load-adapter", f"a{number}")
            self.submit(self.fenced, "load-adapter", f"b{number}")
        wait_until(lambda: self.in_force(self.fenced).get("load_adapter") == "b1", "the last load")
        # The last of four loads has its turn three intervals after the first.
        self.assertGreaterEqual(time.monotonic() - started, 3 * PAUSED_INTERVAL_S)


if __name__ == "__main__":
    main()
