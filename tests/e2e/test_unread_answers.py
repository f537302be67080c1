"""End-to-end tests of answers that nobody reads, apart from the other clients outside the limits."""

from support import main
import test_clients_outside_limits
import test_gateway


class UnreadAnswerTest(test_clients_outside_limits.OutsideLimitsTestCase):
    """Answers that nobody reads."""

    submit = test_gateway.BatchTest.submit
    job = test_gateway.BatchTest.job
    results = test_gateway.BatchTest.results
    finished = test_gateway.BatchTest.finished

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
