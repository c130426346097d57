"""Normal operation on the users' platform: calls through two nodes, a changed
configuration, a backend server that leaves, and a planned stop.

The caller always gets complete, signed answers. Its request enters at a node
without a server of the service, and that server makes a nested call.
"""

import signal
import sys
import threading

import fleet
import users_platform as platform

HOST = "shop.example"


def case(run):
    store = platform.RowStore()
    front = platform.route(HOST, "/front/", "front")
    deep = platform.route(HOST, "/deep/", "deep")
    store.put_config(3, {"front": front, "deep": deep})
    node_a = platform.start_node(run, "a", store, "front")
    node_b = platform.start_node(run, "b", store, "deep")
    platform.wait_ready([node_a, node_b])
    deep_server = platform.Worker(node_b, "deep", "d1")
    front_server = platform.Worker(node_a, "front", "f1",
                                   nested=(HOST, "/deep/x"))
    answer = platform.wait_served(node_b, HOST, "/front/1")
    fleet.check(answer.body == "front:/front/1",
                f"the answer is complete: {answer.body}")
    fleet.check(answer.headers["Response-Sig"] == platform.SIGNATURE,
                "the answer has the Response-Sig of the server")
    fleet.check(not any(name.lower().startswith("x-amaranth")
                        for name in answer.headers),
                "the answer has no X-Amaranth headers")
    fleet.check(set(front_server.callers) == {"deep"},
                "Caller of a call: the service of the entry node's host")
    fleet.check(set(deep_server.callers) == {"front"},
                "Caller of a nested call: the service that made it")
    fleet.check(all("." in attempt for attempt in deep_server.runs),
                "nested calls have nested attempt ids")

    missing = platform.request(node_a.ports["caller"], "GET", "/none/",
                               host=HOST)
    fleet.check(missing.status == 404, "404 without a route")

    # A newer version moves the route; an older one is ignored.
    moved_route = dict(front, service="deep")
    store.put_config(7, {"front": moved_route, "deep": deep})
    for node in (node_a, node_b):
        fleet.wait_until(
            lambda: platform.wait_served(node, HOST, "/front/2").body
            .startswith("deep:"), "the new version is in force")
    store.put_config(5, {"front": front, "deep": deep})
    for _ in range(20):
        body = platform.wait_served(node_a, HOST, "/front/3").body
        fleet.check(body.startswith("deep:"), "an older version is ignored")

    # A server gets no request once its leave is acknowledged.
    store.put_config(9, {"front": front, "deep": deep})
    front_server.nested = None
    fleet.wait_until(
        lambda: platform.wait_served(node_a, HOST, "/front/4").body
        .startswith("front:"), "the first route is in force")
    second_server = platform.Worker(node_b, "front", "f2")
    fleet.wait_until(
        lambda: platform.wait_served(node_b, HOST, "/front/5") and
        second_server.runs,
        "the second server is in use")
    fleet.check(front_server.leave() == 200, "the leave is acknowledged")
    before = len(front_server.runs)
    for _ in range(20):
        platform.wait_served(node_a, HOST, "/front/6")
    fleet.check(len(front_server.runs) == before,
                "no request reaches a server after its leave")

    # A planned stop answers the calls in flight and ends within the grace time.
    results = []
    threads = [threading.Thread(target=lambda: results.append(
        platform.request(node_a.ports["caller"], "GET", "/front/7", host=HOST,
                         attempt="s").status)) for _ in range(8)]
    for thread in threads:
        thread.start()
    node_a.signal(signal.SIGTERM)
    for thread in threads:
        thread.join()
    fleet.check(results == [200] * 8,
                f"all calls in flight are answered: {results}")
    ready = platform.request(node_a.ports["operator"], "GET", "/-/readyz")
    fleet.check(ready.status == 503, "not ready from the SIGTERM on")
    fleet.check(node_a.wait_exit() == 0, "the drained node exits with 0")


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
