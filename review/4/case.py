"""The engine of one service is lost; batch jobs of another service wait behind its items."""

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
    routes = [harness.route("checks-a", "/a/", "batch", service="service-a"),
              harness.route("checks-b", "/b/", "batch", service="service-b")]
    case.publish(harness.config(1, routes, {"north": KEY}, ["service-a", "service-b"]))
    for number in range(2):
        case.add_gateway(f"gateway-{number}")
    case.wait_ready()
    if harness.TROUBLE:
        for engine in lost:
            engine.stop()
            engine.cut_connections()
            case.note(f"{engine.id} is lost for good")
        time.sleep(HEARTBEATS_S)
        for engine in lost:  # after three heartbeat intervals of silence
            case.store.put("keyed.servers", engine.id, b"")
        time.sleep(1)
    first, second = "a0a0a0a0a0a0a0a0", "b0b0b0b0b0b0b0b0"
    items = [harness.item(f"a-item-{i}", path="/a/1/x") for i in range(ITEMS)]
    case.submit(case.gateways[0], first, items, KEY, "/a/")
    time.sleep(1)
    items = [harness.item(f"b-item-{i}", path="/b/1/x") for i in range(ITEMS)]
    if not case.submit(case.gateways[1], second, items, KEY, "/b/"):
        return
    _, total, results = case.all_results(case.gateways[0], second, KEY, FINISH_S)
    begun = sum(len(engine.runs) for engine in sound)
    if len(results) < total and case.idle(sound, CALM_S):
        case.violation(f"{total - len(results)} of {total} items of the batch job {second} are "
                       f"neither done nor dead {FINISH_S} s after the last client's request; its "
                       f"engines have begun {begun} runs and are idle")


harness.run(pathlib.Path(__file__).parent, body)
