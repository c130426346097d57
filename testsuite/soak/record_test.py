"""The soak's checks find what they are for: each violation is made up here."""

import unittest

import record as records


class Answer:
    def __init__(self, status, body="", attempt=""):
        self.status, self.body = status, body
        self.headers = {"Attempt-Id": attempt, "Response-Sig": "s"}


class RecordTest(unittest.TestCase):
    def setUp(self):
        self.record = records.Record()

    def sent(self, attempt, unsafe=True):
        sent = records.Sent(attempt, "pay", unsafe, "a/1")
        self.record.add_sent(sent)
        return sent

    def arrive(self, attempt, times=1, since_leave=None):
        for _ in range(times):
            self.record.add_arrival(attempt, "pay", "p1", since_leave)

    def rules(self, planned_only=False):
        self.record.check_end(10, 0.2, 10, 10.0, planned_only)
        return [text.split(":")[0] for text in self.record.violations]

    def test_nothing_wrong(self):
        sent = self.sent("x")
        self.arrive("x")
        self.record.check_answer(sent, Answer(200, "pay:/pay/x", "x"), "/pay/x")
        self.assertEqual(self.rules(planned_only=True), [])

    def test_a_second_run(self):
        self.sent("x")
        self.arrive("x", times=2)
        self.assertIn("at most once", self.rules())

    def test_a_refusal_that_ran(self):
        sent = self.sent("x")
        self.arrive("x")
        self.record.check_answer(sent, Answer(503), "/pay/x")
        self.assertIn("promise", self.rules())

    def test_an_answer_of_another(self):
        sent = self.sent("x")
        self.record.check_answer(sent, Answer(200, "pay:/pay/y", "y"), "/pay/x")
        self.assertIn("own answers", self.rules())

    def test_an_answer_cut_short(self):
        sent = self.sent("x")
        self.record.check_answer(sent, Answer(200, "pay:/pa", "x"), "/pay/x")
        self.assertIn("own answers", self.rules())

    def test_a_route_denied(self):
        sent = self.sent("x")
        self.record.check_answer(sent, Answer(404), "/pay/x")
        self.assertIn("routes", self.rules())

    def test_a_lost_answer_in_planned_work(self):
        self.sent("x")
        self.arrive("x")
        self.assertIn("answers", self.rules(planned_only=True))

    def test_a_lost_answer_in_a_crash_is_no_fault(self):
        self.sent("x")
        self.arrive("x")
        self.assertEqual(self.rules(), [])

    def test_a_call_after_the_leave(self):
        self.sent("x")
        self.arrive("x", since_leave=9.0)
        self.assertIn("drain", self.rules())

    def test_too_many_repeats(self):
        for number in range(50):
            self.sent(f"x{number}", unsafe=False)
            self.arrive(f"x{number}", times=2)
        self.assertIn("retries", self.rules())

    def test_work_for_callers_that_left(self):
        for number in range(5):
            self.sent(f"x{number}", unsafe=False).cancelled = True
            self.record.ran_out.add(f"x{number}")
        self.assertIn("cancel", self.rules())


if __name__ == "__main__":
    unittest.main()
