"""End-to-end test of engines that reset connections but go on serving."""

import time
import unittest

from support import main
from test_gateway import SiteTestCase


class ResetTest(SiteTestCase):
    """Resets by engines that have not crashed."""

    engines = 4
    UNLUCKY = "a1:100,unlucky:50,%x:9"
    SOUND = "a1:100,b%x:50,%x:9"

    def serve_sound(self, count):
        for i in range(count):
            parts = self.SOUND % (i % 5, self.requests)
            self.assertEqual(self.call_with_prompt(parts)[0], 200)

    def test_a_part_whose_runs_are_reset_by_living_engines_is_not_refused(self):
        self.serve_sound(40)
        for engine in self.engine:
            engine.deadly_parts = {"unlucky"}
            engine.restarts = None  # its record keeps the incarnation: the engine has not crashed
        for _ in range(3):
            self.call_with_prompt(self.UNLUCKY % self.requests)
            self.serve_sound(10)
        for engine in self.engine:
            engine.deadly_parts = set()
        time.sleep(1)
        self.serve_sound(10)
        self.assertEqual(self.call_with_prompt(self.UNLUCKY % self.requests)[0], 200)
        self.assertFalse(self.gateway[0].lines_of("prompt part quarantined"))


if __name__ == "__main__":
    main()
