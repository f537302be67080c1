"""Runs a small fleet on loopback: stand-ins, sides and entries.

Used by the demo, the benchmarks and the end-to-end tests. Every process is a child of the script
and is ended by it.
"""

import errno
import http.client
import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import threading
import time

READY_TIMEOUT_S = 60
STOP_TIMEOUT_S = 30
# Names a folder for the processes' logs, as a test deletes its own folder when it ends.
LOG_FOLDER_VARIABLE = "TAMARACK_LOG_FOLDER"

# Below the ephemeral range, so that outgoing connections never use these ports.
FIRST_PORT = 10240
PORT_COUNT = 21000
BLOCK_SIZE = 100  # ports that a script takes at once
BLOCK_COUNT = PORT_COUNT // BLOCK_SIZE
MAX_BLOCKS = 30  # of one script, which then uses its ports again
BLOCK_NAME = "tamarack-ports"  # with a block's number, the name that holds it


def warn(text):
    print(f"fleet.py: {text}", file=sys.stderr, flush=True)


class PortBlocks:
    """Blocks of ports that no other script uses while this one runs.

    A block is held by a socket bound to a name without a file. Such names are shared by all users
    of a network stack, as its ports are, and end with the script. A machine that refuses them, or
    on which all blocks are held, is warned about once; its scripts share the blocks.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._next_block = os.getpid() % BLOCK_COUNT
        self._blocks = []  # the numbers of the blocks taken, in order
        self._next_port = 0  # counts the ports handed out
        self._shared = False  # blocks aren't held any more

    def next_port(self):
        """Returns the next port of the script's blocks, which may be in use."""
        with self._lock:
            place = self._next_port % (MAX_BLOCKS * BLOCK_SIZE)
            self._next_port += 1
            if place // BLOCK_SIZE == len(self._blocks):
                self._blocks.append(self._take_block())
            block = self._blocks[place // BLOCK_SIZE]
            return FIRST_PORT + block * BLOCK_SIZE + place % BLOCK_SIZE

    def _take_block(self):
        first = self._next_block
        for step in range(BLOCK_COUNT):
            block = (first + step) % BLOCK_COUNT
            if self._shared or self._hold(block):
                self._next_block = block + 1
                return block
        self._share("all blocks of ports are held")
        return self._take_block()

    def _hold(self, block):
        """Returns whether the block is this script's, or may be shared."""
        try:
            with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as holder:
                holder.bind(f"\0{BLOCK_NAME}-{block}")
                holder.detach()  # stays open until the script ends
        except OSError as error:
            if error.errno == errno.EADDRINUSE:
                return False
            self._share(f"ports can't be held here ({error})")
        return True

    def _share(self, reason):
        self._shared = True
        warn(f"{reason}: another script may take the same ones")


_blocks = PortBlocks()


def is_unused(port):
    """Returns whether nothing on loopback uses the port, with TCP or UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        try:
            with socket.socket(type=kind) as probe:
                probe.bind(("127.0.0.1", port))
        except OSError as error:
            if error.errno == errno.EADDRINUSE:
                return False
            if kind == socket.SOCK_STREAM:
                raise
            # Where there is no UDP at all, the daemons say so if they need it.
    return True


def free_port():
    """Returns a free loopback port that no running script has got.

    The daemons share addresses between their threads (SO_REUSEPORT), so binding a port twice
    would succeed and split the connections between two listeners. Raises OSError if loopback can't
    be used, or none of the ports is free.
    """
    for _ in range(PORT_COUNT):
        port = _blocks.next_port()
        if is_unused(port):
            return port
    raise OSError(errno.EADDRINUSE, "no port of this script's blocks is free")


def http_call(address, method, path, body=None, headers=None, timeout=30):
    """Sends one request; returns (status, headers, body bytes)."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def wait_until(condition, what, timeout=READY_TIMEOUT_S):
    """Polls until condition() is true and returns its value; an OSError counts as false.

    Raises TimeoutError, with `what` in its text, after `timeout` seconds.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        try:
            value = condition()
            if value:
                return value
        except OSError:
            pass
        time.sleep(0.02)
    raise TimeoutError(f"{what} did not happen within {timeout} s")


def log_folder(work_dir):
    """Returns the folder for logs of processes that work in work_dir."""
    kept = os.environ.get(LOG_FOLDER_VARIABLE)
    if not kept:
        return work_dir
    folder = pathlib.Path(kept) / work_dir.name
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        warn(f"logs aren't kept: {error}")
        return work_dir
    return folder


class Process:
    """A child process and its log file."""

    def __init__(self, name, command, work_dir):
        self.name = name
        self.command = command
        self.log_path = log_folder(work_dir) / f"{name}.log"
        self.child = None
        self.start()

    def start(self):
        log = open(self.log_path, "ab")
        self.child = subprocess.Popen(self.command, stdout=log, stderr=subprocess.STDOUT,
                                      stdin=subprocess.DEVNULL)
        log.close()

    def signal(self, number):
        self.child.send_signal(number)

    def kill(self):
        self.child.kill()
        self.child.wait()

    def stop(self):
        """Ends the process with SIGTERM and returns its exit code.

        Kills it and raises TimeoutExpired after STOP_TIMEOUT_S.
        """
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.terminate()
        try:
            return self.child.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()
            raise

    def log(self):
        return self.log_path.read_text(errors="replace")


class Vm:
    """A VM of the fleet with its process and addresses."""

    def __init__(self, name, process, wire, admin, http=None, upstream=None):
        self.name = name
        self.process = process
        self.wire = wire
        self.admin = admin
        self.http = http
        self.upstream = upstream  # address of the side's upstream


class Fleet:
    """A fleet of real processes with their settings and logs in one folder."""

    def __init__(self, bin_dir, work_dir, zones=("zone-1", "zone-2", "zone-3"), region="region-1",
                 platform_flags=(), daemons=None):
        """`daemons` maps tamarack-entry or tamarack-side to the command to start instead."""
        self.bin = pathlib.Path(bin_dir)
        self.daemons = daemons or {}
        self.dir = pathlib.Path(work_dir)
        self.dir.mkdir(parents=True, exist_ok=True)
        self.zones = zones
        self.region = region
        self.processes = []
        self.entries = []
        self.sides = []
        self.upstreams = {}
        self.secret = self.dir / "fleet-secret"
        self.secret.write_text(secrets.token_hex(32))
        os.chmod(self.secret, 0o600)
        self.platform = f"127.0.0.1:{free_port()}"
        self.platform_process = self._spawn(
            "platform", ["standin-platform", f"--listen={self.platform}", *platform_flags])
        wait_until(lambda: http_call(self.platform, "GET", "/v1/vms")[0] == 200, "the platform")

    def _spawn(self, name, command):
        process = Process(name, [str(self.bin / command[0]), *command[1:]], self.dir)
        self.processes.append(process)
        return process

    def _daemon_command(self, program):
        return self.daemons.get(program, [program])

    def _zone(self, index):
        return self.zones[index % len(self.zones)]

    def _register(self, vm, role, zone, address, group=""):
        body = {"vm": vm, "incarnation": 1, "role": role, "group": group, "zone": zone,
                "region": self.region, "address": address, "state": "live"}
        status, _, text = http_call(self.platform, "PUT", f"/v1/vms/{vm}", json.dumps(body))
        assert status in (200, 201, 204), text

    def unregister(self, vm):
        http_call(self.platform, "DELETE", f"/v1/vms/{vm}")

    def register_again(self, entry):
        """Adds an entry to the VM list again after unregister()."""
        self._register(entry.name, "entry", self._zone(self.entries.index(entry)), entry.wire)

    def _settings(self, program, vm, zone, wire, admin, extra):
        values = {"vm": vm, "zone": zone, "region": self.region, "platform": self.platform,
                  "fleet-secret-file": self.secret, "wire-listen": wire, "admin-listen": admin,
                  **extra}
        lines = [f"[{program}]", *[f"{key} = {value}" for key, value in values.items()]]
        path = self.dir / f"{vm}.ini"
        path.write_text("\n".join(lines) + "\n")
        return path

    def add_upstream(self, group, kind="engine", flags=(), side_extra=None):
        """Starts an upstream and its side; returns the side's VM."""
        index = len(self.sides)
        zone = self._zone(index)
        name = f"{group}-{index + 1}"
        upstream = f"127.0.0.1:{free_port()}"
        program = "standin-engine" if kind == "engine" else "standin-plain"
        upstream_process = self._spawn(f"upstream-{name}",
                                       [program, f"--listen={upstream}", *flags])
        self.upstreams[name] = upstream_process
        wire, admin = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
        extra = {"upstream": upstream, "group": group, "kind": kind, "drain-notice": 100,
                 **(side_extra or {})}
        path = self._settings("tamarack-side", name, zone, wire, admin, extra)
        process = self._spawn(name, [*self._daemon_command("tamarack-side"), f"--settings={path}"])
        vm = Vm(name, process, wire, admin, upstream=upstream)
        self.sides.append(vm)
        self._register(name, "side", zone, wire, group)
        return vm

    def add_entry(self, extra=None, register=True):
        """Starts an entry; returns before it is ready."""
        index = len(self.entries)
        zone = self._zone(index)
        name = f"entry-{index + 1}"
        wire, admin, listen = (f"127.0.0.1:{free_port()}" for _ in range(3))
        path = self._settings("tamarack-entry", name, zone, wire, admin,
                              {"listen": listen, "drain-notice": 100, **(extra or {})})
        process = self._spawn(name, [*self._daemon_command("tamarack-entry"), f"--settings={path}"])
        vm = Vm(name, process, wire, admin, http=listen)
        self.entries.append(vm)
        if register:
            self._register(name, "entry", zone, wire)
        return vm

    def wait_ready(self):
        """Waits until /readyz of every entry and side returns 200."""
        for vm in self.entries + self.sides:
            self.wait_vm_ready(vm)

    def wait_vm_ready(self, vm):
        def ready():
            if vm.process.child.poll() is not None:
                raise RuntimeError(f"{vm.name} ended with exit code "
                                   f"{vm.process.child.returncode}:\n{vm.process.log()}")
            return http_call(vm.admin, "GET", "/readyz")[0] == 200
        wait_until(ready, f"{vm.name} ready")

    def ctl(self, *arguments, check=True):
        """Runs tamarackctl and returns the finished process.

        Raises RuntimeError on a non-zero exit code, unless `check` is false.
        """
        command = [str(self.bin / "tamarackctl"), f"--platform={self.platform}",
                   f"--fleet_secret_file={self.secret}", *arguments]
        done = subprocess.run(command, capture_output=True, text=True, timeout=120)
        if check and done.returncode != 0:
            raise RuntimeError(f"{' '.join(arguments)}: {done.returncode}\n{done.stdout}"
                               f"{done.stderr}")
        return done

    def publish(self, manifest_path):
        return self.ctl("publish", str(manifest_path))

    def issue_key(self, customer):
        """Issues a new key for the customer and returns it."""
        done = self.ctl("--output=json", "key", "issue", customer)
        return json.loads(done.stdout)["key"]

    def fault(self, address, **switches):
        status, _, text = http_call(address, "POST", "/fault", json.dumps(switches))
        assert status == 200, text

    def executions(self, side):
        """Returns the executions that the side's upstream reports."""
        return json.loads(http_call(side.upstream, "GET", "/executions")[2])

    def stop(self):
        """Ends every process that this fleet started."""
        for process in reversed(self.processes):
            if process.child.poll() is None:
                process.child.send_signal(signal.SIGCONT)
                process.child.kill()
        for process in self.processes:
            process.child.wait()
