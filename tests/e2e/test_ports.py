"""Tests that the ports of processes that run beside each other never clash."""

import socket
import subprocess
import sys
import unittest

from support import ROOT, main

from fleet import free_port  # after support, which extends the import path

PROCESSES = 8
PORTS_EACH = 250
# Takes ports as a process whose id leads to the same ones, and holds them until its input ends.
TAKER = f"""
import os, sys
os.getpid = lambda: 4711
sys.path.insert(0, {str(ROOT / "scripts")!r})
from fleet import free_port
print(*(free_port() for _ in range({PORTS_EACH})), flush=True)
sys.stdin.read()
"""


class PortTest(unittest.TestCase):
    """Guards against tests that fail as another test's process has taken their port."""

    def test_processes_beside_each_other_get_different_ports(self):
        takers = [subprocess.Popen([sys.executable, "-c", TAKER], stdin=subprocess.PIPE,
                                   stdout=subprocess.PIPE, text=True) for _ in range(PROCESSES)]
        ports = [port for taker in takers for port in taker.stdout.readline().split()]
        for taker in takers:
            taker.communicate()
            self.assertEqual(taker.returncode, 0)
        self.assertEqual(len(ports), PROCESSES * PORTS_EACH)
        self.assertEqual(len(set(ports)), len(ports))

    def test_a_port_that_one_protocol_uses_is_not_free(self):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            taken = free_port() + 1  # the next that this process would get
            with socket.socket(type=kind) as user:
                user.bind(("127.0.0.1", taken))
                self.assertNotEqual(free_port(), taken)


if __name__ == "__main__":
    main()
