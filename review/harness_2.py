"""Shared by the scripts of the cases 6 to 10: gateways as processes, stand-ins, clients, record.

The store is the project's own stand-in (tests/e2e/site_standins.py). The engines are new: they write
their entries as the pages say, and each event names the engine and the software version that made it.
"""

import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

REVIEW = pathlib.Path(__file__).resolve().parent
ROOT = REVIEW.parent
sys.path[:0] = [str(ROOT / "tests" / "e2e"), str(ROOT / "scripts")]

from fleet import wait_until  # noqa: E402  pylint: disable=wrong-import-position
from gateway import Gateway  # noqa: E402  pylint: disable=wrong-import-position
from site_standins import Store, StoreHandler  # noqa: E402  pylint: disable=wrong-import-position

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAY = ROOT / "target" / "bin" / "tamarack-gateway"
HOST = "notices.example"
KEY = "key-north"
HEARTBEAT_S = 1.2
HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_RUN_S = 110  # of a case, which then couldn't run
# As deploy/gateway.ini fills them in for a machine of the small deployments.
SETTINGS = {"key-freshness": 5000, "batch-freshness": 1000, "stop-grace": 8, "memory-limit": 300,
            "descriptor-limit": 8200}


def route(name, **changes):
    """Returns a route like that of `closure-notice` in the small deployment."""
    value = {"name": name, "hostname": HOST, "pathPrefix": f"/{name}/", "kind": "stream",
             "timeoutMs": 5000, "targetLatencyMs": 300, "priority": 0, "attempts": 2,
             "trafficSplit": [{"service": "engines", "weight": 100}], "public": False,
             "sessionAffinity": True, "resumable": True, "gapAimMs": 400}
    value.update(changes)
    return value


def tenant(name, keys, **changes):
    return {"name": name, "apiKeys": keys, **changes}


def config(version, tenants, routes):
    return {"version": version, "routes": routes, "tenants": tenants,
            "services": [{"name": "engines", "maxConnections": 360, "healthPath": "/health",
                          "engine": {"slots": 8}}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
                       "idleTimeoutMs": 15000}}


class Record:
    """record.txt: what was sent, answered and run, in the order of time."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()
        self.quiet = set()  # kinds that are left out

    def now(self):
        return time.monotonic() - self.began

    def add(self, kind, **fields):
        if kind in self.quiet:
            return
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            self.file.write(f"{self.now():8.3f} {kind} {text}\n")
            self.file.flush()


class BoundedStoreHandler(StoreHandler):
    """Answers appends with 507 while the store holds as much as the pages allow in all."""

    def append(self, partition, fields, body):
        store = self.stand_in
        if store.held_bytes() >= store.max_bytes:
            store.refused_full += 1
            self.answer(507, {"why": "full"})
            return
        super().append(partition, fields, body)


class BoundedStore(Store):
    """The project's store with the bounds on what it holds.

    "The oldest records expire after `retentionS` [...], or when a partition holds more than
    `partMb`. When 400 MB are stored in total, appends receive 507." No case lasts `retentionS`.
    """

    def __init__(self, max_bytes=400_000_000, partition_bytes=200_000_000):
        self.max_bytes = max_bytes
        self.partition_bytes = partition_bytes
        self.bytes_of = {}  # partition -> bytes of the records that haven't expired
        self.refused_full = 0
        super().__init__()
        self.server.RequestHandlerClass = type("Handler", (BoundedStoreHandler,),
                                               {"stand_in": self})

    def held_bytes(self):
        return sum(self.bytes_of.values())

    def append(self, partition, records, at=None):
        with self.changed:
            answer = super().append(partition, records, at)
            if answer[0] is None:
                return answer
            held = self.bytes_of.get(partition, 0) + sum(len(record) + 4 for record in records)
            stored, first = self.records(partition), self.first.get(partition, 0)
            while held > self.partition_bytes and not partition[0].startswith("keyed."):
                held -= len(stored[first]) + 4
                stored[first] = b""
                first += 1
                self.first[partition] = first
            self.bytes_of[partition] = held
            return answer


class QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass


class EngineHandler(BaseHTTPRequestHandler):
    """One connection to an engine."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def setup(self):
        super().setup()
        self.process = self.server.process
        self.process["connections"].add(self.connection)

    def finish(self):
        self.process["connections"].discard(self.connection)
        try:
            super().finish()
        except OSError:
            pass

    def log_message(self, *args):
        pass

    def answer(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_GET(self):
        engine, process = self.server.engine, self.process
        if self.path == "/health":
            self.answer(200, headers=[("Instance-Id", engine.id)])
        elif self.path == "/tamarackglade/report":
            report = {"stage": "hybrid", "busy": False, "born": process["born"], "sequence": 0,
                      "models": [{"name": "m", "version": 1, "adapters": []}]}
            self.answer(200, json.dumps(report).encode(), [("Content-Type", "application/json")])
        else:
            self.answer(404)

    def do_POST(self):
        engine, process = self.server.engine, self.process
        size = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(size)
        if len(body) < size:
            self.close_connection = True
            return
        request = self.headers.get("Request-Id")
        if self.headers.get("Expect-Instance") not in (None, engine.id):
            self.answer(421, headers=[("Instance-Id", engine.id)])
            return
        if not engine.take_slot(process):
            self.answer(503, headers=[("Not-Executed", "1")])
            return
        try:
            engine.on_run(self, request, body)
        except OSError:
            self.close_connection = True
        finally:
            engine.free_slot(process)

    def send_stream(self, request, events, step_s, data):
        """Sends the events after Last-Event-Id; data(number) is the text of one."""
        self.send_response(200)
        self.send_header("Request-Id", request)
        self.send_header("Response-Signature", f"s-{self.server.engine.id}")
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(int(self.headers.get("Last-Event-Id", 0)) + 1, events + 1):
            time.sleep(step_s)
            self.server.engine.wait_while_silent(self.process)
            if not self.process["running"]:
                raise ConnectionError("the engine has ended")
            event = b"id: %d\ndata: %s\n\n" % (number, data(number).encode())
            self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        self.wfile.write(b"0\r\n\r\n")


class Engine:
    """A model engine: one process after the other under one id and address."""

    def __init__(self, store, record, name, version="v1", slots=8, cold_s=0.0):
        self.store, self.record, self.id, self.slots = store, record, name, slots
        self.events, self.step_s = 34, 0.06
        self.lock = threading.Lock()
        self.silent_until = 0.0
        self.runs = []  # (time, request id, headers, body, version)
        self.entry = None
        self.stopped = threading.Event()
        self.port = 0
        self.process = None
        self.beat_at = time.monotonic()
        self.start(version, cold_s)
        threading.Thread(target=self.beat_loop, daemon=True).start()

    # The process.
    def start(self, version, cold_s=0.0):
        server = QuietServer(("127.0.0.1", self.port), EngineHandler)
        self.port = server.server_address[1]
        process = {"version": version, "born": int(time.time() * 1000), "connections": set(),
                   "running": True, "active": 0, "server": server,
                   "warm_at": time.monotonic() + cold_s}
        server.engine, server.process = self, process
        threading.Thread(target=server.serve_forever, args=(0.02,), daemon=True).start()
        with self.lock:
            self.process = process
        self.record.add("engine-starts", engine=self.id, version=version, born=process["born"])

    def crash(self):
        """Ends as a killed process does: nothing is said, the connections are cut."""
        process = self.process
        with self.lock:
            self.process = None
            process["running"] = False
        self.record.add("engine-crashes", engine=self.id, version=process["version"])
        process["server"].shutdown()
        process["server"].server_close()
        for connection in list(process["connections"]):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def stop(self):
        self.stopped.set()
        if self.process:
            self.crash()

    # The entry in the store: written every HEARTBEAT_S; it changes if more than `sequence` does.
    def beat_loop(self):
        while not self.stopped.is_set():
            self.beat()
            self.beat_at += HEARTBEAT_S
            self.stopped.wait(max(0.0, self.beat_at - time.monotonic()))

    def beat(self):
        with self.lock:
            process = self.process
            if process is None:
                return
            cold_ms = max(0, int((process["warm_at"] - time.monotonic()) * 1000))
            entry = {"service": "engines", "address": f"127.0.0.1:{self.port}", "zone": "a",
                     "version": process["version"], "slots": self.slots, "state": "ready",
                     "coldRemainingMs": cold_ms, "born": process["born"], "stage": "hybrid"}
            if entry == self.entry:
                return
            self.entry = entry
        self.store.put("keyed.servers", self.id, dict(entry, sequence=1))
        self.record.add("entry-written", engine=self.id, version=entry["version"],
                        born=entry["born"])

    def until_next_beat(self):
        return self.beat_at - time.monotonic()

    # Its work.
    def take_slot(self, process):
        with self.lock:
            if process["active"] >= self.slots:
                return False
            process["active"] += 1
            return True

    def free_slot(self, process):
        with self.lock:
            process["active"] -= 1

    def wait_while_silent(self, process):
        while process["running"] and time.monotonic() < self.silent_until:
            time.sleep(0.01)

    def on_run(self, handler, request, body):
        version = handler.process["version"]
        self.runs.append((self.record.now(), request, dict(handler.headers.items()), body, version))
        self.record.add("run", engine=self.id, version=version, id=request,
                        after=handler.headers.get("Last-Event-Id", "-"),
                        tenant=handler.headers.get("Tenant", "-"))
        handler.send_stream(request, self.events, self.step_s,
                            lambda number: f"{request} {number} {self.id} {version}")


class Site:
    """Store, engines and gateways of a case, and its record."""

    def __init__(self, case):
        self.folder = pathlib.Path(case).resolve().parent
        self.record = Record(self.folder)
        self.work = pathlib.Path(tempfile.mkdtemp(prefix="tamarack-review-"))
        self.store = BoundedStore()
        self.engines = []
        self.gateways = []
        self.lock = threading.Lock()
        self.requests = 0

    def add_engine(self, name, **options):
        engine = Engine(self.store, self.record, name, **options)
        self.engines.append(engine)
        return engine

    def add_gateways(self, count, **changes):
        for i in range(count):
            self.gateways.append(Gateway(f"front-a-{i + 1}", self.store.address, self.work,
                                         [str(GATEWAY)], **{**SETTINGS, **changes}))
        for gateway in self.gateways:
            wait_until(gateway.ready, f"{gateway.name} ready", 20)

    def publish(self, value):
        """Writes the configuration; the return of the store's append is the acknowledgement."""
        self.store.put("keyed.op", "config", value)
        self.record.add("config-acknowledged", version=value["version"],
                        tenants=json.dumps([t["name"] for t in value["tenants"]]))
        return time.monotonic()

    def next_id(self):
        with self.lock:
            self.requests += 1
            return f"r{self.requests:05d}"

    def call(self, gateway, path, body=b"prompt", method="POST", key=KEY, timeout=8, **headers):
        """Sends one request on a new connection; returns (id, status, headers, body, whole)."""
        request = headers.pop("Request_Id", None) or self.next_id()
        fields = {"Host": HOST, "Request-Id": request, "Deadline-Ms": "5000"}
        if key:
            fields["Authorization"] = f"Bearer {key}"
        fields.update({name.replace("_", "-"): value for name, value in headers.items()})
        host, port = gateway.address.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
        status, answer_headers, answer, whole = 0, {}, b"", False
        try:
            connection.request(method, path, body, fields)
            response = connection.getresponse()
            status, answer_headers = response.status, dict(response.getheaders())
            try:
                answer = response.read()
                whole = True
            except http.client.IncompleteRead as cut:
                answer = cut.partial
        except (OSError, http.client.HTTPException) as error:
            answer = str(error).encode()
        finally:
            connection.close()
        self.record.add("answer", id=request, gateway=gateway.name, path=path, key=key or "-",
                        status=status, whole=whole, bytes=len(answer))
        return request, status, answer_headers, answer, whole

    def stop(self):
        for gateway in self.gateways:
            if gateway.process.child.poll() is None:
                gateway.process.kill()
        for engine in self.engines:
            engine.stop()
        self.store.stop()
        shutil.rmtree(self.work, ignore_errors=True)


def stop_late(site):
    """Ends a case that takes too long, and everything that it started."""
    site.record.add("could-not-run", reason="takes too long")
    site.stop()
    os._exit(NOT_RUN)


def play(case, run):
    """Runs a case: run(site) returns whether the rule held. Exits with 0, 1 or 2."""
    if not GATEWAY.exists():
        print(f"{GATEWAY.name} is not built")
        sys.exit(NOT_RUN)
    site = Site(case)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    watchdog = threading.Timer(MAX_RUN_S, stop_late, (site,))
    watchdog.daemon = True
    watchdog.start()
    verdict = NOT_RUN
    try:
        verdict = HELD if run(site) else BROKEN
    except Exception as error:  # pylint: disable=broad-except
        site.record.add("could-not-run", reason=repr(error))
        print("could not run:", repr(error))
    finally:
        site.stop()
    site.record.add("verdict", exit=verdict)
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[verdict])
    sys.stdout.flush()
    os._exit(verdict)
