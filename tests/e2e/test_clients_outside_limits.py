"""End-to-end tests of clients that stay outside the limits: no process ends or holds too much.

Each test opens a small crowd of connections to one process that has little memory and few
descriptors (ulimit), and checks that the process lives, that its memory and descriptors stay under
a bound, and that an ordinary request is answered. No test checks times or shares.
"""

import base64
import json
import os
import select
import socket
import stat
import unittest

from support import OPTIONS, http_call, main, wait_until
import test_gateway

MB = 1024 * 1024
MEMORY_BYTES = 96 * MB  # of the process: its data limit, and the bound of its resident memory
DESCRIPTORS = 300  # of the process
BODY_LIMIT = 1 * MB  # of the configuration
QUIET_S = 2.0  # a crowd has sent what it can if nothing is taken for so long


def head(path="/stream/x", key=test_gateway.KEY, **headers):
    """Returns the head of a request up to the line before its end."""
    lines = [f"POST {path} HTTP/1.1", f"Host: {test_gateway.HOST}", "Request-Id: crowd",
             "Deadline-Ms: 5000", f"Authorization: Bearer {key}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n").encode()


def chunk(data, extension=""):
    return f"{len(data):x}{extension}\r\n".encode() + data + b"\r\n"


class Crowd:
    """Connections that each send the pieces of their own generator and then stay open."""

    def __init__(self, address, size, pieces, reads=False):
        self.reads = reads
        host, port = address.split(":")
        self.pending = {}  # descriptor -> bytes that are not sent yet
        self.sources = {}
        self.sockets = {}
        for index in range(size):
            connection = socket.socket()
            connection.setblocking(False)
            connection.connect_ex((host, int(port)))
            self.sockets[connection.fileno()] = connection
            self.sources[connection.fileno()] = pieces(index)
            self.pending[connection.fileno()] = b""

    def send(self):
        """Sends until every generator has ended, or nothing was taken for a while."""
        poll = select.poll()
        for descriptor in self.sources:
            poll.register(descriptor, select.POLLOUT | (select.POLLIN if self.reads else 0))
        while self.sources:
            ready = poll.poll(QUIET_S * 1000)
            if not ready:
                return
            for descriptor, _ in ready:
                if not self.step(descriptor):
                    poll.unregister(descriptor)
                    del self.sources[descriptor]

    def step(self, descriptor):
        """Returns whether the connection has more to send."""
        connection = self.sockets[descriptor]
        try:
            if self.reads:
                try:
                    connection.recv(65536)
                except BlockingIOError:
                    pass
            if not self.pending[descriptor]:
                self.pending[descriptor] = next(self.sources[descriptor], None)
            if self.pending[descriptor] is None:
                return False
            sent = connection.send(self.pending[descriptor])
            self.pending[descriptor] = self.pending[descriptor][sent:]
            return True
        except BlockingIOError:
            return True
        except OSError:
            return False

    def close(self):
        for connection in self.sockets.values():
            connection.close()


class OutsideLimitsTestCase(test_gateway.SiteTestCase):
    """Base: a gateway with little memory and few descriptors."""

    engines = 1

    def add_gateway(self, name):
        program = self.work_dir / "limited-gateway"
        program.write_text(f"#!/bin/sh\nulimit -d {MEMORY_BYTES // 1024}\nulimit -n {DESCRIPTORS}\n"
                           f'exec "{OPTIONS.bin}/tamarack-gateway" "$@"\n')
        program.chmod(program.stat().st_mode | stat.S_IXUSR)
        limits = dict(test_gateway.config()["limits"], maxBodyBytes=BODY_LIMIT)
        self.store.put("keyed.op", "config", test_gateway.config(limits=limits))
        gateway = test_gateway.Gateway(name, self.store.address, self.work_dir, [str(program)],
                                       **self.settings)
        self.addCleanup(self.kill_if_running, gateway)
        gateway.wait_until_ready()
        return gateway

    def status_of(self, field):
        """Returns a figure of /proc/PID/status in bytes."""
        with open(f"/proc/{self.gateway[0].process.child.pid}/status") as status:
            lines = [line for line in status if line.startswith(field + ":")]
        self.assertTrue(lines, "the process has ended")
        return int(lines[0].split()[1]) * 1024

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.gateway[0].process.child.pid}/fd"))

    def open_crowd(self, size, pieces, address=None, reads=False):
        crowd = Crowd(address or self.gateway[0].address, size, pieces, reads)
        self.addCleanup(crowd.close)
        crowd.send()
        return crowd

    def check_process(self):
        """The crowd's connections are still open, as far as the process hasn't closed them."""
        self.assertIsNone(self.gateway[0].process.child.poll(), "the process has ended")
        self.assertLess(self.status_of("VmHWM"), MEMORY_BYTES, "it held too much memory")
        self.assertLess(self.descriptors(), DESCRIPTORS, "it has used all descriptors")
        wait_until(lambda: self.call()[0] == 200, "an ordinary request is answered")
        self.assertIsNone(self.gateway[0].process.child.poll(), "the process has ended")
        self.assertLess(self.status_of("VmHWM"), MEMORY_BYTES, "it held too much memory")


class TrailerTest(OutsideLimitsTestCase):
    """Trailers without end behind a chunked body."""

    def check_trailers(self, line):
        def pieces(_):
            yield head(Transfer_Encoding="chunked") + b"\r\n" + chunk(b"prompt") + b"0\r\n"
            for _ in range(4 * MB // len(line)):
                yield line
        self.open_crowd(40, pieces)
        self.check_process()

    def test_many_lines(self):
        self.check_trailers(b"X-Trailer: " + b"t" * 1000 + b"\r\n")

    def test_many_short_lines(self):
        self.check_trailers(b"a: b\r\n" * 200)

    def test_one_line(self):
        self.check_trailers(b"t" * 4096)


class UnfinishedBodyTest(OutsideLimitsTestCase):
    """Bodies inside the limit that stop short of their end and stay open."""

    def check_chunks(self, size, chunk_size, total):
        def pieces(_):
            yield head(Transfer_Encoding="chunked") + b"\r\n"
            block = chunk(b"b" * chunk_size)
            group = max(1, 16384 // len(block))
            for _ in range(total // (chunk_size * group)):
                yield block * group
        self.open_crowd(size, pieces)
        self.check_process()

    def test_large_chunks(self):
        self.check_chunks(size=150, chunk_size=65536, total=BODY_LIMIT - 65536)

    def test_chunks_of_one_byte(self):
        self.check_chunks(size=150, chunk_size=1, total=64 * 1024)

    def test_a_length(self):
        def pieces(_):
            yield head(Content_Length=BODY_LIMIT) + b"\r\n"
            for _ in range(BODY_LIMIT // 16384 - 1):
                yield b"b" * 16384
        self.open_crowd(150, pieces)
        self.check_process()

    def test_a_job_body(self):
        def pieces(_):
            yield head("/jobs/x", Content_Length=BODY_LIMIT) + b'\r\n{"items":["'
            for _ in range(BODY_LIMIT // 16384 - 1):
                yield b"b" * 16384
        self.open_crowd(150, pieces)
        self.check_process()

    def test_chunk_extensions_without_end(self):
        def pieces(_):
            yield head(Transfer_Encoding="chunked") + b"\r\n6;x="
            for _ in range(4 * MB // 4096):
                yield b"e" * 4096
        self.open_crowd(40, pieces)
        self.check_process()


class LargeBodyTest(OutsideLimitsTestCase):
    """Bodies far over the limit."""

    def check_announced(self, **headers):
        def pieces(_):
            yield head(Content_Length=8 * 1024 * MB, **headers) + b"\r\n"
            for _ in range(4 * MB // 16384):
                yield b"b" * 16384
        self.open_crowd(60, pieces)
        self.check_process()

    def test_announced(self):
        self.check_announced()

    def test_announced_with_expect(self):
        self.check_announced(Expect="100-continue")

    def test_just_sent(self):
        def pieces(_):
            yield head(Transfer_Encoding="chunked") + b"\r\n"
            for _ in range(4 * MB // 16384):
                yield chunk(b"b" * 16384)
        self.open_crowd(60, pieces)
        self.check_process()


class HeadTest(OutsideLimitsTestCase):
    """Heads without end, at each listener."""

    def check_heads(self, first, line):
        def pieces(_):
            yield first
            for _ in range(2 * MB // len(line)):
                yield line
        for address in (None, self.gateway[0].ready_address, self.gateway[0].admin_address):
            self.open_crowd(40, pieces, address)
            self.check_process()

    def test_many_headers(self):
        self.check_heads(b"POST /stream/x HTTP/1.1\r\n", b"X-Header: " + b"h" * 100 + b"\r\n")

    def test_one_line(self):
        self.check_heads(b"POST /stream/", b"p" * 4096)

    def test_one_byte_and_no_more(self):
        def pieces(_):
            yield b"P"
        self.open_crowd(100, pieces)
        self.check_process()


class ConnectionTest(OutsideLimitsTestCase):
    """More connections than the process has descriptors."""

    def test_idle_connections(self):
        def pieces(_):
            yield b""
        self.open_crowd(2 * DESCRIPTORS, pieces)
        self.check_process()

    def test_idle_connections_to_the_other_listeners(self):
        def pieces(_):
            yield b""
        for address in (self.gateway[0].ready_address, self.gateway[0].admin_address):
            self.open_crowd(2 * DESCRIPTORS, pieces, address)
        self.check_process()


class StoreAwayTest(OutsideLimitsTestCase):
    """Jobs at the body limit that wait for a silent store."""

    def test_jobs_while_the_store_is_away(self):
        content = base64.b64encode(b"c" * 9000).decode()
        items = [{"id": f"i{i}", "path": "/jobs/x/1", "headers": {}, "body": content, "tokens": 1}
                 for i in range(80)]
        body = json.dumps({"items": items}).encode()
        self.assertLess(len(body), BODY_LIMIT)
        self.store.set_down(True)

        def pieces(_):
            yield head("/jobs/x", Content_Length=len(body)) + b"\r\n"
            for start in range(0, len(body), 16384):
                yield body[start:start + 16384]
        crowd = self.open_crowd(100, pieces)
        self.store.set_down(False)
        self.check_process()
        crowd.close()


class InsideLimitsTest(OutsideLimitsTestCase):
    """A single request inside the limits is served in calm."""

    def test_the_largest_body(self):
        status, _, _, request = self.call(body="b" * BODY_LIMIT)
        self.assertEqual(status, 200)
        self.assertEqual(len(self.engine[0].runs_of(request)[0]["body"]), BODY_LIMIT)

    def test_the_largest_head(self):
        self.assertEqual(self.call(**{"X-Large": "h" * 15000})[0], 200)

    def test_a_body_with_trailers(self):
        body = head(Transfer_Encoding="chunked") + b"\r\n" + chunk(b"prompt", ";x=y")
        request = body + b"0\r\nX-Trailer: t\r\n\r\n"
        host, port = self.gateway[0].address.split(":")
        with socket.create_connection((host, int(port)), timeout=30) as connection:
            connection.sendall(request)
            self.assertIn(b" 200 ", connection.recv(65536))
        self.assertEqual(self.engine[0].runs[-1]["body"], b"prompt")
        self.assertNotIn("X-Trailer", self.engine[0].runs[-1]["headers"])

    def test_the_largest_job(self):
        content = base64.b64encode(b"c" * 5000).decode()
        items = [{"id": f"i{i}", "path": "/jobs/x/1", "headers": {}, "body": content, "tokens": 1}
                 for i in range(140)]
        body = json.dumps({"items": items})
        self.assertLess(len(body), BODY_LIMIT)
        status = http_call(self.gateway[0].address, "POST", "/jobs/x", body,
                           self.headers(**{"Request-Id": "large"}))[0]
        self.assertEqual(status, 202)


if __name__ == "__main__":
    main()
