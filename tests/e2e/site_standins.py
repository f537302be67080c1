"""Stand-ins for the users' platform, run in the process of the test: its store and model engines.

The store keeps partitioned streams of records in memory. Its faults: unavailability, refusals,
delays, appends whose answer is lost and that take effect at once, late or never, and lost history.
An engine serves event streams and records every request that it starts to run. Its faults: broken
streams, silence, refusals, failures, a second answer on the same connection, and refusals and
answers that are sent once more when the next request has arrived there.
"""

import base64
import contextlib
import json
import socket
import struct
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

KEYED = "keyed."


class QuietServer(ThreadingHTTPServer):
    """A server that prints no errors about connections that tests cut."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass


class StandIn:
    """A server on a loopback port that runs in a thread."""

    def __init__(self, handler):
        owner = self

        class Handler(handler):
            stand_in = owner

        self.handler = Handler
        self.connections = set()
        self.listen(0)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]

    def listen(self, port):
        self.server = QuietServer(("127.0.0.1", port), self.handler)
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()

    def stop(self):
        self.server.shutdown()
        self.server.server_close()

    def cut_connections(self):
        for connection in list(self.connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


class Handler(BaseHTTPRequestHandler):
    """Base of the request handlers."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def setup(self):
        super().setup()
        self.stand_in.connections.add(self.connection)

    def finish(self):
        self.stand_in.connections.discard(self.connection)
        with contextlib.suppress(OSError):
            super().finish()

    def log_message(self, *args):
        pass

    def body(self):
        """Returns the whole body; raises ConnectionError if the caller's connection ends before."""
        size = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(size)
        if len(body) < size:
            raise ConnectionError("the body is incomplete")
        return body

    def answer(self, status, body=b"", headers=()):
        if isinstance(body, (dict, list)):
            body = json.dumps(body).encode()
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class StoreHandler(Handler):
    """Handles the requests to the store."""

    def do_GET(self):
        self.call()

    def do_POST(self):
        self.call()

    def call(self):
        store = self.stand_in
        body = self.body()
        path, _, query = self.path.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        if store.down:
            self.close_connection = True
            return
        if store.refusing:
            self.answer(store.refusing)
            return
        if store.endless:
            self.send_endless()
            return
        time.sleep(store.delay)
        call = {"log-append": self.append, "log-read": self.read,
                "log-newest": self.newest}[path.rsplit("/", 1)[1]]
        call((fields["topic"], int(fields["part"])), fields, body)

    def send_endless(self):
        """Sends bytes in the head or the body until the caller closes."""
        self.close_connection = True
        head = b"HTTP/1.1 200 OK\r\n"
        start, part = {"head": (head, b"X-Field: " + b"x" * 100 + b"\r\n"),
                       "body": (head + b"Transfer-Encoding: chunked\r\n\r\n",
                                b"10000\r\n%s\r\n" % (b"x" * 65536)),
                       "unframed": (head + b"\r\n", b"x" * 65536)}[self.stand_in.endless]
        with contextlib.suppress(OSError):
            self.wfile.write(start)
            while self.stand_in.endless:
                self.wfile.write(part)

    def append(self, partition, fields, body):
        store = self.stand_in
        records = []
        while body:
            (size,) = struct.unpack(">I", body[:4])
            records.append(body[4:4 + size])
            body = body[4 + size:]
        at = int(fields["at"]) if "at" in fields else None
        fault = store.take_append_fault(partition[0])
        if fault == "late":
            threading.Timer(store.late_s, store.append, (partition, records, at)).start()
        if fault in ("late", "never"):
            self.close_connection = True
            return
        offset, end = store.append(partition, records, at)
        if fault == "lost":
            self.close_connection = True
            return
        if offset is None:
            self.answer(412, {"end": end})
        else:
            self.answer(200, {"offset": offset, "end": end})

    def read(self, partition, fields, _body):
        store = self.stand_in
        start = int(fields["from"])
        wait_until = time.monotonic() + int(fields.get("waitMs", 0)) / 1000
        with store.changed:
            while len(store.records(partition)) <= start and not store.down:
                left = wait_until - time.monotonic()
                if left <= 0:
                    break
                store.changed.wait(left)
            first = store.first.get(partition, 0)
            records = store.records(partition)
        store.withhold(partition[0])
        if start < first:
            self.answer(410, {"first": first})
            return
        page = page_of(records[start:], int(fields.get("maxKb", 1024)) * 1024)
        framed = b"".join(struct.pack(">I", len(r)) + r for r in page)
        self.answer(200, struct.pack(">QQ", len(records), first) + framed)

    def newest(self, partition, _fields, _body):
        store = self.stand_in
        with store.changed:
            records = list(store.records(partition))
        newest = {}
        for offset, record in enumerate(records):
            size = record[0]
            newest[record[1:1 + size]] = (record[1 + size:], offset)
        items = [{"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
                 for key, (value, offset) in newest.items() if value]
        self.answer(200, {"items": items, "more": False, "end": len(records)})


def page_of(records, max_bytes):
    """Returns the first records of a read: as many as fit, but at least one."""
    size = 0
    for count, record in enumerate(records):
        size += len(record) + 4
        if count > 0 and size > max_bytes:
            return records[:count]
    return records


class Store(StandIn):
    """The platform's store. Its attributes switch faults on and off."""

    def __init__(self):
        self.changed = threading.Condition()
        self.partitions = {}
        self.first = {}
        self.down = False
        self.refusing = 0  # status of every answer, or 0 for normal service
        self.endless = None  # "head", "body" or "unframed": that part of each answer never ends
        self.delay = 0.0  # seconds before each answer
        self.late_s = 0.5
        self.lock = threading.Lock()
        self.withheld = None  # stream of which reads are answered late
        self.withheld_passes = 0  # reads of it that are answered in time before
        self.withheld_s = 2.5
        self.append_faults = {}  # stream -> list of "lost", "never", "late"
        super().__init__(StoreHandler)

    def records(self, partition):
        return self.partitions.setdefault(partition, [])

    def take_append_fault(self, stream):
        faults = self.append_faults.get(stream)
        return faults.pop(0) if faults else None

    def append(self, partition, records, at=None):
        with self.changed:
            stored = self.records(partition)
            if at is not None and at != len(stored):
                return None, len(stored)
            offset = len(stored)
            stored.extend(records)
            self.changed.notify_all()
            return offset, len(stored)

    def withhold(self, stream):
        """Delays the answers of reads of the withheld stream, but for the first."""
        with self.lock:
            waits = stream == self.withheld and self.withheld_passes <= 0
            self.withheld_passes -= stream == self.withheld
        if waits:
            time.sleep(self.withheld_s)

    def drop_history(self, partition):
        """Expires the records of a partition; the newest record of each key stays readable."""
        with self.changed:
            self.first[partition] = len(self.records(partition))

    def put(self, stream, key, value):
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        name = key.encode()
        self.append((stream, 0), [bytes([len(name)]) + name + content])

    def set_down(self, down):
        with self.changed:
            self.down = down
            self.changed.notify_all()


class EngineHandler(Handler):
    """Handles the requests to an engine."""

    last_copy = b""  # a response of this connection, to be sent once more

    def do_GET(self):
        engine = self.stand_in
        engine.state_queries += 1
        time.sleep(engine.query_silence_s)
        if self.path != "/tamarackglade/report":
            self.answer(404)
        elif engine.states_start:
            self.answer(200, {"stage": "hybrid", "busy": False, "born": engine.born})
        else:
            self.answer(200, {"stage": "hybrid", "busy": False})

    def do_POST(self):
        engine = self.stand_in
        time.sleep(engine.unread_s)
        body = self.body()
        request = {"id": self.headers.get("Request-Id"), "path": self.path, "body": body,
                   "headers": dict(self.headers.items()), "at": time.monotonic()}
        engine.arrived.append(request)
        self.repeat_response()
        if self.headers.get("Expect-Instance") != engine.id:
            self.refuse(421, request, [("Instance-Id", engine.id)])
            return
        if "Last-Event-Id" in self.headers and time.monotonic() < engine.refuses_resumes_until:
            self.refuse(503, request, [("Not-Executed", "1")])
            return
        if engine.sheds_now():
            self.refuse(503, request, [("Not-Executed", "1"), *engine.extra_headers])
            return
        if engine.endless:
            engine.runs.append(request)
            self.send_endless(request)
            return
        if engine.crashes_on(self.headers.get("Prompt-Prefix", "")):
            engine.crash(request)
            self.close_connection = True
            return
        if engine.crashes_on_body(request) and engine.crash_at == 0:
            engine.runs.append(request)
            time.sleep(engine.step_s)
            engine.end_process(request)
            return
        status = request["status"] = engine.statuses.get(request["id"], engine.status)
        engine.runs.append(request)
        if engine.cut_head is not None:
            head = "HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % field
                                                  for field in self.identity(request))
            self.wfile.write((head + "Content-Length: 4\r\n")[:engine.cut_head].encode())
            self.close_connection = True
            return
        if engine.resume_status and "Last-Event-Id" in self.headers:
            self.answer(engine.resume_status, b"", self.identity(request))
            return
        if status != 200:
            self.answer(status, b"failed", self.identity(request))
            return
        with engine.lock:
            engine.active += 1
            engine.max_active = max(engine.max_active, engine.active)
        try:
            self.stream(request)
        except OSError:
            engine.disconnected_requests.append(request["id"])
            self.close_connection = True
        finally:
            with engine.lock:
                engine.active -= 1

    def refuse(self, status, request, headers):
        """Refuses the request, and keeps the bytes if they are to be sent once more."""
        engine = self.stand_in
        if engine.names_refusals:
            headers = [("Request-Id", request["id"]), *headers]
        fields = "".join("%s: %s\r\n" % field for field in headers)
        text = "HTTP/1.1 %d Refused\r\n%sContent-Length: 0\r\n\r\n" % (status, fields)
        self.wfile.write(text.encode())
        if engine.repeats_refusals:
            self.last_copy = text.encode()

    def repeat_response(self):
        if self.last_copy:
            self.stand_in.copies_sent += 1
            self.wfile.write(self.last_copy)
            self.last_copy = b""

    def send_endless(self, request):
        """Sends bytes until the caller closes, or for at most ten seconds."""
        self.close_connection = True
        end = time.monotonic() + 10
        with contextlib.suppress(OSError):
            kind = self.stand_in.endless
            parts = endless_text(request) if kind == "text" else endless_bytes(kind, request)
            for part in parts:
                self.wfile.write(part)
                time.sleep(self.stand_in.endless_pause_s)
                if time.monotonic() > end:
                    return
        self.stand_in.disconnected_requests.append(request["id"])

    def identity(self, request):
        return [("Request-Id", request["id"]), ("Response-Signature", "s-" + self.stand_in.id),
                *self.stand_in.extra_headers]

    def stream(self, request):
        engine = self.stand_in
        self.send_response(200)
        for name, value in self.identity(request):
            self.send_header(name, value)
        self.send_header("Content-Type", "text/event-stream")
        if not engine.unframed:
            self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        if engine.ends_after_head or (engine.empty_resumes and "Last-Event-Id" in self.headers):
            self.close_connection = True
            return
        start = int(self.headers.get("Last-Event-Id", -1)) + 1
        for number in range(start, engine.events):
            time.sleep(engine.step_s)
            if engine.crashes_on_body(request) and number == engine.crash_at:
                engine.end_process(request)
                return
            if engine.silent_at == number:
                time.sleep(engine.silence_s)
            event = b"id: %d\ndata: %s-%d\n\n" % (number, request["id"].encode(), number)
            if engine.break_at == number:
                self.chunk(event[:7] if engine.breaks_inside else event)
                self.connection.shutdown(socket.SHUT_RDWR)
                self.close_connection = True
                return
            self.chunk(event)
            if engine.comments:
                self.chunk(b": comment\n\n")
        if engine.unframed:
            self.close_connection = True
            return
        self.wfile.write(b"0\r\n\r\n")
        if engine.repeats_answer_now():
            self.last_copy = self.copy_of_answer(request, start)
        if engine.extra_answers > 0:
            engine.extra_answers -= 1
            self.wfile.write(b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n"
                             b"Response-Signature: x\r\n\r\nno")

    def copy_of_answer(self, request, start):
        body = complete_stream(request["id"], self.stand_in.events, start)
        fields = [*self.identity(request), ("Content-Type", "text/event-stream"),
                  ("Content-Length", str(len(body)))]
        head = "HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % field for field in fields) + "\r\n"
        return head.encode() + body

    def chunk(self, data):
        framed = data if self.stand_in.unframed else b"%x\r\n%s\r\n" % (len(data), data)
        self.wfile.write(framed)
        self.wfile.flush()


def endless_bytes(kind, request):
    """Yields the bytes of a response of which one part never ends."""
    head = (b"HTTP/1.1 %s\r\nRequest-Id: " + request["id"].encode()
            + b"\r\nResponse-Signature: x\r\nTransfer-Encoding: chunked\r\n")
    chunked = b"10000\r\n%s\r\n"
    start, part = {
        "head": (b"HTTP/1.1 200 OK\r\n", b"X-Field: " + b"x" * 100 + b"\r\n"),
        "no answer": (b"", b"x" * 4096),
        "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
        "error": (head % b"500 Failed" + b"\r\n", chunked % (b"x" * 65536)),
        "refusal": (head % b"503 Full" + b"Not-Executed: 1\r\n\r\n", chunked % (b"x" * 65536)),
        "event": (head % b"200 OK" + b"\r\n", chunked % (b"x" * 65536)),
        "comments": (head % b"200 OK" + b"\r\n", b"3\r\n:x\n\r\n" * 100),
        "old events": (head % b"200 OK" + b"\r\n", b"10\r\nid: 0\ndata: a-0\n\n\r\n" * 100),
        "chunk extension": (head % b"200 OK" + b"\r\n5", b";x=" + b"y" * 100),
        "trailer": (head % b"200 OK" + b"\r\n0\r\n", b"X-Field: " + b"x" * 100 + b"\r\n"),
    }[kind]
    yield start
    while True:
        yield part


def endless_text(request):
    """Yields a stream of whole events with growing ids that never ends."""
    yield (b"HTTP/1.1 200 OK\r\nRequest-Id: " + request["id"].encode()
           + b"\r\nResponse-Signature: x\r\nContent-Type: text/event-stream\r\n"
           b"Transfer-Encoding: chunked\r\n\r\n")
    number = int(request["headers"].get("Last-Event-Id", -1)) + 1
    while True:
        event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 60000)
        yield b"%x\r\n%s\r\n" % (len(event), event)
        number += 1


ENDLESS = ("head", "no answer", "interim answers", "error", "refusal", "event", "comments",
           "old events", "chunk extension", "trailer")


class Engine(StandIn):
    """A model engine. Its attributes switch faults on and off."""

    def __init__(self, name, group="engines", zone="a", slots=8, version="v1"):
        self.id = name
        self.group = group
        self.zone = zone
        self.slots = slots
        self.version = version  # of its software
        self.lock = threading.Lock()
        self.arrived = []
        self.runs = []
        self.disconnected_requests = []  # ids of requests whose caller disconnected
        self.active = 0
        self.max_active = 0
        self.events = 5
        self.step_s = 0.005
        self.status = 200
        self.statuses = {}  # request id -> status that replaces `status`
        self.shed = 0  # number of requests to refuse
        self.sheds_every = 0  # every so many requests one is refused; 0 for none
        self.names_refusals = False  # refusals name their request
        self.repeats_refusals = False  # they are sent once more when the next request has arrived
        self.repeats_answers_every = 0  # every so many runs the answer is sent once more so
        self.copies_sent = 0
        self.states_start = True  # in its report
        self.state_queries = 0
        self.unread_s = 0.0  # before it reads the body of a request
        self.query_silence_s = 0.0  # before each answer to a state query
        self.break_at = None  # number of the event within which the connection is cut
        self.breaks_inside = True  # False: cut behind that event
        self.silent_at = None
        self.silence_s = 5.0
        self.extra_answers = 0
        self.endless = None  # kind of a response that never ends
        self.endless_pause_s = 0.0
        self.extra_headers = []  # (name, value) of all responses but 421
        self.unframed = False  # streams have no chunks and end with the connection
        self.ends_after_head = False
        self.empty_resumes = False  # resumed streams have no event
        self.cut_head = None  # number of bytes of a response's head after which it ends
        self.refuses_resumes_until = 0.0  # monotonic time
        self.resume_status = None  # of an empty response to a resumed stream
        self.comments = False  # a comment follows each event
        self.deadly_parts = set()  # ids of prompt parts that crash the engine
        self.deadly_bodies = set()  # (customer, body) of requests that crash the engine
        self.crash_at = 0  # number of the event before which it then crashes
        self.down_s = 1.0  # until it listens again after such a crash
        self.crashed = []  # requests that crashed it
        self.born = 1000
        self.running = True
        self.restarts = None  # called with the engine after a crash
        super().__init__(EngineHandler)

    def record(self, state="ready"):
        return {"service": self.group, "address": self.address, "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": state, "coldRemainingMs": 0, "sequence": 1,
                "born": self.born}

    def sheds_now(self):
        if self.shed > 0:
            self.shed -= 1
            return True
        return self.sheds_every > 0 and len(self.arrived) % self.sheds_every == 0

    def repeats_answer_now(self):
        return self.repeats_answers_every > 0 and len(self.runs) % self.repeats_answers_every == 0

    def crashes_on(self, parts):
        return any(part.split(":")[0] in self.deadly_parts for part in parts.split(","))

    def crash(self, request):
        """Starts again as another incarnation; the caller's connection is closed."""
        with self.lock:
            self.crashed.append(request)
            self.born += 1
        if self.restarts:
            self.restarts(self)

    def crashes_on_body(self, request):
        return (request["headers"].get("Tenant"), request["body"]) in self.deadly_bodies

    def end_process(self, request=None):
        """Ends as a crashed process does, and starts again as another incarnation."""
        with self.lock:
            if request:
                request["ended"] = time.monotonic()
                self.crashed.append(request)
            if not self.running:
                return
            self.running = False
            self.born += 1
        self.stop()
        self.cut_connections()
        threading.Timer(self.down_s, self.start_again).start()

    def start_again(self):
        self.listen(int(self.address.split(":")[1]))
        self.running = True
        if self.restarts:
            self.restarts(self)

    def runs_of(self, request):
        return [run for run in self.runs if run["id"] == request]


def complete_stream(request, events=5, start=0):
    """Returns the bytes that an engine streams without faults."""
    return b"".join(b"id: %d\ndata: %s-%d\n\n" % (n, request.encode(), n)
                    for n in range(start, events))


def output_text(request, events=5):
    """Returns the output text of a finished batch item."""
    return "\n".join(f"{request}-{n}" for n in range(events))


@contextlib.contextmanager
def closing(*stand_ins):
    """Stops the stand-ins at the end of a block."""
    try:
        yield
    finally:
        for each in stand_ins:
            each.stop()
