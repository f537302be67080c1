"""A model engine that writes its answers as bytes to its sockets, so that nothing tidies them up."""

import contextlib
import dataclasses
import socket
import struct
import threading
import time

PAUSE_S = 0.01  # between two parts of an answer, so that they arrive one after the other


@dataclasses.dataclass
class Answer:
    """The bytes that follow a request, and how its connection ends."""

    parts: list
    end: str = "keep"  # "keep" (open), "close" (in order) or "reset"
    reads_body: bool = True  # False: answers behind the request's head

    def __post_init__(self):
        self.parts = [self.parts] if isinstance(self.parts, bytes) else self.parts


def sound_body(request):
    """Returns the body of a sound answer: the events of a whole stream, of this request alone."""
    return b"".join(b"id: %d\ndata: %s-%d\n\n" % (n, request.encode(), n) for n in range(3))


class RawEngine:
    """Answers each request soundly, unless `answers` holds other bytes for its id."""

    def __init__(self, name, group="engines", zone="a", slots=8, version="v1"):
        self.id, self.group, self.zone = name, group, zone
        self.slots, self.version = slots, version
        self.born = 1000
        self.answers = {}  # request id -> Answer, or a list of them, one for each run
        self.lock = threading.Lock()
        self.runs = []  # {"id", "connection", "headers", "is_sound"} of each request
        self.accepted = 0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def record(self):
        return {"service": self.group, "address": self.address, "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": "ready",
                "coldRemainingMs": 0, "sequence": 1, "born": self.born}

    def stop(self):
        self.listener.close()

    def runs_of(self, request):
        with self.lock:
            return [run for run in self.runs if run["id"] == request]

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.accepted += 1
                threading.Thread(target=self.serve, args=(connection, self.accepted),
                                 daemon=True).start()

    def serve(self, connection, number):
        with contextlib.suppress(OSError), connection, connection.makefile("rb") as received:
            while self.serve_request(connection, received, number):
                pass

    def serve_request(self, connection, received, number):
        """Returns whether the connection stays open."""
        method = received.readline().split(b" ")[0]
        if not method:
            return False
        headers = {}
        while line := received.readline().strip():
            name, _, value = line.partition(b":")
            headers[name.decode().lower()] = value.strip().decode()
        request = headers.get("request-id", "")
        answer = self.take_answer(request) if method == b"POST" else self.report()
        if method == b"POST":
            with self.lock:
                self.runs.append({"id": request, "connection": number, "headers": headers,
                                  "is_sound": answer is None})
        if answer is None or answer.reads_body:
            received.read(int(headers.get("content-length", 0)))
        answer = answer or self.sound_answer(request, headers)
        for part in answer.parts:
            connection.sendall(part)
            time.sleep(PAUSE_S if part is not answer.parts[-1] else 0)
        if answer.end == "reset":
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connection.close()
            received.close()  # the socket is closed with its last user
        return answer.end == "keep"

    def take_answer(self, request):
        answer = self.answers.get(request)
        if isinstance(answer, list):
            return answer.pop(0) if answer else None
        return answer

    def report(self):
        body = b'{"stage": "hybrid", "busy": false, "born": %d}' % self.born
        return Answer(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def sound_answer(self, request, headers):
        body = sound_body(request)
        if "last-event-id" in headers:
            body = body[body.index(b"id: %d\n" % (int(headers["last-event-id"]) + 1)):]
        return Answer(b"HTTP/1.1 200 OK\r\n" + self.fields(request)
                      + b"Content-Length: %d\r\n\r\n" % len(body) + body)

    def fields(self, request):
        """Returns the field lines of an answer of this engine to the request."""
        return (b"Request-Id: " + request.encode() + b"\r\nResponse-Signature: s-"
                + self.id.encode() + b"\r\n")
