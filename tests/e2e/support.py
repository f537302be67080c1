"""Shared by the end-to-end tests: a fleet for each test class, and helpers for requests."""

import argparse
import http.client
import json
import pathlib
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "scripts"))

from fleet import Fleet, http_call, wait_until  # noqa: E402  pylint: disable=wrong-import-position

MANIFEST = """
[fleet]
name = end-to-end
partitions = 4

[group engines]
kind = engine

[group records]
kind = service

[model drafter]
group = engines
version = 1
max-tokens = 4096

[model checker]
group = engines
version = 1
max-tokens = 4096

[customer shire]
rate-per-second = 1000
burst = 1000
weight = 4
batch = yes

[customer depot]
rate-per-second = 2
burst = 3
weight = 1
batch = yes

[customer ferry]
rate-per-second = 20
burst = 60
weight = 1

[route records]
prefix = /records
group = records
repeatable-methods = GET,HEAD

[route status]
prefix = /status
group = records
open = yes
repeatable-methods = GET
"""


def options():
    """Parses --bin and the mutations of the daemons; returns them and the arguments of unittest."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", default=str(ROOT / "build" / "bin"))
    parser.add_argument("--mutate-entry", default="", help="names of tests/mutants")
    parser.add_argument("--mutate-side", default="", help="names of tests/mutants")
    parsed, rest = parser.parse_known_args()
    return parsed, rest


def daemons():
    """Returns the commands of the mutated daemons, by the program that they replace."""
    mutations = {"entry": OPTIONS.mutate_entry, "side": OPTIONS.mutate_side}
    return {f"tamarack-{role}": [f"mutant-{role}", f"--mutations={names}"]
            for role, names in mutations.items() if names}


OPTIONS, REST = options()


class FleetTestCase(unittest.TestCase):
    """Base of tests with one fleet: by default two entries, two engines and a plain service."""

    manifest = MANIFEST
    engines = 2
    entries = 2
    engine_flags = ()
    side_extra = None
    platform_flags = ()

    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory(prefix="tamarack-e2e-")
        cls.fleet = Fleet(OPTIONS.bin, cls.folder.name, platform_flags=cls.platform_flags,
                          daemons=daemons())
        try:
            cls.start_fleet()
        except BaseException:
            cls.tearDownClass()
            raise

    @classmethod
    def start_fleet(cls):
        for _ in range(cls.engines):
            cls.fleet.add_upstream("engines", flags=cls.engine_flags,
                                   side_extra=cls.side_extra)
        cls.fleet.add_upstream("records", kind="service")
        for _ in range(cls.entries):
            cls.fleet.add_entry()
        path = pathlib.Path(cls.folder.name) / "manifest.ini"
        path.write_text(cls.manifest)
        cls.fleet.publish(path)
        cls.keys = {name: cls.fleet.issue_key(name) for name in ("shire", "depot")}
        cls.fleet.wait_ready()
        for entry in cls.fleet.entries:
            wait_until(lambda e=entry: cls.call_model(e, "warm up")[0] == 200, "a first answer")
            wait_until(lambda e=entry: http_call(e.http, "GET", "/status/now")[0] == 200,
                       "the plain service")

    @classmethod
    def tearDownClass(cls):
        if cls.fleet:
            cls.fleet.stop()
        cls.folder.cleanup()

    @classmethod
    def headers(cls, customer="shire", key=None):
        return {"Authorization": f"Bearer {key or cls.keys[customer]}",
                "Content-Type": "application/json"}

    @classmethod
    def call_model(cls, entry, prompt, customer="shire", key=None, timeout=60, **fields):
        """Sends a chat completion; returns (status, headers, body bytes)."""
        body = {"model": "drafter", "max_tokens": 8,
                "messages": [{"role": "user", "content": prompt}], **fields}
        return http_call(entry.http, "POST", "/v1/chat/completions", json.dumps(body),
                         cls.headers(customer, key), timeout)

    def direct(self, prompt, side=None, **fields):
        """Sends a chat completion directly to the upstream of a side, by default the first."""
        side = side or self.fleet.sides[0]
        body = {"model": "drafter", "max_tokens": 8,
                "messages": [{"role": "user", "content": prompt}], **fields}
        return http_call(side.upstream, "POST", "/v1/chat/completions", json.dumps(body),
                         {"Content-Type": "application/json"})

    def open_stream(self, entry, prompt, customer="shire", key=None, timeout=60, **fields):
        """Starts a streamed chat completion; returns (connection, response)."""
        host, port = entry.http.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
        body = {"model": "drafter", "max_tokens": 8, "stream": True,
                "messages": [{"role": "user", "content": prompt}], **fields}
        connection.request("POST", "/v1/chat/completions", json.dumps(body),
                           self.headers(customer, key))
        return connection, connection.getresponse()

    def error_of(self, body):
        """Returns the error object of a refusal after checking its fields."""
        error = json.loads(body)["error"]
        for field in ("type", "code", "message", "request_id", "executed"):
            self.assertIn(field, error)
        self.assertIn(error["executed"], ("no", "yes", "unknown"))
        return error


def stream_text(body):
    """Returns the concatenated text of the events of a chat stream."""
    text = ""
    for line in body.decode().split("\n"):
        if line.startswith("data: ") and line != "data: [DONE]":
            event = json.loads(line[len("data: "):])
            if "choices" in event and event["choices"]:
                text += event["choices"][0].get("delta", {}).get("content") or ""
    return text


def main():
    """Runs the tests of the calling module."""
    unittest.main(module="__main__", argv=[sys.argv[0], *REST], verbosity=2)
