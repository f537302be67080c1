"""Tests that one odd record among those of the engines harms no request and no other record."""

import json

from support import main, wait_until

import test_gateway

DEEP = 100_000  # levels of nesting
NO_ENGINE = "127.0.0.1:1"  # nothing listens there


def odd_records(record):
    """Returns records that name no engine to use, by name; `record` is a sound one."""
    def changed(**fields):
        return json.dumps(dict(record, **fields)).encode()

    def with_number(name, text):
        return changed(**{name: "NUMBER"}).replace(b'"NUMBER"', text)

    nested = b"[" * DEEP + b"]" * DEEP
    return {
        "deep-list": nested,
        "deep-field": changed(more="NESTED").replace(b'"NESTED"', nested),
        "deep-objects": b'{"a":' * DEEP + b"1" + b"}" * DEEP,
        "open-lists": b"[" * DEEP,
        "slots-beyond-double": with_number("slots", b"1" + b"0" * 400),
        "slots-1e300": with_number("slots", b"1e300"),
        "slots-1e18": with_number("slots", b"1000000000000000000"),
        "slots-32-bits": with_number("slots", b"4294967295"),
        "slots-negative": with_number("slots", b"-4"),
        "slots-none": with_number("slots", b"0"),
        "slots-text": changed(slots="8"),
        "born-1e300": with_number("born", b"1e300"),
        "born-2-to-64": with_number("born", b"18446744073709551616"),
        "port-99999": changed(address="127.0.0.1:99999"),
        "port-0": changed(address="127.0.0.1:0"),
        "port-negative": changed(address="127.0.0.1:-1"),
        "port-of-20-digits": changed(address="127.0.0.1:" + "9" * 20),
        "port-missing": changed(address="127.0.0.1:"),
        "host-name": changed(address="engine.example:8080"),
        "address-list": changed(address=[NO_ENGINE]),
        "state-unknown": changed(state="sleeping"),
        "service-number": changed(service=7),
        "list": b"[1, 2]",
        "bytes": b"\xff\xfe\x00\x01" * 10,
        "zone-object": changed(zone={"a": 1}, state=None),
        "zone-number": changed(zone=7),
        "version-number": changed(version=2),
        "version-list": changed(version=["v1"]),
        "warm-up-text": changed(coldRemainingMs="60000"),
        "warm-up-none": changed(coldRemainingMs=None),
    }


class OddRecordTest(test_gateway.SiteTestCase):
    def check_service(self, name):
        for _ in range(6):
            status, _, _, request = self.call("/once/x")
            runs = sum(len(engine.runs_of(request)) for engine in self.engine)
            self.assertEqual((status, runs), (200, 1), f"{request} beside {name}")

    def check_following(self, name):
        """Checks that a change of another record still reaches the gateway."""
        changes = len(self.gateway[0].lines_of("upstream changed"))
        record = dict(self.engine[1].record(), version=f"after {name}")
        self.store.put("keyed.servers", self.engine[1].id, record)
        wait_until(lambda: any(line["version"] == record["version"]
                               for line in self.gateway[0].lines_of("upstream changed")[changes:]),
                   f"a change after {name} known")

    def check_started_once(self):
        self.assertIsNone(self.gateway[0].process.child.poll(), "the gateway has ended")

    def test_one_odd_record_harms_nothing(self):
        for name, value in odd_records(self.engine[0].record()).items():
            with self.subTest(name):
                self.store.put("keyed.servers", name, value)
                self.check_following(name)
                self.check_service(name)
                self.check_started_once()
            self.store.put("keyed.servers", name, b"")

    def test_a_gateway_that_starts_beside_odd_records_serves(self):
        for name, value in odd_records(self.engine[0].record()).items():
            self.store.put("keyed.servers", name, value)
        self.gateway[0].process.kill()
        self.gateway[0].process.start()
        wait_until(self.gateway[0].ready, "ready again")
        self.check_following("restart")
        self.check_service("all")


if __name__ == "__main__":
    main()
