"""The deployment of a soak: gateway processes, stand-ins behind faulty links, and an operator."""

import base64
import http.client
import json
import pathlib
import random
import signal
import subprocess
import threading
import time

from site_standins import Engine, Store
from gateway import Gateway
from faulty_link import PASS, FaultyLink
from ledger import Withdrawal, Withholding

from fleet import http_call, wait_until

HOST = "notices.example"
ROUTES = {"stream": "/stream/", "once": "/once/", "open": "/open/",
          "safe": "/safe/", "batch": "/jobs/"}

# Bounds that the deployment requires and the checks enforce; `_S` is seconds.
WITHDRAWN_S = 2.0  # until a withdrawn key stops working
DRAIN_S = 2.0  # until a draining engine gets no new requests
CANCEL_S = 3.0  # until items of an ended job no longer start
RECOVER_S = 12.0  # until service works after the last fault
SHEDS_EVERY = 15  # requests at an engine of which it refuses one
REPEATS_EVERY = 10  # runs at an engine of which it sends one answer once more
FINISH_S = 18.0  # until jobs have finished after the last fault
STOP_S = 8.0  # until a planned stop has ended
STABLE_S = 3.0  # without faults before a bound applies
QUOTA_WINDOW_S = 5.0
QUOTA_RATE = 10.0
QUOTA_BURST = 10.0
MAX_QUOTA_REQUESTS = (QUOTA_RATE * QUOTA_WINDOW_S + QUOTA_BURST) * 1.1 + 20
ATTEMPTS = 3  # failed runs after which an item is given up

# Of batch jobs; the jobs of the first two are in different partitions, one of them the first.
BATCH_CUSTOMERS = ("east", "north", "hills", "shire")
PERMANENT_KEYS = {name: f"key-{name}" for name in ("south", *BATCH_CUSTOMERS)}
EVENTS = 8  # in each stream
CALL_KINDS = ("stream", "once", "open", "safe")  # routes of online requests
DEADLINE_S = 5.0  # of online requests; their routes have it as their timeout at first
MAX_MORE_ROUTES = 300
TIMEOUTS_MS = (4000, 5000, 6000)  # of online routes, in configurations that change
EVENT_S = 0.012
ENGINE_DOWN_S = 0.7  # after a crash
READY_POLL_S = 0.3
START_TIMEOUT_S = 20


class SupervisedGateway(Gateway):
    """A gateway with a faulty link to the store, restarted when it ends."""

    def __init__(self, name, site):
        self.site = site
        self.link = FaultyLink(site.store.address)
        self.in_rotation = True
        self.lock = threading.RLock()  # held by the fault that stops, kills or pauses the process
        self.expected_exit = False
        command = [f"{site.bin}/{site.program}"]
        if site.mutation:
            command.append(f"--mutation={site.mutation}")
        settings = {"zone": random.Random(name).choice("ab"),
                    "key-freshness": int(WITHDRAWN_S * 1000), "drain-notice": 600,
                    "drain-limit": 5000, "direct-fleet": site.direct_fleet}
        super().__init__(name, self.link.address, site.work_dir, command, **settings)

    def answers_ready(self):
        """Returns whether the readiness check succeeds; as for the balancer, no answer means no."""
        try:
            return http_call(self.ready_address, "GET", "/tamarackglade/readiness",
                             timeout=0.5)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def handles_signals(self):
        """Returns whether the program blocks or handles SIGTERM, which it does from its start."""
        try:
            status = pathlib.Path(f"/proc/{self.process.child.pid}/status").read_text()
        except OSError:
            return False
        masks = [int(line.split()[1], 16) for line in status.splitlines()
                 if line.startswith(("SigBlk", "SigCgt"))]
        return any(mask >> (signal.SIGTERM - 1) & 1 for mask in masks)

    def signal(self, number):
        wait_until(self.handles_signals, f"{self.name} handling signals", START_TIMEOUT_S)
        self.process.signal(number)

    def kill(self, down_s):
        with self.lock:
            self.expected_exit = True
            self.process.kill()
            time.sleep(down_s)
            self.restart()

    def pause(self, seconds):
        with self.lock:
            self.process.signal(signal.SIGSTOP)
            time.sleep(seconds)
            self.process.signal(signal.SIGCONT)

    def planned_stop(self):
        """Sends SIGTERM, waits and restarts; returns the exit code, or None after STOP_S."""
        with self.lock:
            self.expected_exit = True
            self.site.ledger.add(self.site.ledger.stops, (self.name, time.monotonic()))
            self.signal(signal.SIGTERM)
            try:
                code = self.process.child.wait(STOP_S)
            except subprocess.TimeoutExpired:
                code = None
                self.process.kill()
            self.restart()
            return code

    def restart(self):
        self.process.start()
        self.expected_exit = False

    def check_exit(self):
        """Records a violation if the process ended by itself, and restarts it."""
        if self.lock.acquire(blocking=False):
            try:
                code = self.process.child.poll()
                if code is not None and not self.expected_exit:
                    self.site.ledger.add_violation("EXIT",
                                                   f"{self.name} ended by itself with "
                                                   f"exit code {code}")
                    self.restart()
            finally:
                self.lock.release()


class Site:
    """The deployment of one seed: store, engines, links, gateways, and the operator's actions."""

    def __init__(self, seed, work_dir, bin_dir, ledger, size, mutation):
        self.random = random.Random(seed)
        self.direct_fleet = 48 if seed % 2 else 1  # with 1, the gateways report by zone
        self.work_dir = work_dir
        self.bin = bin_dir
        self.mutation = mutation
        self.program = "mutant-gateway" if mutation else "tamarack-gateway"
        self.ledger = ledger
        self.deadly_bodies = set()  # (customer, body) of requests that crash the engines
        self.poison = {}  # item id -> status that every engine answers
        self.store = Store()
        self.store.late_s = 1.5
        self.lock = threading.Lock()
        self.engine_count = 0
        self.engines = {}  # by id, those listed in the store
        self.all_engines = []
        self.links = {}  # engine id -> its link
        self.version = 1
        self.temporary_keys = {}  # key -> customer, for keys that may be withdrawn
        self.issued_keys = {}  # customer -> all keys issued during the run, also withdrawn ones
        self.without_customers = None  # makes a configuration one in which no customer has a key
        self.route_changes = {}  # fields of online routes that a configuration has changed
        self.limit_changes = {}  # the same for the limits of callers
        self.more_routes = 0  # that no caller uses
        self.rate_factor = 1.0  # divides the pauses of callers
        self.disconnect_chance = 0.0  # of callers, in addition to DISCONNECT_CHANCE
        self.callers_stopped = False  # callers send no new requests
        self.stopping = False
        self.unrelated_engine = Engine("stranger", group="others")
        for _ in range(size["engines"]):
            self.add_engine()
        self.publish()
        self.gateways = [SupervisedGateway(f"gateway-{i}", self) for i in range(size["gateways"])]
        for gateway in self.gateways:
            wait_until(gateway.ready, f"{gateway.name} ready", START_TIMEOUT_S)
        threading.Thread(target=self.watch, daemon=True).start()

    def stop(self):
        self.stopping = True
        for gateway in self.gateways:
            with gateway.lock:
                gateway.expected_exit = True
                gateway.process.kill()
            gateway.link.stop()
        for engine in [*self.all_engines, self.unrelated_engine]:
            engine.stop()
        for link in self.links.values():
            link.stop()
        self.store.stop()

    def watch(self):
        """Acts as the platform's balancer and supervisor: checks readiness, restarts gateways."""
        misses = dict.fromkeys(range(len(self.gateways)), 0)
        while not self.stopping:
            for i, gateway in enumerate(self.gateways):
                gateway.check_exit()
                misses[i] = 0 if gateway.answers_ready() else misses[i] + 1
                gateway.in_rotation = misses[i] < 2
            time.sleep(READY_POLL_S)

    def pick_gateway(self, rng):
        rotation = [each for each in self.gateways if each.in_rotation]
        return rng.choice(rotation or self.gateways)

    # Engines.

    def add_engine(self):
        """Starts an engine and lists it in the store."""
        with self.lock:
            self.engine_count += 1
            engine = Engine(f"engine-{self.engine_count}", zone=self.random.choice("ab"))
        engine.events = EVENTS
        engine.step_s = EVENT_S
        engine.statuses = self.poison
        engine.deadly_bodies = self.deadly_bodies
        engine.crash_at = 2 * (self.engine_count % 2)  # at once, or behind two events
        engine.sheds_every = SHEDS_EVERY
        engine.repeats_refusals = True
        engine.repeats_answers_every = REPEATS_EVERY
        engine.names_refusals = self.engine_count % 2 == 0
        engine.down_s = ENGINE_DOWN_S
        engine.restarts = self.engine_restarted
        link = FaultyLink(engine.address)
        engine.listed_address = link.address
        with self.lock:
            self.engines[engine.id] = engine
            self.all_engines.append(engine)
            self.links[engine.id] = link
        self.list_engine(engine)
        return engine

    def list_engine(self, engine, state="ready"):
        self.store.put("keyed.servers", engine.id,
                       dict(engine.record(state), address=engine.listed_address))

    def engine_restarted(self, engine):
        """Lists an engine again that has crashed, unless its record was removed."""
        with self.lock:
            listed = engine.id in self.engines
        if listed:
            self.list_engine(engine, "draining" if engine.id in self.ledger.drains else "ready")

    def drop_engine(self, engine):
        """Removes an engine's record from the store."""
        with self.lock:
            self.engines.pop(engine.id, None)
        self.store.put("keyed.servers", engine.id, b"")
        self.ledger.drains.setdefault(engine.id, time.monotonic())

    def pick_engine(self, rng):
        with self.lock:
            return rng.choice(sorted(self.engines.items()))[1]

    # The operator.

    def config(self):
        def route(name, **more):
            prefix = ROUTES.get(name, f"/{name}/")
            values = {"name": name, "hostname": HOST, "pathPrefix": prefix, "kind": "stream",
                      "timeoutMs": 5000, "targetLatencyMs": 300, "priority": 0,
                      "service": "engines", "attempts": ATTEMPTS, "public": False,
                      "resumable": True, "gapAimMs": 400}
            return {**values, **more}

        keys = {name: [key] for name, key in PERMANENT_KEYS.items()}
        for key, customer in self.temporary_keys.items():
            keys[customer].append(key)
        changes = self.route_changes
        routes = [route("stream", **changes), route("once", **{**changes, "resumable": False}),
                  route("open", **{**changes, "public": True}),
                  route("safe", **{**changes, "kind": "safe", "resumable": False}),
                  route("batch", kind="batch", retentionS=60, completionTargetMs=18000,
                        maxCount=0)]
        routes += [route(f"more-{i}") for i in range(self.more_routes)]
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4000000, "headerTimeoutMs": 3000,
                  "idleTimeoutMs": 15000, **self.limit_changes}
        return {"version": self.version, "routes": routes, "limits": limits,
                "services": [{"name": "engines", "maxConnections": 400, "engine": {"slots": 8}}],
                "tenants": [{"name": "south", "apiKeys": keys["south"], "ratePerS": QUOTA_RATE,
                             "burst": QUOTA_BURST},
                            *({"name": name, "apiKeys": keys[name], "ratePerS": 0}
                              for name in BATCH_CUSTOMERS)]}

    def publish(self):
        """Publishes the current configuration under a higher version."""
        with self.lock:
            self.version += self.random.randint(1, 3)
            value = self.config()
            if self.without_customers:
                value = self.without_customers(value)
            self.store.put("keyed.op", "config", value)

    def withhold_customers(self, change, seconds):
        """Publishes what `change` makes of configurations for a time; one thread at a time."""
        begun_at = time.monotonic()
        self.without_customers = change
        self.publish()
        withholding = Withholding(begun_at, time.monotonic())
        self.ledger.add(self.ledger.withholdings, withholding)
        time.sleep(seconds)
        withholding.ended_at = time.monotonic()
        self.without_customers = None
        self.publish()
        withholding.restored_at = time.monotonic()

    def change_config(self, rng):
        """Publishes a configuration that differs in the limits of the online routes."""
        with self.lock:
            self.route_changes = {"timeoutMs": rng.choice(TIMEOUTS_MS),
                                  "attempts": rng.choice([2, 3, 4]),
                                  "targetLatencyMs": rng.choice([200, 300, 600])}
            self.limit_changes = {"idleTimeoutMs": rng.choice([8000, 15000])}
            self.more_routes = rng.choice([0, 10, MAX_MORE_ROUTES])
        self.publish()

    @staticmethod
    def shortest_timeout_s():
        """Returns the shortest time that a configuration gives to online requests."""
        return min(TIMEOUTS_MS) / 1000

    def issue_key(self, customer):
        key = f"key-{customer}-{self.random.getrandbits(40):x}"
        self.temporary_keys[key] = customer
        self.publish()
        return key

    def withdraw_key(self, key):
        if self.temporary_keys.pop(key, None) is None:
            return
        self.publish()
        self.ledger.add(self.ledger.withdrawals, Withdrawal(key, time.monotonic()))

    def end_all_faults(self):
        """Ends all faults of the store, links and engines."""
        self.deadly_bodies.clear()
        self.store.set_down(False)
        self.store.refusing = 0
        self.store.delay = 0.0
        self.store.append_faults.clear()
        for link in [*self.links.values(), *(each.link for each in self.gateways)]:
            link.set_mode(PASS)
        for engine in list(self.engines.values()):
            engine.break_at = engine.silent_at = None
            engine.status, engine.shed, engine.extra_answers = 200, 0, 0
            self.list_engine(engine)


def job_body(items):
    """Returns the submission body of a job, from a map of item id to body."""
    listed = [{"id": item, "path": "/jobs/x", "headers": {"Model": "m"},
               "body": base64.b64encode(body).decode(), "tokens": 10}
              for item, body in items.items()]
    return json.dumps({"items": listed}).encode()
