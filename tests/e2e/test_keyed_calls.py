"""Calls with an Idempotency-Key to a plain service: at most one run, and the answer is replayed."""

import http.client
import itertools
import json
import random
import threading
import time

from support import FleetTestCase, http_call, main, wait_until

CALL_TIMEOUT_S = 30


class KeyedCallTestCase(FleetTestCase):
    """Helpers that send keyed calls and read the service's record of its runs."""

    engines = 1
    names = itertools.count()

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.service = next(s for s in cls.fleet.sides if s.name.startswith("records"))

    def setUp(self):
        self.answers = []
        self.addCleanup(self.fleet.fault, self.fleet.platform, log="up", lose_next_answers=0)
        self.addCleanup(self.fleet.fault, self.service.upstream, delay_ms=0, fail_next=0,
                        cut_after_execute=0, refuse=False)

    def tearDown(self):
        self.assert_refused_not_run()

    @classmethod
    def new_name(cls):
        return f"notice-{next(cls.names)}"

    def send(self, entry, key, path, body="{}", method="POST", customer="shire", **extra):
        """Sends a keyed call; returns (status, headers, body bytes), with status 0 if cut."""
        headers = {**self.headers(customer), **extra}
        if key is not None:
            headers["Idempotency-Key"] = key
        try:
            answer = http_call(entry.http, method, path, body, headers, CALL_TIMEOUT_S)
        except (OSError, http.client.HTTPException):
            answer = (0, {}, b"")
        self.answers.append(answer)
        return answer

    def send_admitted(self, entry, key, path):
        """Repeats send() while the rate limit refuses, until a lost entry's homes have moved."""
        def admitted():
            answer = self.send(entry, key, path)
            return answer[0] != 429 and answer
        return wait_until(admitted, "admission")

    def runs(self, path):
        return [run for run in self.fleet.executions(self.service)["executions"]
                if run["path"] == path]

    def assert_refused_not_run(self):
        """Checks that the service ran no request that was refused as not run."""
        ran = {run["request_id"] for run in self.fleet.executions(self.service)["executions"]}
        for status, headers, body in self.answers:
            if status >= 400:
                error = self.error_of(body)
                if error["executed"] == "no":
                    self.assertNotIn(error["request_id"], ran)
                    self.assertNotIn(headers["X-Request-Id"], ran)

    def begin(self, entry, key, path):
        thread = threading.Thread(target=self.send, args=(entry, key, path))
        thread.start()
        return thread

    def appends(self):
        stats = json.loads(http_call(self.fleet.platform, "GET", "/stats")[2])
        return sum(stream["appends"] for name, stream in stats["streams"].items()
                   if name.startswith("calls-"))

    def metric(self, entry, series):
        text = http_call(entry.admin, "GET", "/metrics")[2].decode()
        return sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines()
                   if line.startswith(series + " "))


class KeyedCallTest(KeyedCallTestCase):
    """Keyed calls to one fleet; each test uses its own keys and paths."""

    def test_a_resend_gets_the_same_answer_at_every_entry(self):
        name = self.new_name()
        path = f"/records/{name}"
        before = self.appends()
        first = self.send(self.fleet.entries[0], name, path)
        self.assertEqual(first[0], 200, first)
        self.assertNotIn("Idempotency-Replayed", first[1])
        for entry in self.fleet.entries:
            again = self.send(entry, name, path)
            self.assertEqual((again[0], again[2]), (first[0], first[2]))
            self.assertEqual(again[1]["Content-Type"], first[1]["Content-Type"])
            self.assertEqual(again[1]["Idempotency-Replayed"], "true")
        self.assertEqual(len(self.runs(path)), 1)
        self.assertEqual(self.appends() - before, 2)

    def test_calls_without_a_key_are_not_held_back(self):
        path = f"/records/{self.new_name()}"
        before = self.appends()
        for _ in range(2):
            self.assertEqual(self.send(self.fleet.entries[0], None, path)[0], 200)
        self.assertEqual(len(self.runs(path)), 2)
        self.assertEqual(self.appends(), before)

    def test_a_repeatable_method_is_treated_alike(self):
        name = self.new_name()
        path = f"/records/{name}"
        bodies = [self.send(entry, name, path, None, "GET")[2] for entry in self.fleet.entries]
        self.assertEqual(bodies[0], bodies[1])
        self.assertEqual(len(self.runs(path)), 1)

    def test_the_key_is_not_passed_on(self):
        name = self.new_name()
        path = f"/records/{name}"
        self.send(self.fleet.entries[0], name, path)
        self.assertEqual([run["idempotency_key"] for run in self.runs(path)], [""])

    def test_customers_have_keys_of_their_own(self):
        name = self.new_name()
        path = f"/records/{name}"
        for customer in ("shire", "depot"):
            answer = self.send(self.fleet.entries[0], name, path, customer=customer)
            self.assertEqual(answer[0], 200, answer)
            self.assertNotIn("Idempotency-Replayed", answer[1])
        self.assertEqual(len(self.runs(path)), 2)

    def test_a_key_of_another_request_is_refused(self):
        name = self.new_name()
        path = f"/records/{name}"
        self.assertEqual(self.send(self.fleet.entries[0], name, path)[0], 200)
        for entry in self.fleet.entries:
            for method, target, body in (("POST", path, "other"), ("PUT", path, "{}"),
                                         ("POST", path + "?late=yes", "{}")):
                status, _, text = self.send(entry, name, target, body, method)
                self.assertEqual(status, 422, text)
                error = self.error_of(text)
                self.assertEqual(error["code"], "idempotency_key_reused")
                self.assertEqual(error["executed"], "no")
        self.assertEqual(len(self.runs(path)), 1)
        self.assertEqual(self.runs(path + "?late=yes"), [])

    def test_bad_keys(self):
        path = f"/records/{self.new_name()}"
        for key in ("", "k" * 257, "a\tb", "a\xe9"):
            status, _, text = self.send(self.fleet.entries[0], key, path)
            self.assertEqual(status, 400, (key, text))
            self.assertEqual(self.error_of(text)["code"], "invalid_idempotency_key")
        self.assertEqual(self.runs(path), [])
        status, _, _ = self.send(self.fleet.entries[0], "k" * 256, path)
        self.assertEqual(status, 200)

    def test_an_open_route_keeps_no_keys(self):
        status, _, text = self.send(self.fleet.entries[0], "k", "/status/keyed", None, "GET")
        self.assertEqual(status, 400, text)
        self.assertEqual(self.error_of(text)["code"], "idempotency_key_on_open_route")
        self.assertEqual(self.runs("/status/keyed"), [])

    def test_while_the_first_runs_a_resend_is_refused(self):
        name = self.new_name()
        path = f"/records/{name}"
        self.fleet.fault(self.service.upstream, delay_ms=2000)
        first = self.begin(self.fleet.entries[0], name, path)
        wait_until(lambda: self.runs(path), "the run")
        for entry in self.fleet.entries:
            status, _, text = self.send(entry, name, path)
            self.assertEqual(status, 409, text)
            error = self.error_of(text)
            self.assertEqual((error["code"], error["executed"]), ("duplicate_call", "unknown"))
        first.join()
        self.assertEqual(self.answers[-1][0], 200)
        self.assertEqual(len(self.runs(path)), 1)

    def test_entries_that_race_for_a_key_run_it_once(self):
        for _ in range(10):
            name = self.new_name()
            path = f"/records/{name}"
            self.answers.clear()
            threads = [self.begin(entry, name, path) for entry in self.fleet.entries * 4]
            for thread in threads:
                thread.join()
            self.assertEqual(len(self.answers), len(threads))
            self.assertEqual(len(self.runs(path)), 1)
            for status, _, body in self.answers:
                self.assertIn(status, (200, 409), body)
            fresh = [a for a in self.answers
                     if a[0] == 200 and "Idempotency-Replayed" not in a[1]]
            self.assertEqual(len(fresh), 1)
            for entry in self.fleet.entries:
                again = self.send(entry, name, path)
                self.assertEqual((again[0], again[2]), (200, fresh[0][2]))
            self.assert_refused_not_run()

    def test_the_answer_is_kept_when_the_caller_leaves(self):
        name = self.new_name()
        path = f"/records/{name}"
        self.fleet.fault(self.service.upstream, delay_ms=1000)
        host, port = self.fleet.entries[0].http.split(":")
        connection = http.client.HTTPConnection(host, int(port))
        connection.request("POST", path, "{}", {**self.headers(), "Idempotency-Key": name})
        wait_until(lambda: self.runs(path), "the run")
        connection.close()

        def replayed():
            again = self.send(self.fleet.entries[1], name, path)
            return again[0] != 409 and again
        again = wait_until(replayed, "an answer")
        self.assertEqual(again[0], 200)
        self.assertEqual(again[1]["Idempotency-Replayed"], "true")
        self.assertEqual(len(self.runs(path)), 1)

    def test_an_upstream_error_is_replayed(self):
        name = self.new_name()
        path = f"/records/{name}"
        self.fleet.fault(self.service.upstream, fail_next=1)
        first = self.send(self.fleet.entries[0], name, path)
        self.assertEqual(first[0], 502, first)
        for entry in self.fleet.entries:
            again = self.send(entry, name, path)
            self.assertEqual((again[0], again[2]), (first[0], first[2]))
        self.assertEqual(len(self.runs(path)), 1)

    def test_an_unknown_outcome_holds_the_key(self):
        name = self.new_name()
        path = f"/records/{name}"
        self.fleet.fault(self.service.upstream, cut_after_execute=1)
        first = self.send(self.fleet.entries[0], name, path)
        self.assertEqual(self.error_of(first[2])["executed"], "unknown", first)
        for entry in self.fleet.entries:
            status, _, text = self.send(entry, name, path)
            self.assertEqual(status, 409, text)
            self.assertEqual(self.error_of(text)["executed"], "unknown")
        self.assertEqual(len(self.runs(path)), 1)

    def test_a_large_answer_is_not_kept(self):
        name = self.new_name()
        path = f"/records/{name}"
        body = "x" * 20_000
        self.assertEqual(self.send(self.fleet.entries[0], name, path, body)[0], 200)
        status, _, text = self.send(self.fleet.entries[1], name, path, body)
        self.assertEqual(status, 409, text)
        self.assertEqual(self.error_of(text)["executed"], "yes")
        self.assertEqual(len(self.runs(path)), 1)

    def test_a_lost_append_answer_neither_doubles_nor_denies(self):
        for lost in (1, 2, 3):
            name = self.new_name()
            path = f"/records/{name}"
            self.fleet.fault(self.fleet.platform, lose_next_answers=lost)
            first = self.send(self.fleet.entries[0], name, path)
            self.fleet.fault(self.fleet.platform, lose_next_answers=0)
            self.assertEqual(first[0], 200, first)
            for entry in self.fleet.entries:
                again = self.send(entry, name, path)
                self.assertEqual((again[0], again[2]), (200, first[2]))
            self.assertEqual(len(self.runs(path)), 1)

    def test_the_log_down(self):
        kept, name = self.new_name(), self.new_name()
        path = f"/records/{name}"
        self.assertEqual(self.send(self.fleet.entries[0], kept, f"/records/{kept}")[0], 200)
        self.fleet.fault(self.fleet.platform, log="down")
        for entry in self.fleet.entries:
            status, headers, text = self.send(entry, name, path)
            self.assertEqual(status, 503, text)
            error = self.error_of(text)
            self.assertEqual((error["code"], error["executed"]), ("log_unavailable", "no"))
            self.assertGreaterEqual(int(headers["Retry-After"]), 1)
        self.assertEqual(self.send(self.fleet.entries[0], None, path + "/free")[0], 200)
        self.assertEqual(self.runs(path), [])
        self.fleet.fault(self.fleet.platform, log="up")
        wait_until(lambda: self.send(self.fleet.entries[1], name, path)[0] == 200, "an answer")
        self.assertEqual(len(self.runs(path)), 1)

    def test_the_log_goes_down_in_mid_call(self):
        name = self.new_name()
        path = f"/records/{name}"
        self.fleet.fault(self.service.upstream, delay_ms=1000)
        first = self.begin(self.fleet.entries[0], name, path)
        wait_until(lambda: self.runs(path), "the run")
        self.fleet.fault(self.fleet.platform, log="down")
        first.join()
        answered = self.answers[-1]
        self.assertEqual(answered[0], 200, answered)
        self.fleet.fault(self.fleet.platform, log="up")

        def replayed():
            again = self.send(self.fleet.entries[1], name, path)
            return again[0] == 200 and again
        again = wait_until(replayed, "the answer again")
        self.assertEqual(again[2], answered[2])
        self.assertEqual(len(self.runs(path)), 1)

    def test_metrics(self):
        name = self.new_name()
        entry = self.fleet.entries[0]
        claimed, replayed = (f'tamarack_keyed_calls_total{{result="{result}"}}'
                             for result in ("claimed", "replayed"))
        before = self.metric(entry, claimed), self.metric(entry, replayed)
        for _ in range(3):
            self.send(entry, name, f"/records/{name}")
        after = self.metric(entry, claimed), self.metric(entry, replayed)
        self.assertEqual((after[0] - before[0], after[1] - before[1]), (1, 2))


class RetentionTest(KeyedCallTestCase):
    """A key stays in use as long as the log retains its claim."""

    def test_a_key_is_new_past_the_retention(self):
        name = self.new_name()
        path = f"/records/{name}"
        self.assertEqual(self.send(self.fleet.entries[0], name, path)[0], 200)
        stats = json.loads(http_call(self.fleet.platform, "GET", "/stats")[2])
        for stream, row in stats["streams"].items():
            if stream.startswith("calls-"):
                self.fleet.fault(self.fleet.platform, drop_before={
                    "stream": stream, "offset": row["next_offset"]})
        # The first entry has read the expired claim; the second one reads the stream from after it.
        answer = self.send(self.fleet.entries[0], name, path)
        self.assertEqual(answer[0], 200, answer)
        self.assertNotIn("Idempotency-Replayed", answer[1])
        again = self.send(self.fleet.entries[1], name, path)
        self.assertEqual((again[0], again[2]), (200, answer[2]))
        self.assertEqual(len(self.runs(path)), 2)


class EntryLossTest(KeyedCallTestCase):
    """An entry is killed while the service runs a keyed call."""

    def test_a_killed_entry_leaves_at_most_one_run(self):
        name = self.new_name()
        path = f"/records/{name}"
        self.fleet.fault(self.service.upstream, delay_ms=1500)
        first = self.begin(self.fleet.entries[0], name, path)
        wait_until(lambda: self.runs(path), "the run")
        self.fleet.entries[0].process.kill()
        first.join()
        self.assertEqual(self.answers[0][0], 0)
        status, _, text = self.send_admitted(self.fleet.entries[1], name, path)
        self.assertEqual(status, 409, text)
        self.assertEqual(self.error_of(text)["executed"], "unknown")
        # The killed entry restarts with only the state that the log holds.
        self.fleet.entries[0].process.start()
        self.fleet.wait_vm_ready(self.fleet.entries[0])
        wait_until(lambda: self.call_model(self.fleet.entries[0], "warm up")[0] == 200, "an answer")
        for entry in self.fleet.entries:
            status, _, text = self.send_admitted(entry, name, path)
            self.assertEqual(status, 409, text)
        self.assertEqual(len(self.runs(path)), 1)


class KillTest(KeyedCallTestCase):
    """An entry is killed at a random time during keyed calls and removed from the VM list."""

    ROUNDS = 5
    CALLS = 16
    MAX_KILL_DELAY_S = 0.04  # from the first call to the kill
    SEED = 20261203

    def test_kills_at_any_time(self):
        random_delays = random.Random(self.SEED)
        killed, other = self.fleet.entries
        for _ in range(self.ROUNDS):
            names = [self.new_name() for _ in range(self.CALLS)]
            threads = [self.begin(killed, name, f"/records/{name}") for name in names]
            time.sleep(random_delays.uniform(0, self.MAX_KILL_DELAY_S))
            killed.process.kill()
            self.fleet.unregister(killed.name)
            for thread in threads:
                thread.join()
            for name in names:
                path = f"/records/{name}"
                status, _, text = self.send_admitted(other, name, path)
                self.assertIn(status, (200, 409), text)
                runs = len(self.runs(path))
                self.assertTrue(runs == 1 or (runs == 0 and status == 409), (status, runs))
            killed.process.start()
            self.fleet.register_again(killed)
            self.fleet.wait_vm_ready(killed)
            wait_until(lambda: self.call_model(killed, "warm up")[0] == 200, "an answer")


class ReleaseTest(KeyedCallTestCase):
    """A call that certainly did not run releases its key."""

    def test_a_call_that_was_not_run_frees_its_key(self):
        name = self.new_name()
        path = f"/records/{name}"
        upstream = self.fleet.upstreams[self.service.name]
        upstream.kill()
        first = self.send(self.fleet.entries[0], name, path)
        self.assertEqual(first[0], 503, first)
        self.assertEqual(self.error_of(first[2])["executed"], "no")
        upstream.start()
        wait_until(lambda: self.send(self.fleet.entries[1], None, path + "/free")[0] == 200,
                   "the service")
        for entry in reversed(self.fleet.entries):
            answer = self.send(entry, name, path)
            self.assertEqual(answer[0], 200, answer)
        self.assertEqual(len(self.runs(path)), 1)


if __name__ == "__main__":
    main()
