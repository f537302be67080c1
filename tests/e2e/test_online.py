"""Online requests against real processes: answers, streams, errors, keys and planned stops."""

import http.client
import itertools
import json
import signal
import socket
import threading
import time

from support import FleetTestCase, http_call, main, stream_text, wait_until


class OnlineTest(FleetTestCase):
    """Answers and refusals without faults."""

    def setUp(self):
        self.entry = self.fleet.entries[0]

    def test_plain_answer_equals_the_engines(self):
        status, headers, body = self.call_model(self.entry, "close the verge at Lot 7")
        self.assertEqual(status, 200, body)
        self.assertIn("X-Request-Id", headers)
        direct = json.loads(self.direct("close the verge at Lot 7")[2])
        self.assertEqual(json.loads(body)["choices"], direct["choices"])

    def test_streamed_answer_is_whole(self):
        status, _, whole = self.call_model(self.entry, "dig window", max_tokens=200)
        self.assertEqual(status, 200)
        _, response = self.open_stream(self.entry, "dig window", max_tokens=200)
        self.assertEqual(response.status, 200)
        self.assertTrue(response.getheader("Content-Type").startswith("text/event-stream"))
        body = response.read()
        self.assertTrue(body.rstrip().endswith(b"data: [DONE]"))
        self.assertEqual(stream_text(body), json.loads(whole)["choices"][0]["message"]["content"])

    def test_two_models_answer_differently(self):
        texts = set()
        for model in ("drafter", "checker"):
            status, _, body = self.call_model(self.entry, "the same question", model=model)
            self.assertEqual(status, 200)
            self.assertEqual(json.loads(body)["model"], model)
            texts.add(json.loads(body)["choices"][0]["message"]["content"])
        self.assertEqual(len(texts), 2)

    def test_text_completion(self):
        body = json.dumps({"model": "drafter", "prompt": "notice", "max_tokens": 5})
        status, _, answer = http_call(self.entry.http, "POST", "/v1/completions", body,
                                      self.headers())
        self.assertEqual(status, 200, answer)
        self.assertTrue(json.loads(answer)["choices"][0]["text"])

    def test_models(self):
        status, _, body = http_call(self.entry.http, "GET", "/v1/models", None, self.headers())
        self.assertEqual(status, 200)
        self.assertEqual({m["id"] for m in json.loads(body)["data"]}, {"drafter", "checker"})
        status, _, body = http_call(self.entry.http, "GET", "/v1/models/none", None,
                                    self.headers())
        self.assertEqual(status, 404)
        self.assertEqual(self.error_of(body)["code"], "model_not_found")

    def test_wrong_and_missing_keys(self):
        for key in ("tg_unknown_key", "x"):
            status, _, body = self.call_model(self.entry, "x", key=key)
            self.assertEqual(status, 401)
            self.assertEqual(self.error_of(body)["executed"], "no")
        status, _, _ = http_call(self.entry.http, "GET", "/v1/models")
        self.assertEqual(status, 401)

    def test_an_authorization_without_a_whole_key_is_refused(self):
        """Guards against an empty or broken key that is read as one that needs no check."""
        key = self.headers()["Authorization"].removeprefix("Bearer ")
        for header in ("", " ", "Bearer", "Bearer ", "Bearer  " + key, "bearer " + key, key,
                       "Basic " + key, "Bearer " + key[:-1], "Bearer " + key + "x",
                       "Bearer tg__", "Bearer " + key.rsplit("_", 1)[0] + "_"):
            status, _, _ = http_call(self.entry.http, "GET", "/v1/models", None,
                                     {"Authorization": header})
            self.assertEqual(status, 401, header)

    def test_malformed_requests_get_clear_errors(self):
        good = {"model": "drafter", "messages": [{"role": "user", "content": "x"}]}
        cases = [
            (b"{", "malformed_json"),
            (b"[]", "malformed_json"),
            (b"\xff\xfe", "malformed_json"),
            (json.dumps({**good, "model": 5}), "invalid_model"),
            (json.dumps({**good, "model": "none"}), "model_not_found"),
            (json.dumps({**good, "messages": []}), "invalid_messages"),
            (json.dumps({**good, "messages": "x"}), "invalid_messages"),
            (json.dumps({**good, "stream": "yes"}), "invalid_stream"),
            (json.dumps({**good, "max_tokens": -1}), "invalid_max_tokens"),
        ]
        for body, code in cases:
            status, _, answer = http_call(self.entry.http, "POST", "/v1/chat/completions", body,
                                          self.headers())
            self.assertIn(status, (400, 404), body)
            self.assertEqual(self.error_of(answer)["code"], code, body)

    def test_oversized_body_and_header(self):
        status, _, body = http_call(self.entry.http, "POST", "/v1/chat/completions",
                                    b"x" * (5 * 1024 * 1024), self.headers())
        self.assertEqual(status, 413)
        self.assertEqual(self.error_of(body)["executed"], "no")
        headers = {**self.headers(), "X-Long": "x" * 40000}
        status, _, body = http_call(self.entry.http, "GET", "/v1/models", None, headers)
        self.assertEqual(status, 431)

    def test_bytes_that_are_not_http(self):
        host, port = self.entry.http.split(":")
        for bytes_sent in (b"\x00\x01\x02\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n",
                           b"POST /v1/models HTTP/1.1\r\nContent-Length: x\r\n\r\n"):
            with socket.create_connection((host, int(port)), timeout=10) as connection:
                connection.sendall(bytes_sent)
                answer = connection.recv(65536)
            self.assertTrue(answer.startswith(b"HTTP/1.1 4"), answer)
        self.assertEqual(self.call_model(self.entry, "still there")[0], 200)

    def test_unknown_path_and_method(self):
        status, _, body = http_call(self.entry.http, "GET", "/nowhere", None, self.headers())
        self.assertEqual((status, self.error_of(body)["code"]), (404, "not_found"))
        status, _, body = http_call(self.entry.http, "DELETE", "/v1/models", None,
                                    self.headers())
        self.assertEqual((status, self.error_of(body)["code"]), (405, "method_not_allowed"))

    def test_no_upstream_sees_the_key(self):
        self.assertEqual(self.call_model(self.entry, "secret check")[0], 200)
        status, _, _ = http_call(self.entry.http, "GET", "/records/7", None, self.headers())
        self.assertEqual(status, 200)
        runs = [self.fleet.executions(side)["executions"] for side in self.fleet.sides]
        self.assertTrue(runs[0] + runs[1], "no engine ran anything")
        self.assertIn("/records/7", [run["path"] for run in runs[2]])
        for seen in map(json.dumps, runs):
            self.assertNotIn(self.keys["shire"], seen)
            self.assertNotIn("Bearer", seen)

    def test_open_route_needs_no_key_and_others_do(self):
        self.assertEqual(http_call(self.entry.http, "GET", "/status/gap-road")[0], 200)
        self.assertEqual(http_call(self.entry.http, "GET", "/records/7")[0], 401)
        status, _, _ = http_call(self.entry.http, "GET", "/records/7", None, self.headers())
        self.assertEqual(status, 200)

    def test_over_the_limit_is_refused_with_retry_after(self):
        statuses = []
        for _ in range(12):
            status, headers, body = self.call_model(self.entry, "many", customer="depot")
            statuses.append(status)
            if status == 429:
                self.assertGreaterEqual(int(headers["Retry-After"]), 1)
                self.assertEqual(self.error_of(body)["executed"], "no")
        self.assertIn(429, statuses)


class FaultTest(FleetTestCase):
    """Broken streams, withdrawn keys and planned stops."""

    engine_flags = ("--w_us=20000",)

    def test_broken_stream_is_an_explicit_error(self):
        entry = self.fleet.entries[0]
        for side in self.fleet.sides[:2]:
            self.fleet.fault(side.upstream, cut_stream_after=5)
        try:
            _, response = self.open_stream(entry, "cut me", max_tokens=50)
            body = response.read()
        finally:
            for side in self.fleet.sides[:2]:
                self.fleet.fault(side.upstream, cut_streams=0)
        self.assertNotIn(b"[DONE]", body)
        last = [line for line in body.decode().split("\n") if line.startswith("data: ")][-1]
        self.assertIn("error", json.loads(last[len("data: "):]))

    def read_until(self, stream, deadline):
        """Returns the rest of a stream; fails if the stream does not end before the deadline."""
        body = b""
        while part := stream.read1(65536):
            body += part
            self.assertLess(time.monotonic(), deadline, "the stream goes on")
        self.assertLess(time.monotonic(), deadline)
        return body

    def read_stopped(self, stream):
        """Returns the rest of a stream, or the received part if the stream was cut."""
        try:
            return stream.read()
        except http.client.IncompleteRead as cut:
            return cut.partial

    def test_stream_of_a_gone_caller_is_cancelled_at_the_engine(self):
        # Tokens arrive more often than the entry checks idle callers for disconnection.
        tokens = 1003  # used by no other request, so that it identifies this one
        connection, response = self.open_stream(self.fleet.entries[0], "gone", max_tokens=tokens)
        response.read(1)
        response.close()
        connection.close()

        def ended():
            return [run["state"] for side in self.fleet.sides[:self.engines]
                    for run in self.fleet.executions(side)["executions"]
                    if run["max_tokens"] == tokens and run["state"] != "running"]
        self.assertEqual(wait_until(ended, "the end at the engine"), ["cancelled"])

    def test_withdrawn_key_ends_a_running_stream_everywhere(self):
        key = self.fleet.issue_key("shire")
        key_id = key.split("_")[1]
        for entry in self.fleet.entries[:2]:
            wait_until(lambda e=entry: self.call_model(e, "hello", key=key)[0] == 200, "the key")
        streams = [self.open_stream(entry, "long answer", key=key, max_tokens=4000)[1]
                   for entry in self.fleet.entries[:2]]
        for stream in streams:
            self.assertTrue(stream.readline())
        self.fleet.ctl("key", "withdraw", key_id)
        withdrawn_at = time.monotonic()
        for stream in streams:
            body = self.read_until(stream, withdrawn_at + 5)
            self.assertIn(b"key_withdrawn", body)
            self.assertNotIn(b"[DONE]", body)
        for entry in self.fleet.entries[:2]:
            self.assertEqual(self.call_model(entry, "hello", key=key)[0], 401)

    def test_hangup_reloads_the_settings(self):
        for vm in (self.fleet.entries[0], self.fleet.sides[0]):
            vm.process.signal(signal.SIGHUP)
            wait_until(lambda v=vm: "settings reloaded" in v.process.log(), "reload")
            self.assertIsNone(vm.process.child.poll())
        self.assertEqual(self.call_model(self.fleet.entries[0], "after a hangup")[0], 200)

    def test_planned_stop_of_an_entry_cuts_no_stream(self):
        entry = self.fleet.add_entry()
        self.fleet.wait_vm_ready(entry)
        wait_until(lambda: self.call_model(entry, "warm up")[0] == 200, "a first answer")
        whole = json.loads(self.call_model(entry, "goodbye", max_tokens=60)[2])
        _, response = self.open_stream(entry, "goodbye", max_tokens=60)
        first = response.readline()
        entry.process.signal(signal.SIGTERM)
        body = first + self.read_stopped(response)
        self.assertTrue(body.rstrip().endswith(b"data: [DONE]"), "the entry's stop cut a stream")
        self.assertEqual(stream_text(body), whole["choices"][0]["message"]["content"])
        self.assertEqual(entry.process.child.wait(30), 0)
        self.fleet.unregister(entry.name)

    def test_a_call_at_the_drain_limit_of_an_entry_gets_an_explicit_error(self):
        entry = self.fleet.add_entry({"drain-limit": 500})
        self.fleet.wait_vm_ready(entry)
        wait_until(lambda: self.call_model(entry, "warm up")[0] == 200, "a first answer")
        answers = []
        thread = threading.Thread(target=lambda: answers.append(
            self.call_model(entry, "too long", max_tokens=500)))
        thread.start()
        _, stream = self.open_stream(entry, "too long, too", max_tokens=500)
        stream.readline()
        entry.process.signal(signal.SIGTERM)
        last = stream.read().decode().rstrip().split("\n")[-1]
        self.assertEqual(json.loads(last[len("data: "):])["error"]["code"], "entry_stopping")
        thread.join()
        status, _, body = answers[0]
        self.assertEqual((status, self.error_of(body)["code"]), (502, "entry_stopping"))
        self.assertEqual(entry.process.child.wait(30), 0)
        self.fleet.unregister(entry.name)

    def test_planned_stop_of_a_side_cuts_no_stream(self):
        side = self.fleet.add_upstream("engines", flags=self.engine_flags)
        self.fleet.wait_vm_ready(side)
        entry = self.fleet.entries[0]
        numbers = itertools.count()
        wait_until(lambda: self.call_model(entry, f"side start {next(numbers)}")[0] == 200
                   and self.fleet.executions(side)["begun"] > 0, "a call at the new side")
        answers = []

        def ask(number):
            _, response = self.open_stream(entry, f"side stop {number}", max_tokens=60)
            answers.append(self.read_stopped(response))

        def running():
            return [run for run in self.fleet.executions(side)["executions"]
                    if run["state"] == "running"]

        threads = [threading.Thread(target=ask, args=(n,)) for n in range(6)]
        for thread in threads:
            thread.start()
        while not running():  # the router may not have selected the new side yet
            self.assertLess(len(threads), 60, "no stream at the new side")
            threads.append(threading.Thread(target=ask, args=(len(threads),)))
            threads[-1].start()
            time.sleep(0.05)
        side.process.signal(signal.SIGTERM)
        for thread in threads:
            thread.join()
        self.assertEqual(len(answers), len(threads))
        for body in answers:
            self.assertTrue(body.rstrip().endswith(b"data: [DONE]"),
                            f"the side's stop cut a stream: {body[-300:]}")
        self.assertEqual(side.process.child.wait(30), 0)
        self.fleet.unregister(side.name)


if __name__ == "__main__":
    main()
