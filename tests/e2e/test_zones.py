"""End-to-end tests of gateways that report by zone, as those of large fleets do."""

import json
import time

from batch_calls import BatchCalls
from site_standins import complete_stream
from support import http_call, main, wait_until
import test_gateway
import test_leaving

ZONES = "abc"


class ZoneSettings:
    """Puts gateways into zones in turn and lets each zone report as a whole."""

    zones = 2

    def add_gateway(self, name):
        number = int(name.split("-")[1])
        self.settings = {"direct-fleet": 1, "zone": ZONES[number % self.zones]}
        return super().add_gateway(name)

    def setUp(self):
        super().setUp()
        self.wait_for_contact()

    def wait_for_contact(self):
        for gateway in self.gateway:
            wait_until(lambda: self.share_of(gateway) == 1, "all in contact")  # noqa: B023

    @staticmethod
    def share_of(gateway):
        """Returns the share of the rates that the gateway and those in contact with it have."""
        text = http_call(gateway.admin_address, "GET", "/metrics")[2].decode()
        values = [line.split()[1] for line in text.splitlines()
                  if line.startswith("tamarack_rate_share ")]
        return float(values[0]) if values else 0.0


class ZoneTest(BatchCalls, ZoneSettings, test_gateway.SiteTestCase):
    """Six gateways in three zones."""

    gateways = 6
    zones = 3

    def test_streams_are_served_in_all_zones(self):
        for gateway in range(6):
            status, _, body, request = self.call(gateway=gateway)
            self.assertEqual((status, body), (200, complete_stream(request)))

    def test_a_rate_is_shared_over_all_zones(self):
        time.sleep(1.2)  # the token bucket of 5 fills
        begun = time.monotonic()
        statuses = [self.call(gateway=i % 6, key="key-south")[0] for i in range(120)]
        lasted = time.monotonic() - begun
        self.assertEqual(set(statuses), {200, 429})
        self.assertLessEqual(statuses.count(200), (5 * lasted + 5) * 1.1 + 20)

    def test_one_gateway_may_use_the_whole_rate(self):
        time.sleep(1.2)
        admitted = 0
        begun = time.monotonic()
        while time.monotonic() - begun < 4:
            admitted += self.call(key="key-south")[0] == 200
            time.sleep(0.2)
        self.assertGreaterEqual(admitted, 5 * 4 * 0.9)

    def test_contact_returns_after_the_loss_of_any_gateways(self):
        for lost in ((0, 3), (1, 2), (0, 1, 2, 3, 4, 5)):
            for number in lost:
                self.gateway[number].process.kill()
            time.sleep(0.5)
            for number in lost:
                self.gateway[number].process.start()
            for number in lost:
                wait_until(self.gateway[number].ready, "ready")
            self.wait_for_contact()

    def test_a_job_is_done_once(self):
        self.assertEqual(self.submit("j", items=24), 202)
        wait_until(lambda: self.results("j")[1]["next"] == 24, "job finished")
        names = [each["id"] for each in self.results("j")[1]["results"]]
        self.assertEqual(len(set(names)), 24)
        for gateway in range(6):
            answer = self.call("/tamarackglade/lots/j?after=0", gateway, None, method="GET")[2]
            self.assertEqual([each["id"] for each in json.loads(answer)["results"]], names)


class ZoneQuarantineTest(ZoneSettings, test_gateway.QuarantineTest):
    """A prompt part that crashes engines; gateways 0 and 1 are in different zones."""

    gateways = 4


class ZoneLeavingTest(ZoneSettings, test_leaving.LeavingTest):
    """Engines that state that they leave; gateways 0 and 1 are in different zones."""

    gateways = 4


class ZoneUpstreamRateTest(ZoneSettings, test_gateway.UpstreamRateTest):
    """An engine that names a rate; gateways 0 and 1 are in different zones."""

    gateways = 4


if __name__ == "__main__":
    main()
