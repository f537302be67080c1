"""Starts a small deployment for the cases of the review, and writes what it sees to record.txt.

The gateways are processes of the program that the deploy file builds, started with its command.
The store and the engines are the project's own stand-ins (tests/e2e/site_standins.py), with a read
call that keeps to `maxKb`. Everything listens on loopback.
"""

import base64
import contextlib
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import sys
import tempfile
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.dont_write_bytecode = True
sys.path[:0] = [str(ROOT / "scripts"), str(ROOT / "tests" / "e2e")]

import site_standins  # noqa: E402
from fleet import wait_until  # noqa: E402
from gateway import Gateway  # noqa: E402

PROGRAM = ROOT / "target" / "bin" / "tamarack-gateway"  # `run` of deploy/system.toml
HOST = "notices.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Store(site_standins.Store):
    """The store of the pages: a read returns at most `maxKb`, but at least one record."""

    def __init__(self):
        super().__init__()
        handler = self.handler

        def read(request, partition, fields, _body):
            start = int(fields["from"])
            until = time.monotonic() + int(fields.get("waitMs", 0)) / 1000
            with self.changed:
                while len(self.records(partition)) <= start:
                    left = until - time.monotonic()
                    if left <= 0:
                        break
                    self.changed.wait(left)
                records = list(self.records(partition))
            most = int(fields.get("maxKb", 1024)) * 1024
            framed = b""
            for record in records[start:]:
                if framed and len(framed) + len(record) + 4 > most:
                    break
                framed += struct.pack(">I", len(record)) + record
            request.answer(200, struct.pack(">QQ", len(records), 0) + framed)

        handler.read = read


class Link:
    """A proxy for one TCP address. Its open connections may go silent for good, with no reset."""

    def __init__(self, target):
        self.target = target
        self.open = []  # a dictionary for each open connection
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def silence_half(self, rng):
        """Drops all further bytes of half of the connections that are open now; new ones work.

        Returns how many go silent and how many were open."""
        with self.lock:
            sounding = [each for each in self.open if not each["silent"]]
            chosen = rng.sample(sounding, len(sounding) // 2)
            for each in chosen:
                each["silent"] = True
        return len(chosen), len(sounding)

    def stop(self):
        self.listener.close()

    def accept(self):
        while True:
            try:
                caller, _ = self.listener.accept()
                host, port = self.target.split(":")
                target = socket.create_connection((host, int(port)))
            except OSError:
                return
            state = {"silent": False}
            with self.lock:
                self.open.append(state)
            for source, sink in ((caller, target), (target, caller)):
                source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self.pump, args=(source, sink, state),
                                 daemon=True).start()

    def pump(self, source, sink, state):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if not state["silent"]:
                    sink.sendall(data)
        with self.lock:
            self.open = [each for each in self.open if each is not state]
        if not state["silent"]:
            with contextlib.suppress(OSError):
                sink.shutdown(socket.SHUT_WR)


class Case:
    """One run of a case: the deployment, the record and the verdict."""

    def __init__(self, folder):
        self.record_file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.work_dir = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.started = time.monotonic()
        self.store = Store()
        self.engines = []
        self.gateways = []
        self.links = []
        self.broken = []

    def note(self, text):
        line = "%7.3f %s" % (time.monotonic() - self.started, text)
        print(line, flush=True)
        print(line, file=self.record_file, flush=True)

    def record(self, text):
        """Writes a line to record.txt only."""
        print("%7.3f %s" % (time.monotonic() - self.started, text), file=self.record_file)

    def record_runs(self):
        """Writes what reached each engine, and what of it the engine has run."""
        for engine in self.engines:
            runs = {id(run) for run in engine.runs}
            for request in engine.arrived:
                self.record("%s at %.3f: %s %s for tenant %s %s"
                            % (engine.id, request["at"] - self.started, request["path"],
                               request["id"], request["headers"].get("Tenant"),
                               "runs" if id(request) in runs else "is refused"))

    def violation(self, text):
        self.broken.append(text)
        self.note("RULE BROKEN: " + text)

    # The deployment.

    def add_engine(self, name, **options):
        engine = site_standins.Engine(name, **options)
        self.engines.append(engine)
        self.store.put("keyed.servers", name, engine.record())
        return engine

    def publish(self, config):
        self.store.put("keyed.op", "config", config)
        self.note("operator: configuration %d acknowledged" % config["version"])

    def add_gateway(self, name, store_address=None, zone="a"):
        gateway = Gateway(name, store_address or self.store.address, self.work_dir, [str(PROGRAM)],
                          **{"key-freshness": 5000, "batch-freshness": 1000, "zone": zone})
        self.gateways.append(gateway)
        return gateway

    def add_link(self, target):
        link = Link(target)
        self.links.append(link)
        return link

    def wait_ready(self):
        for gateway in self.gateways:
            wait_until(gateway.ready, gateway.name + " ready", timeout=20)
        time.sleep(4)  # longer than stableWindowMs, so that all gateways are in touch
        self.note("all gateways are ready")

    def alive(self, gateway):
        return gateway.process.child.poll() is None

    # Clients.

    def call(self, gateway, method, path, body=None, headers=None, timeout=10):
        """Sends a request on a new connection.

        Returns (status, headers, body); the status is 0 if there was no whole answer."""
        host, port = gateway.address.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
        sent_at = time.monotonic() - self.started
        status, answer_headers, text = 0, {}, b""
        try:
            connection.request(method, path, body=body, headers=headers or {})
            answer = connection.getresponse()
            status, answer_headers, text = answer.status, dict(answer.getheaders()), answer.read()
        except (OSError, http.client.HTTPException) as error:
            status, text = 0, repr(error).encode()
        finally:
            connection.close()
        self.record("client at %.3f: %s %s %s at %s -> %s %r"
                    % (sent_at, method, path, (headers or {}).get("Request-Id", ""), gateway.name,
                       status, text[:300]))
        return status, answer_headers, text

    def submit(self, gateway, job, items, key, prefix="/jobs/"):
        """Sends a batch job, again after each answer that is no 202, for up to five attempts."""
        body = json.dumps({"items": items})
        for _ in range(5):
            status, _, text = self.call(
                gateway, "POST", prefix + job[:6], body,
                {"Host": HOST, "Authorization": "Bearer " + key, "Request-Id": job,
                 "Deadline-Ms": "4000", "Content-Type": "application/json"})
            self.note("client: batch job %s of %d items at %s%s -> %s %s"
                      % (job, len(items), gateway.name, prefix, status, text[:80].decode()))
            if status == 202:
                return True
            time.sleep(0.3)
        return False

    def results(self, gateway, job, key, after=0):
        """Returns (status, total, results)."""
        status, _, body = self.call(
            gateway, "GET", "/tamarackglade/lots/%s?after=%d" % (job, after),
            headers={"Host": HOST, "Authorization": "Bearer " + key, "Wait-Ms": "500"})
        if status != 200:
            return status, 0, []
        value = json.loads(body)
        return status, value["total"], value["results"]

    def all_results(self, gateway, job, key, seconds):
        """Reads a batch job until each item is listed or the time is over."""
        until = time.monotonic() + seconds
        results, total, status = [], None, 0
        while time.monotonic() < until and (total is None or len(results) < total):
            status, count, more = self.results(gateway, job, key, len(results))
            if status == 200:
                total = count
                results += more
            time.sleep(0.2)
        self.note("client: batch job %s read at %s: status %d, %d of %s listed"
                  % (job, gateway.name, status, len(results), total))
        return status, total, results

    def idle(self, engines, seconds):
        """Returns whether the engines work on nothing and have begun nothing for so long."""
        since = time.monotonic() - seconds
        return all(engine.active == 0 and all(run["at"] < since for run in engine.runs)
                   for engine in engines)

    # The end.

    def close(self):
        for gateway in self.gateways:
            child = gateway.process.child
            if child.poll() is None:
                with contextlib.suppress(OSError):
                    os.kill(child.pid, signal.SIGCONT)
                child.kill()
            child.wait()
        for each in [*self.engines, self.store, *self.links]:
            with contextlib.suppress(OSError):
                each.stop()
        if os.environ.get("KEEP"):
            self.note("files kept")
            print(self.work_dir)
        else:
            shutil.rmtree(self.work_dir, ignore_errors=True)


def run(folder, body):
    """Runs body(case); exits with 1 if it found the rule broken, 0 if not, 2 if it couldn't run."""
    case = None
    code = 2
    try:
        case = Case(folder)
        case.note("TROUBLE=%d" % TROUBLE)
        body(case)
        case.record_runs()
        code = 1 if case.broken else 0
        case.note("the rule was broken" if code else "the rule held")
    except BaseException:  # pylint: disable=broad-except
        traceback.print_exc()
        if case:
            case.note("the case could not run: " + traceback.format_exc())
    finally:
        if case:
            with contextlib.suppress(Exception):
                case.close()
    sys.stdout.flush()
    os._exit(code)


def item(name, path="/jobs/1/x", body=b"prompt", headers=None, tokens=100):
    """Returns an item of a batch job."""
    return {"id": name, "path": path, "headers": headers or {"Model": "m"},
            "body": base64.b64encode(body).decode(), "tokens": tokens}


def route(name, prefix, kind, **changes):
    value = {"name": name, "hostname": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": 5000,
             "targetLatencyMs": 300, "priority": 0, "service": "engines", "attempts": 3,
             "public": False, "resumable": kind == "stream", "gapAimMs": 400}
    if kind == "batch":
        value.update(targetLatencyMs=400, timeoutMs=15000, retentionS=60, completionTargetMs=18000,
                     maxCount=820000, priority=2, resumable=True)
    value.update(changes)
    return value


def config(version, routes, tenants, services=("engines",), limits=None):
    """Returns a configuration as operators publish it. `tenants` maps names to keys."""
    value = {"version": version, "routes": routes,
             "services": [{"name": each, "healthPath": "/health", "maxConnections": 360,
                           "protocol": "h1", "tls": False, "engine": {"slots": 8}}
                          for each in services],
             "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                        "idleTimeoutMs": 15000},
             "tenants": [{"name": name, "apiKeys": [key], "ratePerS": 0}
                         for name, key in tenants.items()]}
    value["limits"].update(limits or {})
    return value
