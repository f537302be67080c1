"""Results of batch items without text: what callers read of them at each gateway."""

from batch_calls import BatchCalls
from support import main, wait_until
import test_gateway

TENANTS = {name: f"key-{name}" for name in ("east", "north", "south", "hills", "shire")}
UNDOABLE = 422  # status of an engine that can never do an item


class ResultsWithoutTextTest(BatchCalls, test_gateway.SiteTestCase):
    """Three gateways and customers of three of the four partitions of the batch streams."""

    gateways = 3

    def setUp(self):
        super().setUp()
        tenants = [{"name": name, "apiKeys": [key], "ratePerS": 0}
                   for name, key in TENANTS.items()]
        self.publish(test_gateway.config(2, tenants=tenants))

    def run_sound_jobs(self):
        """Each customer's first job is done; its contents are then in some gateways' caches."""
        for name, key in TENANTS.items():
            self.assertEqual(self.submit(f"sound-{name}", key=key), 202)
        for name, key in TENANTS.items():
            for gateway in range(self.gateways):
                wait_until(lambda: self.results(f"sound-{name}", gateway,  # noqa: B023
                                                key=key)[1]["next"] == 3,  # noqa: B023
                           "sound jobs finished")

    def texts_at_gateways(self, job, key):
        """Returns, for each gateway, what it answers: (id, state, text) by position."""
        pages = []
        for gateway in range(self.gateways):
            wait_until(lambda: self.results(job, gateway, key=key)[1]["next"] == 1,  # noqa: B023
                       "the item has a result")
            page = self.results(job, gateway, key=key)[1]["results"]
            pages.append([(r["id"], r["state"], r["outputText"]) for r in page])
        return pages

    def test_a_dead_items_result_is_the_same_and_empty_at_all_gateways(self):
        for engine in self.engine:
            engine.statuses = {f"never-{name}-0": UNDOABLE for name in TENANTS}
        self.run_sound_jobs()
        for name, key in TENANTS.items():
            job = f"never-{name}"
            self.assertEqual(self.submit(job, key=key, items=1), 202)
            self.assertEqual(self.texts_at_gateways(job, key),
                             [[(f"{job}-0", "dead", "")]] * self.gateways, name)


if __name__ == "__main__":
    main()
