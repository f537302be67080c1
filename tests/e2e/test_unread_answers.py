"""End-to-end tests of answers that nobody reads, apart from the other clients outside the limits."""

from batch_calls import BatchCalls
from support import main
import test_clients_outside_limits


class UnreadAnswerTest(BatchCalls, test_clients_outside_limits.OutsideLimitsTestCase):
    """Answers that nobody reads."""

    def test_pipelined_requests(self):
        def pieces(_):
            for _ in range(2000):
                yield test_clients_outside_limits.head("/none/x", Content_Length=0) + b"\r\n"
        self.open_crowd(100, pieces)
        self.check_process()

    def test_results_of_a_job(self):
        self.engine[0].events = 60
        self.assertEqual(self.submit("j", items=30), 202)
        self.finished("j", 30)
        request = test_clients_outside_limits.head()[len("POST /stream/x HTTP/1.1\r\n"):]

        def pieces(_):
            for _ in range(500):
                yield b"GET /tamarackglade/lots/j?after=0 HTTP/1.1\r\n" + request + b"\r\n"
        self.open_crowd(100, pieces)
        self.check_process()


if __name__ == "__main__":
    main()
