"""End-to-end tests of sound engines that fall silent for about a second and go on."""

import json
import signal
import threading
import time

from site_standins import complete_stream
from support import main, wait_until
import test_gateway

SILENCE_S = 1.2
EVENTS = 10
LARGE_BODY_BYTES = 12_000_000
UNREAD_DEADLINE_S = 1.0
SUSPENDED_S = 0.6
ANSWER_S = 0.5  # after the deadline
STALE_RECORDS_S = 2.1  # without a read of the engines' records, which then have to be checked


class SilentUpstreamTestCase(test_gateway.SiteTestCase):
    """One gateway; requests on each kind of route that may be sent to several engines."""

    slots = 8
    paths = ("/stream/x", "/safe/x")
    limits = test_gateway.config()["limits"]

    def setUp(self):
        super().setUp()
        safe = {**test_gateway.config()["routes"][0], "name": "safe", "pathPrefix": "/safe/",
                "kind": "safe", "resumable": False}
        self.publish(test_gateway.config(
            version=2, routes=[*test_gateway.config()["routes"], safe], limits=self.limits))

    def add_engine(self, name, **options):
        engine = super().add_engine(name, slots=self.slots, **options)
        engine.events = EVENTS
        return engine

    def begin(self, path="/stream/x"):
        """Sends a request in a thread; returns a function that waits for (status, body, id)."""
        answers = []
        thread = threading.Thread(target=lambda: answers.append(self.call(path)))
        thread.start()

        def answer():
            thread.join()
            status, _, body, request = answers[0]
            return status, body, request
        return answer

    def check_whole(self, answer):
        status, body, request = answer()
        self.assertEqual((status, body), (200, complete_stream(request, EVENTS)))


class LastPlaceTest(SilentUpstreamTestCase):
    """Two engines with one slot each: while both are in use there is no place to go to."""

    slots = 1

    def check_without_another_place(self, silent_at):
        for path in self.paths:
            for engine in self.engine:
                engine.silent_at = silent_at
                engine.silence_s = SILENCE_S
            answers = [self.begin(path) for _ in self.engine]
            for answer in answers:
                self.check_whole(answer)

    def test_a_silent_engine_is_kept_before_its_first_event_if_no_place_is_free(self):
        self.check_without_another_place(0)

    def test_a_silent_engine_is_kept_in_the_middle_if_no_place_is_free(self):
        self.check_without_another_place(EVENTS // 2)

    def test_an_engine_that_is_slow_to_begin_is_kept_if_no_place_is_free(self):
        for engine in self.engine:
            engine.step_s = 0.25
        answers = [self.begin() for _ in self.engine]
        for answer in answers:
            self.check_whole(answer)


class UnreadRequestTest(SilentUpstreamTestCase):
    """Engines that don't read the body of a request, which is larger than all buffers."""

    limits = {**test_gateway.config()["limits"], "maxBodyBytes": 2 * LARGE_BODY_BYTES}

    def test_a_request_whose_body_no_engine_reads_is_answered_by_its_deadline(self):
        for engine in self.engine:
            engine.unread_s = 4 * UNREAD_DEADLINE_S
        for path in (*self.paths, "/once/x"):
            before = time.monotonic()
            status = self.call(path, body="x" * LARGE_BODY_BYTES,
                               **{"Deadline-Ms": str(int(UNREAD_DEADLINE_S * 1000))})[0]
            self.assertEqual(status, 504, path)
            self.assertLess(time.monotonic() - before, UNREAD_DEADLINE_S + ANSWER_S)

    def test_a_request_whose_body_an_engine_does_not_read_goes_on_elsewhere(self):
        self.engine[0].unread_s = 4 * UNREAD_DEADLINE_S
        for _ in range(4):
            status, _, body, request = self.call("/stream/x", body="x" * LARGE_BODY_BYTES)
            self.assertEqual((status, body), (200, complete_stream(request, EVENTS)))


class RefusedResumeTest(SilentUpstreamTestCase):
    """A stream whose engine falls silent, and that most places refuse."""

    engines = 6

    def test_a_stream_that_was_left_for_a_place_goes_on_after_any_number_of_refusals(self):
        self.engine[0].silent_at = EVENTS // 2
        self.engine[0].silence_s = 10.0
        while not any("Last-Event-Id" in run["headers"] for each in self.engine[1:]
                      for run in each.runs):
            for engine in self.engine[1:]:
                engine.refuses_resumes_until = time.monotonic() + SILENCE_S
            self.check_whole(self.begin())


class RefusedSuccessorTest(SilentUpstreamTestCase):
    """Two engines: one is silent before its first event, the other refuses once."""

    def test_a_request_that_was_left_for_a_place_is_served_though_the_place_refuses_it_once(self):
        for path in self.paths:
            for engine in self.engine:
                engine.runs.clear()
                engine.silent_at = 0
                engine.silence_s = SILENCE_S
            answer = self.begin(path)
            wait_until(lambda: any(each.runs for each in self.engine), "the request runs")
            other = next(each for each in self.engine if not each.runs)
            other.silent_at = None
            other.shed = 1
            self.check_whole(answer)


class UnknownRouteTest(SilentUpstreamTestCase):
    """A store that answers no read of the configuration for a while."""

    def test_a_request_on_an_unknown_route_is_answered_by_its_deadline(self):
        self.store.withheld = "keyed.op"
        deadline_s = 0.1
        before = time.monotonic()
        status = self.call("/unknown/x", **{"Deadline-Ms": str(int(deadline_s * 1000))})[0]
        self.assertEqual(status, 503)
        self.assertLess(time.monotonic() - before, deadline_s + ANSWER_S)


class SilentStateQueryTest(SilentUpstreamTestCase):
    """A stream that began while its engine answered no state query."""

    def test_a_stream_goes_on_elsewhere_though_its_engine_was_silent_when_it_was_sent(self):
        for engine in self.engine:
            engine.silent_at = EVENTS // 2
            engine.silence_s = 10.0
            engine.query_silence_s = SILENCE_S
        self.engine[1].silent_at = None
        self.engine[1].query_silence_s = 0.0
        for _ in range(20):
            self.store.withheld = "keyed.servers"  # so that the records are certainly too old
            time.sleep(STALE_RECORDS_S)
            self.store.withheld = None
            runs, queries = len(self.engine[0].runs), self.engine[0].state_queries
            answer = self.begin()
            self.check_whole(answer)
            if len(self.engine[0].runs) > runs:
                self.assertGreater(self.engine[0].state_queries, queries)
                return
        self.fail("the silent engine got no request")


class ItemTest(SilentUpstreamTestCase):
    """Batch items at the only engine."""

    engines = 1

    def test_an_item_keeps_its_run_at_a_silent_engine_if_there_is_no_other(self):
        for silent_at in (0, EVENTS // 2):
            self.engine[0].silent_at = silent_at
            self.engine[0].silence_s = SILENCE_S
            item = f"item-{silent_at}"
            items = [{"id": item, "path": "/jobs/x", "headers": {}, "body": "", "tokens": 1}]
            self.call("/jobs/x", body=json.dumps({"items": items}),
                      **{"Request-Id": f"job-{silent_at}"})

            def done():
                body = self.call(f"/tamarackglade/lots/job-{silent_at}?after=0",  # noqa: B023
                                 body=None, method="GET")[2]
                return [each["state"] for each in json.loads(body)["results"]] == ["done"]
            wait_until(done, "item done", 20)
            self.assertEqual(len(self.engine[0].runs_of(item)), 1)


class LoopDelayTest(SilentUpstreamTestCase):
    """A gateway whose process is suspended while its engines go on."""

    engines = 4

    def test_a_delayed_event_loop_abandons_no_run(self):
        for engine in self.engine:
            engine.step_s = 0.1
        answers = [self.begin() for _ in range(24)]
        wait_until(lambda: sum(len(engine.runs) for engine in self.engine) == len(answers), "runs")
        self.gateway[0].process.signal(signal.SIGSTOP)
        time.sleep(SUSPENDED_S)
        self.gateway[0].process.signal(signal.SIGCONT)
        for answer in answers:
            self.check_whole(answer)
        gateway = self.gateway[0]  # which writes its lines behind the answers
        wait_until(lambda: gateway.lines_of("event loop delayed"), "the line of the delay")
        wait_until(lambda: len(gateway.lines_of("request ended")) == len(answers), "their lines")
        self.assertFalse(gateway.lines_of("attempt failed"))


if __name__ == "__main__":
    main()
