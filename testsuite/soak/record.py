"""What callers and backend servers saw, and the promises checked on it."""

import collections
import threading

# "Has not run and never will."
PROMISES = {408, 421, 429, 503}
DRAIN_SECONDS = 2.0
# For a harness whose threads share one interpreter with a busy machine. A call
# that reaches a server later than this after its leave is no matter of timing:
# nothing in a node waits that long once it has acknowledged.
DRAIN_SLACK_SECONDS = 3.0


class Sent:
    """One attempt of a caller."""

    def __init__(self, attempt, service, unsafe, node):
        self.attempt, self.service = attempt, service
        self.unsafe, self.node = unsafe, node
        self.status = None  # None: no answer
        self.error = ""  # in its place, and when
        self.cancelled = False


class Record:
    def __init__(self):
        self._lock = threading.Lock()
        self.sent = {}
        self.arrivals = collections.defaultdict(list)  # attempt: services
        self.closed_early = set()  # attempts whose server saw the caller leave
        self.ran_out = set()
        self.faults = []
        self.violations = []

    def violate(self, rule, text):
        with self._lock:
            self.violations.append(f"{rule}: {text}")

    def add_sent(self, sent):
        with self._lock:
            self.sent[sent.attempt] = sent

    def add_arrival(self, attempt, service, server, since_leave):
        with self._lock:
            self.arrivals[attempt].append(service)
        if since_leave is None:
            return
        if since_leave > DRAIN_SECONDS + DRAIN_SLACK_SECONDS:
            self.violate("drain", f"{attempt} reached {server} "
                         f"{since_leave:.2f} s after its leave was heard")

    def check_answer(self, sent, answer, path):
        """Of one caller's answer, as it comes."""
        sent.status = answer.status
        if answer.status == 404:
            self.violate("routes", f"{sent.attempt} for {path} got 404 "
                         f"from {sent.node}")
        if answer.status != 200:
            return
        whole = f"{sent.service}:{path}"
        if answer.body != whole or not answer.headers.get("Response-Sig"):
            self.violate("own answers", f"{sent.attempt} for {path} got "
                         f"{answer.body[:80]!r}")
        if answer.headers.get("Attempt-Id") != sent.attempt:
            self.violate("own answers", f"{sent.attempt} got the answer of "
                         f"{answer.headers.get('Attempt-Id')}")

    def check_end(self, seconds, ratio, slack, window, planned_only):
        """Of all that was seen, when nothing moves any more."""
        for attempt, sent in self.sent.items():
            runs = len(self.arrivals.get(attempt, ()))
            if sent.unsafe and runs > 1:
                self.violate("at most once", f"{attempt} ran {runs} times")
            if sent.unsafe and sent.status in PROMISES and runs > 0:
                self.violate("promise", f"{attempt} was answered "
                             f"{sent.status} and ran")
            lost = sent.status is None and not sent.cancelled and runs > 0
            if planned_only and lost:
                self.violate("answers", f"{attempt} ran and {sent.node} gave "
                             f"no answer during planned work: {sent.error}")
        self._check_retries(seconds, ratio, slack, window)
        self._check_cancels()

    def _check_retries(self, seconds, ratio, slack, window):
        asked = collections.Counter()
        again = collections.Counter()
        for sent in self.sent.values():
            asked[sent.service] += 1
        for services in self.arrivals.values():
            again[services[0]] += len(services) - 1
        for service, repeats in again.items():
            bound = ratio * asked[service] + slack * (1 + seconds / window)
            if repeats > bound:
                self.violate("retries", f"{repeats} repeats at {service}, "
                             f"{bound:.0f} allowed")

    def _check_cancels(self):
        cancelled = {sent.attempt for sent in self.sent.values()
                     if sent.cancelled}
        left = len(cancelled & self.closed_early)
        ran_out = len(cancelled & self.ran_out)
        if ran_out > 2 and ran_out > left:
            self.violate("cancel", f"{ran_out} requests ran to their end after "
                         f"their callers had left, {left} were ended")
