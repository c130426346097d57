"""A backend server says in its answers that it leaves, and announces itself as
ready meanwhile.

A request that is sent through a node later than the drain time after the node
passed on such an answer must not reach the server, also when the node beside the
server restarts in between and does not know of it any more. A new process with
the same id is used again.
"""

import sys
import time

import fleet
import users_platform as platform

HOST = "shop.example"
DRAIN_SECONDS = 2


def told_at(requests):
    """Returns when each node had passed on its first answer of a server that
    leaves."""
    told = {}
    for sent in requests:
        if sent.answer.headers.get("Server-Leaving") == "1":
            told[sent.node] = min(sent.answered_at,
                                  told.get(sent.node, sent.answered_at))
    return told


def check_drained(leaving, load, told):
    arrived = {attempt for _, attempt in leaving.arrivals}
    late = [sent.attempt for sent in load.requests
            if sent.node in told and sent.attempt in arrived
            and sent.sent_at > told[sent.node] + DRAIN_SECONDS]
    fleet.check(not late, f"{len(late)} requests reach the leaving server late")


def run_load(nodes, seconds):
    load = platform.Load(nodes, HOST, "/front/x")
    time.sleep(seconds)
    load.stop()
    return load


def case(run):
    store, nodes, (leaving, _) = platform.start_service(run, "abc", HOST)

    leaving.leaving = True
    load = run_load(nodes, DRAIN_SECONDS + 2)
    told = told_at(load.requests)
    fleet.check(told, "some node has passed on an answer")
    check_drained(leaving, load, told)
    failed = [sent.answer.status for sent in load.requests
              if sent.answer.status != 200]
    fleet.check(not failed, f"the other server has room: {failed[:5]}")

    # The node beside the server restarts. It learns of the server from its
    # heartbeats, which still say that it is ready.
    nodes[0].kill()
    nodes[0] = platform.start_node(run, "a", store, "front")
    platform.wait_ready(nodes)
    leaving.move(nodes[0])
    load = run_load(nodes[1:], 3)
    check_drained(leaving, load, told)

    leaving.restart()
    runs = len(leaving.runs)
    load = platform.Load(nodes[1:], HOST, "/front/x")
    fleet.wait_until(lambda: len(leaving.runs) > runs,
                     "the new process is used")
    load.stop()


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
