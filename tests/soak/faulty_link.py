"""A loopback proxy for one TCP address with faults that can be switched on and off."""

import select
import socket
import struct
import threading
import time

CHUNK_BYTES = 16384
POLL_S = 0.02  # interval at which a pump checks for a changed mode
CONNECT_TIMEOUT_S = 2.0

# Modes of a link.
PASS = "pass"
DELAY = "delay"  # each chunk is delayed by delay_s
SILENT = "silent"  # bytes of both directions are held back until the mode changes
NO_ANSWERS = "no answers"  # requests pass, answers are held back
NO_REQUESTS = "no requests"  # answers pass, requests are held back
RESET = "reset"  # open connections are reset, new ones as soon as they are accepted


def reset(connection):
    """Closes a connection with a TCP reset."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
    except OSError:
        pass


class FaultyLink:
    """Forwards connections to a target address. `mode` may change at any time."""

    def __init__(self, target):
        self.target = target
        self.mode = PASS
        self.delay_s = 0.1
        self.silent_until = 0.0  # until then bytes are held back in any mode
        self.connections = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def stop(self):
        self.listener.close()
        self.reset_all()

    def set_mode(self, mode):
        self.mode = mode
        if mode == RESET:
            self.reset_all()

    def fall_silent(self, seconds):
        """Holds the bytes of both directions back for some time, as a sound server may do."""
        self.silent_until = max(self.silent_until, time.monotonic() + seconds)

    def holds_back(self, held_by):
        return self.mode in (SILENT, held_by) or time.monotonic() < self.silent_until

    def reset_all(self):
        """Resets the open connections; new ones are served as before."""
        with self.lock:
            open_now, self.connections = self.connections, set()
        for connection in open_now:
            reset(connection)

    def accept(self):
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            if self.mode == RESET:
                reset(caller)
                continue
            threading.Thread(target=self.serve, args=[caller], daemon=True).start()

    def serve(self, caller):
        host, port = self.target.split(":")
        try:
            target = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
        except OSError:
            reset(caller)
            return
        for each in (caller, target):
            each.settimeout(None)
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self.lock:
            self.connections |= {caller, target}
        pumps = [threading.Thread(target=self.pump, args=args, daemon=True)
                 for args in ((caller, target, NO_REQUESTS), (target, caller, NO_ANSWERS))]
        for pump in pumps:
            pump.start()
        for pump in pumps:
            pump.join()
        for each in (caller, target):
            with self.lock:
                self.connections.discard(each)
            each.close()

    def pump(self, source, sink, held_by):
        """Forwards bytes in one direction until either side closes."""
        try:
            while True:
                if self.holds_back(held_by):
                    time.sleep(POLL_S)
                    continue
                if not select.select([source], [], [], POLL_S)[0]:
                    continue
                data = source.recv(CHUNK_BYTES)
                if self.mode == DELAY:
                    time.sleep(self.delay_s)
                while self.holds_back(held_by):
                    time.sleep(POLL_S)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except (OSError, ValueError):
            reset(source)
            reset(sink)
