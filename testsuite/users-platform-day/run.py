"""A calm day on the users' platform: calls through two nodes, a changed
configuration, a backend server that leaves, and a planned stop.

The caller sees whole, signed answers all the time. Its request enters at a
node without the service's server; that server makes a call of its own.
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
    a = platform.start_node(run, "a", store, "front")
    b = platform.start_node(run, "b", store, "deep")
    platform.wait_ready([a, b])
    below = platform.Worker(b, "deep", "d1")
    above = platform.Worker(a, "front", "f1", nested=(HOST, "/deep/x"))
    answer = platform.wait_served(b, HOST, "/front/1")
    fleet.check(answer.body == "front:/front/1", f"whole: {answer.body}")
    fleet.check(answer.headers["Response-Sig"] == platform.SIGNATURE, "signed")
    fleet.check(not any(name.lower().startswith("x-amaranth")
                        for name in answer.headers), "no headers of our own")
    fleet.check(set(above.callers) == {"deep"}, "told where it began")
    fleet.check(set(below.callers) == {"front"}, "also of a nested call")
    fleet.check(all("." in attempt for attempt in below.runs), "nested ids")

    missing = platform.request(a.ports["caller"], "GET", "/none/", host=HOST)
    fleet.check(missing.status == 404, "no route: 404")

    # A newer version moves the route; an older one changes nothing.
    moved = dict(front, service="deep")
    store.put_config(7, {"front": moved, "deep": deep})
    for node in (a, b):
        fleet.wait_until(
            lambda: platform.wait_served(node, HOST, "/front/2").body
            .startswith("deep:"), "the new version is in force")
    store.put_config(5, {"front": front, "deep": deep})
    for _ in range(20):
        body = platform.wait_served(a, HOST, "/front/3").body
        fleet.check(body.startswith("deep:"), "no older version comes back")

    # A server that leaves gets nothing once its leave is acknowledged.
    store.put_config(9, {"front": front, "deep": deep})
    above.nested = None
    fleet.wait_until(
        lambda: platform.wait_served(a, HOST, "/front/4").body
        .startswith("front:"), "the route is back")
    second = platform.Worker(b, "front", "f2")
    fleet.wait_until(
        lambda: platform.wait_served(b, HOST, "/front/5") and second.runs,
        "the second server is in use")
    fleet.check(above.leave() == 200, "the leave is acknowledged")
    before = len(above.runs)
    for _ in range(20):
        platform.wait_served(a, HOST, "/front/6")
    fleet.check(len(above.runs) == before, "no request after its leave")

    # A planned stop answers what is under way, then ends within its grace.
    results = []
    threads = [threading.Thread(target=lambda: results.append(
        platform.request(a.ports["caller"], "GET", "/front/7", host=HOST,
                         attempt="s").status)) for _ in range(8)]
    for thread in threads:
        thread.start()
    a.signal(signal.SIGTERM)
    for thread in threads:
        thread.join()
    fleet.check(results == [200] * 8, f"none was cut: {results}")
    ready = platform.request(a.ports["operator"], "GET", "/-/readyz")
    fleet.check(ready.status == 503, "not ready at once")
    fleet.check(a.wait_exit() == 0, "it ends by itself")


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
