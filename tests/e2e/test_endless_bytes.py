"""End-to-end tests of engines, peers and a store that send bytes without end to a small gateway."""

import json
import os
import socket
import stat
import threading
import time

from site_standins import ENDLESS, complete_stream
from support import OPTIONS, main, wait_until
import test_gateway

MB = 1024 * 1024
MEMORY_MB = 160  # of the smallest machine
CROWD = 48  # requests at once
CROWD_S = 2.0
ITEMS = 24


class EndlessBytesTestCase(test_gateway.SiteTestCase):
    """Base: a gateway with the memory of the smallest machine, and three engines."""

    engines = 3
    settings = {"memory-limit": MEMORY_MB}

    def setUp(self):
        super().setUp()
        base = test_gateway.config()
        safe = {**base["routes"][0], "name": "safe", "pathPrefix": "/safe/", "kind": "safe",
                "resumable": False}
        self.publish(test_gateway.config(version=2, routes=[*base["routes"], safe]))

    def add_engine(self, name, **options):
        return super().add_engine(name, slots=CROWD, **options)

    def add_gateway(self, name):
        program = self.work_dir / "small-gateway"
        program.write_text(f"#!/bin/sh\nulimit -d {MEMORY_MB * 1024}\n"
                           f'exec "{OPTIONS.bin}/tamarack-gateway" "$@"\n')
        program.chmod(program.stat().st_mode | stat.S_IXUSR)
        gateway = test_gateway.Gateway(name, self.store.address, self.work_dir, [str(program)],
                                       **self.settings)
        self.addCleanup(self.kill_if_running, gateway)
        gateway.wait_until_ready()
        return gateway

    def peak_mb(self):
        with open(f"/proc/{self.gateway[0].process.child.pid}/status", encoding="utf-8") as status:
            lines = [line for line in status if line.startswith("VmHWM")]
        return int(lines[0].split()[1]) / 1024

    def set_endless(self, kind):
        for engine in self.engine:
            engine.endless = kind

    def send_crowd(self, path):
        def send():
            try:
                self.call(path, **{"Deadline-Ms": str(int(CROWD_S * 1000))})
            except (OSError, test_gateway.http.client.HTTPException):
                pass
        threads = [threading.Thread(target=send) for _ in range(CROWD)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def check_process(self):
        self.assertIsNone(self.gateway[0].process.child.poll(), "the process has ended")
        self.assertLess(self.peak_mb(), MEMORY_MB)

    def check_service(self):
        self.set_endless(None)

        def served():
            # Another body, as the crowd's request may be in quarantine.
            status, _, body, request = self.call(body="ordinary")
            return (status, body) == (200, complete_stream(request))
        wait_until(served, "an ordinary request served", 20)


class EngineTest(EndlessBytesTestCase):
    """Engines whose head or body never ends, by the kind of route."""

    def check_path(self, path):
        for kind in ENDLESS:
            with self.subTest(kind):
                self.set_endless(kind)
                self.send_crowd(path)
                self.check_process()
        self.check_service()

    def test_resumable_streams(self):
        self.check_path("/stream/x")

    def test_streams_that_may_run_once(self):
        self.check_path("/once/x")

    def test_safe_requests(self):
        self.check_path("/safe/x")

    def test_batch_items(self):
        items = [{"id": f"e-{i}", "path": "/jobs/x", "headers": {}, "body": "", "tokens": 1}
                 for i in range(ITEMS)]
        for kind in (*ENDLESS, "text"):
            self.set_endless(kind)
            job = f"e-{kind.replace(' ', '-')}"
            named = [{**item, "id": f"{job}-{item['id']}"} for item in items]
            self.call("/jobs/e", body=json.dumps({"items": named}), **{"Request-Id": job})
            end = time.monotonic() + CROWD_S
            while time.monotonic() < end:
                self.check_process()
                time.sleep(0.05)
            self.call(f"/tamarackglade/lots/{job}", body=None, method="DELETE")
        self.check_service()


class StoreTest(EndlessBytesTestCase):
    """A store whose answers never end."""

    def test_answers_of_the_store(self):
        for kind in ("head", "body", "unframed"):
            with self.subTest(kind):
                self.store.endless = kind
                end = time.monotonic() + 2 * CROWD_S
                while time.monotonic() < end:
                    self.send_crowd("/unknown/x")
                    self.check_process()
                self.store.endless = None
                wait_until(self.gateway[0].ready, "ready again", 20)
                self.check_service()


class PeerTest(EndlessBytesTestCase):
    """Datagrams without end from a peer."""

    def test_datagrams_of_a_peer(self):
        host, port = self.gateway[0].values["peer-listen"].split(":")
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sender.close)
        end = time.monotonic() + CROWD_S
        while time.monotonic() < end:
            for size in (1, 100, 10_000, 60_000):
                sender.sendto(os.urandom(size), (host, int(port)))
        self.check_process()
        self.check_service()


if __name__ == "__main__":
    main()
