"""Tests that the ports of processes that run beside each other never clash, on any machine."""

import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import unittest
from unittest import mock

from support import ROOT, main

import fleet  # after support, which extends the import path

PROCESSES = 8
PORTS_EACH = 250
OTHER_USER = 65534
TIMEOUT_S = 20
# Takes ports as a process whose id leads to the same ones, and holds them until its input ends.
TAKER = f"""
import errno, fcntl, os, socket, sys
os.getpid = lambda: 4711
sys.path.insert(0, {str(ROOT / "scripts")!r})
import fleet
exec(sys.argv[1])
print(*(fleet.free_port() for _ in range({PORTS_EACH})), flush=True)
sys.stdin.read()
"""
REFUSE_FILE_LOCKS = """
def refuse(*_):
    raise OSError(errno.ENOLCK, os.strerror(errno.ENOLCK))
fcntl.lockf = fcntl.flock = refuse
"""
REFUSE_NAMES = """
class Socket(socket.socket):
    def bind(self, address):
        if self.family == socket.AF_UNIX:
            raise PermissionError(errno.EPERM, "refused")
        super().bind(address)
socket.socket = Socket
"""
REFUSE_DATAGRAMS = """
class Socket(socket.socket):
    def __init__(self, family=socket.AF_INET, type=socket.SOCK_STREAM, *rest):
        if (family, type) == (socket.AF_INET, socket.SOCK_DGRAM):
            raise PermissionError(errno.EPERM, "refused")
        super().__init__(family, type, *rest)
socket.socket = Socket
"""
BECOME_OTHER_USER = f"os.setgid({OTHER_USER}); os.setuid({OTHER_USER})"


def start_taker(change="", environment=None):
    return subprocess.Popen([sys.executable, "-c", TAKER, change], stdin=subprocess.PIPE,
                            stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
                            env={**os.environ, **(environment or {})})


class PortTestCase(unittest.TestCase):
    """Base of tests with processes that take ports beside each other."""

    def take(self, takers):
        """Returns the ports that the takers, which run beside each other, got, and their errors."""
        for taker in takers:
            end = threading.Timer(TIMEOUT_S, taker.kill)
            end.start()
            self.addCleanup(end.cancel)
        ports = [port for taker in takers for port in taker.stdout.readline().split()]
        errors = []
        for taker in takers:
            errors.append(taker.communicate()[1])
            self.assertEqual(taker.returncode, 0, errors[-1])
        self.assertEqual(len(ports), len(takers) * PORTS_EACH)
        return ports, errors

    def check_all_differ(self, takers):
        ports, errors = self.take(takers)
        self.assertEqual(len(set(ports)), len(ports))
        self.assertEqual("".join(errors), "")


class PortTest(PortTestCase):
    """Guards against tests that fail as another test's process has taken their port."""

    def test_processes_beside_each_other_get_different_ports(self):
        self.check_all_differ([start_taker() for _ in range(PROCESSES)])

    def test_a_port_that_one_protocol_uses_is_not_free(self):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            taken = fleet.free_port() + 1  # the next that this process would get
            with socket.socket(type=kind) as user:
                user.bind(("127.0.0.1", taken))
                self.assertNotEqual(fleet.free_port(), taken)

    def test_without_a_free_port_there_is_an_error(self):
        with mock.patch.object(fleet, "is_unused", lambda port: False):
            self.assertRaises(OSError, fleet.free_port)


class PortMachineTest(PortTestCase):
    """Guards against ports that need more of the machine than the processes that use them."""

    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.environment = {"TMPDIR": folder}
        # What was a file of locks once can't be opened, whoever runs the test.
        (pathlib.Path(folder) / "tamarack-ports.lock").mkdir()

    def test_a_file_in_the_temporary_folder_that_cannot_be_opened(self):
        self.check_all_differ([start_taker(environment=self.environment) for _ in range(2)])

    def test_a_file_system_that_refuses_locks(self):
        self.check_all_differ([start_taker(REFUSE_FILE_LOCKS) for _ in range(2)])

    def test_users_beside_each_other(self):
        change = BECOME_OTHER_USER if os.geteuid() == 0 else ""
        self.check_all_differ([start_taker(), start_taker(change)])
        self.check_all_differ([start_taker(change), start_taker()])

    def test_a_machine_that_refuses_names_without_files(self):
        _, errors = self.take([start_taker(REFUSE_NAMES)])
        self.assertEqual(errors[0].count("can't be held here"), 1)

    def test_a_machine_without_datagrams(self):
        self.check_all_differ([start_taker(REFUSE_DATAGRAMS) for _ in range(2)])

    def test_all_blocks_are_held(self):
        name = f"tamarack-test-{os.getpid()}"
        for block in range(fleet.BLOCK_COUNT):
            holder = self.enterContext(socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM))
            holder.bind(f"\0{name}-{block}")
        _, errors = self.take([start_taker(f"fleet.BLOCK_NAME = {name!r}")])
        self.assertEqual(errors[0].count("all blocks of ports are held"), 1)


if __name__ == "__main__":
    main()
