#!/usr/bin/env python3
"""Measures the cost of an entry: CPU time per request and per token, added latency, memory.

Starts a platform, engine stand-ins, their sides and one entry on loopback and sends load with
tamarack-load. Costs are CPU time of the entry's process, which other work on the machine distorts
less than wall time. Latencies are wall time: compare them only at similar load averages.
"""

import argparse
import json
import pathlib
import statistics
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from fleet import Fleet, http_call, wait_until  # noqa: E402
from load_runs import (LoadRun, cpu_seconds, load_average, resident_bytes,  # noqa: E402
                       thread_cpu_seconds)

ROOT = pathlib.Path(__file__).resolve().parents[1]
CUSTOMER = "caller"
FAST_MODEL, SLOW_MODEL = "fast", "slow"
MAX_STREAMS_OF_SIDE = 4096
OPEN_STREAMS = 1000
# Each side admits only as many online streams as keep the token gap within its target: about 100.
SLOW_ENGINES = 12
SLOW_ITERATION_US = 50000  # 20 tokens/s for each stream
SHORT_TOKENS = 4  # in an unstreamed answer
STREAM_TOKENS = 200  # in a streamed answer
SLOW_TOKENS = 2000  # enough that no stream ends during the memory run
PACED_TOKENS = 400  # in a streamed answer of the paced engine
RUN_TIMEOUT_S = 120

MANIFEST = f"""
[fleet]
name = entry-cost

[group fast-engines]
kind = engine

[group slow-engines]
kind = engine

[model {FAST_MODEL}]
group = fast-engines
version = 1
max-tokens = 10000

[model {SLOW_MODEL}]
group = slow-engines
version = 1
max-tokens = 10000

[customer {CUSTOMER}]
rate-per-second = 100000
burst = 1000000
"""


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default=str(ROOT / "build" / "bin"))
    parser.add_argument("--quick", action="store_true", help="run each part once for 2 s")
    parser.add_argument("--seconds", type=float, default=5, help="duration of each part")
    parser.add_argument("--repeats", type=int, default=3, help="runs of each part")
    parser.add_argument("--connections", type=int, default=32,
                        help="number of connections in the closed-loop parts")
    parser.add_argument("--parts", default="short,streamed,paced,added,memory")
    parser.add_argument("--output", help="write the figures as JSON to this file")
    options = parser.parse_args()
    if options.quick:
        options.seconds, options.repeats = 2, 1
    return options


class Bench:
    """A fleet and the measurements that run on it, one method for each part."""

    def __init__(self, options, folder):
        self.options = options
        self.folder = pathlib.Path(folder)
        self.fleet = Fleet(options.bin, folder)
        self.number = 0
        self.figures = {}

    def start(self):
        side_extra = {"max-streams": MAX_STREAMS_OF_SIDE}
        self.fast = self.fleet.add_upstream("fast-engines", flags=["--speedup=0"],
                                            side_extra=side_extra)
        slow = [f"--w_us={SLOW_ITERATION_US}", "--h_us=0", "--max_slots=2000", "--chunk=1000000",
                "--kv_tokens=100000000"]
        self.slow = [self.fleet.add_upstream("slow-engines", flags=slow, side_extra=side_extra)
                     for _ in range(SLOW_ENGINES)]
        self.entry = self.fleet.add_entry()
        manifest = self.folder / "manifest.ini"
        manifest.write_text(MANIFEST)
        self.fleet.publish(manifest)
        self.key = self.fleet.issue_key(CUSTOMER)
        self.fleet.wait_ready()
        for model in (FAST_MODEL, SLOW_MODEL):
            wait_until(lambda m=model: self.request_status(m) == 200, f"an answer of {model}")

    def request_status(self, model):
        body = {"model": model, "max_tokens": 1, "messages": [{"role": "user", "content": "x"}]}
        return http_call(self.entry.http, "POST", "/v1/chat/completions", json.dumps(body),
                         {"Authorization": f"Bearer {self.key}"})[0]

    def sections(self, target, seconds, load, kind):
        return [("run", {"seed": 1 + self.number, "seconds": seconds, "warmup": 0, "drain": 5}),
                ("target one", {"address": target}),
                (f"customer {CUSTOMER}", {"load": load}),
                ("class kind", kind)]

    def start_load(self, target, seconds, kind, load=1, flags=()):
        self.number += 1
        return LoadRun(self.options.bin, self.folder, f"run-{self.number}",
                       self.sections(target, seconds, load, kind), {CUSTOMER: self.key}, flags)

    def cost(self, name, kind, connections):
        """Runs a closed loop through the entry and records its cost in CPU time."""
        pid = self.entry.process.child.pid
        processes = {"entry": pid, "side": self.fast.process.child.pid}
        before = {who: cpu_seconds(p) for who, p in processes.items()}
        threads = thread_cpu_seconds(pid)
        load = self.start_load(self.entry.http, self.options.seconds, kind,
                               flags=["--mode=closed", f"--connections={connections}"])
        report = load.result(RUN_TIMEOUT_S)
        used = {who: cpu_seconds(p) - before[who] for who, p in processes.items()}
        seconds = self.options.seconds
        whole = report["all"]["whole"]
        tokens = report["all"]["tokens_per_second"] * seconds
        by_thread = sorted((round(now - threads.get(thread, 0), 2) for thread, now
                            in thread_cpu_seconds(pid).items()), reverse=True)
        self.add(name, {
            "requests_per_s": whole / seconds,
            "tokens_per_s": tokens / seconds,
            "entry_cores": used["entry"] / seconds,
            "requests_per_core_s": whole / used["entry"],
            "tokens_per_core_s": tokens / used["entry"],
            "entry_us_per_request": used["entry"] / whole * 1e6,
            "entry_us_per_token": used["entry"] / tokens * 1e6,
            "side_us_per_request": used["side"] / whole * 1e6,
            "not_whole": report["all"]["intended"] - whole,
            "entry_thread_s": by_thread[:3]})

    def short(self):
        kind = {"model": FAST_MODEL, "streamed": 0, "max-tokens": SHORT_TOKENS,
                "prompt-tokens": 16}
        self.cost("short", kind, self.options.connections)

    def streamed(self):
        kind = {"model": FAST_MODEL, "streamed": 1, "max-tokens": STREAM_TOKENS,
                "prompt-tokens": 16}
        self.cost("streamed", kind, self.options.connections)

    def added(self):
        """Records the latency that the entry adds to a direct call, at half the closed rate."""
        rate = statistics.median(r["requests_per_s"] for r in self.figures["short"]) / 2
        kind = {"model": FAST_MODEL, "streamed": 0, "max-tokens": SHORT_TOKENS,
                "prompt-tokens": 16}
        total = {}
        for who, target in (("direct", self.fast.upstream), ("entry", self.entry.http)):
            report = self.start_load(target, self.options.seconds, kind, load=rate).result(
                RUN_TIMEOUT_S)
            total[who] = report["all"]["total"]
            total[f"{who}_not_whole"] = report["all"]["intended"] - report["all"]["whole"]
            total[f"{who}_latest_start_ms"] = report["latest_start_ms"]
        figures = {"requests_per_s": rate, "load_average": load_average()}
        for share in ("p50_ms", "p99_ms"):
            figures[f"direct_{share}"] = total["direct"][share]
            figures[f"entry_{share}"] = total["entry"][share]
            if None not in (total["direct"][share], total["entry"][share]):
                figures[f"added_{share}"] = total["entry"][share] - total["direct"][share]
        for who in ("direct", "entry"):
            for what in ("not_whole", "latest_start_ms"):
                figures[f"{who}_{what}"] = total[f"{who}_{what}"]
        self.add("added", figures)

    def paced(self):
        """Records the CPU cost of streams that the engine paces with one event per token."""
        kind = {"model": SLOW_MODEL, "streamed": 1, "max-tokens": PACED_TOKENS,
                "prompt-tokens": 16}
        pid = self.entry.process.child.pid
        load = self.start_load(self.entry.http, self.options.seconds + 6, kind,
                               flags=["--mode=closed", f"--connections={OPEN_STREAMS}",
                                      "--set=drain=0.1"])
        time.sleep(5)  # until all streams are open
        before, tokens = cpu_seconds(pid), self.slow_tokens()
        start = time.monotonic()
        time.sleep(self.options.seconds)
        used, tokens = cpu_seconds(pid) - before, self.slow_tokens() - tokens
        seconds = time.monotonic() - start
        open_requests = self.open_requests()
        load.result(RUN_TIMEOUT_S)
        self.add("paced", {"streams": open_requests, "tokens_per_s": tokens / seconds,
                           "entry_cores": used / seconds, "tokens_per_core_s": tokens / used,
                           "entry_us_per_token": used / tokens * 1e6})

    def slow_tokens(self):
        return sum(json.loads(http_call(side.upstream, "GET", "/executions?from=99999999")[2])
                   ["tokens_written"] for side in self.slow)

    def memory(self):
        """Records the entry's resident memory without load and with many open streams."""
        pid = self.entry.process.child.pid
        idle = resident_bytes(pid)
        kind = {"model": SLOW_MODEL, "streamed": 1, "max-tokens": SLOW_TOKENS,
                "prompt-tokens": 16}
        load = self.start_load(self.entry.http, 5, kind,
                               flags=["--mode=closed", f"--connections={OPEN_STREAMS}",
                                      "--set=drain=0.1"])
        time.sleep(4)
        used = resident_bytes(pid)
        open_requests = self.open_requests()
        load.result(RUN_TIMEOUT_S)
        self.add("memory", {"streams": open_requests, "before_mb": idle / 2**20,
                            "with_streams_mb": used / 2**20})

    def open_requests(self):
        return json.loads(http_call(self.entry.admin, "GET", "/status")[2])["requests"]

    def add(self, part, figures):
        self.figures.setdefault(part, []).append(figures)

    def run(self):
        parts = self.options.parts.split(",")
        for _ in range(self.options.repeats):
            for part in parts:
                getattr(self, part)()
        return self.figures


def median_and_range(values):
    """Formats the median and the range of the values."""
    numbers = [value for value in values if isinstance(value, (int, float))]
    if not numbers:
        return str(values[-1])
    middle = statistics.median(numbers)
    text = f"{middle:,.3f}" if middle < 100 else f"{middle:,.0f}"
    if len(numbers) > 1:
        low, high = min(numbers), max(numbers)
        digits = 3 if high < 100 else 0
        text += f"  ({low:,.{digits}f} to {high:,.{digits}f})"
    return text


def show(figures):
    for part, runs in figures.items():
        print(f"{part}:")
        for name in runs[0]:
            print(f"  {name:26} {median_and_range([run.get(name) for run in runs])}")


def main():
    options = parse_arguments()
    before = load_average()
    with tempfile.TemporaryDirectory(prefix="tamarack-bench-") as folder:
        bench = Bench(options, folder)
        try:
            bench.start()
            figures = bench.run()
        finally:
            bench.fleet.stop()
    show(figures)
    print(f"load average before {before:.1f}, after {load_average():.1f}")
    if options.output:
        results = {"seconds": options.seconds, "connections": options.connections,
                   "load_average": [before, load_average()], "parts": figures}
        pathlib.Path(options.output).write_text(json.dumps(results, indent=2) + "\n")


if __name__ == "__main__":
    main()
