"""One request crashes each server that runs it, and its caller sends it again.

The first crash makes the requests then in flight suspects, the second shows
which one it is. From then on it is refused as quarantined on every node, so
at most two of the five servers are lost, however often it is sent; other
callers keep being served.
"""

import sys

import calls
import fleet

SENDS = 30
MAX_CRASHES = 2


def case(run):
    run.start_platform()
    nodes = [
        run.start_node("a1", "bilbao-a"),
        run.start_node("a2", "bilbao-a"),
        run.start_node("d1", "donostia"),
    ]
    servers = [
        run.start_backend(f"catalogue-{number}", "catalogue",
                          nodes[number % len(nodes)], slots=20, service_ms=20)
        for number in range(5)
    ]
    run.wait_ready(servers)
    for server in servers:
        server.fault(crash_on_token="bad")
    ports = [node.callers for node in nodes]
    load = calls.LoadRun(lambda: ports,
                         [calls.Load("catalogue", "browse", "GET", 100)],
                         workers=32)
    fleet.wait_until(lambda: load.count() >= 100, "load flows")
    told = []
    for number in range(SENDS):
        answer = calls.call_service(
            nodes[number % len(nodes)], "catalogue", path="/bad", token="bad",
            deadline_ms=3000)
        told.append((answer.status, answer.verdict, answer.reason))
    answers = load.stop()["browse"]
    crashed = [server.name for server in servers if not server.running]
    whole = sum(answer.status == 200 for _, answer in answers)
    print(f"told: {told}")
    print(f"crashed: {crashed}; browse whole: {whole} of {len(answers)}")
    fleet.check(1 <= len(crashed) <= MAX_CRASHES,
                f"servers crashed: {crashed}")
    fleet.check(told[-1][2] == "quarantined", "the request is quarantined")
    fleet.check(whole >= 0.97 * len(answers), "other callers are served")


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
