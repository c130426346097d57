"""A serving node is killed with calls in flight.

Idempotent requests through the other nodes get complete answers: the entry node
notices the closed peer link and retries at another server. A POST that was at
the killed node may have run, so it is not retried and its caller gets the
verdict may-have-run. No POST runs twice, and none answered "not run" has run.
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
    ports = [node.caller_port for node in entries]
    load = calls.LoadRun(
        lambda: ports,
        [calls.Load("catalogue", "browse", "GET", 100),
         calls.Load("catalogue", "renewal", "POST", 60)],
        workers=48,
    )
    fleet.wait_until(lambda: load.count() >= 150, "load is running")
    fleet.wait_until(lambda: servers[1].effects()["started"] >= 20,
                     "the server of the node to be killed runs requests")
    serving[1].kill()
    count_at_kill = load.count()
    fleet.wait_until(lambda: load.count() >= count_at_kill + 600,
                     "load continues")
    answers = load.stop()

    failed = [a for _, a in answers["renewal"] if a.status != 200]
    for name, class_answers in sorted(answers.items()):
        outcomes = collections.Counter((a.status, a.verdict, a.reason)
                                       for _, a in class_answers)
        print(f"{name}: {dict(outcomes)}")
    effects.check_verdicts(answers["browse"], servers, once=False)
    effects.check_verdicts(answers["renewal"], servers, once=True)
    effects.check_all_complete(answers["browse"], ["catalogue"])
    fleet.check(all(a.verdict == "may-have-run" for a in failed),
                "only calls at the killed node fail, as may-have-run")
    fleet.check(len(failed) <= 20,
                "at most as many fail as the killed node's server has slots")


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
