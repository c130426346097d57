"""Two operators change the same setting at once, through different nodes.

Both name the version that they saw. One is told that the change is accepted,
the other that it lost, with the version in force. The winner's value is in
force everywhere within seconds, and no node ever goes back to an older
version, however often this is repeated.
"""

import sys
import threading

import fleet

ROUNDS = 8
IN_FORCE_SECONDS = 5.0
PATH = "default/catalogue/browse"


class VersionWatch:
    """Reads the versions of all nodes all the time; keeps any step back."""

    def __init__(self, nodes):
        self.steps_back = []
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._watch, args=(node,), daemon=True)
            for node in nodes
        ]
        for thread in self._threads:
            thread.start()

    def _watch(self, node):
        highest = 0
        while not self._stopped.wait(0.01):
            version = node.settings_version()
            if version < highest:
                self.steps_back.append((node.name, highest, version))
            highest = max(highest, version)

    def stop(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join()


def change(node, version, value, answers):
    body = {
        "author": value,
        "expected_version": version,
        "changes": [{"path": PATH, "name": "deadline_ms", "value": value}],
    }
    answers.append((value, node.operator("/settings", "POST", body, 30.0)))


def value_in_force(node):
    settings = node.operator(f"/settings?path={PATH}").json()["settings"]
    return next(s["value"] for s in settings if s["name"] == "deadline_ms")


def race(nodes, number):
    version = max(node.settings_version() for node in nodes)
    answers = []
    threads = [
        threading.Thread(target=change,
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
    told = [(value, a.status, a.body) for value, a in answers]
    fleet.check(len(winners) == 1 and len(losers) == 1, f"one winner: {told}")
    for node in nodes:
        fleet.wait_until(lambda: value_in_force(node) == winners[0],
                         f"{node.name} has {winners[0]}", IN_FORCE_SECONDS)


def case(run):
    run.start_platform()
    nodes = [
        run.start_node("a1", "bilbao-a"),
        run.start_node("d1", "donostia"),
        run.start_node("a2", "bilbao-a"),
    ]
    run.wait_ready([])
    watch = VersionWatch(nodes)
    for number in range(ROUNDS):
        race(nodes, number)
    watch.stop()
    fleet.check(not watch.steps_back, f"versions only rise: {watch.steps_back}")


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
