"""All nodes and servers are replaced one by one, under load.

A new host joins, then the servers of an old one leave and end, then its node
is asked to stop. Callers see whole answers only. A caller that still reaches
a node after it was asked to stop is told that its request was not run, and
sends it elsewhere; nothing that was in flight is cut.
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


def replace(run, old, new, hosts, ports):
    names = [server for host in hosts for server in host.servers]
    run.wait_ready(names)
    ports.append(new.node.callers)
    ports.remove(old.node.callers)
    for server in old.servers:
        server.terminate()
    for server in old.servers:
        fleet.check(server.wait_exit() == 0, f"{server.name} ends cleanly")
    old.node.terminate()
    code = old.node.wait_exit()
    fleet.check(code == 0, f"{old.node.name} drains and ends, not with {code}")


def case(run):
    run.start_platform()
    hosts = [Host(run, "a1", "bilbao-a"), Host(run, "a2", "bilbao-a"),
             Host(run, "d1", "donostia")]
    run.wait_ready([server for host in hosts for server in host.servers])
    ports = [host.node.callers for host in hosts]
    load = calls.LoadRun(
        lambda: list(ports),
        [calls.Load("catalogue", "browse", "GET", 80),
         calls.Load("catalogue", "renewal", "POST", 40)],
        workers=32,
    )
    fleet.wait_until(lambda: load.count() >= 100, "load flows")
    for number, old in enumerate(list(hosts)):
        new = Host(run, f"new{number}", old.node.data_centre)
        hosts.append(new)
        replace(run, old, new, hosts, ports)
        hosts.remove(old)
        seen = load.count()
        fleet.wait_until(lambda: load.count() >= seen + 100, "load goes on")
    answers = load.stop()

    late = 0
    for name, class_answers in answers.items():
        whole = []
        for token, answer in class_answers:
            if answer.verdict == "not-run" and answer.reason == "draining":
                late += 1
            else:
                whole.append((token, answer))
        effects.check_all_whole(whole, SERVICES)
        print(f"{name}: {len(whole)} whole")
    print(f"told that the node is draining: {late}")
    fleet.check(late <= 32, "only calls already on their way met a draining node")


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
