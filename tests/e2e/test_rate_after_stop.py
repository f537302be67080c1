"""Checks that a customer within its rate is not refused after the planned stop of an entry."""

from support import FleetTestCase, main

REQUESTS = 50


class RateAfterStopTest(FleetTestCase):
    """The customer has a rate of 1,000/s and a burst of 1,000. The fleet has just started, and the
    VM list still contains the stopped VM."""

    def test_no_refusal_within_the_rate_after_a_planned_stop(self):
        self.assertEqual(self.fleet.entries[1].process.stop(), 0)
        entry = self.fleet.entries[0]
        statuses = [self.call_model(entry, f"after the stop {n}")[0] for n in range(REQUESTS)]
        self.assertEqual(statuses, [200] * REQUESTS)


if __name__ == "__main__":
    main()
