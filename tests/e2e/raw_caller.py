"""A caller that keeps the bytes of its answers, and judges them as a strict client would."""

import contextlib
import dataclasses
import socket

END_OF_HEAD = b"\r\n\r\n"


@dataclasses.dataclass
class Received:
    """All that came on a connection up to its end."""

    raw: bytes
    was_reset: bool

    def whole(self):
        """Returns (status, headers, body) if a client could take the bytes for a whole answer."""
        head, mark, rest = self.raw.partition(END_OF_HEAD)
        if not mark:
            return None
        lines = head.split(b"\r\n")
        version, status, *_ = lines[0].split(b" ")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(b":")
            headers[name.decode("latin1").lower()] = value.strip().decode("latin1")
        body = self.body_of(headers, rest)
        if version not in (b"HTTP/1.0", b"HTTP/1.1") or body is None:
            return None
        return int(status), headers, body

    def body_of(self, headers, rest):
        if "content-length" in headers:
            return rest if len(rest) == int(headers["content-length"]) else None
        if headers.get("transfer-encoding") == "chunked":
            return unchunked(rest)
        return None if self.was_reset else rest


def unchunked(rest):
    """Returns the content of all chunks; None if the last one is missing."""
    body = b""
    while True:
        size, mark, rest = rest.partition(b"\r\n")
        if not mark:
            return None
        length = int(size, 16)
        if length == 0:
            return body if rest == b"\r\n" else None
        if rest[length:length + 2] != b"\r\n":
            return None
        body += rest[:length]
        rest = rest[length + 2:]


def exchange(address, path, headers, body=b"", timeout_s=20):
    """Sends a request on a connection of its own; returns what came until the connection's end."""
    lines = ["POST %s HTTP/1.1" % path, *("%s: %s" % field for field in headers.items()),
             "Content-Length: %d" % len(body), "Connection: close", "", ""]
    host, port = address.split(":")
    raw = b""
    with socket.create_connection((host, int(port)), timeout_s) as connection:
        with contextlib.suppress(BrokenPipeError, ConnectionResetError):
            connection.sendall("\r\n".join(lines).encode() + body)
        while True:
            try:
                part = connection.recv(65536)
            except ConnectionResetError:
                return Received(raw, True)
            if not part:
                return Received(raw, False)
            raw += part
