"""Interpreter of the scenario language, which runs one statement per line against real processes.

`STATEMENTS` lists the form of every statement. Comments start with `#`. A line that matches no form
raises ScenarioError with file and line before anything starts. An expectation that does not hold
raises AssertionError with the line.
"""

import collections
import http.client
import json
import pathlib
import re
import signal
import threading
import time

from support import MANIFEST, Fleet, daemons, http_call, wait_until
from test_batch import items, multipart

CALL_TIMEOUT_S = 60
POLL_S = 0.05
MIN_RETRY_AFTER_S = 1
ITEM_TOKENS = 6
# Customer -> (requests/s, burst), as in the manifest.
RATES = {"shire": (1000, 1000), "depot": (2, 3), "ferry": (20, 60)}


class ScenarioError(Exception):
    """Reports a malformed line; the text starts with file:line."""


Answer = collections.namedtuple("Answer", "status headers body")
Statement = collections.namedtuple("Statement", "number text method arguments")


class Job:
    """A batch job as its caller observes it."""

    def __init__(self, customer, count, content, key, tokens=ITEM_TOKENS):
        self.customer = customer
        self.count = count
        self.content = content
        self.key = key
        self.tokens = tokens  # in the answer of each item
        self.file = None
        self.answer = None
        self.seconds = None  # from the request that creates the job to its answer
        self.results = None

    @property
    def id(self):
        return json.loads(self.answer.body)["id"]


STATEMENTS = []


def statement(pattern):
    """Registers a method to run for statements that match the pattern."""
    def register(method):
        STATEMENTS.append((re.compile(pattern + r"\Z"), method))
        return method
    return register


def parse(path):
    """Reads a scenario file; raises ScenarioError for the first malformed line."""
    path = pathlib.Path(path)
    program = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        text = line.split("#", 1)[0].strip()
        if text:
            program.append(_parse_line(path, number, text))
    if not program:
        raise ScenarioError(f"{path.name}:1: no statement")
    return program


def _parse_line(path, number, text):
    for pattern, method in STATEMENTS:
        match = pattern.match(text)
        if match:
            return Statement(number, text, method, match.groups())
    raise ScenarioError(f"{path.name}:{number}: unknown statement: {text}")


class Scenario:
    """The state of one run: the fleet, and requests, jobs and orders by their names."""

    def __init__(self, path, bin_dir, work_dir):
        self.path = pathlib.Path(path)
        self.program = parse(path)
        self.dir = pathlib.Path(work_dir)
        self.fleet = Fleet(bin_dir, self.dir, daemons=daemons())
        self.keys = {}
        self.answers = {}
        self.jobs = {}
        self.pending = {}
        self.orders = {}  # name -> output of tamarackctl for the order
        # customer -> (time sent, time answered) of admitted calls of a flood
        self.admitted = collections.defaultdict(list)
        self.killed_at = None  # when an entry was last killed
        self.crashes = 0  # of upstreams, counted by the supervisor thread
        self.aliases = {}  # alias in the scenario -> VM name
        self.faults = {}  # upstream name -> faults, set again after a restart
        self.ended = threading.Event()
        self.supervisor = None

    def run(self):
        """Runs every statement in order."""
        for step in self.program:
            try:
                step.method(self, *step.arguments)
            except Exception as error:
                location = f"{self.path.name}:{step.number}: {step.text}"
                raise AssertionError(f"{location}\n{type(error).__name__}: {error}") from error

    def close(self):
        """Ends every process of the run."""
        self.ended.set()
        if self.supervisor:
            self.supervisor.join()
        self.fleet.stop()

    # -- names ------------------------------------------------------------------------------

    def vm(self, name):
        name = self.aliases.get(name, name)
        for vm in self.fleet.entries + self.fleet.sides:
            if vm.name == name:
                return vm
        raise ValueError(f"no VM {name}")

    def process(self, name):
        """Returns the process of a VM, or of its upstream for `the upstream of NAME`."""
        if name.startswith("the upstream of "):
            return self.fleet.upstreams[name.removeprefix("the upstream of ")]
        return self.vm(name).process

    def headers(self, customer, key=None):
        return {"Authorization": f"Bearer {key or self.keys[customer]}",
                "Content-Type": "application/json"}

    def call(self, entry, method, path, body=None, headers=None):
        """Sends one request; a connection that ends without an answer gives status 0."""
        try:
            return Answer(*http_call(self.vm(entry).http, method, path, body, headers,
                                     CALL_TIMEOUT_S))
        except (OSError, EOFError, ValueError, http.client.HTTPException):
            return Answer(0, {}, b"")

    def chat(self, entry, customer, prompt="gap road", key=None):
        body = {"model": "drafter", "max_tokens": 8,
                "messages": [{"role": "user", "content": prompt}]}
        return self.call(entry, "POST", "/v1/chat/completions", json.dumps(body),
                         self.headers(customer, key))

    def read_models(self, entry, customer):
        return self.call(entry, "GET", "/v1/models", None, self.headers(customer))

    # -- starting ---------------------------------------------------------------------------

    @statement(r"start (\d+) entr(?:y|ies)")
    def start_entries(self, count):
        for _ in range(int(count)):
            self.fleet.add_entry()

    @statement(r"start (\d+) engines?(?: with (.+))?")
    def start_engines(self, count, flags):
        for _ in range(int(count)):
            self.fleet.add_upstream("engines", flags=[f"--{f}" for f in (flags or "").split()])

    @statement(r"start a plain service")
    def start_service(self):
        self.fleet.add_upstream("records", kind="service")

    @statement(r"start an entry that cannot reach the log")
    def start_entry_without_log(self):
        self.fleet.add_entry(extra={"platform": "127.0.0.1:1"})

    @statement(r"publish the manifest")
    def publish(self):
        path = self.dir / "manifest.ini"
        path.write_text(MANIFEST)
        self.fleet.publish(path)
        self.keys = {name: self.fleet.issue_key(name) for name in RATES}

    @statement(r"wait until (?:all VMs|(\S+)) (?:are|is) ready(?: within (\d+) s)?")
    def wait_ready(self, name, seconds):
        vms = [self.vm(name)] if name else self.fleet.entries + self.fleet.sides
        for vm in vms:
            wait_until(lambda v=vm: http_call(v.admin, "GET", "/readyz")[0] == 200,
                       f"{vm.name} ready", int(seconds or 60))
        for vm in vms:
            if vm.http:
                wait_until(lambda v=vm: self.chat(v.name, "shire").status == 200,
                           f"a first answer of {vm.name}")
        if name:
            return
        # An entry is ready without sides that it met too late; the chat reaches only an engine.
        for vm in self.fleet.entries:
            wait_until(lambda v=vm: self._knows_every_side(v), f"every side at {vm.name}")

    def _knows_every_side(self, entry):
        """Returns whether every side is connected to the entry and reported that it serves."""
        sides = json.loads(http_call(entry.admin, "GET", "/status")[2])["sides"]
        serving = {side["vm"] for side in sides if side["state"] == "serving"}
        return serving >= {side.name for side in self.fleet.sides}

    @statement(r"restart (the upstream of \S+|\S+)")
    def restart(self, name):
        self.process(name).start()

    @statement(r"restart crashed upstreams from now on")
    def restart_crashed(self):
        def watch():
            while not self.ended.wait(POLL_S):
                for vm in self.fleet.sides:
                    upstream = self.fleet.upstreams[vm.name]
                    if upstream.child.poll() is not None:
                        self.crashes += 1
                        upstream.start()
                        switches = self.faults.get(vm.name)
                        if switches:
                            wait_until(lambda v=vm, s=switches: self.fleet.fault(v.upstream, **s)
                                       or True, f"{vm.name} up again")
        self.supervisor = threading.Thread(target=watch)
        self.supervisor.start()

    # -- faults -----------------------------------------------------------------------------

    @statement(r"kill (the upstream of \S+|\S+)")
    def kill(self, name):
        self.process(name).kill()
        if self.process(name) in [vm.process for vm in self.fleet.entries]:
            self.killed_at = time.monotonic()

    @statement(r"kill every entry and side")
    def kill_all(self):
        for vm in self.fleet.entries + self.fleet.sides:
            vm.process.kill()

    @statement(r"restart every entry and side")
    def restart_all(self):
        for vm in self.fleet.entries + self.fleet.sides:
            vm.process.start()

    @statement(r"pause (the upstream of \S+|\S+)")
    def pause(self, name):
        self.process(name).signal(signal.SIGSTOP)

    @statement(r"resume (the upstream of \S+|\S+)")
    def resume(self, name):
        self.process(name).signal(signal.SIGCONT)

    @statement(r"drop (\S+) from the VM list")
    def drop(self, name):
        self.fleet.unregister(self.vm(name).name)

    @statement(r"the log goes (down|up)")
    def log_state(self, state):
        self.fleet.fault(self.fleet.platform, log=state)

    @statement(r"the log loses its next (\d+) answers?")
    def lose_answers(self, count):
        self.fleet.fault(self.fleet.platform, lose_next_answers=int(count))

    @statement(r"fault (\S+) (\w+)=(\S+)")
    def fault(self, name, switch, value):
        self.faults.setdefault(name, {})[switch] = int(value) if value.isdigit() else value
        self.fleet.fault(self.vm(name).upstream, **self.faults[name])

    @statement(r"wait (\d+) ms")
    def sleep_ms(self, milliseconds):
        time.sleep(int(milliseconds) / 1000)

    @statement(r"wait (\d+) s")
    def wait(self, seconds):
        time.sleep(int(seconds))

    @statement(r"call the owner of job (\w+) (\w+), another entry (\w+)")
    def call_owner(self, name, owner, other):
        """Finds the stream that holds the job and, by the logs, the owner of its partition."""
        streams = json.loads(http_call(self.fleet.platform, "GET", "/stats")[2])["streams"]
        stream = next(s for s in streams if s.startswith("jobs-") and self._contains_job(s, name))
        partition = int(stream.removeprefix("jobs-"))
        found = wait_until(lambda: self._owners(partition), f"an owner of {stream}")
        self.aliases[owner] = max(found)[1]
        self.aliases[other] = next(vm.name for vm in self.fleet.entries
                                   if vm.name != self.aliases[owner])

    def _owners(self, partition):
        """Returns (epoch, entry) for each time that an entry became owner of the partition."""
        found = []
        for vm in self.fleet.entries:
            for line in vm.process.log().splitlines():
                event = json.loads(line) if line.startswith("{") else {}
                if (event.get("message"), event.get("partition")) == ("owning a partition",
                                                                      partition):
                    found.append((event["epoch"], vm.name))
        return found

    def _contains_job(self, stream, name):
        path = f"/v1/streams/{stream}/records?from=1"
        return self.jobs[name].id.encode() in http_call(self.fleet.platform, "GET", path)[2]

    # -- requests ---------------------------------------------------------------------------

    @statement(r"send chat of (\w+) to (\S+) as (\w+)")
    def send_chat(self, customer, entry, name):
        self.answers[name] = self.chat(entry, customer)

    @statement(r"send POST (\S+) of (\w+) to (\S+) as (\w+)")
    def send_post(self, path, customer, entry, name):
        self.answers[name] = self.call(entry, "POST", path, b"{}", self.headers(customer))

    @statement(r"begin POST (\S+) of (\w+) to (\S+) as (\w+)")
    def begin_post(self, path, customer, entry, name):
        def work():
            self.send_post(path, customer, entry, name)
        self.pending[name] = threading.Thread(target=work)
        self.pending[name].start()

    @statement(r"wait for (\w+)")
    def wait_for(self, name):
        self.pending.pop(name).join(CALL_TIMEOUT_S)

    @statement(r"flood (chats|reads) of (\w+) at every entry for (\d+) s")
    def flood(self, kind, customer, seconds):
        """Sends from one caller per entry as fast as answers arrive; only status 200 counts.

        Reads request the list of models, which an entry answers itself. An admitted read therefore
        takes little time, and the windows of `within rate and burst` are narrow.
        """
        deadline = time.monotonic() + int(seconds)
        send = self.chat if kind == "chats" else self.read_models

        def work(entry):
            while time.monotonic() < deadline:
                sent = time.monotonic()
                status = send(entry, customer).status
                if status == 200:
                    self.admitted[customer].append((sent, time.monotonic()))
                elif status == 0:
                    time.sleep(POLL_S)
        for vm in self.fleet.entries:
            thread = threading.Thread(target=work, args=(vm.name,))
            self.pending[f"flood {customer} {vm.name}"] = thread
            thread.start()

    @statement(r"wait for the flood")
    def wait_flood(self):
        for name in [name for name in self.pending if name.startswith("flood ")]:
            self.pending.pop(name).join(CALL_TIMEOUT_S)

    @statement(r"issue key (\w+) of (\w+)")
    def issue_key(self, name, customer):
        self.keys[name] = self.fleet.issue_key(customer)
        for vm in self.fleet.entries:
            wait_until(lambda v=vm: self.chat(v.name, name).status == 200, f"the key at {vm.name}")

    @statement(r"withdraw key (\w+)")
    def withdraw_key(self, name):
        self.fleet.ctl("key", "withdraw", self.keys[name].split("_")[1])

    # -- jobs -------------------------------------------------------------------------------

    @statement(r"send job (\w+) of (\w+) with (\d+) items(?: of (\d+) tokens)?(?:, (\d+) POISON,)?"
               r" to (\S+)")
    def send_job(self, name, customer, count, tokens, poison, entry):
        content = items(int(count), prefix=name, max_tokens=int(tokens or ITEM_TOKENS))
        if poison:
            content = content.replace(f"check {name} ", f"POISON {name} ", int(poison))
        self.jobs[name] = Job(customer, int(count), content, f"key-{name}",
                              int(tokens or ITEM_TOKENS))
        self.resend(name, entry)

    @statement(r"upload the file of job (\w+) of (\w+) with (\d+) items to (\S+)")
    def upload_job(self, name, customer, count, entry):
        self.jobs[name] = Job(customer, int(count), items(int(count), prefix=name), f"key-{name}")
        upload = self.upload(self.jobs[name], entry)
        assert upload.status == 200, upload
        self.jobs[name].file = json.loads(upload.body)["id"]

    @statement(r"create job (\w+) at (\S+)")
    def create_job(self, name, entry):
        job = self.jobs[name]
        sent = time.monotonic()
        job.answer = self.create(job, job.file, entry)
        job.seconds = time.monotonic() - sent

    @statement(r"resend job (\w+) to (\S+)")
    def resend(self, name, entry):
        job = self.jobs[name]
        upload = self.upload(job, entry)
        if upload.status != 200:
            job.answer = upload
            return
        job.answer = self.create(job, json.loads(upload.body)["id"], entry)

    def upload(self, job, entry):
        headers, body = multipart(job.content)
        return self.call(entry, "POST", "/v1/files", body,
                         {**self.headers(job.customer), **headers})

    def create(self, job, file_id, entry):
        request = {"input_file_id": file_id, "endpoint": "/v1/chat/completions",
                   "completion_window": "24h"}
        return self.call(entry, "POST", "/v1/batches", json.dumps(request),
                         {**self.headers(job.customer), "Idempotency-Key": job.key})

    @statement(r"resend job (\w+) to (\S+), expect the same job")
    def resend_same(self, name, entry):
        before = self.jobs[name].id
        self.resend(name, entry)
        assert self.jobs[name].answer.status == 200, self.jobs[name].answer
        assert self.jobs[name].id == before, (self.jobs[name].id, before)

    @statement(r"expect job (\w+) accepted")
    def job_accepted(self, name):
        assert self.jobs[name].answer.status == 200, self.jobs[name].answer

    @statement(r"expect job (\w+) refused at once, not run, with Retry-After")
    def job_refused(self, name):
        """`at once` means sooner than the minimum time that Retry-After can name."""
        self._refused(self.jobs[name].answer)
        assert self.jobs[name].seconds < MIN_RETRY_AFTER_S, self.jobs[name].seconds

    @statement(r"expect job (\w+) accepted or of unknown outcome")
    def job_accepted_or_unknown(self, name):
        answer = self.jobs[name].answer
        if answer.status != 200:
            assert json.loads(answer.body)["error"]["executed"] == "unknown", answer

    @statement(r"expect the first lost answer to be of the append that creates job (\w+)")
    def lost_answer(self, name):
        """Checks that the record whose answer was lost contains the job and its input file."""
        lost = json.loads(http_call(self.fleet.platform, "GET", "/stats")[2])["lost_answers"]
        assert lost, "no answer was lost"
        path = f"/v1/streams/{lost[0]['stream']}/records?from={lost[0]['offset']}&limit=1"
        stored = http_call(self.fleet.platform, "GET", path)[2]
        assert self.jobs[name].file.encode() in stored, lost
        assert b"batch_" in stored, lost

    @statement(r"expect one job of (\w+) at (\S+)")
    def has_one_job(self, customer, entry):
        answer = self.call(entry, "GET", "/v1/batches?limit=100", None, self.headers(customer))
        assert len(json.loads(answer.body)["data"]) == 1, answer.body

    @statement(r"expect job (\w+) listed at (\S+)")
    def is_listed(self, name, entry):
        job = self.jobs[name]
        answer = self.call(entry, "GET", "/v1/batches?limit=100", None, self.headers(job.customer))
        assert job.id in [each["id"] for each in json.loads(answer.body)["data"]], answer.body

    @statement(r"expect job (\w+) completed at (\S+) within (\d+) s")
    def job_completed(self, name, entry, seconds):
        job = self.jobs[name]

        def ended():
            answer = self.call(entry, "GET", f"/v1/batches/{job.id}", None,
                               self.headers(job.customer))
            return answer.status == 200 and json.loads(answer.body)["status"] == "completed"
        wait_until(ended, f"the end of job {name}", int(seconds))
        job.results = self._results(job, entry)

    @statement(r"expect every item of (\w+) once")
    def items_once(self, name):
        job = self.jobs[name]
        ids = sorted(line["custom_id"] for line in job.results)
        assert ids == sorted(f"{name}-{n}" for n in range(job.count)), ids

    @statement(r"expect (\d+) failed items? of (\w+)")
    def failed_items(self, count, name):
        failed = [line["custom_id"] for line in self.jobs[name].results if line.get("error")]
        assert len(failed) == int(count), failed

    @statement(r"expect the results of (\w+) unchanged at (\S+)")
    def unchanged(self, name, entry):
        job = self.jobs[name]
        assert self._results(job, entry) == job.results, "other results"

    def _results(self, job, entry):
        headers = self.headers(job.customer)
        view = json.loads(self.call(entry, "GET", f"/v1/batches/{job.id}", None, headers).body)
        lines = []
        for field in ("output_file_id", "error_file_id"):
            if view.get(field):
                answer = self.call(entry, "GET", f"/v1/files/{view[field]}/content", None, headers)
                assert answer.status == 200, answer
                lines += [json.loads(line) for line in answer.body.decode().splitlines()]
        return lines

    # -- expectations -----------------------------------------------------------------------

    def _refused(self, answer):
        assert answer.status in (429, 503), answer
        assert json.loads(answer.body)["error"]["executed"] == "no", answer.body
        assert int(answer.headers["Retry-After"]) >= 1, answer.headers

    @statement(r"expect (\w+) answered")
    def answered(self, name):
        assert self.answers[name].status == 200, self.answers[name]

    @statement(r"expect (\w+) refused with (\d+), not run, with Retry-After")
    def refused(self, name, status):
        assert self.answers[name].status == int(status), self.answers[name]
        self._refused(self.answers[name])

    @statement(r"expect (\w+) cut off")
    def cut_off(self, name):
        """Checks that the caller received no answer."""
        assert self.answers[name].status == 0, self.answers[name]

    @statement(r"expect (\w+) not said to be not run")
    def not_refused_as_not_run(self, name):
        answer = self.answers[name]
        assert answer.status != 200, answer
        if answer.status:
            assert json.loads(answer.body)["error"]["executed"] != "no", answer.body

    @statement(r"expect (\S+) ran (exactly|at most) (\d+) times?")
    def ran(self, path, bound, times):
        runs = sum(run["path"] == path for side in self.fleet.sides
                   if side.name.startswith("records")
                   for run in self.fleet.executions(side)["executions"])
        assert runs == int(times) or (bound == "at most" and runs < int(times)), runs

    @statement(r"expect (\d+) crash(?:es)? of upstreams")
    def crash_count(self, count):
        assert self.crashes == int(count), f"{self.crashes} crashes"

    @statement(r"wait until every engine runs items of (\w+)")
    def items_running(self, name):
        for side in self.fleet.sides:
            if side.name.startswith("engines"):
                wait_until(lambda s=side: self._items_at(s, name, "running"),
                           f"items of {name} at {side.name}")

    @statement(r"expect no finished item of (\w+)")
    def none_finished(self, name):
        """Checks the engines, which also report items whose results aren't in the log yet."""
        finished = [run for side in self.fleet.sides if side.name.startswith("engines")
                    for run in self._items_at(side, name, "finished")]
        assert not finished, f"{len(finished)} items finished"

    def _items_at(self, side, name, state):
        """Returns the runs of a job's items at an engine, identified by their max_tokens."""
        return [run for run in self.fleet.executions(side)["executions"]
                if run["max_tokens"] == self.jobs[name].tokens and run["state"] == state]

    @statement(r"wait until (\S+) began")
    def began(self, path):
        wait_until(lambda: self._sides_that_ran(path), path)

    @statement(r"call the side that ran (\S+) (\w+)")
    def call_side(self, path, alias):
        self.aliases[alias], = self._sides_that_ran(path)

    def _sides_that_ran(self, path):
        return [side.name for side in self.fleet.sides if side.name.startswith("records")
                and any(run["path"] == path for run in self.fleet.executions(side)["executions"])]

    @statement(r"expect key (\w+) refused at (\S+) within (\d+) s")
    def key_refused(self, name, entry, seconds):
        wait_until(lambda: self.chat(entry, name).status == 401, f"{name} refused at {entry}",
                   int(seconds))

    @statement(r"expect no chat of (\w+) answered at (\S+) for (\d+) s")
    def not_served(self, customer, entry, seconds):
        deadline = time.monotonic() + int(seconds)
        while time.monotonic() < deadline:
            status = self.chat(entry, customer).status
            assert status != 200, f"answered {deadline - time.monotonic():.2f} s before the end"

    @statement(r"expect chats of (\w+) to be answered at (\S+) within (\d+) s")
    def served(self, customer, entry, seconds):
        wait_until(lambda: self.chat(entry, customer).status == 200, f"an answer at {entry}",
                   int(seconds))

    @statement(r"expect (?:job creation) accepted at (\S+) within (\d+) s as job (\w+)")
    def job_creation_accepted(self, entry, seconds, name):
        def accepted():
            self.resend(name, entry)
            return self.jobs[name].answer.status == 200
        try:
            wait_until(accepted, f"job {name} accepted", int(seconds))
        except TimeoutError as late:
            raise AssertionError(f"{late}; last answer: {self.jobs[name].answer}") from late

    @statement(r"expect the admitted (?:chats|reads) of (\w+) within rate and burst")
    def within_rate(self, customer):
        """Checks every window: a call that was sent and answered in it was admitted in it."""
        rate, burst = RATES[customer]
        admitted = self.admitted[customer]
        assert admitted, "nothing was admitted"
        for first, _ in admitted:
            answers = sorted(done for sent, done in admitted if sent >= first)
            for inside, last in enumerate(answers, 1):
                assert inside <= rate * (last - first) + burst, (
                    f"over the rate: {inside} in {last - first:.3f} s")

    @statement(r"expect at least (\d+) admitted (?:chats|reads) of (\w+),"
               r" (\d+) of them after the loss")
    def admitted_at_least(self, count, customer, later):
        admitted = self.admitted[customer]
        after = [sent for sent, _ in admitted if sent > self.killed_at]
        assert len(admitted) >= int(count), len(admitted)
        assert len(after) >= int(later), len(after)

    # -- orders to upstreams ----------------------------------------------------------------

    @statement(r"order (\S+) ([a-z-]+) (\S+) as (\w+)")
    def order(self, name, kind, argument, order):
        done = self.fleet.ctl("--output=json", "order", name, kind, argument)
        self.orders[order] = json.loads(done.stdout)

    @statement(r"two operators give (\d+) orders each to (\S+)")
    def race_orders(self, count, name):
        def operate(operator):
            for number in range(int(count)):
                self.fleet.ctl("order", name, "change-role", f"{operator}-{number}")
        operators = [threading.Thread(target=operate, args=(who,)) for who in ("ada", "ben")]
        for operator in operators:
            operator.start()
        for operator in operators:
            operator.join()

    def upstream_orders(self, name):
        return json.loads(http_call(self.vm(name).upstream, "GET", "/orders")[2])

    @statement(r"expect order (\w+) in force within (\d+) s")
    def order_in_force(self, order, seconds):
        expected = self.orders[order]
        wait_until(lambda: expected["order_id"] in
                   [row["order_id"] for row in self.upstream_orders(expected["vm"])["in_force"]],
                   f"order {order} in force", int(seconds))

    @statement(r"expect order (\w+) never given")
    def order_not_given(self, order):
        expected = self.orders[order]
        given = [row["order_id"] for row in self.upstream_orders(expected["vm"])["orders"]]
        assert expected["order_id"] not in given, given

    @statement(r"expect the orders at (\S+) with rising fences")
    def fences_rise(self, name):
        fences = [row["fence"] for row in self.upstream_orders(name)["orders"]]
        assert fences and fences == sorted(set(fences)), fences
