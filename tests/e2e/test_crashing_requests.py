"""End-to-end tests of requests that crash each engine that runs them."""

import http.client
import json
import threading
import time

from site_standins import complete_stream
from support import main, wait_until
from test_gateway import SiteTestCase

# From the users' rules: a request that has crashed three engines reaches engines at most three
# times more later than this.
STABLE_S = 3.0
MAX_LATER_RUNS = 3
BROKEN = (OSError, ValueError, http.client.HTTPException)  # an answer that was broken off


class CrashingRequestCase(SiteTestCase):
    """Base: engines that end when they run certain bodies, and callers beside them."""

    engines = 8
    gateways = 3
    DEADLY = "deadly-%d"

    def setUp(self):
        super().setUp()
        for gateway in self.gateway:
            wait_until(lambda: len(gateway.lines_of("gateway in contact")) >= 2,  # noqa: B023
                       "contact")
        self.set_deadly(1)
        self.deadly_parts = False  # whether deadly requests have shared parts of the prompt
        self.answers = []  # (time, status, headers, body) of answers to deadly requests
        self.sound = []  # (time, status, complete) of the others
        self.stopped = threading.Event()
        self.lock = threading.Lock()

    def set_deadly(self, count):
        for engine in self.engine:
            engine.deadly_bodies = {("north", (self.DEADLY % i).encode()) for i in range(count)}
            engine.down_s = 1.5
            engine.restarts = lambda each: self.store.put("keyed.servers", each.id, each.record())

    def headers(self, *args, **more):
        with self.lock:
            return super().headers(*args, **more)

    def send_deadly(self, number, gateway):
        parts = {"Prompt-Prefix": "a1:100,b1:50,%x:9" % number} if self.deadly_parts else {}
        try:
            status, headers, body, _ = self.call(gateway=gateway, body=self.DEADLY % number,
                                                 **parts)
        except BROKEN:
            status, headers, body = 0, {}, b""
        self.answers.append((time.monotonic(), status, headers, body))

    def send_sound(self, number, gateway):
        parts = "a1:100,b%x:50,%x:9" % (number % 3, number)
        try:
            status, _, body, request = self.call(gateway=gateway, body=f"sound-{number}",
                                                 **{"Prompt-Prefix": parts})
        except BROKEN:
            status, body, request = 0, b"", ""
        self.sound.append((time.monotonic(), status, body == complete_stream(request)))

    def keep_sending(self, send, pause_s, gateways=None):
        """Calls send(number, gateway) in a thread until the test stops it."""
        def loop():
            number = 0
            while not self.stopped.is_set():
                send(number, number % (gateways or self.gateways))
                number += 1
                time.sleep(pause_s)
        thread = threading.Thread(target=loop, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.stopped.set)

    def play(self, seconds, deadly=1):
        """Sends deadly requests again and again, and sound ones beside them."""
        for number in range(deadly):
            self.keep_sending(lambda i, gateway, n=number: self.send_deadly(n, (gateway + n)
                                                                            % self.gateways), 0.25)
        for _ in range(2):
            self.keep_sending(self.send_sound, 0.02)
        time.sleep(seconds)
        self.stopped.set()

    def runs_of_body(self, number):
        body = (self.DEADLY % number).encode()
        return sorted(run["at"] for engine in self.engine for run in engine.runs
                      if run["body"] == body)

    def crashes_of_body(self, number):
        body = (self.DEADLY % number).encode()
        return sorted(run["ended"] for engine in self.engine for run in engine.crashed
                      if run["body"] == body)

    def check_bound(self, number=0):
        crashes = self.crashes_of_body(number)
        if len(crashes) < 3:
            return
        later = [at for at in self.runs_of_body(number) if at > crashes[2] + STABLE_S]
        self.assertLessEqual(len(later), MAX_LATER_RUNS, "runs after the third crash")

    def sound_share(self, since=0.0):
        answers = [complete for at, _, complete in self.sound if at >= since]
        self.assertGreater(len(answers), 20)
        return sum(answers) / len(answers)


class CrashingRequestTest(CrashingRequestCase):
    """A request, or many, that end the engines that run them."""

    def test_a_request_that_crashes_engines_stops_reaching_them(self):
        self.play(9)
        self.check_bound()
        self.assertGreaterEqual(len(self.crashes_of_body(0)), 3)

    def test_a_request_that_crashes_engines_behind_its_first_events_stops_reaching_them(self):
        for engine in self.engine:
            engine.crash_at = 3
        self.play(9)
        self.check_bound()
        self.assertGreaterEqual(len(self.crashes_of_body(0)), 3)

    def test_twenty_such_requests_leave_the_engines_to_the_others(self):
        self.set_deadly(20)
        self.play(16, deadly=20)
        for number in range(20):
            self.check_bound(number)
        self.assertGreater(sum(len(self.crashes_of_body(number)) for number in range(20)), 20)
        self.assertGreaterEqual(self.sound_share(since=time.monotonic() - 5), 0.99)

    def test_requests_with_the_same_parts_are_served_beside_it(self):
        self.deadly_parts = True
        self.play(8)
        refused = [status for _, status, _ in self.sound if status == 503]
        self.assertFalse(refused, f"of {len(self.sound)} sound requests")
        for gateway in self.gateway:
            self.assertFalse(gateway.lines_of("prompt part quarantined"))

    def test_the_refusal_is_immediate_and_invites_no_useless_retry(self):
        self.play(5)
        asked = time.monotonic()
        self.send_deadly(0, 1)
        _, status, headers, body = self.answers[-1]
        self.assertLess(time.monotonic() - asked, 0.25)
        self.assertEqual(status, 503)
        self.assertEqual(json.loads(body)["error"]["code"], "request_quarantined")
        self.assertNotIn("Retry-After", headers)

    def test_another_customers_same_request_is_served(self):
        self.play(5)
        runs = len(self.runs_of_body(0))
        status, _, body, request = self.call(key="key-south", body=self.DEADLY % 0)
        self.assertEqual((status, body), (200, complete_stream(request)))
        self.assertEqual(len(self.runs_of_body(0)), runs + 1)

    def test_a_log_line_leads_from_the_refusal_to_the_crashes(self):
        self.play(5)
        ended = [line for gateway in self.gateway for line in gateway.lines_of("request ended")
                 if line["outcome"] == "request quarantined"]
        self.assertTrue(ended)
        fingerprint = ended[0]["fingerprint"]
        decided = [line for gateway in self.gateway
                   for line in gateway.lines_of("request quarantined")
                   if line["fingerprint"] == fingerprint and line["reason"] == "upstreams crashed"]
        self.assertTrue(decided)
        self.assertGreaterEqual(decided[0]["crashes"], 3)
        broken = {line["upstream"] for gateway in self.gateway
                  for line in gateway.lines_of("attempt failed")
                  if line["fingerprint"] == fingerprint and line["end"] == "broken"}
        self.assertGreaterEqual(len(broken), 3)


class TroubleTest(CrashingRequestCase):
    """The bound beside other trouble, and other trouble without such a request."""

    def test_the_bound_holds_beside_killed_gateways(self):
        def kill():
            for gateway in (0, 1, 2, 0, 1):
                time.sleep(1.5)
                self.gateway[gateway].process.kill()
                self.gateway[gateway].process.start()
        threading.Thread(target=kill, daemon=True).start()
        self.play(14)
        self.check_bound()

    def test_the_bound_holds_after_the_loss_of_all_gateways(self):
        self.play(5)
        time.sleep(2.5)  # until the membership records are renewed
        for gateway in self.gateway:
            gateway.process.kill()
        for gateway in self.gateway:
            gateway.process.start()
        for gateway in self.gateway:
            wait_until(gateway.ready, "ready")
        runs = len(self.runs_of_body(0))
        for gateway in range(self.gateways):
            self.send_deadly(0, gateway)
            self.assertEqual(self.answers[-1][1], 503)
        self.assertEqual(len(self.runs_of_body(0)), runs)

    def test_the_bound_holds_without_the_store(self):
        self.store.set_down(True)
        self.addCleanup(self.store.set_down, False)
        self.play(4)
        self.store.set_down(False)
        time.sleep(3)
        self.stopped.clear()
        self.play(6)
        self.check_bound()

    def test_engines_that_crash_for_another_cause_condemn_no_request(self):
        for engine in self.engine:
            engine.deadly_bodies = set()

        def crash():
            for i in range(12):
                time.sleep(0.5)
                self.engine[i % 4].end_process()
        threading.Thread(target=crash, daemon=True).start()
        for _ in range(4):
            self.keep_sending(self.send_sound, 0.01)
        time.sleep(8)
        self.stopped.set()
        for gateway in self.gateway:
            self.assertFalse(gateway.lines_of("request quarantined"))
        self.assertGreaterEqual(self.sound_share(), 0.98)

    def test_a_batch_item_beside_the_crashes_is_done(self):
        items = [{"id": f"i-{i}", "path": "/jobs/x", "headers": {}, "body": "", "tokens": 10}
                 for i in range(6)]
        self.assertEqual(self.call("/jobs/j", body=json.dumps({"items": items}),
                                   **{"Request-Id": "j"})[0], 202)
        self.play(6)

        def done():
            body = self.call("/tamarackglade/lots/j?after=0", 0, None, method="GET")[2]
            return [each["state"] for each in json.loads(body)["results"]] == ["done"] * 6
        wait_until(done, "all items done", 20)


if __name__ == "__main__":
    main()
