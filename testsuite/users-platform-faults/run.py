"""Faults of the users' platform that callers must not notice.

The store goes away: nodes serve on, and one that restarts meanwhile gets the
configuration from its peer. Rows and heartbeats of others are garbage. A
heartbeat that was held up arrives after its server's leave. A server answers
503 without its word that it did not run the request: the caller is promised
nothing.
"""

import json
import signal
import sys

import fleet
import users_platform as platform

HOST = "shop.example"


def case(run):
    store = platform.RowStore()
    store.put("amaranth-nodes", "ghost", "!!!")
    store.put("amaranth-nodes", "noise", "AAAA")
    front = platform.route(HOST, "/front/", "front", "non_idempotent")
    store.put_config(3, {"front": front})
    a = platform.start_node(run, "a", store, "front")
    b = platform.start_node(run, "b", store, "other")
    platform.wait_ready([a, b])
    worker = platform.Worker(a, "front", "f1")
    platform.wait_served(b, HOST, "/front/1")

    # Another writer's heartbeats name no server.
    for body in ("", "{", "[]", json.dumps({"addr": 5}),
                 json.dumps({"addr": worker.server.address,
                             "info": {"service": "front", "slots": "many"},
                             "status": {"state": "ready", "seq": 1}})):
        answer = platform.request(
            a.ports["announce"], "POST",
            "/-/rpc?call=workers.heartbeat&of=stranger", body=body)
        fleet.check(answer.status == 400, f"{body!r} is refused")
    platform.wait_served(b, HOST, "/front/2")

    # The store is away; a node restarts beside a living server.
    store.go_away()
    platform.wait_served(b, HOST, "/front/3")
    b.kill()
    b = restart_alone(run, store, a)
    platform.wait_ready([b])
    platform.wait_served(b, HOST, "/front/4")
    store.come_back()

    # A late "ready" does not bring back a server that has left.
    fleet.check(worker.leave() == 200, "the leave is acknowledged")
    runs = len(worker.runs)
    fleet.check(worker.beat("ready") == 200, "the late heartbeat is answered")
    refused = platform.request(b.ports["caller"], "POST", "/front/5",
                               host=HOST, attempt="late")
    fleet.check(refused.status == 503, f"not run, and said so: {refused.status}")
    fleet.check("Retry-After" in refused.headers, "told when to come back")
    fleet.check(len(worker.runs) == runs, "nothing reached it")

    # A 503 without the server's own mark is no promise.
    liar = platform.Worker(a, "front", "f2")
    platform.wait_served(b, HOST, "/front/6")
    liar.serve = lambda call: call.answer(
        503, headers=[("Attempt-Id", call.headers["Attempt-Id"])])
    answer = platform.request(b.ports["caller"], "POST", "/front/7", host=HOST,
                              attempt="liar")
    fleet.check(answer.status == 502, f"no promise is passed on: {answer.status}")
    a.signal(signal.SIGTERM)
    fleet.check(a.wait_exit() == 0, "it ends by itself")


def restart_alone(run, store, peer):
    """The node's successor finds its peer by a seed, as the store is away."""
    return platform.start_node(
        run, "b", store, "other",
        ["--seeds", f"127.0.0.1:{peer.ports['gossip']}"])


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
