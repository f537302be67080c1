"""Callers of a soak: they send streams over reused and new connections, and batch jobs."""

import http.client
import json
import random
import threading
import time

from ledger import Call, Job
from deployment import CALL_KINDS, DEADLINE_S, HOST, ROUTES, PERMANENT_KEYS, job_body

DISCONNECT_CHANCE = 0.05
KEPT_CONNECTION_CHANCE = 0.8
BATCH_ATTEMPT_S = 4.0
RESEND_TIMEOUT_S = 15.0  # how long a caller resends a job or its end
RESEND_PAUSE_S = 0.3
END_CHANCE = 0.15
POISON_CHANCE = 0.05
LARGE_BODY_CHANCE = 0.05
LARGE_BODY_BYTES = 200_000
TWO_PIECES_CHANCE = 0.3  # that a body is sent in two pieces
BETWEEN_PIECES_S = 0.1


class Caller(threading.Thread):
    """Base of the callers: opens connections and records each call in the ledger."""

    def __init__(self, site, seed, name):
        super().__init__(daemon=True, name=name)
        self.site = site
        self.random = random.Random(f"{seed}-{name}")
        self.number = 0
        self.connection = None
        self.gateway = None

    def run(self):
        while not self.site.stopping and not self.site.callers_stopped and self.active():
            self.step()

    def active(self):
        return True

    def connect(self, gateway, timeout):
        host, port = gateway.address.split(":")
        return http.client.HTTPConnection(host, int(port), timeout=timeout)

    def exchange(self, call, connection, method, headers, disconnect_after=None):
        """Sends a call and records its answer; returns whether the connection can be reused."""
        try:
            self.send(call, connection, method, headers)
            response = connection.getresponse()
            call.status = response.status
            call.signature = response.getheader("Response-Signature")
            if disconnect_after is not None:
                call.answer = response.read(disconnect_after)
                call.closed_by_caller = True
                return False
            call.answer = response.read()
            call.complete = True
            return response.getheader("Connection") != "close"
        except http.client.IncompleteRead as cut:
            call.answer = cut.partial
        except (OSError, http.client.HTTPException):
            pass
        finally:
            call.ended_at = time.monotonic()
        return False


    def send(self, call, connection, method, headers):
        """Sends the request, some bodies in two pieces, and records when it was sent whole."""
        in_pieces = len(call.body) > 1 and self.random.random() < TWO_PIECES_CHANCE
        if in_pieces:
            middle = self.random.randrange(1, len(call.body))
            headers = {**headers, "Content-Length": str(len(call.body))}
            connection.request(method, call.path, self.pieces(call.body, middle), headers)
        else:
            connection.request(method, call.path, call.body or None, headers)
        call.whole_at = time.monotonic()

    def pieces(self, body, middle):
        yield body[:middle]
        time.sleep(self.random.uniform(0, BETWEEN_PIECES_S))
        yield body[middle:]


class StreamCaller(Caller):
    """Sends one stream after another; some disconnect early, some use keys that get withdrawn."""

    def __init__(self, site, seed, name, customer, pause_s):
        super().__init__(site, seed, name)
        self.customer = customer
        self.pause_s = pause_s

    def pick_key(self):
        """Returns the permanent key, or one that may have been withdrawn."""
        temporary_keys = self.site.issued_keys.get(self.customer, [])
        if temporary_keys and self.random.random() < 0.4:
            return self.random.choice(temporary_keys)
        return PERMANENT_KEYS[self.customer]

    def step(self):
        self.number += 1
        kind = self.random.choice(["stream", *CALL_KINDS])
        key = None if kind == "open" else self.pick_key()
        kept = self.connection is not None and self.random.random() < KEPT_CONNECTION_CHANCE
        if not kept:
            self.close()
            self.gateway = self.site.pick_gateway(self.random)
            self.connection = self.connect(self.gateway, DEADLINE_S + 1)
        body = self.random.randbytes(self.random.randint(1, 2000))
        call = Call(f"{self.name}-{self.number}", kind,
                    f"{ROUTES[kind]}{self.random.getrandbits(16):x}?n={self.number}", body,
                    self.customer if key else None, key, self.gateway.name, time.monotonic())
        self.site.ledger.add(self.site.ledger.calls, call)
        headers = {"Host": HOST, "Request-Id": call.id, "Deadline-Ms": str(int(DEADLINE_S * 1000)),
                   "Tenant": "a caller's own"}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        disconnects = self.random.random() < DISCONNECT_CHANCE + self.site.disconnect_chance
        disconnect_after = self.random.randint(1, 60) if disconnects else None
        if not self.exchange(call, self.connection, "POST", headers, disconnect_after):
            self.close()
        time.sleep(self.random.uniform(0, 2) * self.pause_s / self.site.rate_factor)

    def close(self):
        if self.connection:
            self.connection.close()
        self.connection = None


class DeadlyCaller(Caller):
    """Sends a few requests again and again that crash each engine that runs them."""

    BODIES = 2
    PAUSE_S = 0.2

    def __init__(self, site, seed):
        super().__init__(site, seed, "deadly")
        self.bodies = [b"deadly-%d" % i for i in range(self.BODIES)]
        site.deadly_bodies.update(("north", body) for body in self.bodies)

    def active(self):
        """Returns whether the bodies still crash engines."""
        return bool(self.site.deadly_bodies)

    def step(self):
        self.number += 1
        gateway = self.site.pick_gateway(self.random)
        call = Call(f"{self.name}-{self.number}", "deadly", f"{ROUTES['stream']}deadly",
                    self.random.choice(self.bodies), "north", PERMANENT_KEYS["north"],
                    gateway.name, time.monotonic())
        self.site.ledger.add(self.site.ledger.calls, call)
        headers = {"Host": HOST, "Request-Id": call.id, "Authorization": f"Bearer {call.key}",
                   "Deadline-Ms": str(int(DEADLINE_S * 1000))}
        connection = self.connect(gateway, DEADLINE_S + 1)
        self.exchange(call, connection, "POST", headers)
        connection.close()
        time.sleep(self.PAUSE_S)


class BatchCaller(Caller):
    """Submits jobs, resends them until accepted, reads their results and ends some of them."""

    def __init__(self, site, seed, name, customer):
        super().__init__(site, seed, name)
        self.customer = customer
        self.open_jobs = []

    def step(self):
        self.number += 1
        job = self.new_job()
        self.site.ledger.add(self.site.ledger.jobs, job)
        self.submit(job)
        if job.accepted_at is not None:
            self.open_jobs.append(job)
            if self.random.random() < 0.3:
                self.submit(job)  # resend, often to another gateway
            if self.random.random() < END_CHANCE:
                self.end(job)
        for each in self.random.sample(self.open_jobs, min(3, len(self.open_jobs))):
            self.read(each, self.random.choice([0, len(each.results)]))
        self.read_body(job)
        time.sleep(self.random.uniform(0, 0.6))

    def new_job(self):
        job = f"{self.name}-{self.number}"
        items = {}
        for i in range(self.random.randint(1, 8)):
            item = f"{job}-{i}"
            large = self.random.random() < LARGE_BODY_CHANCE
            size = LARGE_BODY_BYTES if large else self.random.randint(1, 3000)
            items[item] = self.random.randbytes(size)
            if self.random.random() < POISON_CHANCE:
                self.site.poison[item] = self.random.choice([422, 500])
        return Job(job, self.customer, PERMANENT_KEYS[self.customer], items)

    def call(self, job, kind, path, method, body=b"", request=None, timeout=BATCH_ATTEMPT_S):
        gateway = self.site.pick_gateway(self.random)
        call = Call(request or f"{job.id}-{kind}-{self.random.getrandbits(40):x}", kind, path, body,
                    job.customer, job.key, gateway.name, time.monotonic(), job=job.id)
        self.site.ledger.add(self.site.ledger.calls, call)
        headers = {"Host": HOST, "Request-Id": call.id, "Authorization": f"Bearer {job.key}",
                   "Deadline-Ms": str(int(timeout * 1000))}
        connection = self.connect(gateway, timeout + 1)
        self.exchange(call, connection, method, headers)
        connection.close()
        return call

    def submit(self, job):
        give_up_at = time.monotonic() + RESEND_TIMEOUT_S
        while time.monotonic() < give_up_at and not self.site.stopping:
            call = self.call(job, "batch", f"{ROUTES['batch']}x", "POST", job_body(job.items),
                             job.id)
            if call.status == 202 and call.complete:
                if job.accepted_at is None:
                    job.accepted_at = call.ended_at
                return
            time.sleep(RESEND_PAUSE_S)

    def end(self, job):
        give_up_at = time.monotonic() + RESEND_TIMEOUT_S
        job.end_requested = True
        while time.monotonic() < give_up_at and not self.site.stopping:
            call = self.call(job, "end", f"/tamarackglade/lots/{job.id}", "DELETE")
            if call.status == 200 and call.complete:
                job.ended_at = call.ended_at
                return
            time.sleep(RESEND_PAUSE_S)

    def read(self, job, after):
        """Reads results and checks that none differs from an earlier read of its position."""
        call = self.call(job, "read", f"/tamarackglade/lots/{job.id}?after={after}", "GET",
                         timeout=2.0)
        if call.status != 200 or not call.complete:
            return call
        page = json.loads(call.answer)
        if page["total"] != len(job.items):
            self.site.ledger.add_violation("MIXED", f"{job.id}: total {page['total']}")
        for position, result in enumerate(page["results"], after):
            before = job.results.setdefault(position, result)
            if before != result:
                self.site.ledger.add_violation("TWICE", f"{job.id}: position {position} changed")
        return call

    def read_body(self, job):
        """Reads the body of one item and compares it with the submitted one.

        Any status but 200 is accepted: the job may have ended, or the item may have its result.
        """
        item = self.random.choice(sorted(job.items))
        call = self.call(job, "body", f"/tamarackglade/items/{job.id}?id={item}", "GET",
                         timeout=2.0)
        if call.status == 200 and call.complete and call.answer != job.items[item]:
            self.site.ledger.add_violation("MIXED",
                                           f"{item}: the body differs from the submitted one")
