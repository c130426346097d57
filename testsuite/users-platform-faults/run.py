"""Faults of the users' platform that must not harm callers.

While the store is unavailable nodes serve on, and a node that restarts gets the
configuration from its peer. Malformed rows are ignored, malformed heartbeats
rejected. A delayed heartbeat arrives after the leave of its server. A server
answers 503 without marking the request as not run: the caller must not be told
that it has not run.
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
    node_a = platform.start_node(run, "a", store, "front")
    node_b = platform.start_node(run, "b", store, "other")
    platform.wait_ready([node_a, node_b])
    worker = platform.Worker(node_a, "front", "f1")
    platform.wait_served(node_b, HOST, "/front/1")

    # Malformed heartbeats of another writer.
    for body in ("", "{", "[]", json.dumps({"addr": 5}),
                 json.dumps({"addr": worker.server.address,
                             "info": {"service": "front", "slots": "many"},
                             "status": {"state": "ready", "seq": 1}})):
        answer = platform.request(
            node_a.ports["announce"], "POST",
            "/-/rpc?call=workers.heartbeat&of=stranger", body=body)
        fleet.check(answer.status == 400, f"{body!r} is rejected")
    platform.wait_served(node_b, HOST, "/front/2")

    # A node restarts while the store is unavailable and the server runs on.
    store.make_unavailable()
    platform.wait_served(node_b, HOST, "/front/3")
    node_b.kill()
    node_b = restart_from_peer(run, store, node_a)
    platform.wait_ready([node_b])
    platform.wait_served(node_b, HOST, "/front/4")
    store.make_available()

    # A delayed "ready" heartbeat does not add a server that has left.
    fleet.check(worker.leave() == 200, "the leave is acknowledged")
    runs = len(worker.runs)
    fleet.check(worker.send_heartbeat("ready") == 200,
                "the delayed heartbeat is acknowledged")
    refused = platform.request(node_b.ports["caller"], "POST", "/front/5",
                               host=HOST, attempt="late")
    fleet.check(refused.status == 503, f"refused as not run: {refused.status}")
    fleet.check("Retry-After" in refused.headers, "the refusal has Retry-After")
    fleet.check(len(worker.runs) == runs, "no request reaches the server")

    # A 503 without the mark of the server is not a not-run verdict.
    unmarked = platform.Worker(node_a, "front", "f2")
    platform.wait_served(node_b, HOST, "/front/6")
    unmarked.serve = lambda call: call.answer(
        503, headers=[("Attempt-Id", call.headers["Attempt-Id"])])
    answer = platform.request(node_b.ports["caller"], "POST", "/front/7",
                              host=HOST, attempt="unmarked")
    fleet.check(answer.status == 502, f"no not-run verdict: {answer.status}")
    node_a.signal(signal.SIGTERM)
    fleet.check(node_a.wait_exit() == 0, "the drained node exits with 0")


def restart_from_peer(run, store, peer):
    """Starts node b with its peer as the seed, as the store is unavailable."""
    return platform.start_node(
        run, "b", store, "other",
        ["--seeds", f"127.0.0.1:{peer.ports['gossip']}"])


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
