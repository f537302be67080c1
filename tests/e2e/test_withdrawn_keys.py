"""End-to-end tests of configurations that leave customers, or all of them, without a key."""

from batch_calls import BatchCalls
from support import main, wait_until
from test_gateway import KEY, SiteTestCase, config

WITHDRAWN = (KEY, "key-south", "never-issued", "", None)


class KeysTestCase(BatchCalls, SiteTestCase):
    """Base of tests that send requests with keys that must not run."""

    gateways = 2

    def runs_of(self, request):
        return [run for engine in self.engine for run in engine.runs_of(request)]

    def check_refused(self, keys=WITHDRAWN, status=401):
        """Checks that no request with one of these keys runs, and that open routes need none."""
        for gateway in range(len(self.gateway)):
            for key in keys:
                for path in ("/stream/x", "/once/x", "/jobs/x"):
                    found, _, _, request = self.call(path, gateway, key=key)
                    self.assertEqual((found, self.runs_of(request)), (status, []), (path, key))
            self.assertEqual(self.call("/open/x", gateway, key=None)[0], 200)

    def check_served(self, key):
        for gateway in range(len(self.gateway)):
            found, _, _, request = self.call("/stream/x", gateway, key=key)
            self.assertEqual((found, len(self.runs_of(request))), (200, 1))


class WithdrawnKeysTest(KeysTestCase):
    """Guards against a service that is open to everybody once no customer has a key."""

    def test_after_the_last_customer_no_key_is_known(self):
        self.publish(config(2, tenants=config()["tenants"][:1]))
        self.check_served(KEY)
        self.publish(config(3, tenants=[]))
        self.check_refused()
        self.publish(config(4))
        self.check_served(KEY)

    def test_customers_without_keys(self):
        for version, tenant in enumerate(({"apiKeys": []}, {}), 2):
            self.publish(config(version, tenants=[dict(tenant, name="north")]))
            self.check_refused()

    def test_a_first_configuration_without_customers(self):
        self.publish(config(2, tenants=[]))
        for gateway in self.gateway:
            gateway.process.kill()
        self.gateway = [self.add_gateway("gateway-2")]
        self.check_refused()
        self.publish(config(3))
        self.check_served(KEY)

    def test_without_a_list_of_customers_no_key_is_needed(self):
        value = config(2)
        del value["tenants"]
        self.publish(value)
        self.check_served(None)
        self.check_served("any")
        self.assertEqual(self.runs_of("r1")[0]["headers"].get("Tenant"), None)
        self.publish(config(3, tenants=[]))
        self.check_refused()

    def test_jobs_outlive_the_keys_of_their_customer(self):
        for engine in self.engine:
            engine.step_s = 0.1
        self.assertEqual(self.submit("j", items=4), 202)
        self.publish(config(2, tenants=[]))
        for gateway in (0, 1):
            for key in WITHDRAWN:
                self.assertEqual(self.submit("k", gateway, key), 401)
                self.assertEqual(self.results("j", gateway, key=key)[0], 401)
                path = "/tamarackglade/items/j?id=j-0"
                self.assertEqual(self.call(path, gateway, None, key, "GET")[0], 401)
                path = "/tamarackglade/lots/j"
                self.assertEqual(self.call(path, gateway, None, key, "DELETE")[0], 401)
        wait_until(lambda: all(engine.active == 0 for engine in self.engine), "items have run")
        another = [{"name": "north", "apiKeys": ["another"]}]
        self.publish(config(3, tenants=another))
        self.check_refused()
        wait_until(lambda: self.results("j", key="another")[1]["next"] == 4, "j finished")
        results = self.results("j", 1, key="another")[1]["results"]
        self.assertEqual({result["state"] for result in results}, {"done"})
        self.assertEqual(self.results("k", key="another")[0], 404)
        for number in range(4):
            for run in self.runs_of(f"j-{number}"):
                self.assertEqual(run["headers"]["Tenant"], "north")


class UnreadableCustomersTest(KeysTestCase):
    """Guards against a list of customers of another type that is read as no list."""

    def test_a_list_that_is_none(self):
        version = 1
        for value in (None, {}, {"apiKeys": [KEY]}, "", KEY, 0, 7, False, True):
            with self.subTest(value=value):
                version += 1
                self.publish(config(version, tenants=value))
                self.check_refused((KEY, "never-issued"), 503)
                self.check_refused(("", " ", None), 401)
        self.publish(config(version + 1))
        self.check_served(KEY)

    def test_entries_that_cannot_be_read_leave_the_others(self):
        sound, other = config()["tenants"]
        version = 1
        odd = [None, 7, "north", [], [KEY], {"apiKeys": ["key-south"]},
               *(dict(other, name=name) for name in (None, 7, "", ["south"], "so\r\nuth")),
               *(dict(other, **{name: value}) for name in ("ratePerS", "burst", "priority")
                 for value in (None, "5", [], True, -1)),
               *(dict(other, apiKeys=keys) for keys in (None, "key-south", {"key-south": 1}, 7))]
        for entry in odd:
            with self.subTest(entry=entry):
                version += 1
                self.publish(config(version, tenants=[entry, sound]))
                self.check_served(KEY)
                self.check_refused(("key-south",), 503)
                self.check_refused((None,), 401)
        self.publish(config(version + 1))
        self.check_served("key-south")

    def test_keys_that_are_no_texts_open_nothing(self):
        odd = ["", None, 7, [], {}, KEY]
        self.publish(config(2, tenants=[{"name": "north", "apiKeys": odd}]))
        self.check_served(KEY)
        self.check_refused(("7", "null", "None", "[]"), 503)
        self.check_refused(("", " ", None), 401)

    def test_a_gateway_that_starts_with_them(self):
        self.publish(config(2, tenants={"north": [KEY]}))
        for gateway in self.gateway:
            gateway.process.kill()
        self.gateway = [self.add_gateway("gateway-2")]
        self.check_refused((KEY, "key-south"), 503)


class UnreadableVersionTest(KeysTestCase):
    """Guards against withdrawn keys that run on as the version that lacks them can't be read."""

    gateways = 1
    settings = {"key-freshness": 1500}

    def check_keys_stop(self, record, version):
        """Publishes a record that can't be read, then a sound configuration of this version."""
        self.check_served(KEY)
        self.store.put("keyed.op", "config", record)
        wait_until(lambda: self.call()[0] == 503, "keys stop", 5)
        self.check_refused((KEY, "key-south", "never-issued"), 503)
        self.publish(config(version))
        self.check_served(KEY)

    def test_a_version_that_is_no_whole_number(self):
        for number, version in enumerate((None, "9", [], {}, True, -1, 9.5, 1e300), 2):
            with self.subTest(version=version):
                self.check_keys_stop(config(version, tenants=[]), number)

    def test_bytes_that_are_no_configuration(self):
        for number, record in enumerate((b"{", b"[]", b"null", b"\xff\xfe", b'{"tenants":[]}'), 2):
            with self.subTest(record=record):
                self.check_keys_stop(record, number)

    def test_a_configuration_that_was_removed(self):
        self.check_keys_stop(b"", 2)


if __name__ == "__main__":
    main()
