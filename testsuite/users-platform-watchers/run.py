"""A configuration that is acknowledged as the nodes that watch the store fail.

Nine nodes of one data centre, five of which watch the store for the others.
These five are killed, stopped or get no more answers of the store at the moment
of a change. The others must have it in force. Prints the time that the slowest
of them took; the bound of 2 s is checked in virtual time, by SettingsInTime.
"""

import json
import sys
import time

import fleet
import users_platform as platform

HOST = "shop.example"
NODES = "abcdefghi"
WATCHERS = 5
OBSERVED_SECONDS = 6


def routes(version):
    return {"r": platform.route(HOST, f"/r{version}/", "front")}


def has_in_force(node, version):
    return any(json.loads(line)["text"].startswith(f"version {version} in force")
               for line in node.log().splitlines())


def watchers(store):
    store.watches.clear()
    time.sleep(OBSERVED_SECONDS)
    return [name for name, _ in store.watches.most_common(WATCHERS)]


def slowest(nodes, version, changed_at):
    """Waits until all nodes have the version; returns the slowest one's time in
    seconds."""
    waiting, last = list(nodes), 0.0
    while waiting:
        waiting = [node for node in waiting if not has_in_force(node, version)]
        last = time.monotonic() - changed_at
        fleet.check(last < 20, f"{[node.name for node in waiting]} have version {version}")
        time.sleep(0.01)
    return last


def fail_watchers(run, fault):
    store = platform.RowStore()
    store.put_config(1, routes(1))
    nodes = {}
    for name in NODES:
        seeds = ["--seeds", f"127.0.0.1:{nodes['a'].ports['gossip']}"] \
            if nodes else []
        nodes[name] = platform.start_node(
            run, f"{fault}-{name}", store, "front", seeds,
            store.address_for(name))
    platform.wait_ready(nodes.values())
    failing = watchers(store)
    if fault == "silent":
        store.silence(failing)
    store.put_config(2, routes(2))
    changed_at = time.monotonic()
    for name in failing:
        if fault == "kill":
            nodes[name].kill()
        elif fault == "stop":
            nodes[name].pause()
    others = [node for name, node in nodes.items() if name not in failing]
    print(f"{fault}: {slowest(others, 2, changed_at):.2f} s at the slowest of "
          f"{len(others)} nodes")
    for node in nodes.values():
        node.kill()


def case(run):
    for fault in ("kill", "stop", "silent"):
        fail_watchers(run, fault)


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
