"""A request to a node that hosts none of the service's servers.

The caller sees the whole answer of a chain three deep, each level carrying
the caller's own token. Its request goes to the first node, whose peer runs
the first service; that server calls the second service through its own
node, and so on, across two data centres. Each service has one server, on a
host of its own, so every hop must leave its host.
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
    fleet.check(chain.is_whole(answer, SERVICES, "own-token"),
                "the whole answer comes back with the caller's token")
    fleet.check(answer.ran, "the answer says that a backend server ran it")
    fleet.check(answer.header("X-Amaranth-Request-Id") == "thin-1",
                "the answer carries the request's id")
    for server in servers:
        fleet.check(server.effects()["by_token"] == {"own-token": 1},
                    f"{server.name} ran it once")

    unknown = calls.call_service(nodes[0], "no-such-service")
    body = unknown.json()
    fleet.check(unknown.status >= 400 and body["verdict"] == "not-run" and
                body["reason"] == "unknown-service",
                f"an unknown service is named: {body}")


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
