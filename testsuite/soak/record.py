"""Observations of callers and backend servers, and rules checked on them."""

import collections
import threading

# Statuses by which a node states that the request has not run and never will.
NOT_RUN_STATUSES = {408, 421, 429, 503}
DRAIN_SECONDS = 2.0
# Allows for scheduling delays of the harness, whose threads share one
# interpreter on a busy machine. A call that reaches a server later than both
# times together is a fault of the node: it holds no call that long after it has
# acknowledged that the server drains.
DRAIN_SLACK_SECONDS = 3.0


class SentRequest:
    """One request of a caller, identified by its attempt id."""

    def __init__(self, attempt, service, non_idempotent, node):
        self.attempt, self.service = attempt, service
        self.non_idempotent, self.node = non_idempotent, node
        self.status = None  # None if there was no answer
        self.error = ""  # why and when there was no answer
        self.cancelled = False


class Record:
    def __init__(self):
        self._lock = threading.Lock()
        self.requests = {}
        self.arrivals = collections.defaultdict(list)  # services by attempt id
        self.cancelled_at_server = set()  # attempt ids
        self.ran_to_end = set()  # attempt ids of slow requests
        self.faults = []
        self.violations = []

    def add_violation(self, rule, text):
        with self._lock:
            self.violations.append(f"{rule}: {text}")

    def add_request(self, request):
        with self._lock:
            self.requests[request.attempt] = request

    def add_arrival(self, attempt, service, server, since_draining):
        with self._lock:
            self.arrivals[attempt].append(service)
        if since_draining is None:
            return
        if since_draining > DRAIN_SECONDS + DRAIN_SLACK_SECONDS:
            self.add_violation("drain", f"{attempt} reached {server} "
                               f"{since_draining:.2f} s after its draining "
                               "was acknowledged")

    def check_answer(self, request, answer, path):
        """Checks the answer to one request when it arrives."""
        request.status = answer.status
        if answer.status == 404:
            self.add_violation("routes", f"{request.attempt} for {path} got "
                               f"404 from {request.node}")
        if answer.status != 200:
            return
        expected_body = f"{request.service}:{path}"
        if answer.body != expected_body or \
                not answer.headers.get("Response-Sig"):
            self.add_violation("own answers", f"{request.attempt} for {path} "
                               f"got {answer.body[:80]!r}")
        if answer.headers.get("Attempt-Id") != request.attempt:
            self.add_violation("own answers", f"{request.attempt} got the "
                               f"answer of {answer.headers.get('Attempt-Id')}")

    def check_totals(self, seconds, ratio, slack, window, planned_only):
        """Checks all observations once nothing is in flight any more."""
        for attempt, request in self.requests.items():
            runs = len(self.arrivals.get(attempt, ()))
            if request.non_idempotent and runs > 1:
                self.add_violation("at most once",
                                   f"{attempt} ran {runs} times")
            if request.non_idempotent and \
                    request.status in NOT_RUN_STATUSES and runs > 0:
                self.add_violation("promise", f"{attempt} was answered "
                                   f"{request.status} and ran")
            lost = request.status is None and not request.cancelled and runs > 0
            if planned_only and lost:
                self.add_violation(
                    "answers", f"{attempt} ran and {request.node} gave no "
                    f"answer during planned work: {request.error}")
        self._check_retries(seconds, ratio, slack, window)
        self._check_cancels()

    def _check_retries(self, seconds, ratio, slack, window):
        request_counts = collections.Counter()
        repeat_counts = collections.Counter()
        for request in self.requests.values():
            request_counts[request.service] += 1
        for services in self.arrivals.values():
            repeat_counts[services[0]] += len(services) - 1
        for service, repeats in repeat_counts.items():
            bound = ratio * request_counts[service] + slack * (
                1 + seconds / window)
            if repeats > bound:
                self.add_violation("retries", f"{repeats} repeats at "
                                   f"{service}, {bound:.0f} allowed")

    def _check_cancels(self):
        cancelled = {request.attempt for request in self.requests.values()
                     if request.cancelled}
        stopped = len(cancelled & self.cancelled_at_server)
        ran_to_end = len(cancelled & self.ran_to_end)
        if ran_to_end > 2 and ran_to_end > stopped:
            self.add_violation(
                "cancel", f"{ran_to_end} requests ran to the end after their "
                f"callers had left, {stopped} were cancelled")
