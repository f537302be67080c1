"""End-to-end tests of split routes whose smaller group takes no work though its record stays."""

import time

from batch_calls import BatchCalls
from site_standins import complete_stream, output_text
from support import main, wait_until
import test_gateway

SPLIT = [{"service": "small", "weight": 10}, {"service": "large", "weight": 90}]
ITEMS = 40
REQUESTS = 40
PROMPT_S = 6.0  # within which items of the small group are done at the large one
ANSWER_S = 1.5  # within which a request is answered by the large group


def split_config():
    value = test_gateway.config(2)
    for route in value["routes"]:
        del route["service"]
        route["trafficSplit"] = SPLIT
        route["maxCount"] = 0
    value["services"] = [dict(value["services"][0], name=each["service"]) for each in SPLIT]
    return value


class SplitFleet(test_gateway.SiteTestCase):
    """One engine serves the small group, three the large one."""

    engines = 4

    def add_engine(self, name, **options):
        return super().add_engine(name, group="small" if name == "engine-0" else "large", **options)

    def add_gateway(self, name):
        self.store.put("keyed.op", "config", split_config())
        return super().add_gateway(name)

    @property
    def small(self):
        return self.engine[0]

    def trouble(self, name):
        """Makes the small group's engine take no work; its record stays."""
        if name == "gone":
            self.small.stop()
        elif name == "refuses":
            self.small.sheds_every = 1
        elif name == "hangs":
            self.small.silent_at, self.small.silence_s = 0, 30.0
        elif name == "fails":
            self.small.status = 500


class SplitItemsTest(BatchCalls, SplitFleet):
    """Batch items of a split route."""

    gateways = 2

    def listed(self, name, seconds):
        """Reads the results page by page until all are listed or the time is over."""
        deadline = time.monotonic() + seconds
        results = []
        while len(results) < ITEMS and time.monotonic() < deadline:
            results += self.results(name, after=len(results), wait=100)[1]["results"]
        return {r["id"]: (r["state"], r["outputText"]) for r in results}

    def check_items(self, trouble):
        self.wait_for_shared_items()
        self.trouble(trouble)
        self.assertEqual(self.submit("j", items=ITEMS), 202)
        self.assertEqual(self.listed("j", PROMPT_S), self.whole("j"))

    @staticmethod
    def whole(name):
        return {f"{name}-{i}": ("done", output_text(f"{name}-{i}")) for i in range(ITEMS)}

    def test_items_of_a_group_whose_engine_is_gone_run_elsewhere(self):
        self.check_items("gone")

    def test_items_of_a_group_that_refuses_all_run_elsewhere(self):
        self.check_items("refuses")

    def test_items_of_a_group_that_hangs_run_elsewhere(self):
        self.check_items("hangs")
        self.assertLessEqual(len(self.small.runs), 10)

    def test_items_of_a_group_that_fails_run_elsewhere(self):
        self.check_items("fails")

    def test_texts_of_a_group_that_hangs_begin_anew_elsewhere(self):
        self.wait_for_shared_items()
        self.small.silent_at, self.small.silence_s = 2, 30.0
        self.assertEqual(self.submit("j", items=ITEMS), 202)
        wait_until(lambda: self.small.runs, "a text begun at the small group")
        self.small.silent_at = 0
        self.assertEqual(self.listed("j", 2 * PROMPT_S), self.whole("j"))

    def test_a_group_that_serves_again_gets_its_share_again(self):
        self.wait_for_shared_items()
        self.small.status = 500
        self.assertEqual(self.submit("j", items=ITEMS), 202)
        self.assertEqual(self.listed("j", PROMPT_S), self.whole("j"))
        self.small.status = 200
        failed = len(self.small.runs)
        names = (f"k{i}" for i in range(100))
        wait_until(lambda: self.submit(next(names), items=5) == 202
                   and len(self.small.runs) > failed + 3, "runs at the small group", 20)


class SplitStreamTest(SplitFleet):
    """Online requests of a split route."""

    def check_requests(self, trouble, path="/stream/x"):
        self.trouble(trouble)
        for _ in range(REQUESTS):
            began = time.monotonic()
            status, _, body, request = self.call(path)
            self.assertEqual((status, body), (200, complete_stream(request)))
            self.assertLess(time.monotonic() - began, ANSWER_S)

    def test_requests_of_a_group_whose_engine_is_gone_are_served_elsewhere(self):
        self.check_requests("gone")

    def test_once_only_requests_of_a_group_whose_engine_is_gone_are_served_elsewhere(self):
        self.check_requests("gone", "/once/x")

    def test_requests_of_a_group_that_refuses_all_are_served_elsewhere(self):
        self.check_requests("refuses")

    def test_requests_of_a_group_that_hangs_are_served_elsewhere(self):
        self.check_requests("hangs")

    def test_requests_of_a_group_that_fails_are_served_elsewhere(self):
        self.check_requests("fails")


if __name__ == "__main__":
    main()
