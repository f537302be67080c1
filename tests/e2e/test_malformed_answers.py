"""End-to-end tests of engines whose bytes are no answer: odd statuses and fields, and resets."""

import itertools
import threading
import time

from batch_calls import BatchCalls
from raw_caller import exchange
from raw_engine import Answer, RawEngine, sound_body
from support import main, wait_until
from test_gateway import HOST, KEY, SiteTestCase, config

RUNS = {"/safe/x": 2, "/unsafe/x": 1, "/once/x": 1, "/stream/x": 3}  # at most, of one request
UPLOAD_BYTES = 8_000_000  # more than the buffers of a connection hold
REST_S = 3.2  # after which an engine no longer counts as down for a broken answer
SECRET = b"id: 0\ndata: of a broken answer\n\n"

STATUS_LINES = (b"HTTP/1.1 000 OK", b"HTTP/1.1 001 OK", b"HTTP/1.1 099 OK", b"HTTP/1.1 101 Switch",
                b"HTTP/1.1 600 Odd", b"HTTP/1.1 999 Odd", b"HTTP/1.1 20 OK", b"HTTP/1.1 2000 OK",
                b"HTTP/1.1 +20 OK", b"HTTP/1.1 2 0 OK", b"HTTP/1.1 2OO OK", b"HTTP/2.0 200 OK",
                b"HTTQ/1.1 200 OK", b"ICY 200 OK")

FIELD_LINES = (b"X-Odd : v", b"X-Odd\t: v", b"X Odd: v", b" X-Odd: v", b"\tX-Odd: v",
               b"X\x01Odd: v", b"X\x00Odd: v", b"X\x7fOdd: v", b"X\x80Odd: v", b": v", b"X-Odd",
               b"X-Odd: a\r\n b", b"X-Odd:\r\n\tb", b"X-Odd: a\rb", b"X-Odd: a\nb: c",
               b"X-Odd: a\x01z", b"Content-Length : 3", b"Transfer-Encoding : chunked")


def malformed(status_line=b"HTTP/1.1 200 OK", field_line=b"", body=SECRET):
    """Returns a function that makes an answer with this line from an engine's field lines."""
    def make(fields):
        lines = [status_line, fields.strip(), b"Content-Length: %d" % len(body)]
        return Answer(b"\r\n".join(lines + [field_line] * bool(field_line)) + b"\r\n\r\n" + body)
    return make


# A few of each kind, where each case takes seconds.
MALFORMED_ANSWERS = {
    **{line: malformed(line) for line in (b"HTTP/1.1 000 OK", b"HTTP/1.1 101 Switch",
                                          b"HTTP/1.1 600 Odd", b"x")},
    **{line: malformed(field_line=line) for line in (b"X Odd: v", b"X-Odd: a\r\n b")}}


class RawEngineTestCase(SiteTestCase):
    """Base of tests with engines that play bytes, and with callers that look at bytes."""

    engines = 3
    customers = ("north", "east", "west")

    def setUp(self):
        super().setUp()
        self.publish(self.configuration())
        wait_until(lambda: len(self.gateway[0].lines_of("upstream changed")) >= self.engines
                   or self.gateway[0].lines_of("upstreams read"), "engines known")

    def configuration(self):
        routes = config()["routes"]
        once = next(route for route in routes if route["name"] == "once")
        routes += [dict(once, name=kind, pathPrefix=f"/{kind}/", kind=kind, attempts=2)
                   for kind in ("safe", "unsafe")]
        tenants = [{"name": name, "apiKeys": [f"key-{name}"], "ratePerS": 0}
                   for name in self.customers]
        limits = dict(config()["limits"], maxBodyBytes=2 * UPLOAD_BYTES)
        return config(2, routes=routes, tenants=tenants, limits=limits)

    def add_engine(self, name, **options):
        engine = RawEngine(name, **options)
        self.addCleanup(engine.stop)
        self.store.put("keyed.servers", name, engine.record())
        return engine

    def send(self, path, request, key=KEY, body_size=100):
        """Sends a request whose body no other has, as one that broke often is put off."""
        headers = {"Host": HOST, "Request-Id": request, "Deadline-Ms": "5000",
                   "Authorization": f"Bearer {key}"}
        body = request.encode().ljust(body_size, b"x")
        return exchange(self.gateway[0].address, path, headers, body)

    def play(self, request, make_answer):
        """Lets each engine answer the request with what make_answer returns for its fields."""
        for engine in self.engine:
            engine.answers[request] = make_answer(engine.fields(request))

    def runs_of(self, request):
        return [(engine, run) for engine in self.engine for run in engine.runs_of(request)]

    def send_sound(self, path, request, key):
        """Sends until the request is served, as engines that failed rest for a while."""
        tries = []

        def served():
            tries.append(f"{request}-{len(tries)}")
            whole = self.send(path, tries[-1], key).whole()
            if whole is None or whole[0] != 200:
                return False
            self.assertEqual(whole[2], sound_body(tries[-1]))
            return True
        wait_until(served, f"{request} served")

    def start_neighbours(self, path, request):
        """Starts requests of two other customers; returns their threads and a list of failures."""
        failed = []

        def send(name):
            try:
                self.send_sound(path, f"{request}-{name}", f"key-{name}")
            except BaseException as error:  # pylint: disable=broad-except
                failed.append(error)
        threads = [threading.Thread(target=send, args=(name,)) for name in self.customers[1:]]
        for thread in threads:
            thread.start()
        return threads, failed

    def send_broken(self, path, request, make_answer, **options):
        """Sends a request to engines that play these bytes; returns what its caller got.

        Two other customers send theirs meanwhile. The request is sent again under another id until
        an engine has got it: one that failed before rests for a while."""
        for number in range(50):
            name = f"{request}-{number}"
            self.play(name, make_answer)
            threads, failed = self.start_neighbours(path, name)
            received = self.send(path, name, **options)
            for thread in threads:
                thread.join()
            self.assertFalse(failed, failed)
            if self.runs_of(name):
                return name, received
        self.fail(f"{request} reached no engine")

    def check_is_no_answer(self, received, request, path):
        """Checks that the caller got nothing that it could take for an engine's whole answer, and
        that the connections of the broken answers carried nothing more."""
        whole = received.whole()
        runs = self.runs_of(request)
        self.assertLessEqual(len(runs), RUNS[path])
        self.assertTrue(received.raw)
        self.assertNotIn(b"Odd", received.raw)
        if whole:
            status, headers, body = whole
            self.assertIn(status, (502, 504), received.raw)
            self.assertNotIn("response-signature", headers)
            self.assertNotIn(SECRET, body)
        for engine, run in runs:
            with engine.lock:
                later = engine.runs[engine.runs.index(run) + 1:]
            self.assertFalse([each for each in later if each["connection"] == run["connection"]])


class MalformedAnswerTest(RawEngineTestCase):
    """Statuses and fields that no answer has."""

    def check_all_routes(self, name, make_answer):
        for path in RUNS:
            with self.subTest(path=path):
                request, received = self.send_broken(path, f"{name}-{path[1:3]}", make_answer)
                self.check_is_no_answer(received, request, path)

    def test_an_answer_with_an_odd_status_reaches_no_caller(self):
        for number, line in enumerate(STATUS_LINES):
            with self.subTest(line=line):
                self.check_all_routes(f"s{number}", malformed(line))

    def test_an_odd_status_does_not_say_that_a_request_was_not_run(self):
        for number, line in enumerate(STATUS_LINES[:6]):
            with self.subTest(line=line):
                self.check_all_routes(f"n{number}", malformed(line, b"Not-Executed: 1", b""))

    def test_an_answer_with_an_odd_field_reaches_no_caller(self):
        for number, line in enumerate(FIELD_LINES):
            with self.subTest(line=line):
                self.check_all_routes(f"f{number}", malformed(field_line=line))

    def test_an_odd_trailer_ends_no_answer(self):
        for number, line in enumerate(FIELD_LINES):
            with self.subTest(line=line):
                self.check_all_routes(f"t{number}", lambda fields: Answer(  # noqa: B023
                    b"HTTP/1.1 200 OK\r\n" + fields + b"Transfer-Encoding: chunked\r\n\r\n"
                    + b"%x\r\n%s\r\n0\r\n" % (len(SECRET), SECRET) + line + b"\r\n\r\n"))


class RepeatedRequestTest(RawEngineTestCase):
    """What another engine answers after malformed bytes."""

    engines = 12  # a request that broke off twice waits while over a quarter of them are down

    def setUp(self):
        super().setUp()
        self.answers = {}  # request -> what the engines play in turn, before they answer soundly

    def play_in_turn(self, request, answers):
        self.answers[request] = answers
        self.play(request, lambda _: self.answers[request])

    def check_served(self, path, request, runs):
        """Checks that the last of so many runs was sound and that the caller got a whole answer."""
        received = self.send(path, request)
        self.assertFalse(self.answers[request])
        self.assertEqual(len(self.runs_of(request)), runs)
        status, headers, body = received.whole()
        self.assertEqual((status, body), (200, sound_body(request)))
        return headers

    def test_a_request_that_may_be_repeated_gets_the_answer_of_another_engine(self):
        for number, (line, make_answer) in enumerate(MALFORMED_ANSWERS.items()):
            with self.subTest(line=line):
                request = f"r{number}"
                self.play_in_turn(request, [make_answer(self.engine[0].fields(request))])
                headers = self.check_served("/safe/x", request, runs=2)
                sound = [engine for engine, run in self.runs_of(request) if run["is_sound"]]
                self.assertEqual(headers["response-signature"], "s-" + sound[0].id)

    def test_a_stream_goes_on_behind_malformed_answers_to_its_resumes(self):
        for number, (line, make_answer) in enumerate(MALFORMED_ANSWERS.items()):
            with self.subTest(line=line):
                time.sleep(REST_S)
                request = f"u{number}"
                fields = self.engine[0].fields(request)
                events = sound_body(request)
                first = b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n" + events[:events.index(b"id: 1")]
                self.play_in_turn(request, [Answer(first, "reset"), make_answer(fields)])
                headers = self.check_served("/stream/x", request, runs=3)
                self.assertEqual(headers["response-signature"], "s-" + self.engine[0].id)


class EarlyAnswerTest(RawEngineTestCase):
    """Answers that come, and break off, while the caller's upload is being written."""

    def check(self, name, head, body, end):
        """Plays an answer that begins before its request's body is read, on all routes, for an
        upload that stalls and for one that is sent at once. A close is a reset for the first
        alone, as bytes of it are unread."""
        sizes = (100, UPLOAD_BYTES) if end == "reset" else (UPLOAD_BYTES,)
        for path, size in itertools.product(RUNS, sizes):
            with self.subTest(path=path, size=size):
                request, received = self.send_broken(
                    path, f"{name}-{path[1:3]}{size}", body_size=size,
                    make_answer=lambda fields: Answer(
                        [b"HTTP/1.1 200 OK\r\n" + fields + head + b"\r\n" + body[:9], body[9:]],
                        end, reads_body=False))
                self.check_is_no_answer(received, request, path)

    def test_an_early_answer_without_length_that_is_reset_is_never_whole(self):
        for cut in (0, 12, len(SECRET)):
            for end in ("reset", "close"):
                with self.subTest(cut=cut, end=end):
                    self.check(f"e{cut}{end}", b"", SECRET[:cut], end)

    def test_an_early_answer_that_is_reset_within_its_length_or_chunks_is_never_whole(self):
        chunk = b"%x\r\n%s\r\n" % (len(SECRET), SECRET)
        self.check("length", b"Content-Length: 1000\r\n", SECRET, "reset")
        self.check("chunks", b"Transfer-Encoding: chunked\r\n", chunk, "reset")
        self.check("chunk", b"Transfer-Encoding: chunked\r\n", chunk[:20], "reset")


class MalformedItemAnswerTest(BatchCalls, RawEngineTestCase):
    """Batch items whose engines send bytes that are no answer."""

    def test_an_item_is_neither_done_nor_given_up_by_odd_answers(self):
        fields = self.engine[0].fields("j-0")
        broken = [make_answer(fields) for make_answer in list(MALFORMED_ANSWERS.values())[-5:]]
        self.play("j-0", lambda _: broken)
        self.assertEqual(self.submit("j", items=2), 202)
        wait_until(lambda: not broken, "all odd answers sent", 60)
        results = {result["id"]: result for result in self.finished("j", 2)}
        for name in ("j-0", "j-1"):
            text = "\n".join(f"{name}-{n}" for n in range(3))
            self.assertEqual((results[name]["state"], results[name]["outputText"]), ("done", text))


if __name__ == "__main__":
    main()
