"""All nodes and servers are replaced one by one under load.

A new host joins, then the servers of an old host leave and end, then its node
gets SIGTERM. Every request gets a complete answer, except those that reach a
node after its SIGTERM: they are refused as not run with the reason draining, so
that the caller can resend them to another node. No request in flight is lost.
"""

import sys

import calls
import effects
import fleet

SERVICES = ["catalogue", "progress"]


class Host:
    """A node with one server of each service."""

    def __init__(self, run, name, data_centre):
        self.node = run.start_node(name, data_centre)
        self.servers = [
            run.start_backend(f"progress-{name}", "progress", self.node,
                              service_ms=15),
            run.start_backend(f"catalogue-{name}", "catalogue", self.node,
                              service_ms=15, calls="progress"),
        ]


def replace_host(run, old, new, hosts, ports):
    servers = [server for host in hosts for server in host.servers]
    run.wait_ready(servers)
    ports.append(new.node.caller_port)
    ports.remove(old.node.caller_port)
    for server in old.servers:
        server.terminate()
    for server in old.servers:
        fleet.check(server.wait_exit() == 0, f"{server.name} exits with 0")
    old.node.terminate()
    code = old.node.wait_exit()
    fleet.check(code == 0,
                f"{old.node.name} drains and exits with 0, not {code}")


def case(run):
    run.start_platform()
    hosts = [Host(run, "a1", "bilbao-a"), Host(run, "a2", "bilbao-a"),
             Host(run, "d1", "donostia")]
    run.wait_ready([server for host in hosts for server in host.servers])
    ports = [host.node.caller_port for host in hosts]
    load = calls.LoadRun(
        lambda: list(ports),
        [calls.Load("catalogue", "browse", "GET", 80),
         calls.Load("catalogue", "renewal", "POST", 40)],
        workers=32,
    )
    fleet.wait_until(lambda: load.count() >= 100, "load is running")
    for number, old in enumerate(list(hosts)):
        new = Host(run, f"new{number}", old.node.data_centre)
        hosts.append(new)
        replace_host(run, old, new, hosts, ports)
        hosts.remove(old)
        count_before = load.count()
        fleet.wait_until(lambda: load.count() >= count_before + 100,
                         "load continues")
    answers = load.stop()

    refused = 0
    for name, class_answers in answers.items():
        complete = []
        for token, answer in class_answers:
            if answer.verdict == "not-run" and answer.reason == "draining":
                refused += 1
            else:
                complete.append((token, answer))
        effects.check_all_complete(complete, SERVICES)
        print(f"{name}: {len(complete)} complete answers")
    print(f"refused as draining: {refused}")
    fleet.check(refused <= 32,
                "only requests already in flight reach a draining node")


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
