"""Tests of a gateway's log lines on machines that add lines, hide them or limit the log's size."""

import os
import stat
from unittest import mock

from support import OPTIONS, main
from test_gateway import Gateway, SiteTestCase, config

FOREIGN_LINES = ("ERROR: ld.so: object 'x.so' cannot be preloaded: ignored.", "7", "[]", "{}",
                 '{"level":"info"}', "", "\u2028")
LOG_BLOCKS = 2  # of 512 bytes, the largest size of a file


class LogLinesTest(SiteTestCase):
    """Guards against scripts that can't read a log, and gateways that end, on such a machine."""

    def add_gateway_through(self, script):
        """Adds a gateway that a shell script starts."""
        path = self.work_dir / "start-gateway"
        path.write_text(f'#!/bin/sh\n{script}\nexec "{OPTIONS.bin}/tamarack-gateway" "$@"\n')
        path.chmod(path.stat().st_mode | stat.S_IXUSR)
        gateway = Gateway("gateway-odd", self.store.address, self.work_dir, [str(path)])
        self.addCleanup(self.kill_if_running, gateway)
        gateway.wait_until_ready()
        self.gateway = [gateway]
        return gateway

    def test_lines_of_the_machine_stand_between(self):
        gateway = self.add_gateway_through("cat <<'END'\n" + "\n".join(FOREIGN_LINES) + "\nEND")
        self.publish(config(2))
        self.assertEqual([line["version"] for line in gateway.lines_of("configuration in force")],
                         [1, 2])
        self.assertEqual(gateway.lines_of(FOREIGN_LINES[0]), [{"message": FOREIGN_LINES[0]}])

    def test_the_environment_hides_no_lines(self):
        with mock.patch.dict(os.environ, GLOG_minloglevel="3", GLOG_logtostderr="1"):
            self.gateway = [self.add_gateway("gateway-quiet")]
        self.publish(config(2))
        self.assertTrue(self.gateway[0].lines_of("started"))

    def test_a_log_that_may_not_grow_ends_no_gateway(self):
        gateway = self.add_gateway_through(f"ulimit -f {LOG_BLOCKS}")
        for _ in range(20):
            self.assertEqual(self.call()[0], 200)
        self.assertIsNone(gateway.process.child.poll())
        self.assertLessEqual(gateway.process.log_path.stat().st_size, LOG_BLOCKS * 512)
        self.assertGreater(gateway.metric("tamarack_dropped_log_lines"), 0)


if __name__ == "__main__":
    main()
