"""A customer far within its rate is refused by no entry, also after another one stopped."""

from support import FleetTestCase, main

REQUESTS = 50


class RateAfterStopTest(FleetTestCase):
    """The customer's rate is 1,000 a second with a burst of 1,000; the fleet has just started, and
    the VM list still holds the stopped VM."""

    def test_no_refusal_within_the_rate_after_a_planned_stop(self):
        self.assertEqual(self.fleet.entries[1].process.stop(), 0)
        entry = self.fleet.entries[0]
        statuses = [self.call_model(entry, f"after the stop {n}")[0] for n in range(REQUESTS)]
        self.assertEqual(statuses, [200] * REQUESTS)


if __name__ == "__main__":
    main()
