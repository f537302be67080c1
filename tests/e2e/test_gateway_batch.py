"""End-to-end tests of batch jobs at real gateways with stand-ins for store and engines."""

import base64
import json
import threading
import time

from batch_calls import BatchCalls
from site_standins import output_text, complete_stream
from support import main, wait_until
from test_gateway import KEY, SiteTestCase, config


class BatchTest(BatchCalls, SiteTestCase):
    """Batch jobs: submission, results, failures and requests to end them."""

    gateways = 2

    def test_results_are_the_same_at_all_gateways(self):
        self.assertEqual(self.submit("j"), 202)
        results = self.finished("j")
        self.assertEqual({r["id"]: (r["state"], r["outputText"]) for r in results},
                         {f"j-{i}": ("done", output_text(f"j-{i}")) for i in range(3)})
        wait_until(lambda: self.results("j", 1) == self.results("j", 0), "same results")
        status, page = self.results("j", 1, after=2)
        self.assertEqual((status, page["total"], page["next"], page["results"]),
                         (200, 3, 3, results[2:]))
        self.assertEqual(self.submit("j", 1), 202)
        run = [r for e in self.engine for r in e.runs_of("j-0")][0]
        self.assertEqual((run["body"], run["headers"]["Tenant"], run["headers"]["Model"]),
                         (b"b" * 10, "north", "m"))

    def test_jobs_are_their_customers_own(self):
        self.submit("j")
        self.assertEqual(self.results("j", key="key-south")[0], 404)
        self.assertEqual(self.results("none")[0], 404)

    def test_jobs_of_two_customers_under_one_id_stay_apart(self):
        self.wait_for_shared_items()
        other = {"key": "key-south"}
        self.assertEqual(self.submit("j", items=3), 202)
        status, _, _, _ = self.call("/jobs/x", 1, self.job("j", 5).replace("j-", "s-"),
                                    **other, **{"Request-Id": "j"})
        self.assertEqual(status, 202)
        wait_until(lambda: self.results("j", 0, **other)[1]["next"] == 5, "south's job finished")
        self.assertEqual({r["id"]: r["outputText"] for r in self.finished("j")},
                         {f"j-{i}": output_text(f"j-{i}") for i in range(3)})
        for gateway in (0, 1):
            results = self.results("j", gateway, **other)[1]["results"]
            self.assertEqual({r["id"]: r["outputText"] for r in results},
                             {f"s-{i}": output_text(f"s-{i}") for i in range(5)})
        self.assertEqual(sum(len(e.runs_of(f"s-{i}")) for e in self.engine for i in range(5)), 5)

    def test_a_job_read_before_its_route_is_not_given_up(self):
        added = dict(next(r for r in config()["routes"] if r["name"] == "batch"), name="added",
                     pathPrefix="/added/")
        self.store.withheld, self.store.withheld_passes = "keyed.op", 1
        value = config(2, routes=config()["routes"] + [added])
        self.store.put("keyed.op", "config", value)
        knows = []
        wait_until(lambda: knows.extend(i for i in (0, 1) if any(
            line["version"] == 2 for line in self.gateway[i].lines_of("configuration in force")))
            or knows, "configuration at one gateway")
        body = self.job("j", 20).replace("/jobs/x", "/added/x")
        self.assertEqual(self.call("/added/j", knows[0], body, **{"Request-Id": "j"})[0], 202)
        time.sleep(1.5)
        self.store.withheld = None
        self.assertEqual({r["state"] for r in self.finished("j", 20)}, {"done"})

    def test_malformed_jobs_are_refused(self):
        for body in ("", "{", "[]", '{"items": 3}', '{"items": [{"id": "a"}]}',
                     '{"items": [{"id": "a", "path": "/p", "body": "%%%"}]}'):
            self.assertEqual(self.call("/jobs/x", body=body)[0], 400, body)

    def test_items_whose_tokens_or_headers_cannot_be_read_are_refused(self):
        """Guards against items that count as no tokens and so pass every limit."""
        def submit(name, **changes):
            item = {"id": f"{name}-0", "path": "/jobs/x", "headers": {}, "body": "", "tokens": 1}
            item.update(changes)
            sent = {field: value for field, value in item.items() if value is not ...}
            return self.call("/jobs/" + name, body=json.dumps({"items": [sent]}),
                             **{"Request-Id": name})[0]
        odd = [{"tokens": value} for value in (..., None, "6000", [6000], {}, True, -1, 0.5, 1e300)]
        odd += [{"headers": value} for value in (None, "Model: m", [["Model", "m"]], 7)]
        for number, changes in enumerate(odd):
            with self.subTest(changes=changes):
                self.assertEqual(submit(f"odd-{number}", **changes), 400)
                self.assertEqual(self.results(f"odd-{number}")[0], 404)
        self.assertEqual(submit("sound"), 202)
        self.assertEqual(submit("without-headers", headers=...), 202)
        self.assertEqual(submit("above-the-limit", tokens=6000), 429)

    def test_a_line_break_in_an_items_header_reaches_no_engine(self):
        smuggled = "a\r\nContent-Length: 0\r\n\r\nPOST /stream/x HTTP/1.1\r\nRequest-Id: smuggled"
        item = {"id": "j-0", "path": "/jobs/x", "headers": {"X-A": smuggled},
                "body": base64.b64encode(b"b").decode(), "tokens": 10}
        status, _, body, _ = self.call("/jobs/x", body=json.dumps({"items": [item]}),
                                       **{"Request-Id": "j"})
        self.assertEqual(status, 400)
        self.assertIn("header X-A", json.loads(body)["error"]["message"])
        self.assertEqual(self.call("/tamarackglade/lots/j", body=None, method="GET")[0], 404)
        for engine in self.engine:
            self.assertEqual(engine.runs_of("smuggled"), [])

    def test_too_many_waiting_tokens(self):
        for engine in self.engine:
            engine.step_s = 0.5
        self.assertEqual(self.submit("a", tokens=1500), 202)
        self.assertEqual(self.submit("b", 1, tokens=1000), 429)
        self.assertEqual(self.submit("c", 1, tokens=100), 202)
        self.assertEqual(self.submit("a", 1, tokens=1500), 202)

    def test_bodies_and_ends(self):
        for engine in self.engine:
            engine.events = 10000
        self.assertEqual(self.submit("j", size=20000), 202)
        path = "/tamarackglade/items/j?id=j-1"
        wait_until(lambda: self.engine[0].active + self.engine[1].active == 3, "items run")
        self.assertEqual(self.call(path, 1, None, method="GET")[2], b"b" * 20000)
        for gateway in (0, 1):
            self.assertEqual(
                self.call("/tamarackglade/lots/j", gateway, None, method="DELETE")[0], 200)
        wait_until(lambda: len(self.engine[0].disconnected_requests
                               + self.engine[1].disconnected_requests) >= 3, "runs dropped")
        wait_until(lambda: self.engine[0].active + self.engine[1].active == 0, "nothing runs")

    def test_items_that_fail(self):
        for engine in self.engine:
            engine.statuses = {"j-0": 422, "j-1": 500}
        self.submit("j")
        states = {r["id"]: r["state"] for r in self.finished("j")}
        self.assertEqual(states, {"j-0": "dead", "j-1": "dead", "j-2": "done"})
        runs = [r["id"] for e in self.engine for r in e.runs]
        self.assertEqual((runs.count("j-0"), runs.count("j-1")), (1, 2))

    def test_an_item_whose_runs_break_at_once_is_sent_again_after_growing_pauses(self):
        for engine in self.engine:
            engine.break_at = 0
        self.assertEqual(self.submit("j", items=1), 202)
        wait_until(lambda: self.engine[0].runs + self.engine[1].runs, "first run")
        time.sleep(3)
        self.assertLessEqual(len(self.engine[0].runs + self.engine[1].runs), 6)
        for engine in self.engine:
            engine.break_at = None
        self.assertEqual(self.finished("j", 1)[0]["state"], "done")

    def test_an_item_is_not_done_by_a_resume_without_events(self):
        for engine in self.engine:
            engine.unframed = True
            engine.break_at = 2
            engine.empty_resumes = True
        self.assertEqual(self.submit("j", items=1), 202)

        def started_over():
            return [line for gateway in self.gateway
                    for line in gateway.lines_of("batch item starts over")
                    if line["reason"] == "its resumes got no event"]
        wait_until(started_over, "start over", 20)
        resumes = [run for engine in self.engine for run in engine.runs
                   if run["headers"].get("Last-Event-Id") == "1"]
        self.assertGreaterEqual(len(resumes), 3)
        for engine in self.engine:
            engine.break_at, engine.empty_resumes = None, False
        self.assertEqual(self.finished("j", 1)[0]["outputText"], output_text("j-0"))

    def test_an_item_is_not_done_by_a_response_that_ends_inside_its_head(self):
        for cut in (12, 30, 60):
            for engine in self.engine:
                engine.cut_head = cut
            name = f"cut-{cut}"
            self.assertEqual(self.submit(name, items=1), 202)
            wait_until(lambda: [run for engine in self.engine  # noqa: B023
                                for run in engine.runs_of(f"{name}-0")], "cut run")  # noqa: B023
            time.sleep(0.5)
            self.assertEqual(self.results(name)[1]["results"], [])
            for engine in self.engine:
                engine.cut_head = None
            self.assertEqual(self.finished(name, 1)[0]["outputText"], output_text(f"{name}-0"))

    def test_an_item_is_not_done_by_a_success_without_content(self):
        for engine in self.engine:
            engine.break_at, engine.breaks_inside = 1, False
            engine.resume_status = 204
        self.assertEqual(self.submit("j", items=1), 202)
        wait_until(lambda: [run for engine in self.engine for run in engine.runs
                            if run["headers"].get("Last-Event-Id") == "1"], "resumed item")
        time.sleep(0.5)
        self.assertEqual(self.results("j")[1]["results"], [])
        for engine in self.engine:
            engine.break_at = engine.resume_status = None
        self.assertEqual(self.finished("j", 1)[0]["outputText"], output_text("j-0"))

    def test_an_item_that_gets_a_success_that_is_no_stream_is_not_given_up(self):
        for engine in self.engine:
            engine.status = 202
        self.assertEqual(self.submit("j", items=1), 202)
        wait_until(lambda: len(self.engine[0].runs + self.engine[1].runs) >= 3, "three runs")
        self.assertEqual(self.results("j")[1]["results"], [])
        for engine in self.engine:
            engine.status = 200
        self.assertEqual(self.finished("j", 1)[0]["outputText"], output_text("j-0"))

    def test_items_whose_content_is_lost_do_not_hold_up_others(self):
        for engine in self.engine:
            self.store.put("keyed.servers", engine.id, engine.record("draining"))
        for gateway in self.gateway:
            wait_until(lambda: sum(bool(line.get("leaving"))  # noqa: B023
                                   for line in gateway.lines_of("upstream changed")) >= 2, "drain")
        self.assertEqual(self.submit("lost", items=40, tokens=10), 202)
        for gateway in self.gateway:
            gateway.process.kill()
        for stream, partition in list(self.store.partitions):
            if stream == "batch-contents":
                self.store.drop_history((stream, partition))
        for engine in self.engine:
            self.store.put("keyed.servers", engine.id, engine.record())
        for gateway in self.gateway:
            gateway.process.start()
        for gateway in self.gateway:
            wait_until(gateway.ready, "ready")
        self.wait_for_shared_items()
        self.assertEqual(self.submit("sound", items=20, tokens=10), 202)
        self.assertEqual({r["state"] for r in self.finished("sound", 20)}, {"done"})
        self.assertEqual(self.results("lost")[1]["results"], [])

    def test_comments_are_no_part_of_an_items_text(self):
        for engine in self.engine:
            engine.comments = True
            engine.break_at = 3
        self.assertEqual(self.submit("j", items=1), 202)
        wait_until(lambda: self.engine[0].runs + self.engine[1].runs, "first run")
        for engine in self.engine:
            engine.break_at = None
        self.assertEqual(self.finished("j", 1)[0]["outputText"], output_text("j-0"))

    def test_a_job_on_an_open_route_belongs_to_the_customer_whose_key_came_with_it(self):
        batch = next(r for r in config()["routes"] if r["name"] == "batch")
        opened = dict(batch, name="opened", pathPrefix="/opened/", public=True)
        self.publish(config(2, routes=config()["routes"] + [opened]))
        name = {"Request-Id": "j"}
        self.assertEqual(self.call("/opened/j", 0, self.job("j"), None, **name)[0], 401)
        self.assertEqual(self.call("/opened/j", 0, self.job("j"), **name)[0], 202)
        self.assertEqual({r["state"] for r in self.finished("j")}, {"done"})
        self.assertEqual(self.results("j", key="key-south")[0], 404)

    def test_large_jobs(self):
        self.publish(config(2, limits={"maxBodyBytes": 4000000}))
        self.assertEqual(self.submit("j", items=8, size=200000), 202)
        self.finished("j", 8, gateway=1)
        run = [r for e in self.engine for r in e.runs_of("j-7")][0]
        self.assertEqual(run["body"], b"b" * 200000)

    def test_a_lost_answer_accepts_once(self):
        for fault in ("lost", "never", "late"):
            self.store.append_faults["batches"] = [fault]
            self.assertEqual(self.submit("j-" + fault), 202)
            self.finished("j-" + fault)
        time.sleep(self.store.late_s)
        for fault in ("lost", "never", "late"):
            self.assertEqual(self.results("j-" + fault)[1]["total"], 3)

    def test_a_refusal_is_true(self):
        self.store.refusing = 503
        self.assertEqual(self.submit("j"), 503)
        self.store.refusing = 0
        wait_until(lambda: self.results("j")[0] == 404, "job unknown")
        self.store.append_faults["batches"] = ["never"] * 100
        status, _, _, _ = self.call("/jobs/k", 0, self.job("k"), **{"Request-Id": "k",
                                                                    "Deadline-Ms": "900"})
        self.assertNotIn(status, (202, 429, 503))

    def test_all_gateways_killed_after_the_acceptance(self):
        for engine in self.engine:
            engine.step_s = 0.1
        self.assertEqual(self.submit("j"), 202)
        for gateway in self.gateway:
            gateway.process.kill()
        for gateway in self.gateway:
            gateway.process.start()
        for gateway in self.gateway:
            wait_until(gateway.ready, "ready")
        self.assertEqual(len(self.finished("j", gateway=1)), 3)

    def test_batch_yields_to_online_work(self):
        for engine in self.engine:
            engine.slots = 3
            engine.step_s = 0.02
            engine.events = 150
            self.store.put("keyed.servers", engine.id, engine.record())
        for gateway in self.gateway:
            wait_until(lambda: sum(line["slots"] == 3  # noqa: B023
                                   for line in gateway.lines_of("upstream changed")) == 2, "slots")
        self.submit("j", items=6)
        wait_until(lambda: self.engine[0].active + self.engine[1].active > 0, "items run")
        # The fleet has six slots, so the last requests need slots that items occupy.
        answers = []
        threads = []
        for i in range(6):
            threads.append(threading.Thread(
                target=lambda gateway: answers.append(self.call(gateway=gateway)), args=[i % 2]))
            threads[-1].start()
            time.sleep(0.3)  # until the gateways have exchanged reports
        for thread in threads:
            thread.join()
        for status, _, body, request in answers:
            self.assertEqual((status, body), (200, complete_stream(request, 150)))
        self.assertTrue(any(line["end"] == "yielded to online work" for gateway in self.gateway
                            for line in gateway.lines_of("batch item run ended")))
        results = self.finished("j", 6)
        self.assertEqual({r["outputText"] for r in results},
                         {output_text(f"j-{i}", 150) for i in range(6)})


if __name__ == "__main__":
    main()
