"""Two real nodes record what happens to them; both logs are replayed.

The callers see ordinary answers: reads, a keyed renewal and its resend, an
unknown service. Afterwards `amaranthctl replay` drives a fresh reducer with
each log, and every event must have the effects it had in the live node: what
the product decided can be studied without a network.
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
        fleet.check(replay(log) > 50, f"{log.name} has events")


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
