#!/usr/bin/env python3
"""Starts a small fleet for each example manifest, sends a streamed request and runs a batch job.

Every process is a child of this script and ends with it. With --keep, the last fleet runs until
Ctrl-C.
"""

import argparse
import http.client
import json
import pathlib
import signal
import sys
import tempfile
import time
import uuid

from fleet import Fleet, http_call, wait_until

ROOT = pathlib.Path(__file__).resolve().parents[1]
BATCH_TIMEOUT_S = 120
POLL_S = 0.5


class Example:
    """One example: its manifest, the upstreams of its fleet and the requests to send."""

    def __init__(self, name, region, groups, online_client, batch_client, question, items):
        self.name = name
        self.manifest = ROOT / "examples" / f"{name}.ini"
        self.region = region
        self.groups = groups  # (group, kind, upstreams)
        self.online_client = online_client  # (customer, model)
        self.batch_client = batch_client  # (customer, model)
        self.question = question
        self.items = items  # [(custom_id, prompt)]


def plow_log_items():
    """Returns one batch item (custom_id, prompt) for each plow log of the example."""
    lines = (ROOT / "examples" / "plow-logs.jsonl").read_text().splitlines()
    logs = [json.loads(line) for line in lines]
    return [(log["log"], "Write a closure notice from this plow log: " + json.dumps(log))
            for log in logs]


def examples():
    """Returns the examples of the folder examples/."""
    trenches = [(f"route-{number}", f"Check trench route {number} against heritage records")
                for number in range(1, 9)]
    return [
        Example("permit-assistant", "wa-south",
                [("permit-engines", "engine", 2), ("record-services", "service", 1)],
                ("trench-crews", "permit-drafter"), ("heat-planning", "permit-drafter"),
                "Draft a street closure notice for a trench on Hannan Street.", trenches),
        Example("closure-advisories", "blue-ridge",
                [("advisory-engines", "engine", 2), ("pass-services", "service", 1)],
                ("driver-app", "advisory-short"), ("plow-crews-north", "notice-writer"),
                "Is the gap road open right now?", plow_log_items()),
    ]


def print_step(text):
    """Prints a step of the demo."""
    print(f"\n== {text}", flush=True)


def start(example, bin_dir, work_dir):
    """Starts the fleet of an example and publishes its manifest."""
    zones = tuple(f"{example.region}-{number}" for number in (1, 2, 3))
    fleet = Fleet(bin_dir, work_dir, zones=zones, region=example.region)
    try:
        for group, kind, count in example.groups:
            for _ in range(count):
                fleet.add_upstream(group, kind)
        for _ in range(2):
            fleet.add_entry()
        print(fleet.publish(example.manifest).stdout.strip())
        fleet.wait_ready()
    except BaseException:
        fleet.stop()
        raise
    return fleet


def key_headers(key):
    return {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}


def call_successfully(entry, method, path, body, headers):
    """Sends a request and returns its body; raises RuntimeError unless the status is 200."""
    status, _, answer = http_call(entry.http, method, path, body, headers)
    if status != 200:
        raise RuntimeError(f"{method} {path}: {status} {answer.decode(errors='replace')}")
    return answer


def wait_for_engines(entry, key, model):
    """Waits until the entry routes a request to an upstream of the model."""
    body = json.dumps({"model": model, "max_tokens": 1,
                       "messages": [{"role": "user", "content": "ready?"}]})
    wait_until(lambda: http_call(entry.http, "POST", "/v1/chat/completions", body,
                                 key_headers(key))[0] == 200, "a first answer")


def print_event(line):
    """Prints the text of one server-sent event; returns whether it is the final [DONE]."""
    data = line[len("data: "):].strip()
    if data == "[DONE]":
        return True
    event = json.loads(data)
    if "error" in event:
        raise RuntimeError(f"the stream ended with an error: {data}")
    for choice in event.get("choices", []):
        print(choice.get("delta", {}).get("content") or "", end="", flush=True)
    return False


def ask_streamed(entry, key, model, question):
    """Sends one streamed request and prints the answer as it arrives."""
    host, port = entry.http.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=60)
    body = {"model": model, "stream": True, "max_tokens": 40,
            "messages": [{"role": "user", "content": question}]}
    connection.request("POST", "/v1/chat/completions", json.dumps(body), key_headers(key))
    response = connection.getresponse()
    if response.status != 200:
        raise RuntimeError(f"{response.status} {response.read().decode(errors='replace')}")
    ended = False
    for line in response:
        text = line.decode()
        if text.startswith("data: "):
            ended = print_event(text)
    connection.close()
    print(flush=True)
    if not ended:
        raise RuntimeError("the answer ended without [DONE]")


def batch_input(model, items):
    """Returns the input file of a batch job as JSON Lines."""
    return "".join(json.dumps({
        "custom_id": custom_id, "method": "POST", "url": "/v1/chat/completions",
        "body": {"model": model, "max_tokens": 24,
                 "messages": [{"role": "user", "content": prompt}]}}) + "\n"
        for custom_id, prompt in items)


def upload(entry, key, content):
    """Uploads an input file; returns its id."""
    boundary = uuid.uuid4().hex
    body = (f"--{boundary}\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n"
            f"--{boundary}\r\nContent-Disposition: form-data; name=\"file\"; "
            f"filename=\"items.jsonl\"\r\n\r\n{content}\r\n--{boundary}--\r\n").encode()
    headers = {**key_headers(key), "Content-Type": f"multipart/form-data; boundary={boundary}"}
    return json.loads(call_successfully(entry, "POST", "/v1/files", body, headers))["id"]


def run_batch(entries, key, model, items):
    """Submits a job to one entry, polls the other until it ends, and prints the results."""
    headers = key_headers(key)
    file_id = upload(entries[0], key, batch_input(model, items))
    job = json.loads(call_successfully(entries[0], "POST", "/v1/batches", json.dumps(
        {"input_file_id": file_id, "endpoint": "/v1/chat/completions",
         "completion_window": "24h"}), headers))
    print(f"job {job['id']} accepted", flush=True)
    deadline = time.monotonic() + BATCH_TIMEOUT_S
    while job["status"] not in ("completed", "failed", "cancelled", "expired"):
        if time.monotonic() > deadline:
            raise TimeoutError(f"job did not end within {BATCH_TIMEOUT_S} s: {job}")
        time.sleep(POLL_S)
        job = json.loads(call_successfully(entries[1], "GET", f"/v1/batches/{job['id']}", None,
                                           headers))
    print(f"job {job['status']}: {job['request_counts']}")
    for field in ("output_file_id", "error_file_id"):
        if job.get(field):
            text = call_successfully(entries[1], "GET", f"/v1/files/{job[field]}/content", None,
                                     headers)
            print_results(text.decode())
    if job["request_counts"]["completed"] != len(items):
        raise RuntimeError("some items of the batch job did not complete")


def print_results(text):
    """Prints one line for each result of a batch job."""
    for line in text.splitlines():
        result = json.loads(line)
        if result.get("error"):
            print(f"  {result['custom_id']}: error {result['error']['code']}")
        else:
            message = result["response"]["body"]["choices"][0]["message"]["content"]
            print(f"  {result['custom_id']}: {message[:70]}")


def print_burn(fleet):
    """Prints the burn report if tamarackctl has the command."""
    if "burn" not in fleet.ctl("--help", check=False).stdout:
        print("this build of tamarackctl has no burn report")
        return
    print(fleet.ctl("burn").stdout)


def run_requests(example, fleet):
    """Sends the streamed request and the batch job; returns the key of the online customer."""
    customer, model = example.online_client
    batch_customer, batch_model = example.batch_client
    key = fleet.issue_key(customer)
    batch_key = fleet.issue_key(batch_customer)
    for entry in fleet.entries:
        wait_for_engines(entry, key, model)
        wait_for_engines(entry, batch_key, batch_model)
    print_step(f"{customer} asks {model}: {example.question}")
    ask_streamed(fleet.entries[0], key, model, example.question)
    print_step(f"{batch_customer} sends a batch of {len(example.items)} items to {batch_model}")
    run_batch(fleet.entries, batch_key, batch_model, example.items)
    print_step("burn report")
    print_burn(fleet)
    return key


def keep_up(example, fleet, key):
    """Prints commands to try on the fleet and waits for Ctrl-C."""
    entry = fleet.entries[0]
    body = json.dumps({"model": example.online_client[1], "stream": True,
                       "messages": [{"role": "user", "content": example.question}]})
    print_step("the fleet keeps running; press Ctrl-C to stop it")
    print(f"curl -N http://{entry.http}/v1/chat/completions -H 'Authorization: Bearer {key}' \\\n"
          f"  -d '{body}'\n"
          f"curl http://{entry.admin}/metrics\n"
          f"{fleet.bin}/tamarackctl --platform={fleet.platform} "
          f"--fleet_secret_file={fleet.secret} key list\n"
          f"logs and settings: {fleet.dir}", flush=True)
    signal.pause()


def run_example(example, arguments, keep):
    with tempfile.TemporaryDirectory(prefix="tamarack-demo-") as folder:
        print_step(f"{example.name}: starting")
        fleet = start(example, arguments.bin, folder)
        try:
            key = run_requests(example, fleet)
            if keep:
                keep_up(example, fleet, key)
        finally:
            fleet.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default=str(ROOT / "build" / "bin"), help="folder of the programs")
    parser.add_argument("--example", help="run only this example of examples/")
    parser.add_argument("--keep", action="store_true",
                        help="keep the last fleet running until Ctrl-C")
    arguments = parser.parse_args()
    chosen = [s for s in examples() if arguments.example in (None, s.name)]
    if not chosen:
        parser.error(f"no example '{arguments.example}'")
    for example in chosen:
        run_example(example, arguments, arguments.keep and example is chosen[-1])
    return 0


if __name__ == "__main__":
    # SIGTERM stops the fleet in the same way as Ctrl-C.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        print("\nstopped")
