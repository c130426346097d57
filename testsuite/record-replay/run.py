"""Two nodes record their events, and both logs are replayed.

The requests are reads, a renewal with an idempotency key and its resend, and
one for an unknown service; recording must not alter their answers. Afterwards
`amaranthctl replay` feeds each log to a new reducer, and every event must have
the same effects as in the node, so that the decisions of a node can be examined
without a network.
"""

import subprocess
import sys

import calls
import fleet


def replay(log):
    done = subprocess.run(
        [fleet.BUILD / "src/amaranthctl/amaranthctl", "replay", log],
        capture_output=True, text=True, timeout=60, check=False)
    print(done.stdout, done.stderr)
    fleet.check(done.returncode == 0, f"{log.name} replays to the same effects")
    return int(done.stdout.split()[0])


def case(run):
    run.start_platform()
    logs = {name: run.folder / f"{name}.events" for name in ["a1", "d1"]}
    nodes = [
        run.start_node("a1", "bilbao-a", ["--record", str(logs["a1"])]),
        run.start_node("d1", "donostia", ["--record", str(logs["d1"])]),
    ]
    servers = [
        run.start_backend("front-1", "front", nodes[0], calls="deep"),
        run.start_backend("deep-1", "deep", nodes[1]),
    ]
    run.wait_ready(servers)
    for number in range(20):
        answer = calls.call_service(nodes[number % 2], "front",
                                    token=f"token-{number}")
        fleet.check(answer.status == 200, f"read {number}: {answer}")
    for _ in range(2):
        answer = calls.call_service(nodes[1], "front", method="POST",
                                    body=b"{}", key="renewal-1")
        fleet.check(answer.status == 200, f"renewal: {answer}")
    fleet.check(calls.call_service(nodes[0], "nowhere").status == 404,
                "an unknown service is refused")
    for node in nodes:
        node.terminate()
    for node in nodes:
        node.wait_exit()
    for log in logs.values():
        fleet.check(replay(log) > 50, f"{log.name} has more than 50 events")


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
