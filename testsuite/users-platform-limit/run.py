"""A backend server names a rate limit in its answers.

From half a second after its first such answer it may get one and a half times
the limit and five requests in any four seconds, from all nodes together. While
another server of the service has room, no request fails. When both servers have
a limit, the rest is refused with Retry-After and "not run".
"""

import sys
import time

import fleet
import users_platform as platform

HOST = "shop.example"
LIMIT = 20
WINDOW_SECONDS = 4
SETTLE_SECONDS = 0.5


def check_limit(server, named_at):
    allowed = 1.5 * LIMIT * WINDOW_SECONDS + 5
    settled_at = named_at + SETTLE_SECONDS
    got = platform.most_in_a_window(
        [at for at, _ in server.arrivals if at >= settled_at], WINDOW_SECONDS)
    fleet.check(got <= allowed,
                f"{server.name} got {got} requests in {WINDOW_SECONDS} s,"
                f" allowed {allowed}")
    fleet.check(got > 0, f"{server.name} is still used")


def all_served(requests):
    return (len(requests) == 20 * LIMIT and
            all(sent.answer.status == 200 for sent in requests))


def run_limited(nodes, limited, seconds):
    """Sends requests while the servers in `limited` name their limit."""
    for server in limited:
        server.limit = LIMIT
    named_at = time.monotonic()
    load = platform.Load(nodes, HOST, "/front/x")
    time.sleep(seconds)
    load.stop()
    for server in limited:
        check_limit(server, named_at)
    return [sent.answer for sent in load.requests]


def case(run):
    _, nodes, (limited, other) = platform.start_service(run, "abcd", HOST)

    answers = run_limited(nodes, [limited], SETTLE_SECONDS + 1.5 * WINDOW_SECONDS)
    failed = [answer.status for answer in answers if answer.status != 200]
    fleet.check(not failed, f"the other server has room: {failed[:5]}")

    answers = run_limited(nodes, [limited, other],
                          SETTLE_SECONDS + 1.5 * WINDOW_SECONDS)
    refused = [answer for answer in answers if answer.status != 200]
    fleet.check(refused, "requests above both limits are refused")
    fleet.check(all(answer.status == 503 for answer in refused),
                "they are refused as not run")
    fleet.check(all("Retry-After" in answer.headers for answer in refused),
                "the refusals have Retry-After")

    # The servers name no limit any more.
    limited.limit = other.limit = None
    before = len(other.runs)
    load = platform.Load(nodes, HOST, "/front/x")
    fleet.wait_until(lambda: all_served(load.requests[-20 * LIMIT:]),
                     "requests above the former limits are served")
    # The other server gets calls for certain once the first one leaves.
    limited.leaving = True
    fleet.wait_until(lambda: len(other.runs) - before > 20 * LIMIT,
                     "the limit ends with the answers that name it")
    load.stop()


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
