#!/usr/bin/env python3
"""Measures latency and goodput of a fleet of real processes: during a batch job, while a customer
exceeds its rate, with all callers on one entry, and after the loss of a process.

Runs the deployments of examples/ with engine stand-ins, sides and three entries on loopback, under
load from tamarack-load. Latencies are wall time: compare them only at similar load averages.
"""

import argparse
import collections
import configparser
import json
import pathlib
import statistics
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from fleet import Fleet, http_call, wait_until  # noqa: E402
from load_runs import LoadRun, load_average  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parents[1]
ENTRIES = 3
WARMUP_S = 2
DRAIN_S = 15
LOAD_SHARE = 0.6  # load as a share of each customer's rate, unless a part sets another
EXCESS = 5  # load of the excessive customer, as a multiple of its rate
ONE_ENTRY_SHARE = 0.8  # load as a share of each customer's rate, with all callers on one entry
ANSWER_TOKENS = 60
PROMPT_TOKENS = 48
BATCH_TOKENS = 100
BATCH_ITEMS = 15000  # more than a run completes
RESTART_AFTER_S = 3
GOOD_SHARE = 0.95  # share of requests answered completely in a good slice
GOOD_SLICES = 10  # consecutive good slices of 100 ms that count as recovery

Deployment = collections.namedtuple(
    "Deployment", "manifest engines engine_group service_group online_model excessive batch")
Batch = collections.namedtuple("Batch", "customer model")

DEPLOYMENTS = {
    "permit-assistant": Deployment(
        "permit-assistant.ini", 12, "permit-engines", "record-services", "permit-drafter",
        "trench-crews", Batch("city-of-kalgoorlie", "permit-drafter")),
    "closure-advisories": Deployment(
        "closure-advisories.ini", 10, "advisory-engines", "pass-services", "advisory-short",
        "state-roads", Batch("plow-crews-north", "notice-writer")),
}


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default=str(ROOT / "build" / "bin"))
    parser.add_argument("--deployment", choices=[*DEPLOYMENTS, "all"], default="all")
    parser.add_argument("--quick", action="store_true", help="run each part for 6 s with one seed")
    parser.add_argument("--seconds", type=float, default=20, help="duration of each part")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--parts", default="batch,excess,one-entry,losses,retries")
    parser.add_argument("--speedup", type=float, default=1,
                        help="speed factor of the engine stand-ins")
    parser.add_argument("--output", help="write the figures as JSON to this file")
    options = parser.parse_args()
    if options.quick:
        options.seconds, options.seeds = 6, 1
    return options


class BatchJob:
    """A batch job that lasts longer than a run; throughput is the items completed in a window."""

    def __init__(self, entry, key, model, items, tag):
        self.entry = entry
        self.headers = {"Authorization": f"Bearer {key}"}
        lines = []
        for i in range(items):
            content = f"{tag} route {i} " + "gap road " * (PROMPT_TOKENS // 2)
            body = {"model": model, "max_tokens": BATCH_TOKENS,
                    "messages": [{"role": "user", "content": content}]}
            lines.append(json.dumps({"custom_id": f"item-{i}", "method": "POST",
                                     "url": "/v1/chat/completions", "body": body}))
        file_id = self._upload("\n".join(lines) + "\n")
        created = self._request("POST", "/v1/batches", {
            "input_file_id": file_id, "endpoint": "/v1/chat/completions",
            "completion_window": "24h"})
        self.id = created["id"]

    def _upload(self, text):
        mark = "bench-fleet-boundary"
        body = (f"--{mark}\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n"
                f"--{mark}\r\nContent-Disposition: form-data; name=\"file\"; filename=\"b.jsonl\""
                f"\r\n\r\n{text}\r\n--{mark}--\r\n")
        status, _, answer = http_call(
            self.entry.http, "POST", "/v1/files", body.encode(),
            {**self.headers, "Content-Type": f"multipart/form-data; boundary={mark}"}, 60)
        assert status == 200, answer
        return json.loads(answer)["id"]

    def _request(self, method, path, body=None):
        status, _, answer = http_call(self.entry.http, method, path,
                                      json.dumps(body) if body is not None else None,
                                      {**self.headers, "Content-Type": "application/json"})
        if status != 200:
            raise RuntimeError(f"{method} {path}: {status} {answer[:300]}")
        return json.loads(answer)

    def status(self):
        return self._request("GET", f"/v1/batches/{self.id}")

    def completed(self):
        return self.status()["request_counts"]["completed"]

    def wait_first_item(self):
        wait_until(lambda: self.completed() > 0, "a first item")

    def cancel(self):
        self._request("POST", f"/v1/batches/{self.id}/cancel", {})
        wait_until(lambda: self.status()["status"] in ("cancelled", "completed"), "the cancelling")


class DeploymentBench:
    """The fleet of a deployment and the measurements that run on it, one method for each part."""

    def __init__(self, name, options, folder):
        self.name = name
        self.options = options
        self.folder = pathlib.Path(folder)
        self.deployment = DEPLOYMENTS[name]
        self.manifest = ROOT / "examples" / self.deployment.manifest
        parser = configparser.ConfigParser(inline_comment_prefixes=(";",))
        parser.read(self.manifest)
        self.customers = {section.split()[1]: parser[section] for section in parser.sections()
                          if section.startswith("customer ")}
        self.callers = [who for who, values in self.customers.items()
                        if self.deployment.online_model in values.get("models", "*").split(",")
                        or "models" not in values]
        region = next(iter(self.customers.values())).get("region")
        zones = tuple(f"{region}-{i}" for i in (1, 2, 3))
        self.fleet = Fleet(options.bin, folder, zones=zones, region=region)
        self.number = 0
        self.runs = collections.defaultdict(list)

    def start(self):
        flags = [f"--speedup={self.options.speedup}"]
        for _ in range(self.deployment.engines):
            self.fleet.add_upstream(self.deployment.engine_group, flags=flags)
        self.fleet.add_upstream(self.deployment.service_group, kind="service")
        for _ in range(ENTRIES):
            self.fleet.add_entry()
        self.fleet.publish(self.manifest)
        self.keys = {who: self.fleet.issue_key(who) for who in self.customers}
        self.fleet.wait_ready()
        for entry in self.fleet.entries:
            wait_until(lambda e=entry: self.request_status(e) == 200,
                       f"a first answer of {entry.name}")

    def request_status(self, entry):
        body = {"model": self.deployment.online_model, "max_tokens": 1,
                "messages": [{"role": "user", "content": "x"}]}
        return http_call(entry.http, "POST", "/v1/chat/completions", json.dumps(body),
                         {"Authorization": f"Bearer {self.keys[self.callers[0]]}"})[0]

    def start_load(self, seed, share=LOAD_SHARE, excess=None, entries=None, seconds=None):
        """Starts online load on the entries (by default all); returns the LoadRun."""
        seconds = seconds or self.options.seconds
        sections = [("run", {"seed": seed, "seconds": seconds + WARMUP_S, "warmup": WARMUP_S,
                             "drain": DRAIN_S})]
        for entry in entries or self.fleet.entries:
            sections.append((f"target {entry.name}", {"address": entry.http}))
        for who in self.callers:
            rate = float(self.customers[who]["rate-per-second"])
            sections.append((f"customer {who}", {
                "rate": rate, "burst": self.customers[who]["burst"], "load": rate * share,
                "excess": EXCESS / share if who == excess else 1}))
        sections.append(("class question", {
            "model": self.deployment.online_model, "max-tokens": ANSWER_TOKENS,
            "prompt-tokens": PROMPT_TOKENS, "shared-tokens": PROMPT_TOKENS // 2}))
        self.number += 1
        keys = {who: self.keys[who] for who in self.callers}
        return LoadRun(self.options.bin, self.folder, f"{self.name}-{self.number}", sections,
                       keys)

    def finish(self, load):
        return load.result(self.options.seconds + WARMUP_S + DRAIN_S + 30)

    def add(self, name, figures):
        self.runs[name].append(figures)

    def batch_window(self, job, load=None):
        """Returns the items/s of a job after the warm-up, and the report of the load if any."""
        time.sleep(WARMUP_S)
        first, start = job.completed(), time.monotonic()
        time.sleep(self.options.seconds)
        rate = (job.completed() - first) / (time.monotonic() - start)
        return rate, (self.finish(load) if load else None)

    def job(self, tag):
        who = self.deployment.batch
        job = BatchJob(self.fleet.entries[0], self.keys[who.customer], who.model, BATCH_ITEMS, tag)
        job.wait_first_item()
        return job

    def batch(self, seed):
        alone = self.finish(self.start_load(seed))
        job = self.job(f"seed {seed}")
        batch_alone, _ = self.batch_window(job)
        beside, report = self.batch_window(job, self.start_load(seed))
        job.cancel()
        self.add("online alone", online_figures(alone))
        self.add("online with batch", online_figures(report))
        self.add("batch", {"items_per_s_alone": batch_alone, "items_per_s_with_online": beside,
                           "share_kept": beside / batch_alone if batch_alone else None})

    def excess(self, seed):
        alone = self.finish(self.start_load(seed))
        beside = self.finish(self.start_load(seed, excess=self.deployment.excessive))
        self.add("worst customer alone", self.worst(alone))
        self.add("worst customer beside excess", self.worst(beside))
        row = next(r for r in beside["rows"] if r["customer"] == self.deployment.excessive)
        rate = float(self.customers[self.deployment.excessive]["rate-per-second"])
        self.add("the excessive customer", {
            "sent": row["intended"], "whole": row["whole"], "refused": row["refused"],
            "whole_per_s_of_rate": row["requests_per_second"] / rate,
            "bucket_would_admit": row["intended_within_rate"]})

    def worst(self, report):
        """Returns the worst value of each figure over all customers but the excessive one."""
        rows = [r for r in report["rows"] if r["customer"] != self.deployment.excessive]
        return {"ttft_p95_ms": max(value(r["first_token"]["p95_ms"]) for r in rows),
                "gap_p95_ms": max(value(r["gap"]["p95_ms"]) for r in rows),
                "refused_within_rate": sum(r["refused_within_rate"] for r in rows),
                "not_whole_share": max(1 - r["whole"] / r["intended"] for r in rows)}

    def one_entry(self, seed):
        """Sends the load of all callers, close to their rates, to one entry chosen by the seed."""
        entry = self.fleet.entries[seed % ENTRIES]
        report = self.finish(self.start_load(seed, share=ONE_ENTRY_SHARE, entries=[entry]))
        total = report["all"]
        self.add("callers on one entry", {
            "intended_within_rate": total["intended_within_rate"],
            "refused_within_rate": total["refused_within_rate"],
            "ttft_p95_ms": total["first_token"]["p95_ms"], "told": total["reasons"]})

    def losses(self, seed):
        """Kills and restarts an engine, a side and an entry, each in a separate run."""
        victims = {"engine": self.fleet.upstreams[self.fleet.sides[0].name],
                   "side": self.fleet.sides[1].process, "entry": self.fleet.entries[1].process}
        for kind, process in victims.items():
            seconds = max(self.options.seconds, 10)
            load = self.start_load(seed, seconds=seconds)
            time.sleep(WARMUP_S + 2)
            process.kill()
            killed = WARMUP_S + 2
            time.sleep(RESTART_AFTER_S)
            process.start()
            self.add(f"loss of an {kind}" if kind != "side" else "loss of a side",
                     recovery_figures(self.finish(load), killed,
                                      self.fleet.entries[1].name if kind == "entry" else None))
            self.fleet.wait_ready()
            for entry in self.fleet.entries:
                wait_until(lambda e=entry: self.request_status(e) == 200,
                           f"an answer of {entry.name}")

    def retries(self, seed):
        """Counts engine calls per request, without faults and with one engine failing half."""
        failing = self.fleet.sides[0]
        for name, share in (("retries, all engines well", 0), ("retries, one failing half", 0.5)):
            self.fleet.fault(failing.upstream, fail_share=share)
            before = self.started_executions()
            report = self.finish(self.start_load(seed))
            calls = self.started_executions() - before
            # The report leaves out requests of the warm-up; their number follows from its length.
            sent = report["all"]["intended"] * (self.options.seconds + WARMUP_S)
            sent /= self.options.seconds
            self.add(name, {"engine_calls_per_request": calls / sent,
                            "whole_share": report["all"]["whole"] / report["all"]["intended"],
                            "told": report["all"]["reasons"]})
        self.fleet.fault(failing.upstream, fail_share=0)

    def started_executions(self):
        """Returns the number of executions that the engines have started."""
        return sum(json.loads(http_call(side.upstream, "GET", "/executions?from=99999999")[2])
                   ["begun"] for side in self.fleet.sides[:self.deployment.engines])

    def run(self):
        for seed in range(1, self.options.seeds + 1):
            for part in self.options.parts.split(","):
                getattr(self, part.replace("-", "_"))(seed)
        return dict(self.runs)


def value(number):
    """Returns the number, or infinity for a quantile without samples, to rank it as the worst."""
    return float("inf") if number is None else number


def online_figures(report):
    total = report["all"]
    return {"ttft_p50_ms": total["first_token"]["p50_ms"],
            "ttft_p95_ms": total["first_token"]["p95_ms"],
            "ttft_p99_ms": total["first_token"]["p99_ms"],
            "gap_p50_ms": total["gap"]["p50_ms"], "gap_p95_ms": total["gap"]["p95_ms"],
            "gap_p99_ms": total["gap"]["p99_ms"],
            "requests_per_s": total["requests_per_second"],
            "intended": total["intended"], "whole": total["whole"],
            "refused_within_rate": total["refused_within_rate"],
            "latest_start_ms": report["latest_start_ms"], "told": total["reasons"]}


def recovery_figures(report, killed, lost_target):
    """Returns when goodput recovered after the kill, and how the incomplete requests ended.

    Unlike a balancer, tamarack-load keeps sending to a lost entry, so that target is left out of
    the goodput.
    """
    counts = collections.defaultdict(lambda: [0, 0])
    lost, reasons = 0, collections.Counter()
    for part in report["slices"]:
        elsewhere = part["target"] != lost_target
        if elsewhere:
            counts[round(part["at_s"], 1)][0] += part["intended"]
            counts[round(part["at_s"], 1)][1] += part["whole"]
        lost += part["intended"] - part["whole"]
        for reason, count in part["reasons"].items():
            reasons[reason + ("" if elsewhere else " (at the lost entry)")] += count
    return {"back_after_s": goodput_recovery_s(counts, killed), "not_whole": lost,
            "intended": report["all"]["intended"], "wrong": report["all"]["wrong"],
            "cut": report["all"]["cut"], "failed": report["all"]["failed"],
            "refused": report["all"]["refused"], "told": dict(reasons)}


def goodput_recovery_s(counts, killed):
    """Returns the seconds from the kill until GOOD_SLICES consecutive slices are good, or None."""
    after = [at for at in sorted(counts) if at >= round(killed - 0.5, 1)]
    bad = [at for at in after if counts[at][1] < GOOD_SHARE * counts[at][0]]
    if not bad:
        return 0.0
    for at in bad:
        following = [x for x in after if x > at][:GOOD_SLICES]
        if following and all(counts[x][1] >= GOOD_SHARE * counts[x][0] for x in following):
            return max(0.0, at + 0.1 - killed)
    return None


def figure_text(values):
    if isinstance(values[0], dict):
        total = collections.Counter()
        for each in values:
            total.update(each)
        return json.dumps(dict(total)) if total else "-"
    numbers = sorted(value(each) for each in values)
    text = f"{statistics.median(numbers):,.2f}"
    return f"{text}  ({numbers[0]:,.2f} to {numbers[-1]:,.2f})" if len(numbers) > 1 else text


def show(name, runs):
    print(f"{name} (median, minimum and maximum over the seeds):")
    for part, figures in runs.items():
        print(f"  {part}")
        for figure in figures[0]:
            print(f"    {figure:26} {figure_text([each[figure] for each in figures])}")


def main():
    options = parse_arguments()
    names = list(DEPLOYMENTS) if options.deployment == "all" else [options.deployment]
    results = {"seconds": options.seconds, "seeds": options.seeds, "speedup": options.speedup,
               "load_average": [load_average()], "deployments": {}}
    for name in names:
        with tempfile.TemporaryDirectory(prefix="tamarack-bench-") as folder:
            bench = DeploymentBench(name, options, folder)
            try:
                bench.start()
                results["deployments"][name] = bench.run()
            finally:
                bench.fleet.stop()
                if bench.runs:
                    show(name, bench.runs)
        results["load_average"].append(load_average())
    print("load average", ", ".join(f"{each:.1f}" for each in results["load_average"]))
    if options.output:
        pathlib.Path(options.output).write_text(json.dumps(results, indent=2) + "\n")


if __name__ == "__main__":
    main()
