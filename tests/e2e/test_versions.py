"""End-to-end test of engines of two software versions in one group: a stream keeps its version."""

import http.client
import signal
import time
import unittest

from batch_calls import BatchCalls
from site_standins import complete_stream, output_text
from support import main, wait_until
import test_gateway


class VersionTest(BatchCalls, test_gateway.SiteTestCase):
    """Engines 0 and 1 have the first version, engines 2 and 3 the second."""

    gateways = 3
    engines = 4
    events = 40

    def setUp(self):
        super().setUp()
        wait_until(lambda: all(len(gateway.lines_of("gateway in contact")) >= self.gateways - 1
                               for gateway in self.gateway), "gateways in contact")

    def add_engine(self, name, **options):
        version = "v1" if name in ("engine-0", "engine-1") else "v1.1"
        zone = "b" if name == "engine-1" else "a"  # of the gateways, so the others are preferred
        engine = super().add_engine(name, version=version, zone=zone, **options)
        engine.events = self.events
        return engine

    def old(self):
        return self.engine[:2]

    def new(self):
        return self.engine[2:]

    def runs_of(self, engines, request):
        return [run for engine in engines for run in engine.runs_of(request)]

    def begin(self, gateway, size=200):
        """Begins a stream and returns a function that closes it, its id and the first bytes."""
        headers = self.headers()
        host, port = self.gateway[gateway].address.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        connection.request("POST", "/stream/x", "prompt", headers)
        response = connection.getresponse()
        self.assertEqual(response.status, 200)
        received = response.read(size)

        def close():
            response.close()
            connection.close()
        self.addCleanup(close)
        return close, headers["Request-Id"], received

    def take_up(self, request, received, gateway):
        """Takes a stream up after the last whole event; returns status, headers, body and id."""
        whole = received[:received.rfind(b"\n\n") + 2]
        last = whole.count(b"id: ") - 1
        return self.call(gateway=gateway, **{"Resumes": request, "Last-Event-Id": str(last)})

    def test_a_broken_stream_goes_on_at_its_own_version(self):
        self.engine[0].break_at = 20
        while not self.engine[0].runs:
            status, _, body, request = self.call()
            self.assertEqual((status, body), (200, complete_stream(request, self.events)))
        self.assertEqual(len(self.engine[1].runs_of(request)), 1)
        self.assertFalse(self.runs_of(self.new(), request))

    def test_a_stream_taken_up_elsewhere_goes_on_at_its_own_version(self):
        for number in range(12):
            close, request, received = self.begin(number % 3)
            close()
            began = self.old() if self.runs_of(self.old(), request) else self.new()
            status, _, _, taken_up = self.take_up(request, received, (number + 1) % 3)
            self.assertEqual(status, 200)
            self.assertTrue(self.runs_of(began, taken_up))

    def test_a_stream_of_a_killed_gateway_goes_on_without_the_store(self):
        begun = [self.begin(0) for _ in range(8)]
        self.store.set_down(True)
        self.gateway[0].process.signal(signal.SIGKILL)
        for number, (close, request, received) in enumerate(begun):
            close()
            began = self.old() if self.runs_of(self.old(), request) else self.new()
            status, _, body, taken_up = self.take_up(request, received, 1 + number % 2)
            self.assertEqual(status, 200, body)
            self.assertTrue(self.runs_of(began, taken_up))

    def test_a_stream_whose_version_has_left_is_refused_at_once(self):
        close, request, received = self.begin(0)
        close()
        began, others = ((self.old(), self.new()) if self.runs_of(self.old(), request)
                         else (self.new(), self.old()))
        for engine in began:
            self.store.put("keyed.servers", engine.id, b"")
        wait_until(lambda: len(self.gateway[1].lines_of("upstream removed")) == 2, "removal")
        before = time.monotonic()
        status, headers, _, taken_up = self.take_up(request, received, 1)
        self.assertLess(time.monotonic() - before, 0.2)
        self.assertEqual(status, 503)
        self.assertFalse(self.runs_of(others, taken_up))
        wait_until(lambda: self.gateway[1].lines_of("stream not resumed"), "log line")
        line = self.gateway[1].lines_of("stream not resumed")[0]
        self.assertEqual((line["request_id"], line["first_attempt"]), (taken_up, request))
        self.assertEqual(line["version"], began[0].version)
        self.assertEqual(line["available"], others[0].version)

    def test_a_stream_that_began_nowhere_known_is_refused(self):
        status, _, _, taken_up = self.take_up("unknown", complete_stream("unknown", 3), 0)
        self.assertEqual(status, 503)
        self.assertFalse(self.runs_of(self.engine, taken_up))

    def lose_all_gateways(self):
        for gateway in self.gateway:
            gateway.process.kill()
        for gateway in self.gateway:
            gateway.process.start()
        for gateway in self.gateway:
            wait_until(gateway.ready, "ready")

    def take_up_everywhere(self, begun):
        """Takes streams up at gateways that know nothing of them; checks that no texts are joined.

        A take-up may be refused. If it is answered, the engines that began the stream go on with it.
        """
        for number, (request, received, began) in enumerate(begun):
            others = self.new() if began == self.old() else self.old()
            whole = received[:received.rfind(b"\n\n") + 2]
            for last in (str(whole.count(b"id: ") - 1), "0", None):
                headers = {"Resumes": request}
                if last is not None:
                    headers["Last-Event-Id"] = last
                status, _, _, taken_up = self.call(gateway=number % self.gateways, **headers)
                self.assertIn(status, (200, 503))
                if last is None:
                    continue  # begins anew, so any version may write it
                self.assertFalse(self.runs_of(others, taken_up), f"joined after event {last}")

    def begin_some(self):
        begun = []
        for number in range(6):
            close, request, received = self.begin(number % self.gateways)
            began = self.old() if self.runs_of(self.old(), request) else self.new()
            begun.append((request, received, began))
            close()
        return begun

    def test_no_texts_are_joined_after_the_loss_of_all_gateways(self):
        begun = self.begin_some()
        self.lose_all_gateways()
        self.take_up_everywhere(begun)

    def test_no_texts_are_joined_while_the_old_version_drains(self):
        begun = self.begin_some()
        for engine in self.old():
            self.store.put("keyed.servers", engine.id, engine.record("draining"))
        self.lose_all_gateways()
        self.take_up_everywhere(begun)

    def test_no_texts_are_joined_after_the_old_version_is_gone(self):
        begun = self.begin_some()
        for engine in self.old():
            self.store.put("keyed.servers", engine.id, b"")
        self.lose_all_gateways()
        self.take_up_everywhere(begun)

    def test_no_texts_are_joined_at_a_gateway_that_stood_still_while_a_version_joined(self):
        begun = self.begin_while_out_of_step(2)
        self.gateway[2].process.signal(signal.SIGCONT)
        self.take_up_newest_at(2, begun)

    def test_no_texts_are_joined_at_a_gateway_that_was_cut_off_while_a_version_joined(self):
        begun = self.begin_while_out_of_step(2)
        self.store.set_down(True)
        for gateway in self.gateway[:2]:
            gateway.process.signal(signal.SIGSTOP)
            self.addCleanup(gateway.process.signal, signal.SIGCONT)
        self.gateway[2].process.signal(signal.SIGCONT)
        self.take_up_newest_at(2, begun)

    def begin_while_out_of_step(self, stopped):
        """Begins streams at engines of a third version, which join while a gateway stands still.

        Returns the streams' ids and first bytes. Their connections are closed.
        """
        self.gateway[stopped].process.signal(signal.SIGSTOP)
        self.newest = [test_gateway.SiteTestCase.add_engine(self, f"newest-{i}", version="v1.2",
                                                            zone="a") for i in range(2)]
        for engine in self.newest:
            engine.events = self.events
        wait_until(lambda: any(line["version"] == "v1.2" for line in
                               self.gateway[0].lines_of("upstream changed")), "third version known")
        begun = []
        while len(begun) < 4:
            close, request, received = self.begin(0)
            close()
            if self.runs_of(self.newest, request):
                begun.append((request, received))
        return begun

    def take_up_newest_at(self, gateway, begun):
        for request, received in begun:
            status, _, _, taken_up = self.take_up(request, received, gateway)
            self.assertIn(status, (200, 503))
            self.assertEqual(len(self.runs_of(self.newest, taken_up)), int(status == 200))
            self.assertFalse(self.runs_of(self.engine, taken_up))

    def test_the_text_of_a_batch_item_is_of_one_version(self):
        for engine in self.engine:
            engine.break_at = 20
        self.engine[1].break_at = self.engine[3].break_at = None
        self.assertEqual(self.submit("j", items=8), 202)
        wait_until(lambda: self.results("j")[1]["next"] == 8, "job finished")
        results = {each["id"]: each["outputText"] for each in self.results("j")[1]["results"]}
        for item in [f"j-{i}" for i in range(8)]:
            self.assertEqual(results[item], output_text(item, self.events))
            runs = sorted(((run["at"], engine.version, "Last-Event-Id" in run["headers"])
                           for engine in self.engine for run in engine.runs_of(item)))
            for before, after in zip(runs, runs[1:]):
                self.assertTrue(not after[2] or after[1] == before[1], runs)


if __name__ == "__main__":
    main()
