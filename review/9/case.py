"""The operator takes away the last key: requests without a valid key run from then on."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness_2 import KEY, TROUBLE, config, play, route, tenant, wait_until  # noqa: E402

REVOKE_S = 5.0  # revokeMs of the small deployments
LATER_S = 1.0  # requests are sent so much later than the rule's bound


def run(site):
    routes = [route("notices")]
    site.add_engine("i-0")
    site.add_engine("i-1")
    north, south = tenant("north", [KEY]), tenant("south", ["key-south"])
    site.publish(config(1, [north, south], routes))
    site.add_gateways(3)
    time.sleep(1)

    def statuses(key):
        answers = [site.call(gateway, "/notices/x", key=key) for gateway in site.gateways]
        return [each[1] for each in answers], {each[0] for each in answers}

    # With both tenants, and after the first of them has gone, keys are checked as they should be.
    if statuses(KEY)[0] != [200] * 3 or statuses("key-none")[0] != [401] * 3:
        raise RuntimeError("keys aren't checked at the start")
    acknowledged = site.publish(config(2, [north], routes))
    time.sleep(max(0.0, acknowledged + REVOKE_S + LATER_S - time.monotonic()))
    if statuses("key-south")[0] != [401] * 3 or statuses(KEY)[0] != [200] * 3:
        raise RuntimeError("the first withdrawal isn't in force")
    if TROUBLE:
        acknowledged = site.publish(config(3, [], routes))
        wait_until(lambda: all(any(line["version"] == 3 for line in
                                   gateway.lines_of("configuration in force"))
                               for gateway in site.gateways), "configuration in force", 10)
        time.sleep(max(0.0, acknowledged + REVOKE_S + LATER_S - time.monotonic()))
    refused = []
    for key in ([KEY] if TROUBLE else []) + ["key-south", "key-none", None]:
        refused.append(statuses(key))
    ran = [each[1] for engine in site.engines for each in engine.runs]
    broken = sorted(request for _, requests in refused for request in requests if request in ran)
    site.record.add("ran-without-a-valid-key", requests=len(broken), ids=",".join(broken))
    print("requests that ran without a valid key:", len(broken), "of",
          sum(len(requests) for _, requests in refused))
    return not broken


play(__file__, run)
