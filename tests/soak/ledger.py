"""What callers, upstreams and the operator saw during a soak, for the checks."""

import dataclasses
import threading
import time
import typing


@dataclasses.dataclass
class Call:
    """One request of a caller, as the caller saw it."""

    id: str
    kind: str  # stream, once, open, or batch for the submission of a job
    path: str
    body: bytes
    customer: typing.Optional[str]
    key: typing.Optional[str]
    gateway: str
    sent_at: float
    ended_at: float = 0.0
    status: typing.Optional[int] = None  # None if no answer came
    answer: bytes = b""
    complete: bool = False  # the answer ended as it said it would
    signature: typing.Optional[str] = None
    closed_by_caller: bool = False  # the caller closed the connection itself
    job: typing.Optional[str] = None  # of a submission


@dataclasses.dataclass
class Job:
    """One batch job, as its caller saw it."""

    id: str
    customer: str
    key: str
    items: dict  # id -> body
    accepted_at: typing.Optional[float] = None
    end_requested: bool = False
    ended_at: typing.Optional[float] = None  # acknowledgement of its end
    results: dict = dataclasses.field(default_factory=dict)  # position -> result


@dataclasses.dataclass
class Withdrawal:
    """The acknowledgement of a configuration that took a key away."""

    key: str
    at: float


class Ledger:
    """Facts are only added, from any thread."""

    def __init__(self):
        self.lock = threading.Lock()
        self.calls = []
        self.jobs = []
        self.withdrawals = []
        self.drains = {}  # engine id -> time at which the store took its notice
        self.faults = []  # (target, from, until or None while it lasts)
        self.stops = []  # (gateway, time of SIGTERM)
        self.violations = []

    def add(self, facts, fact):
        with self.lock:
            facts.append(fact)

    def add_violation(self, rule, text):
        with self.lock:
            self.violations.append((rule, text))

    def begin_fault(self, target):
        """Notes that a fault begins; returns what ends it."""
        entry = [target, time.monotonic(), None]
        self.add(self.faults, entry)

        def end():
            entry[2] = time.monotonic()

        return end

    def fault_free(self, targets, since, until):
        """Whether no fault touched any of the targets (a set; None for all) in a span."""
        with self.lock:
            return not any((targets is None or target in targets) and begun <= until
                           and (ended is None or ended >= since)
                           for target, begun, ended in self.faults)
