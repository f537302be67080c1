"""The faults of the soak, and the plan of a seed: series of faults that overlap."""

import random
import signal
import threading
import time

from faulty_link import DELAY, NO_ANSWERS, NO_REQUESTS, PASS, RESET, SILENT

SERIES_CHANCE = 0.5
MAX_SERIES = 4
MAX_FAULT_S = 4.0


def during(site, target, seconds, begin, end):
    """Records a fault on the target while begin() has taken effect and end() has not."""
    done = site.ledger.begin_fault(target)
    begin()
    time.sleep(seconds)
    end()
    done()


def gateway_kill(site, chooser):
    gateway = chooser.choice(site.gateways)
    done = site.ledger.begin_fault(gateway.name)
    gateway.kill(chooser.uniform(0, 1))
    done()


def gateways_kill(site, chooser):
    """Kills all gateways at once, which may be just after a job was accepted."""
    done = site.ledger.begin_fault("gateways")
    down_s = chooser.uniform(0, 1)
    threads = [threading.Thread(target=each.kill, args=[down_s]) for each in site.gateways]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    done()


def gateway_pause(site, chooser):
    gateway = chooser.choice(site.gateways)
    seconds = chooser.choice([chooser.uniform(0.05, 0.6), chooser.uniform(1, MAX_FAULT_S)])
    during(site, gateway.name, 0, lambda: gateway.pause(seconds), lambda: None)


def gateway_stop(site, chooser):
    gateway = chooser.choice(site.gateways)
    done = site.ledger.begin_fault(f"stop of {gateway.name}")
    code = gateway.planned_stop()
    done()
    if code != 0:
        site.ledger.add_violation("EXIT", f"{gateway.name}: a planned stop ended with {code}")


def gateway_settings(site, chooser):
    """Changes the settings file of a gateway, with or without a SIGHUP."""
    gateway = chooser.choice(site.gateways)
    with gateway.lock:
        gateway.write({**gateway.values, "silence-limit": chooser.choice([250, 300, 400])})
        if chooser.random() < 0.7:
            gateway.signal(signal.SIGHUP)


def gateway_link(site, chooser):
    """Disturbs the link between one gateway and the store."""
    gateway = chooser.choice(site.gateways)
    mode = chooser.choice([DELAY, SILENT, NO_ANSWERS, NO_REQUESTS, RESET])
    during(site, gateway.name, chooser.uniform(0.2, MAX_FAULT_S),
           lambda: gateway.link.set_mode(mode), lambda: gateway.link.set_mode(PASS))


def engine_link(site, chooser):
    """Disturbs the link between all gateways and one engine."""
    engine = site.pick_engine(chooser)
    link = site.links[engine.id]
    mode = chooser.choice([DELAY, SILENT, NO_ANSWERS, NO_REQUESTS, RESET])
    during(site, engine.id, chooser.uniform(0.2, MAX_FAULT_S), lambda: link.set_mode(mode),
           lambda: link.set_mode(PASS))


def connections_reset(site, chooser):
    """Resets the open connections of one link; new ones work."""
    links = [*site.links.values(), *(each.link for each in site.gateways)]
    during(site, "resets", 0, chooser.choice(links).reset_all, lambda: None)


def store_down(site, chooser):
    during(site, "store", chooser.uniform(0.2, MAX_FAULT_S), lambda: site.store.set_down(True),
           lambda: site.store.set_down(False))


def store_refusing(site, chooser):
    def refuse(status):
        site.store.refusing = status

    status = chooser.choice([429, 503])
    during(site, "store", chooser.uniform(0.2, MAX_FAULT_S), lambda: refuse(status),
           lambda: refuse(0))


def store_slow(site, chooser):
    def slow(seconds):
        site.store.delay = seconds

    seconds = chooser.uniform(0.05, 0.5)
    during(site, "store", chooser.uniform(0.2, MAX_FAULT_S), lambda: slow(seconds),
           lambda: slow(0.0))


def store_loses_answers(site, chooser):
    """Loses the answers of appends that take effect at once, late, or never."""
    faults = [chooser.choice(["lost", "never", "late"]) for _ in range(chooser.randint(1, 6))]
    stream = chooser.choice(["batches", "batches", "keyed.members"])
    site.store.append_faults.setdefault(stream, []).extend(faults)


def store_drops_history(site, chooser):
    done = site.ledger.begin_fault("store")
    site.store.drop_history((chooser.choice(["keyed.op", "keyed.servers"]), 0))
    done()


def engine_misbehaves(site, chooser):
    """Makes an engine cut, stall, refuse, fail or duplicate its answers."""
    engine = site.pick_engine(chooser)
    attribute, value, good = chooser.choice([
        ("break_at", chooser.randint(0, 7), None), ("silent_at", chooser.randint(0, 7), None),
        ("shed", 10_000, 0), ("status", 500, 200), ("extra_answers", 50, 0)])
    during(site, engine.id, chooser.uniform(0.2, MAX_FAULT_S),
           lambda: setattr(engine, attribute, value), lambda: setattr(engine, attribute, good))


def engine_drains(site, chooser):
    """Drains an engine, removes it 2 to 4 s later, and adds another one."""
    drain(site, site.pick_engine(chooser), chooser.uniform(2, 4))


def engine_drains_long(site, chooser):
    """Drains an engine for 3.5 s, during which it would still serve requests."""
    drain(site, site.pick_engine(chooser), 3.5)


def drain(site, engine, seconds):
    site.add_engine()
    site.list_engine(engine, "draining")
    site.ledger.drains.setdefault(engine.id, time.monotonic())
    time.sleep(seconds)
    site.drop_engine(engine)


def engine_crashes(site, chooser):
    """Crashes an engine: its record is removed later, and its address serves another group."""
    engine = site.pick_engine(chooser)
    link = site.links[engine.id]
    during(site, engine.id, chooser.uniform(0.5, 2), lambda: link.set_mode(RESET),
           lambda: site.drop_engine(engine))
    site.add_engine()
    link.target = site.unrelated_engine.address
    link.set_mode(PASS)


def key_withdrawn(site, chooser):
    customer = chooser.choice(["north", "south"])
    key = site.issue_key(customer)
    site.known_keys.setdefault(customer, []).append(key)
    time.sleep(chooser.uniform(0.1, 3))
    site.withdraw_key(key)


def configurations_in_series(site, chooser):
    for _ in range(chooser.randint(2, 10)):
        site.publish()
        time.sleep(chooser.uniform(0, 0.2))


def callers_send_faster(site, chooser):
    site.rate_factor = 6.0
    time.sleep(chooser.uniform(1, MAX_FAULT_S))
    site.rate_factor = 1.0


def callers_disconnect(site, chooser):
    site.disconnect_chance = 0.4
    time.sleep(chooser.uniform(0.5, MAX_FAULT_S))
    site.disconnect_chance = 0.0


FAULTS = [gateway_kill, gateways_kill, gateway_pause, gateway_stop, gateway_settings, gateway_link,
          engine_link, connections_reset, store_down, store_refusing, store_slow,
          store_loses_answers, store_drops_history, engine_misbehaves, engine_drains,
          engine_crashes, key_withdrawn, configurations_in_series, callers_send_faster,
          callers_disconnect]


def plan(seed, seconds, mean_gap_s):
    """Returns the faults of a seed as (time in seconds, fault, seed for its random choices)."""
    chooser = random.Random(f"{seed}-plan")
    faults = []
    at = 0.0
    while at < seconds:
        fault = chooser.choice(FAULTS)
        repeats = chooser.randint(2, MAX_SERIES) if chooser.random() < SERIES_CHANCE else 1
        for i in range(repeats):
            faults.append((at + i * chooser.uniform(0.1, 1.5), fault, chooser.getrandbits(32)))
        at += chooser.expovariate(1 / mean_gap_s)
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
