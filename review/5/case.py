"""A batch route is split between two services, and the engines of the one listed first are lost."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness  # noqa: E402

KEY = "key-north"
ITEMS = 40
FINISH_S = 18
CALM_S = 5  # in which no engine had an item
HEARTBEATS_S = 3.6  # three intervals of `heartbeatMs`


def body(case):
    lost = [case.add_engine("engine-a0", group="service-a")]
    sound = [case.add_engine(f"engine-b{number}", group="service-b") for number in range(5)]
    split = [{"service": "service-a", "weight": 10}, {"service": "service-b", "weight": 90}]
    checks = harness.route("checks", "/jobs/", "batch", trafficSplit=split)
    del checks["service"]
    case.publish(harness.config(1, [checks], {"north": KEY}, ["service-a", "service-b"]))
    for number in range(2):
        case.add_gateway(f"gateway-{number}")
    case.wait_ready()
    if harness.TROUBLE:
        for engine in lost:
            engine.stop()
            engine.cut_connections()
            case.note(f"{engine.id} is lost for good")
        time.sleep(HEARTBEATS_S)
        for engine in lost:
            case.store.put("keyed.servers", engine.id, b"")
        time.sleep(1)
    job = "b0b0b0b0b0b0b0b0"
    items = [harness.item(f"item-{i}") for i in range(ITEMS)]
    if not case.submit(case.gateways[1], job, items, KEY):
        return
    _, total, results = case.all_results(case.gateways[0], job, KEY, FINISH_S)
    begun = {engine.id: len(engine.runs) for engine in case.engines}
    case.note("runs begun: %s" % begun)
    if len(results) < total and case.idle(sound, CALM_S):
        case.violation(f"{total - len(results)} of {total} items of the batch job {job} are "
                       f"neither done nor dead {FINISH_S} s after the last client's request, with "
                       f"{len(sound)} engines of its route idle")


harness.run(pathlib.Path(__file__).parent, body)
