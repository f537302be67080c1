#!/usr/bin/env python3
"""The fault soak: runs real gateways under overlapping faults and checks their guarantees.

    soak.py --seed 7                 one seed
    soak.py --seeds 1-50 --jobs 3    a range of seeds, each in a separate process
    soak.py --fresh-minutes 5        random seeds for 5 minutes
    soak.py --regressions            the seeds of regressions.txt

Prints a line for each violation and exits with 1 if there was one. With --keep, the gateways' logs
of a failed seed are copied to that folder.
"""

import argparse
import concurrent.futures
import itertools
import pathlib
import random
import shutil
import subprocess
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).resolve().parent
ROOT = FOLDER.parents[1]
for path in (FOLDER, ROOT / "tests" / "e2e", ROOT / "scripts"):
    sys.path.insert(0, str(path))
# pylint: disable=wrong-import-position
import faults  # noqa: E402
from callers import BatchCaller, DeadlyCaller, StreamCaller  # noqa: E402
from checks import Checks  # noqa: E402
from deployment import BATCH_CUSTOMERS, CALL_KINDS, FINISH_S, RECOVER_S, Site  # noqa: E402
from ledger import Ledger  # noqa: E402

SIZES = {  # numbers of gateways, engines, stream callers for each customer, and batch callers
    "usual": {"gateways": 3, "engines": 3, "callers": 4, "batch": 2},
    "large": {"gateways": 60, "engines": 12, "callers": 20, "batch": 4},
    "calm": {"gateways": 2, "engines": 6, "callers": 16, "batch": 1},
}
# Duration of the first phase, which has only planned stops and a draining engine.
INITIAL_FAULTS_S = 4.0
CALLER_PAUSE_S = 0.15
MEAN_GAP_S = 0.8  # mean time between series of faults
PROBE_S = 2.0  # how long service has to work after the last fault
POLL_S = 0.2


def start_callers(site, seed, size, options):
    callers = [StreamCaller(site, seed, f"{customer}-{i}", customer, options.pause)
               for customer in ("north", "south") for i in range(size["callers"])]
    callers += [BatchCaller(site, seed, f"batch-{i}", BATCH_CUSTOMERS[i])
                for i in range(size["batch"])]
    if seed % 4 in (2, 3) and options.kind not in faults.CALM_KINDS:  # half of the seeds
        callers.append(DeadlyCaller(site, seed))
    for caller in callers:
        caller.start()
    return callers


def recovered(site, since):
    """Returns whether streams succeeded at two or more gateways within PROBE_S and none failed."""
    now = time.monotonic()
    if now - since < PROBE_S:
        return False
    recent = [call for call in site.ledger.calls
              if call.kind == "stream" and call.customer == "north" and not call.closed_by_caller
              and call.sent_at > now - PROBE_S and call.ended_at > 0]
    good = [call for call in recent if call.status == 200 and call.complete]
    # Callers still use withdrawn keys, so some answers are 401.
    wrong = [call for call in recent if call.status not in (200, 401)]
    served = {call.gateway for call in good}
    return bool(good) and not wrong and len(served) >= min(len(site.gateways), 2)


def jobs_finished(site, reader):
    waiting = [job for job in site.ledger.jobs
               if job.accepted_at is not None and not job.end_requested
               and len(job.results) < len(job.items)]
    for job in waiting:
        reader.read(job, len(job.results))
    return not waiting


def wait_for(condition, seconds):
    give_up_at = time.monotonic() + seconds
    while time.monotonic() < give_up_at:
        if condition():
            return True
        time.sleep(POLL_S)
    return False


def finish(site, callers, seed):
    """Waits until service works and jobs are finished; reads every job again at two gateways."""
    healed_at = time.monotonic()
    if not wait_for(lambda: recovered(site, healed_at), RECOVER_S):
        site.ledger.add_violation("RECOVER",
                                  f"service has not recovered {RECOVER_S} s after the last fault")
    site.callers_stopped = True
    for caller in callers:
        caller.join()
    reader = BatchCaller(site, seed, "reader", "north")
    wait_for(lambda: jobs_finished(site, reader), FINISH_S)
    for job in site.ledger.jobs:
        if job.accepted_at is not None:
            for gateway in range(2):
                reader.number = gateway
                reader.read(job, 0)


def run_seed(seed, options):
    """Runs one seed in this process; returns its violations."""
    ledger = Ledger()
    size = SIZES[options.size]
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"tamarack-soak-{seed}-"))
    site = None
    try:
        site = Site(seed, folder, options.bin, ledger, size, options.mutation)
        callers = start_callers(site, seed, size, options)
        initial_faults = [(0.2, faults.engine_drains_long, 0), (1.0, faults.gateway_stop, 1),
                          (2.0, faults.gateway_stop, 2)]
        if options.kind in faults.CALM_KINDS:
            initial_faults = []
        faults.run(site, initial_faults, INITIAL_FAULTS_S)
        faults.run(site, faults.plan(seed, options.seconds, options.gap, options.kind), options.seconds)
        site.end_all_faults()
        finish(site, callers, seed)
        Checks(site).run_all()
        print_summary(seed, site)
    finally:
        if site:
            site.stop()
        if ledger.violations and options.keep:
            shutil.copytree(folder, pathlib.Path(options.keep) / f"seed-{seed}",
                            dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    return ledger.violations


def print_summary(seed, site):
    calls = [call for call in site.ledger.calls if call.kind in CALL_KINDS]
    served = sum(call.status == 200 and call.complete for call in calls)
    items = sum(len(job.results) for job in site.ledger.jobs)
    failed = sum(call.status in (502, 504) for call in calls)
    refused = sum(call.status == 503 for call in calls)
    print(f"seed {seed}: {len(calls)} requests, {served} served, {failed} failed with 502 or 504, "
          f"{refused} refused with 503, {len(site.ledger.jobs)} jobs, "
          f"{items} results, {len(site.ledger.faults)} faults", flush=True)


def run_child(seed, options):
    """Runs one seed in a separate process; returns (seed, exit code, output)."""
    command = [sys.executable, __file__, "--seed", str(seed), "--bin", options.bin, "--seconds",
               str(options.seconds), "--size", options.size, "--mutation", options.mutation,
               "--keep", options.keep, "--kind", options.kind, "--gap", str(options.gap), "--pause",
               str(options.pause)]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return seed, done.returncode, done.stdout + done.stderr


def run_many(seeds, options):
    """Runs seeds in parallel; returns those that failed."""
    failed = []
    finished = 0
    seeds = iter(seeds)
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        while not (failed and options.until_failure):
            batch = list(itertools.islice(seeds, options.jobs))
            if not batch:
                break
            for seed, code, output in pool.map(lambda seed: run_child(seed, options), batch):
                print(output, end="", flush=True)
                finished += 1
                failed += [seed] if code else []
    print(f"{finished} seeds finished, {len(failed)} failed: {failed}")
    return failed


def fresh_seeds(minutes):
    """Yields seeds from the system's random source until the time is over."""
    until = time.monotonic() + minutes * 60
    while time.monotonic() < until:
        yield random.SystemRandom().randrange(10**6, 10**9)


def run_regressions(options):
    """Runs the seeds of regressions.txt, each with the kind that it failed with."""
    lines = (FOLDER / "regressions.txt").read_text().splitlines()
    failed = []
    for line in lines:
        if line and not line.startswith("#"):
            seed, options.kind = line.split()[:2]
            failed += run_many([int(seed)], options)
    return failed


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bin", default=str(ROOT / "build" / "bin"))
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seeds", default="", help="FIRST-LAST")
    parser.add_argument("--fresh-minutes", type=float, default=0)
    parser.add_argument("--regressions", action="store_true")
    parser.add_argument("--jobs", type=int, default=2, help="number of seeds run in parallel")
    parser.add_argument("--seconds", type=float, default=15,
                        help="duration of the faults of each seed")
    parser.add_argument("--size", choices=SIZES, default="usual")
    parser.add_argument("--kind", choices=faults.KINDS, default="all", help="of the faults")
    parser.add_argument("--gap", type=float, default=MEAN_GAP_S,
                        help="mean seconds between series of faults")
    parser.add_argument("--pause", type=float, default=CALLER_PAUSE_S,
                        help="mean seconds between the requests of a caller")
    parser.add_argument("--mutation", default="", help="mutation to plant in the gateways")
    parser.add_argument("--until-failure", action="store_true")
    parser.add_argument("--keep", default="", help="folder for the logs of failed seeds")
    return parser.parse_args()


def main():
    options = parse_arguments()
    if options.seed is not None:
        violations = run_seed(options.seed, options)
        for rule, text in violations:
            print(f"seed {options.seed}: {rule}: {text}", flush=True)
        return 1 if violations else 0
    if options.regressions:
        return 1 if run_regressions(options) else 0
    seeds = []
    if options.seeds:
        first, last = map(int, options.seeds.split("-"))
        seeds = range(first, last + 1)
    elif options.fresh_minutes:
        seeds = fresh_seeds(options.fresh_minutes)
    return 1 if run_many(seeds, options) else 0


if __name__ == "__main__":
    sys.exit(main())
