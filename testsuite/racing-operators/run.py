"""Two operators concurrently change the same setting through different nodes.

Both send the version that they have read as the expected version. One change is
accepted, the other gets a conflict with the version in force. The accepted
value reaches every node within seconds, and no node ever returns to an older
version, however often this is repeated.
"""

import sys
import threading

import fleet

ROUNDS = 8
PROPAGATION_SECONDS = 5.0
PATH = "default/catalogue/browse"


class VersionMonitor:
    """Polls the settings versions of all nodes and records any decrease."""

    def __init__(self, nodes):
        self.regressions = []
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._poll, args=(node,), daemon=True)
            for node in nodes
        ]
        for thread in self._threads:
            thread.start()

    def _poll(self, node):
        highest = 0
        while not self._stopped.wait(0.01):
            version = node.settings_version()
            if version < highest:
                self.regressions.append((node.name, highest, version))
            highest = max(highest, version)

    def stop(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join()


def change_setting(node, version, value, answers):
    body = {
        "author": value,
        "expected_version": version,
        "changes": [{"path": PATH, "name": "deadline_ms", "value": value}],
    }
    answers.append((value, node.operator("/settings", "POST", body, 30.0)))


def current_value(node):
    settings = node.operator(f"/settings?path={PATH}").json()["settings"]
    return next(s["value"] for s in settings if s["name"] == "deadline_ms")


def race(nodes, number):
    version = max(node.settings_version() for node in nodes)
    answers = []
    threads = [
        threading.Thread(target=change_setting,
                         args=(node, version, str(1000 + 10 * number + index),
                               answers))
        for index, node in enumerate(nodes[:2])
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    winners = [value for value, answer in answers if answer.status == 200]
    losers = [answer for _, answer in answers if answer.status == 409]
    outcomes = [(value, a.status, a.body) for value, a in answers]
    fleet.check(len(winners) == 1 and len(losers) == 1,
                f"one accepted, one conflict: {outcomes}")
    for node in nodes:
        fleet.wait_until(lambda: current_value(node) == winners[0],
                         f"{node.name} has the value {winners[0]}",
                         PROPAGATION_SECONDS)


def case(run):
    run.start_platform()
    nodes = [
        run.start_node("a1", "bilbao-a"),
        run.start_node("d1", "donostia"),
        run.start_node("a2", "bilbao-a"),
    ]
    run.wait_ready([])
    monitor = VersionMonitor(nodes)
    for number in range(ROUNDS):
        race(nodes, number)
    monitor.stop()
    fleet.check(not monitor.regressions,
                f"versions never decrease: {monitor.regressions}")


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
