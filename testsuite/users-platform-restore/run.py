"""The store of the users' platform loses answers, and comes back from a copy.

Lost answers leave watches open that will never be answered. After a restore,
versions go back and are given out again, and what the nodes wrote since the
copy is gone. The newest configuration must stay in force on every node, also on
one that starts while the store has an older one, and nodes must be able to find
each other through the store again.
"""

import sys

import fleet
import users_platform as platform

HOST = "shop.example"
NODE_TABLE = "amaranth-nodes"


def routes(count):
    return {f"r{i}": platform.route(HOST, f"/r{i}/", "front")
            for i in range(count)}


def wait_for_route(nodes, number):
    for node in nodes:
        platform.wait_served(node, HOST, f"/r{number}/x")


def case(run):
    store = platform.RowStore()
    empty = store.copy()
    store.put_config(1, routes(1))
    nodes = [platform.start_node(run, name, store, "front") for name in "abc"]
    platform.wait_ready(nodes)
    platform.Worker(nodes[0], "front", "f1")
    wait_for_route(nodes, 0)
    names = {node.name for node in nodes}
    fleet.wait_until(lambda: store.keys(NODE_TABLE) == names,
                     "every node has written its row")

    # The answers of the open watches are lost.
    store.lose_open_watches()
    store.put_config(2, routes(2))
    wait_for_route(nodes, 1)

    # The store comes back without the newest configuration. A node that starts
    # now reads the older one from the store, and the newer one from its peers.
    copy = store.copy()
    store.put_config(3, routes(3))
    wait_for_route(nodes, 2)
    store.restore(copy)
    nodes.append(platform.start_node(run, "d", store, "other"))
    platform.wait_ready(nodes)
    for node in nodes:
        answer = platform.request(node.ports["caller"], "GET", "/r2/y",
                                  host=HOST, attempt="newest")
        fleet.check(answer.status != 404, f"{node.name} has the newest routes")

    # The store counts past the position that the nodes know, before and after
    # the operator writes.
    for i in range(5):
        store.put("other", f"row{i}", "")
    store.put_config(3, routes(3))
    store.put_config(4, routes(4))
    wait_for_route(nodes, 3)

    # The copy is from before the nodes wrote their rows.
    store.restore(empty)
    store.put_config(4, routes(4))
    names = {node.name for node in nodes}
    fleet.wait_until(lambda: store.keys(NODE_TABLE) == names,
                     "every node has written its row again", timeout=60)


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
