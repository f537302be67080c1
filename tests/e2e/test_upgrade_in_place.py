"""Test of engines that start again under their ids with another software version."""

import signal
import time

from support import main, wait_until

import test_gateway
import test_versions


class UpgradeInPlaceTest(test_gateway.SiteTestCase):
    gateways = 3
    engines = 4
    events = 40
    old = test_versions.VersionTest.old
    new = test_versions.VersionTest.new
    runs_of = test_versions.VersionTest.runs_of
    begin = test_versions.VersionTest.begin
    begin_some = test_versions.VersionTest.begin_some
    take_up = test_versions.VersionTest.take_up

    def setUp(self):
        super().setUp()
        wait_until(lambda: all(len(gateway.lines_of("gateway in contact")) >= self.gateways - 1
                               for gateway in self.gateway), "gateways in contact")

    def add_engine(self, name, **options):
        version = "v1" if name in ("engine-0", "engine-1") else "v1.1"
        engine = super().add_engine(name, version=version, **options)
        engine.events = self.events
        return engine

    def upgrade(self, engine):
        engine.version = "v1.1"
        engine.born += 1
        self.store.put("keyed.servers", engine.id, engine.record())

    def upgrade_old_engines(self):
        for engine in self.old():
            self.upgrade(engine)

    def lose_store(self):
        self.store.set_down(True)
        for gateway in self.gateway:
            wait_until(lambda: gateway.lines_of("store lost"), "store lost")  # noqa: B023

    def test_no_texts_are_joined_after_an_upgrade_in_place_without_the_store(self):
        begun = self.begin_some()
        self.lose_store()
        self.upgrade_old_engines()
        for request, received, began in begun:
            status, _, _, taken_up = self.take_up(request, received, 2)
            self.assertIn(status, (200, 503))
            if began == self.old():
                self.assertFalse(self.runs_of(self.engine, taken_up), "joined")

    def test_no_texts_are_joined_after_an_upgrade_in_place_if_engines_name_no_start(self):
        for engine in self.engine:
            engine.states_start = False
        self.test_no_texts_are_joined_after_an_upgrade_in_place_without_the_store()

    def test_a_stream_begun_after_an_upgrade_in_place_without_the_store_is_joined_to_no_other(self):
        self.lose_store()
        self.upgrade(self.engine[0])
        for number in range(16):
            close, request, received = self.begin(number % 2)
            close()
            status, _, _, taken_up = self.take_up(request, received, 2)
            self.assertIn(status, (200, 503))
            if self.engine[0].runs_of(request):
                self.assertFalse(self.engine[1].runs_of(taken_up), "joined")
        self.assertTrue(self.engine[0].runs)

    def test_no_texts_are_joined_at_a_gateway_that_stood_still_during_an_upgrade_in_place(self):
        begun = self.begin_some()
        self.gateway[2].process.signal(signal.SIGSTOP)
        self.upgrade_old_engines()
        time.sleep(3)
        self.gateway[2].process.signal(signal.SIGCONT)
        for request, received, began in begun:
            status, _, _, taken_up = self.take_up(request, received, 2)
            self.assertIn(status, (200, 503))
            if began == self.old():
                self.assertFalse(self.runs_of(self.engine, taken_up), "joined")


if __name__ == "__main__":
    main()
