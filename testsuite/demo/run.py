"""Demonstrates priorities in a burst of load above capacity.

Starts the platform stand-in, three nodes in two data centres and, on the host
of each node, one stand-in server of each service of a chain of three
(catalogue, subscriptions, progress). Progress is the bottleneck: the burst
offers twice its capacity. Browse requests come from listeners, renewals from
subscribers. Run after a build:  python3 testsuite/demo/run.py
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import calls  # noqa: E402
import chain  # noqa: E402
import fleet  # noqa: E402
import report  # noqa: E402

SERVICES = ["catalogue", "subscriptions", "progress"]
PROGRESS_SLOTS = 2
PROGRESS_MS = 20
PER_SECOND_BROWSE = 400
PER_SECOND_RENEWAL = 200
BURST_SECONDS = 10
CALM_SHARE = 0.25
MIN_RENEWAL_SHARE = 0.9


def start_fleet(run):
    run.start_platform()
    nodes = [
        run.start_node("bilbao-1", "bilbao-a"),
        run.start_node("bilbao-2", "bilbao-a"),
        run.start_node("donostia-1", "donostia"),
    ]
    servers = []
    for node in nodes:
        def add_server(service, **flags):
            servers.append(run.start_backend(
                f"{service}-{node.name}", service, node, **flags))
        add_server("progress", slots=PROGRESS_SLOTS, service_ms=PROGRESS_MS,
                   connections=200)
        add_server("subscriptions", slots=140, service_ms=2, calls="progress")
        add_server("catalogue", slots=100, service_ms=2, calls="subscriptions")
    run.wait_ready(servers)
    return nodes


def set_tiers(nodes):
    changes = []
    for service in SERVICES:
        changes.append((f"default/{service}/browse", "tier", "browse"))
        changes.append((f"default/{service}/renewal", "tier", "critical"))
    answer = nodes[0].set_settings(*changes, author="demo")
    fleet.check(answer.status == 200, f"settings are accepted: {answer.body}")
    version = answer.json()["version"]
    for node in nodes:
        fleet.wait_until(lambda: node.settings_version() >= version,
                         f"{node.name} has settings version {version}", 5.0)


def run_load(nodes, share, seconds):
    loads = [
        calls.Load("catalogue", "browse", "GET", PER_SECOND_BROWSE * share),
        calls.Load("catalogue", "renewal", "POST", PER_SECOND_RENEWAL * share,
                   ticketed=True),
    ]
    wanted = sum(load.per_second for load in loads) * seconds
    ports = [node.caller_port for node in nodes]
    load_run = calls.LoadRun(lambda: ports, loads, workers=250)
    fleet.wait_until(lambda: load_run.count() >= wanted,
                     "all requests are answered", seconds * 4 + 20)
    answers = load_run.stop()
    if load_run.late:
        print(f"({load_run.late} requests were sent late by the generator)")
    return answers


def run_demo(run):
    nodes = start_fleet(run)
    set_tiers(nodes)
    capacity = len(nodes) * PROGRESS_SLOTS * 1000 // PROGRESS_MS
    offered = PER_SECOND_BROWSE + PER_SECOND_RENEWAL
    print(f"capacity of progress: {capacity}/s; the burst offers {offered}/s:"
          f" {PER_SECOND_BROWSE} browse, {PER_SECOND_RENEWAL} renewal")
    phases = [("before", CALM_SHARE, 3), ("burst", 1.0, BURST_SECONDS),
              ("after", CALM_SHARE, 3)]
    for title, share, seconds in phases:
        answers = run_load(nodes, share, seconds)
        report.print_table(f"{title}: {offered * share:.0f}/s for {seconds} s",
                           answers)
        for token, answer in sum(answers.values(), []):
            fleet.check(
                answer.status != 200 or
                chain.is_complete(answer, SERVICES, token),
                f"{token} got an incomplete answer or another's: {answer.body}")
        check_priority(answers)
    print("\nevery answer was complete and belonged to its own request")


def check_priority(answers):
    """Checks that renewals are served: they fit in the capacity, so the excess
    must be shed from browse requests."""
    rows = {name: report.summarize(class_answers)
            for name, class_answers in answers.items()}
    ok = {name: row["ok"] / row["sent"] for name, row in rows.items()}
    fleet.check(ok["renewal"] >= MIN_RENEWAL_SHARE,
                f"browse requests are shed before renewals: {ok}")


if __name__ == "__main__":
    sys.exit(fleet.run_case(run_demo))
