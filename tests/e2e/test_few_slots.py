"""End-to-end test of batch items at engines with few slots, which two gateways share."""

from batch_calls import BatchCalls
from support import main
import test_gateway


class FewSlotsTest(BatchCalls, test_gateway.SiteTestCase):
    """The engines of the gateways' own zone have left; one in another zone takes the items."""

    gateways = 2

    def test_items_run_at_engines_of_few_slots_in_another_zone(self):
        for engine in self.engine:
            self.store.put("keyed.servers", engine.id, b"")
        for slots in (1, 2, 4):
            name = f"few-{slots}"
            engine = self.add_engine(name, zone="b", slots=slots)
            self.assertEqual(self.submit(name, items=12), 202)
            self.assertEqual({r["state"] for r in self.finished(name, 12)}, {"done"})
            self.assertLessEqual(engine.max_active, slots)
            self.store.put("keyed.servers", name, b"")


if __name__ == "__main__":
    main()
