"""Records the calls, jobs, key withdrawals and faults of a soak run for the checks."""

import dataclasses
import threading
import time
import typing


@dataclasses.dataclass
class Call:
    """One request and its answer, as its caller observed them."""

    id: str
    kind: str  # stream, once, open, or batch for the submission of a job
    path: str
    body: bytes
    customer: typing.Optional[str]
    key: typing.Optional[str]
    gateway: str
    sent_at: float
    whole_at: typing.Optional[float] = None  # when its last byte was sent
    ended_at: float = 0.0
    status: typing.Optional[int] = None  # None if no answer arrived
    answer: bytes = b""
    complete: bool = False  # the answer ended as its framing announced
    signature: typing.Optional[str] = None
    closed_by_caller: bool = False  # the caller closed the connection itself
    job: typing.Optional[str] = None  # id of the batch job, for calls that concern one


@dataclasses.dataclass
class Job:
    """One batch job, as its caller observed it."""

    id: str
    customer: str
    key: str
    items: dict  # id -> body
    accepted_at: typing.Optional[float] = None
    end_requested: bool = False
    ended_at: typing.Optional[float] = None  # when the request to end the job was acknowledged
    results: dict = dataclasses.field(default_factory=dict)  # position -> result


@dataclasses.dataclass
class Withdrawal:
    """The withdrawal of a key, with the time at which the store acknowledged the configuration."""

    key: str
    at: float


@dataclasses.dataclass
class Withholding:
    """A time in which no published configuration has a customer with a key."""

    begun_at: float  # before the first such configuration was published
    acknowledged_at: float
    ended_at: float = float("inf")  # before the first with customers was published again
    restored_at: float = float("inf")  # when that one was acknowledged


class Ledger:
    """The append-only record of a run; every thread may add to it."""

    def __init__(self):
        self.lock = threading.Lock()
        self.calls = []
        self.jobs = []
        self.withdrawals = []
        self.withholdings = []
        self.drains = {}  # engine id -> time at which the store accepted its drain notice
        self.faults = []  # [target, start, end or None while the fault lasts]
        self.stops = []  # (gateway, time of SIGTERM)
        self.violations = []

    def add(self, facts, fact):
        with self.lock:
            facts.append(fact)

    def add_violation(self, rule, text):
        with self.lock:
            self.violations.append((rule, text))

    def begin_fault(self, target):
        """Records the start of a fault; returns a function that records its end."""
        entry = [target, time.monotonic(), None]
        self.add(self.faults, entry)

        def end():
            entry[2] = time.monotonic()

        return end

    def fault_free(self, targets, since, until):
        """Returns whether no fault affected the targets (a set, or None for all) in a time span."""
        with self.lock:
            return not any((targets is None or target in targets) and begun <= until
                           and (ended is None or ended >= since)
                           for target, begun, ended in self.faults)
