"""End-to-end test of streams without end to callers that don't read, apart from the read ones."""

import contextlib
import time

from support import main
import test_endless_upstreams


class UnreadStreamTest(test_endless_upstreams.EndlessFleet):
    """Callers that take the head of a stream and read nothing of it."""

    def unread_stream(self, number):
        connection, _ = self.open_stream(self.fleet.entries[0], f"u {number}", timeout=10)
        with contextlib.closing(connection):
            time.sleep(test_endless_upstreams.CALL_S)

    def test_events(self):
        self.check_kind("events", self.unread_stream)


if __name__ == "__main__":
    main()
