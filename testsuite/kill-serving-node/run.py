"""A serving node is killed with calls in flight.

Callers of the other nodes see whole answers for what is idempotent: the
entry node sees the peer's link end and tries another server. A POST that was
on the killed node may have run, so it is not tried again and its caller is
told so; none runs twice, and none that was told "not run" ran.
"""

import collections
import sys

import calls
import effects
import fleet


def case(run):
    run.start_platform()
    entries = [run.start_node("a1", "bilbao-a"),
               run.start_node("a2", "bilbao-a")]
    serving = [run.start_node("a3", "bilbao-a"),
               run.start_node("a4", "bilbao-a")]
    servers = [
        run.start_backend(f"catalogue-{node.name}", "catalogue", node,
                          slots=20, service_ms=30)
        for node in serving
    ]
    run.wait_ready(servers)
    ports = [node.callers for node in entries]
    load = calls.LoadRun(
        lambda: ports,
        [calls.Load("catalogue", "browse", "GET", 100),
         calls.Load("catalogue", "renewal", "POST", 60)],
        workers=48,
    )
    fleet.wait_until(lambda: load.count() >= 150, "load flows")
    fleet.wait_until(lambda: servers[1].effects()["started"] >= 20,
                     "the server of the node to be killed takes part")
    serving[1].kill()
    at_kill = load.count()
    fleet.wait_until(lambda: load.count() >= at_kill + 600, "load goes on")
    answers = load.stop()

    failed = [a for _, a in answers["renewal"] if a.status != 200]
    for name, class_answers in sorted(answers.items()):
        told = collections.Counter((a.status, a.verdict, a.reason)
                                   for _, a in class_answers)
        print(f"{name}: {dict(told)}")
    effects.check_told_truth(answers["browse"], servers, once=False)
    effects.check_told_truth(answers["renewal"], servers, once=True)
    effects.check_all_whole(answers["browse"], ["catalogue"])
    fleet.check(all(a.verdict == "may-have-run" for a in failed),
                "only calls that were on the killed node fail")
    fleet.check(len(failed) <= 20,
                "no more fail than the killed node's server has slots")


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
