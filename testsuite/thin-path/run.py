"""A request enters at a node without a server of the requested service.

The caller gets the complete answer of a chain of three services, each level
with the token of the request. The entry node forwards the call to a peer, whose
server makes a nested call to the second service through its own node, and so
on, across two data centres. Each service has one server, each on another host,
so no call is served by its entry node.
"""

import sys

import calls
import chain
import fleet

SERVICES = ["catalogue", "subscriptions", "progress"]


def case(run):
    run.start_platform()
    nodes = [
        run.start_node("a1", "bilbao-a"),
        run.start_node("a2", "bilbao-a"),
        run.start_node("d1", "donostia"),
    ]
    hosts = [nodes[1], nodes[2], nodes[0]]
    servers = [
        run.start_backend("catalogue-1", SERVICES[0], hosts[0],
                          calls=SERVICES[1]),
        run.start_backend("subscriptions-1", SERVICES[1], hosts[1],
                          calls=SERVICES[2]),
        run.start_backend("progress-1", SERVICES[2], hosts[2]),
    ]
    run.wait_ready(servers)

    answer = calls.call_service(nodes[0], "catalogue", token="own-token",
                                request_id="thin-1")
    print(answer.status, answer.headers, answer.body.decode())
    fleet.check(chain.is_complete(answer, SERVICES, "own-token"),
                "the answer is complete, with the token of the request")
    fleet.check(answer.ran, "the verdict of the answer is ran")
    fleet.check(answer.header("X-Amaranth-Request-Id") == "thin-1",
                "the answer has the request id")
    for server in servers:
        fleet.check(server.effects()["by_token"] == {"own-token": 1},
                    f"{server.name} ran it once")

    unknown = calls.call_service(nodes[0], "no-such-service")
    body = unknown.json()
    fleet.check(unknown.status >= 400 and body["verdict"] == "not-run" and
                body["reason"] == "unknown-service",
                f"refused as unknown service: {body}")


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
