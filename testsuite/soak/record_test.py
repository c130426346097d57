"""Tests that each check of the soak detects its violation."""

import unittest

import record as records


class Answer:
    def __init__(self, status, body="", attempt=""):
        self.status, self.body = status, body
        self.headers = {"Attempt-Id": attempt, "Response-Sig": "s"}


class RecordTest(unittest.TestCase):
    def setUp(self):
        self.record = records.Record()

    def new_request(self, attempt, non_idempotent=True):
        request = records.SentRequest(attempt, "pay", non_idempotent, "a/1")
        self.record.add_request(request)
        return request

    def add_arrivals(self, attempt, times=1, since_draining=None):
        for _ in range(times):
            self.record.add_arrival(attempt, "pay", "p1", since_draining)

    def violated_rules(self, planned_only=False):
        self.record.check_totals(10, 0.2, 10, 10.0, planned_only)
        return [text.split(":")[0] for text in self.record.violations]

    def test_no_violation(self):
        request = self.new_request("x")
        self.add_arrivals("x")
        self.record.check_answer(request, Answer(200, "pay:/pay/x", "x"),
                                 "/pay/x")
        self.assertEqual(self.violated_rules(planned_only=True), [])

    def test_second_run_of_non_idempotent_request(self):
        self.new_request("x")
        self.add_arrivals("x", times=2)
        self.assertIn("at most once", self.violated_rules())

    def test_refused_request_that_ran(self):
        request = self.new_request("x")
        self.add_arrivals("x")
        self.record.check_answer(request, Answer(503), "/pay/x")
        self.assertIn("promise", self.violated_rules())

    def test_answer_of_another_request(self):
        request = self.new_request("x")
        self.record.check_answer(request, Answer(200, "pay:/pay/y", "y"),
                                 "/pay/x")
        self.assertIn("own answers", self.violated_rules())

    def test_truncated_answer(self):
        request = self.new_request("x")
        self.record.check_answer(request, Answer(200, "pay:/pa", "x"), "/pay/x")
        self.assertIn("own answers", self.violated_rules())

    def test_route_not_found(self):
        request = self.new_request("x")
        self.record.check_answer(request, Answer(404), "/pay/x")
        self.assertIn("routes", self.violated_rules())

    def test_lost_answer_in_planned_work(self):
        self.new_request("x")
        self.add_arrivals("x")
        self.assertIn("answers", self.violated_rules(planned_only=True))

    def test_lost_answer_in_crash_is_allowed(self):
        self.new_request("x")
        self.add_arrivals("x")
        self.assertEqual(self.violated_rules(), [])

    def test_call_after_acknowledged_draining(self):
        self.new_request("x")
        self.add_arrivals("x", since_draining=9.0)
        self.assertIn("drain", self.violated_rules())

    def test_too_many_repeats(self):
        for number in range(50):
            self.new_request(f"x{number}", non_idempotent=False)
            self.add_arrivals(f"x{number}", times=2)
        self.assertIn("retries", self.violated_rules())

    def test_work_for_cancelled_requests(self):
        for number in range(5):
            self.new_request(f"x{number}",
                             non_idempotent=False).cancelled = True
            self.record.ran_to_end.add(f"x{number}")
        self.assertIn("cancel", self.violated_rules())


if __name__ == "__main__":
    unittest.main()
