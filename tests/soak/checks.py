"""Checks the guarantees against what callers, upstreams and the operator observed."""

import bisect
import collections
import json

from site_standins import output_text, complete_stream
from deployment import (ATTEMPTS, CALL_KINDS, CANCEL_S, DRAIN_S, EVENTS, HOST, MAX_QUOTA_REQUESTS,
                        QUOTA_WINDOW_S, STABLE_S, PERMANENT_KEYS, WITHDRAWN_S)

NOT_RUN = (408, 421, 429, 503)  # statuses that guarantee that the request has not run and won't
MAX_LATE_RUNS = 3  # of a request that has crashed three engines
USED_SHARE = 0.7  # of its time, from which on a request may end without a complete answer
LOST_S = 0.2  # a request that isn't passed on may cross the close of its connection for so long
CRASH_S = 0.1  # from the crash of a stand-in engine until its last connections are cut
HELD_BACK_S = 0.2  # after the end of a silence, for what was sent to the engine during it
DENIED = (400, 401, 403, 404, 405, 413, 431)


class Checks:
    """Compares the ledger with the runs of the engines. Each check records its violations."""

    def __init__(self, site):
        self.site = site
        self.ledger = site.ledger
        self.gateways = {gateway.name for gateway in site.gateways}
        self.calls = {call.id: call for call in self.ledger.calls if call.kind != "batch"}
        self.items = {item: job for job in self.ledger.jobs for item in job.items}
        self.runs = collections.defaultdict(list)  # request id -> runs in the order of arrival
        for engine in site.all_engines:
            for run in engine.runs:
                self.runs[run["id"]].append((run["at"], engine, run))
        for runs in self.runs.values():
            runs.sort(key=lambda each: each[0])

    def run_all(self):
        for check in (self.forwarded_requests, self.answers, self.repeats, self.refusals,
                      self.denials, self.crashing_requests, self.withdrawn_keys,
                      self.withheld_customers, self.quota, self.drains,
                      self.planned_stops, self.early_ends, self.results, self.ended_jobs, self.unrelated_group,
                      self.logs):
            check()

    def add_violation(self, rule, text):
        self.ledger.add_violation(rule, text)

    def forwarded_requests(self):
        """Engines receive requests as sent, with the customer of the key and without the key."""
        for request, runs in self.runs.items():
            call = self.calls.get(request)
            job = self.items.get(request)
            if call is None and job is None:
                self.add_violation("UNASKED", f"{request}: no caller sent it")
                continue
            expected = ((call.path, call.body, call.customer) if call
                        else ("/jobs/x", job.items[request], job.customer))
            for _, engine, run in runs:
                seen = (run["path"], run["body"], run["headers"].get("Tenant"))
                if seen != expected or run["headers"].get("Host") != HOST:
                    self.add_violation("UNASKED",
                                       f"{request} at {engine.id}: differs from the sent one, "
                                       f"path {seen[0]}, {len(seen[1])} of {len(expected[1])} "
                                       f"bytes, customer {seen[2]}")
                if "Authorization" in run["headers"]:
                    self.add_violation("UNASKED",
                                       f"{request} at {engine.id}: the key was passed on")

    def answers(self):
        """A success is the complete answer of an engine, and a cut answer is seen to be cut."""
        for call in self.calls.values():
            if call.kind not in CALL_KINDS or call.status is None:
                continue
            if 200 <= call.status < 300:
                signatures = {"s-" + engine.id for _, engine, _ in self.runs[call.id]}
                if call.signature not in signatures:
                    self.add_violation("MIXED", f"{call.id}: signature {call.signature}")
                full = complete_stream(call.id, EVENTS)
                if call.complete and call.answer != full:
                    self.add_violation("ORDER",
                                       f"{call.id}: ended as complete with wrong events")
                if not call.complete and not full.startswith(call.answer):
                    self.add_violation("ORDER", f"{call.id}: events are missing or doubled")
            elif call.signature and call.status != 500:
                self.add_violation("MIXED", f"{call.id}: status {call.status} under a signature")

    def repeats(self):
        for call in self.calls.values():
            if call.kind == "once" and len(self.runs[call.id]) > 1:
                self.add_violation("TWICE", f"{call.id}: {len(self.runs[call.id])} runs")

    def refusals(self):
        """A request refused with a status of NOT_RUN never runs."""
        for call in self.calls.values():
            if call.status in NOT_RUN and self.runs.get(call.id):
                self.add_violation("REFUSED", f"{call.id}: {call.status}, but it ran")
        submissions = collections.defaultdict(list)
        for call in self.ledger.calls:
            if call.kind == "batch":
                submissions[call.job].append(call)
        for job in self.ledger.jobs:
            if not all(call.status in NOT_RUN for call in submissions[job.id]):
                continue
            if any(self.runs.get(item) for item in job.items):
                self.add_violation("REFUSED", f"{job.id}: refused at every attempt, but it ran")

    def denials(self):
        """No request that every configuration allows is denied."""
        permanent = set(PERMANENT_KEYS.values()) | {None}
        for call in self.calls.values():
            job_call = call.kind in ("read", "body", "end")
            if call.status not in DENIED or call.key not in permanent:
                continue
            if not job_call and not self.may_lack_customers(call):
                self.add_violation("DENIED", f"{call.id}: {call.status}")

    def may_lack_customers(self, call):
        """Returns whether a configuration without customers was the newest during the call."""
        return any(each.begun_at <= call.ended_at and each.restored_at >= call.sent_at
                   for each in self.ledger.withholdings)

    def crashing_requests(self):
        """A request that has crashed three engines is sent three times more at most, later than
        STABLE_S after that, by gateways that run. Faults of the store excuse nothing."""
        crashes = collections.defaultdict(list)
        for engine in self.site.all_engines:
            for run in engine.crashed:
                crashes[run["body"]].append(run["ended"])
        for body, ends in crashes.items():
            if len(ends) < 3:
                continue
            third = sorted(ends)[2]
            late = []
            for call in self.calls.values():
                if call.body == body:
                    late += [at for at, engine, _ in self.runs[call.id]
                             if at > third + STABLE_S and self.ran_before(call.gateway, at)
                             and not self.held_back(engine, at)]
            if len(late) > MAX_LATE_RUNS:
                self.add_violation("BUDGET", f"{body.decode()}: {len(late)} runs later than "
                                   f"{STABLE_S} s after its third crash, {len(ends)} crashes")

    def ran_before(self, gateway, at):
        touched = {gateway, f"stop of {gateway}", "gateways"}
        return self.ledger.fault_free(touched, at - STABLE_S, at)

    def held_back(self, engine, at):
        """Returns whether a request may have been sent long before it arrived."""
        return not self.ledger.fault_free({f"silence of {engine.id}"}, at - HELD_BACK_S, at)

    def withdrawn_keys(self):
        ended = {each.key: each.at for each in self.ledger.withdrawals}
        for request, runs in self.runs.items():
            call = self.calls.get(request)
            late = call and call.key in ended and call.sent_at > ended[call.key] + WITHDRAWN_S
            if late and runs:
                self.add_violation("CONFIG",
                                   f"{request}: ran {call.sent_at - ended[call.key]:.2f} s "
                                   "after its key was withdrawn")

    def withheld_customers(self):
        """Nothing with a key runs that was sent while no configuration had one for long."""
        for request, runs in self.runs.items():
            call = self.calls.get(request)
            if not call or call.key is None or not runs:
                continue
            for each in self.ledger.withholdings:
                late = call.sent_at > each.acknowledged_at + WITHDRAWN_S
                if late and runs[0][0] < each.ended_at:
                    self.add_violation("CONFIG", f"{request}: ran, sent "
                                       f"{call.sent_at - each.acknowledged_at:.2f} s after the "
                                       "configuration had lost its customers")

    def quota(self):
        times = sorted(at for request, runs in self.runs.items() if request in self.calls
                       and self.calls[request].customer == "south" for at, _, _ in runs[:1])
        for first, begin in enumerate(times):
            count = bisect.bisect_right(times, begin + QUOTA_WINDOW_S) - first
            if count > MAX_QUOTA_REQUESTS:
                self.add_violation("QUOTA", f"{count} requests of south in {QUOTA_WINDOW_S} s, "
                                   f"{MAX_QUOTA_REQUESTS:.0f} are allowed")
                return

    def drains(self):
        """A draining engine gets no new requests from gateways without faults."""
        for request, runs in self.runs.items():
            call = self.calls.get(request)
            for at, engine, _ in runs:
                left_at = self.ledger.drains.get(engine.id)
                if left_at is None or at <= left_at + DRAIN_S or self.held_back(engine, at):
                    continue
                senders = {call.gateway} if call else self.gateways
                touched = senders | {"gateways", "store", "resets", engine.id}
                if self.ledger.fault_free(touched, left_at - STABLE_S, at):
                    self.add_violation("DRAIN", f"{request} from {sorted(senders)} at {engine.id} "
                                       f"{at - left_at:.2f} s after its notice")

    def planned_stops(self):
        """A planned stop cuts no request that was read, unless another fault affects it."""
        others = [each for each in self.ledger.faults
                  if not each[0].startswith(("stop of", "silence of"))]
        for gateway, stopped_at in self.ledger.stops:
            for call in self.calls.values():
                if (call.gateway != gateway or call.closed_by_caller or call.status is not None
                        or call.sent_at > stopped_at or call.ended_at < stopped_at):
                    continue
                fault_free = not any(begun <= call.ended_at
                                     and (ended is None or ended >= call.sent_at - STABLE_S)
                                     for _, begun, ended in others)
                if fault_free:
                    self.add_violation("LOST",
                                       f"{call.id} was cut by the planned stop of {gateway}")

    def early_ends(self):
        """A request that was read has a complete answer, or has used most of its time, unless its
        gateway or an engine that ran it had a fault. An engine that is silent for a second has
        none."""
        for call in self.calls.values():
            if (call.kind not in CALL_KINDS or call.closed_by_caller or call.complete
                    or call.whole_at is None or not call.ended_at):
                continue
            engines = {engine.id for _, engine, _ in self.runs[call.id]}
            crashed = any(call.sent_at - CRASH_S <= crash["ended"] <= call.ended_at
                          for _, engine, _ in self.runs[call.id] for crash in engine.crashed)
            used = call.ended_at - call.sent_at
            crossed = not engines and call.ended_at - call.whole_at < LOST_S
            if crossed or crashed or used >= USED_SHARE * self.site.shortest_timeout_s():
                continue
            touched = engines | {call.gateway, "gateways", "resets"}
            if self.ledger.fault_free(touched, call.sent_at - STABLE_S, call.ended_at):
                self.add_violation("LOST", f"{call.id} of {call.gateway} ended without a complete "
                                   f"answer after {used:.2f} s, status {call.status}")

    def results(self):
        """Each item of an accepted job has one result: its output, or enough failed runs."""
        for job in self.ledger.jobs:
            if job.accepted_at is None or job.end_requested:
                continue
            listed = [result["id"] for result in job.results.values()]
            if sorted(listed) != sorted(job.items):
                self.add_violation("LOST",
                                   f"{job.id}: {len(set(listed))} of {len(job.items)} items, "
                                   f"{len(listed)} results")
            for result in job.results.values():
                self.result(job, result)

    def result(self, job, result):
        item = result["id"]
        if item not in job.items:
            self.add_violation("MIXED", f"{job.id}: result of item {item}, which is of another job")
        elif result["state"] == "done" and result["outputText"] != output_text(item, EVENTS):
            self.add_violation("ORDER", f"{item}: its text isn't the complete output")
        elif result["state"] == "dead":
            failed = sum(run["status"] == 500 for _, _, run in self.runs[item])
            never = self.site.poison.get(item) == 422 and self.runs[item]
            if result["outputText"]:
                self.add_violation("MIXED", f"{item}: given up, with a text")
            if not never and failed < ATTEMPTS:
                self.add_violation("MIXED", f"{item}: given up after {failed} failed runs")

    def ended_jobs(self):
        """No item starts later than CANCEL_S after the end of its job.

        Faults of the store don't excuse a late run, because gateways without its current state
        start nothing. A paused gateway or a link that held the request back does.
        """
        for item, job in self.items.items():
            if job.ended_at is None:
                continue
            for at, engine, _ in self.runs[item]:
                late = at > job.ended_at + CANCEL_S and not self.held_back(engine, at)
                if late and self.ledger.fault_free(self.gateways | {engine.id},
                                                   job.ended_at, at):
                    self.add_violation("UNASKED",
                                       f"{item} at {engine.id} {at - job.ended_at:.2f} s "
                                       "after the end of its job")

    def unrelated_group(self):
        for run in self.site.unrelated_engine.runs:
            self.add_violation("ROUTE", f"{run['id']} ran at an engine of another group")

    def logs(self):
        """Every log line is JSON, and every refusal is logged with the request's id."""
        logged_ids = collections.defaultdict(set)
        for gateway in self.site.gateways:
            for line in gateway.process.log().splitlines():
                try:
                    logged_ids[gateway.name].add(json.loads(line).get("request_id"))
                except ValueError:
                    # The last line of a process that was killed may be cut.
                    if not line.startswith("{"):
                        self.add_violation("LOG", f"{gateway.name}: {line[:200]}")
        for call in self.calls.values():
            refused = call.complete and call.status not in (200, None)
            if not refused or call.job or call.id in logged_ids[call.gateway]:
                continue
            if self.ledger.fault_free({call.gateway, "gateways"}, call.sent_at, call.ended_at + 1):
                self.add_violation("LOG", f"{call.id}: no log line for status {call.status}")
