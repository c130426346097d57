"""Customers with keys and quotas on the users' platform.

Only requests with a key in force run, at every node, and servers get the name
of its holder instead of the key. A key that was taken away is refused at all
nodes soon after. A customer's quota holds over all nodes together.
"""

import sys
import time

import fleet
import users_platform as platform

HOST = "shop.example"
APPLY_SECONDS = 2.5
RATE, BURST = 5, 5
WINDOW_SECONDS = 5
OVER, SLACK = 0.1, 20


def config(store, version, keys):
    routes = {
        "front": platform.route(HOST, "/front/", "front"),
        "open": {**platform.route(HOST, "/open/", "front"), "public": True},
    }
    tenants = {
        "large": {"apiKeys": keys, "priority": 1},
        "small": {"apiKeys": ["small-key"], "priority": 1, "ratePerS": RATE,
                  "burst": BURST},
    }
    store.put_config(version, routes, tenants)


def send(node, path, key=""):
    return platform.request(node.ports["caller"], "GET", path, host=HOST,
                            attempt=f"r{time.monotonic_ns()}", key=key)


def check_keys(store, nodes, workers):
    config(store, 2, ["k1", "k2"])
    for node in nodes:
        fleet.wait_until(lambda n=node: send(n, "/front/1").status == 401,
                         f"{node.name} asks for a key")
        fleet.check(send(node, "/front/1", "k1").status == 200, "a key in force")
        fleet.check(send(node, "/front/1", "k9").status == 401, "no such key")
        fleet.check(send(node, "/open/1").status == 200, "an open route")
    names = {name for worker in workers for name in worker.customers}
    fleet.check(names == {None, "large"}, f"customers at the servers: {names}")
    config(store, 3, ["k2"])
    time.sleep(APPLY_SECONDS)
    for node in nodes:
        fleet.check(send(node, "/front/1", "k1").status == 401,
                    f"{node.name} refuses a key that was taken away")
        fleet.check(send(node, "/front/1", "k2").status == 200, "the other key")


def check_quota(nodes, workers):
    served, refused = [], []
    end = time.monotonic() + 2 * WINDOW_SECONDS
    while time.monotonic() < end:
        for node in nodes:
            answer = send(node, "/front/2", "small-key")
            if answer.status == 200:
                served.append(time.monotonic())
            else:
                refused.append(answer)
    allowed = (RATE * WINDOW_SECONDS + BURST) * (1 + OVER) + SLACK
    most = platform.most_in_a_window(served, WINDOW_SECONDS)
    fleet.check(most <= allowed, f"{most} in a window, allowed {allowed}")
    fleet.check(refused, "requests over the quota are refused")
    fleet.check(all(answer.status == 429 for answer in refused),
                "with 429, as not run")
    fleet.check(all("Retry-After" in answer.headers for answer in refused),
                "the refusals have Retry-After")
    fleet.check(send(nodes[0], "/front/2", "k2").status == 200,
                "another customer is served")
    keys = [key for worker in workers for key in worker.keys_seen]
    fleet.check(not keys, f"no key reaches a server: {keys[:3]}")


def case(run):
    store, nodes, workers = platform.start_service(run, "abcd", HOST)
    for worker in workers:
        worker.customers.clear()
    check_keys(store, nodes, workers)
    check_quota(nodes, workers)


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
