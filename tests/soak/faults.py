"""The faults of the soak, and the plan of a seed: series of faults that overlap."""

import random
import signal
import threading
import time

from deployment import PERMANENT_KEYS, WITHDRAWN_S
from faulty_link import DELAY, NO_ANSWERS, NO_REQUESTS, PASS, RESET, SILENT

SERIES_CHANCE = 0.5
MAX_SERIES = 4
MAX_FAULT_S = 4.0
SILENCE_S = (0.7, 1.5)  # of a sound engine

WITHHOLDING = threading.Lock()  # one thread at a time takes the customers away


def apply_fault(site, target, seconds, begin, end):
    """Records a fault on the target while begin() has taken effect and end() has not."""
    done = site.ledger.begin_fault(target)
    begin()
    time.sleep(seconds)
    end()
    done()


def gateway_kill(site, rng):
    gateway = rng.choice(site.gateways)
    done = site.ledger.begin_fault(gateway.name)
    gateway.kill(rng.uniform(0, 1))
    done()


def gateways_kill(site, rng):
    """Kills all gateways at once, which may be just after a job was accepted."""
    done = site.ledger.begin_fault("gateways")
    down_s = rng.uniform(0, 1)
    threads = [threading.Thread(target=each.kill, args=[down_s]) for each in site.gateways]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    done()


def gateway_pause(site, rng):
    gateway = rng.choice(site.gateways)
    seconds = rng.choice([rng.uniform(0.05, 0.6), rng.uniform(1, MAX_FAULT_S)])
    apply_fault(site, gateway.name, 0, lambda: gateway.pause(seconds), lambda: None)


def gateway_stop(site, rng):
    gateway = rng.choice(site.gateways)
    done = site.ledger.begin_fault(f"stop of {gateway.name}")
    code = gateway.planned_stop()
    done()
    if code != 0:
        site.ledger.add_violation("EXIT", f"{gateway.name}: a planned stop ended with {code}")


def gateway_settings(site, rng):
    """Changes the settings file of a gateway, with or without a SIGHUP."""
    gateway = rng.choice(site.gateways)
    with gateway.lock:
        gateway.write({**gateway.values, "silence-limit": rng.choice([250, 300, 400])})
        if rng.random() < 0.7:
            gateway.signal(signal.SIGHUP)


def gateway_link(site, rng):
    """Disturbs the link between one gateway and the store."""
    gateway = rng.choice(site.gateways)
    mode = rng.choice([DELAY, SILENT, NO_ANSWERS, NO_REQUESTS, RESET])
    apply_fault(site, gateway.name, rng.uniform(0.2, MAX_FAULT_S),
                lambda: gateway.link.set_mode(mode), lambda: gateway.link.set_mode(PASS))


def engine_link(site, rng):
    """Disturbs the link between all gateways and one engine."""
    engine = site.pick_engine(rng)
    link = site.links[engine.id]
    mode = rng.choice([DELAY, SILENT, NO_ANSWERS, NO_REQUESTS, RESET])
    apply_fault(site, engine.id, rng.uniform(0.2, MAX_FAULT_S), lambda: link.set_mode(mode),
                lambda: link.set_mode(PASS))


def connections_reset(site, rng):
    """Resets the open connections of one link; new ones work."""
    links = [*site.links.values(), *(each.link for each in site.gateways)]
    apply_fault(site, "resets", 0, rng.choice(links).reset_all, lambda: None)


def store_down(site, rng):
    apply_fault(site, "store", rng.uniform(0.2, MAX_FAULT_S), lambda: site.store.set_down(True),
                lambda: site.store.set_down(False))


def store_refusing(site, rng):
    def refuse(status):
        site.store.refusing = status

    status = rng.choice([429, 503])
    apply_fault(site, "store", rng.uniform(0.2, MAX_FAULT_S), lambda: refuse(status),
                lambda: refuse(0))


def store_slow(site, rng):
    def slow(seconds):
        site.store.delay = seconds

    seconds = rng.uniform(0.05, 0.5)
    apply_fault(site, "store", rng.uniform(0.2, MAX_FAULT_S), lambda: slow(seconds),
                lambda: slow(0.0))


def store_loses_answers(site, rng):
    """Loses the answers of appends that take effect at once, late, or never."""
    faults = [rng.choice(["lost", "never", "late"]) for _ in range(rng.randint(1, 6))]
    stream = rng.choice(["batches", "batches", "keyed.members"])
    site.store.append_faults.setdefault(stream, []).extend(faults)


def store_drops_history(site, rng):
    done = site.ledger.begin_fault("store")
    site.store.drop_history((rng.choice(["keyed.op", "keyed.servers"]), 0))
    done()


def engine_misbehaves(site, rng):
    """Makes an engine cut, stall, refuse, fail or duplicate its answers."""
    engine = site.pick_engine(rng)
    attribute, value, good = rng.choice([
        ("break_at", rng.randint(0, 7), None), ("silent_at", rng.randint(0, 7), None),
        ("shed", 10_000, 0), ("status", 500, 200), ("extra_answers", 50, 0)])
    apply_fault(site, engine.id, rng.uniform(0.2, MAX_FAULT_S),
                lambda: setattr(engine, attribute, value), lambda: setattr(engine, attribute, good))


def engine_falls_silent(site, rng):
    """An engine is silent for about a second and goes on, which is no fault of it."""
    engine = site.pick_engine(rng)
    seconds = rng.uniform(*SILENCE_S)
    apply_fault(site, f"silence of {engine.id}", seconds,
                lambda: site.links[engine.id].fall_silent(seconds), lambda: None)


def engine_drains(site, rng):
    """Drains an engine, removes it 2 to 4 s later, and adds another one."""
    drain(site, site.pick_engine(rng), rng.uniform(2, 4))


def engine_drains_long(site, rng):
    """Drains an engine for 3.5 s, during which it would still serve requests."""
    drain(site, site.pick_engine(rng), 3.5)


def drain(site, engine, seconds):
    site.add_engine()
    site.list_engine(engine, "draining")
    site.ledger.drains.setdefault(engine.id, time.monotonic())
    time.sleep(seconds)
    site.drop_engine(engine)


def engine_crashes(site, rng):
    """Crashes an engine: its record is removed later, and its address serves another group."""
    engine = site.pick_engine(rng)
    link = site.links[engine.id]
    apply_fault(site, engine.id, rng.uniform(0.5, 2), lambda: link.set_mode(RESET),
                lambda: site.drop_engine(engine))
    site.add_engine()
    link.target = site.unrelated_engine.address
    link.set_mode(PASS)


def key_withdrawn(site, rng):
    customer = rng.choice(["north", "south"])
    key = site.issue_key(customer)
    site.issued_keys.setdefault(customer, []).append(key)
    time.sleep(rng.uniform(0.1, 3))
    site.withdraw_key(key)


def without_customers(rng):
    """Returns what makes a configuration one in which no customer has a key."""
    nameless = {"apiKeys": [PERMANENT_KEYS["north"]]}
    tenants = rng.choice([[], None, {}, "", 0, [None], [[]], [nameless]])
    fields = rng.choice([{"apiKeys": []}, {"apiKeys": None}, {"apiKeys": ""}, {"name": None},
                         {"name": ""}, {"ratePerS": None}, {"burst": "5"}, {"priority": []}])
    version = rng.choice([None, "9", -1, 0.5])
    record = rng.choice([b"", b"{", b"null"])
    return rng.choice([
        lambda config: dict(config, tenants=tenants),
        lambda config: dict(config, tenants=[dict(each, **fields) for each in config["tenants"]]),
        lambda config: dict(config, tenants=[], version=version),
        lambda config: record])


def customers_withheld(site, rng):
    """Takes the keys of all customers away and gives them back, each time in another way."""
    with WITHHOLDING:
        for _ in range(rng.randint(1, 3)):
            site.withhold_customers(without_customers(rng), rng.uniform(0.2, 2 * WITHDRAWN_S))
            time.sleep(rng.uniform(0, 1))


def configurations_in_series(site, rng):
    for _ in range(rng.randint(2, 10)):
        site.publish()
        time.sleep(rng.uniform(0, 0.2))


def configurations_change(site, rng):
    """Publishes configurations that change limits of the routes and callers, and add routes."""
    for _ in range(rng.randint(1, 4)):
        site.change_config(rng)
        time.sleep(rng.uniform(0, 0.5))


def callers_send_faster(site, rng):
    site.rate_factor = 6.0
    time.sleep(rng.uniform(1, MAX_FAULT_S))
    site.rate_factor = 1.0


def callers_disconnect(site, rng):
    site.disconnect_chance = 0.4
    time.sleep(rng.uniform(0.5, MAX_FAULT_S))
    site.disconnect_chance = 0.0


# The order and number decide the plan of a seed.
BASIC_FAULTS = [gateway_kill, gateways_kill, gateway_pause, gateway_stop, gateway_settings,
                gateway_link, engine_link, connections_reset, store_down, store_refusing, store_slow,
                store_loses_answers, store_drops_history, engine_misbehaves, engine_drains,
                engine_crashes, key_withdrawn, configurations_in_series, callers_send_faster,
                callers_disconnect]
FAULTS = [*BASIC_FAULTS, engine_falls_silent, configurations_change]
CUSTOMER_FAULTS = [*BASIC_FAULTS, *[customers_withheld] * 4, configurations_change]
KINDS = {  # faults that a run draws from
    "all": FAULTS,
    "basic": BASIC_FAULTS,
    "customers": CUSTOMER_FAULTS,
    "silence": [engine_falls_silent],
    "configurations": [configurations_change],
    "silence-and-configurations": [engine_falls_silent, engine_falls_silent, configurations_change,
                                   gateway_settings],
}
CALM_KINDS = ("silence", "configurations", "silence-and-configurations")  # nothing else happens


def plan(seed, seconds, mean_gap_s, kind="all"):
    """Returns the faults of a seed as (time in seconds, fault, seed for its random choices)."""
    rng = random.Random(f"{seed}-plan")
    faults = []
    at = 0.0
    while at < seconds:
        fault = rng.choice(KINDS[kind])
        repeats = rng.randint(2, MAX_SERIES) if rng.random() < SERIES_CHANCE else 1
        for i in range(repeats):
            faults.append((at + i * rng.uniform(0.1, 1.5), fault, rng.getrandbits(32)))
        at += rng.expovariate(1 / mean_gap_s)
    return sorted(faults, key=lambda each: each[0])


def run(site, faults, seconds):
    """Runs each fault at its time in a separate thread and waits for all of them."""
    begun = time.monotonic()
    threads = []
    for at, fault, seed in faults:
        if at >= seconds:
            break
        time.sleep(max(0.0, begun + at - time.monotonic()))
        threads.append(threading.Thread(target=fault, args=(site, random.Random(seed)),
                                        name=fault.__name__, daemon=True))
        threads[-1].start()
    for thread in threads:
        thread.join()
