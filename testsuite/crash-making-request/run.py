"""A request crashes each server that runs it, and its caller resends it.

The first crash makes the requests in flight at that server suspects, the
second identifies the one that causes it. From then on every node refuses it as
quarantined, so at most two of the five servers crash, however often it is
resent, and other requests are still served.
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
    ports = [node.caller_port for node in nodes]
    load = calls.LoadRun(lambda: ports,
                         [calls.Load("catalogue", "browse", "GET", 100)],
                         workers=32)
    fleet.wait_until(lambda: load.count() >= 100, "load is running")
    outcomes = []
    for number in range(SENDS):
        answer = calls.call_service(
            nodes[number % len(nodes)], "catalogue", path="/bad", token="bad",
            deadline_ms=3000)
        outcomes.append((answer.status, answer.verdict, answer.reason))
    answers = load.stop()["browse"]
    crashed = [server.name for server in servers if not server.running]
    served = sum(answer.status == 200 for _, answer in answers)
    print(f"answers to the crashing request: {outcomes}")
    print(f"crashed: {crashed}; browse served: {served} of {len(answers)}")
    fleet.check(1 <= len(crashed) <= MAX_CRASHES,
                f"servers crashed: {crashed}")
    fleet.check(outcomes[-1][2] == "quarantined",
                "the last resend is refused as quarantined")
    fleet.check(served >= 0.97 * len(answers),
                "at least 97 % of browse requests are served")


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
