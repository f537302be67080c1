"""Calls about batch jobs, for the end-to-end tests of gateways."""

import base64
import json

from support import wait_until
from test_gateway import KEY


class BatchCalls:
    """Mixin for a SiteTestCase: submits jobs and reads their results."""

    def job(self, name, items=3, tokens=100, size=10):
        listed = [{"id": f"{name}-{i}", "path": "/jobs/x", "headers": {"Model": "m"},
                   "body": base64.b64encode(b"b" * size).decode(), "tokens": tokens}
                  for i in range(items)]
        return json.dumps({"items": listed})

    def submit(self, name, gateway=0, key=KEY, **options):
        return self.call("/jobs/" + name, gateway, self.job(name, **options), key,
                         **{"Request-Id": name})[0]

    def results(self, name, gateway=0, after=0, key=KEY, wait=0):
        status, _, body, _ = self.call(f"/tamarackglade/lots/{name}?after={after}", gateway, None,
                                       key, "GET", **{"Wait-Ms": str(wait)})
        return (status, json.loads(body)) if status == 200 else (status, None)

    def finished(self, name, items=3, gateway=0):
        wait_until(lambda: self.results(name, gateway)[1]["next"] == items, f"{name} finished")
        return self.results(name, gateway)[1]["results"]

    def wait_for_shared_items(self):
        """Waits until each gateway runs only its own items; before, two may run the same one."""
        for gateway in self.gateway:
            wait_until(lambda: gateway.metric("tamarack_serving_gateways")  # noqa: B023
                       == self.gateways, "gateways that share the items")
