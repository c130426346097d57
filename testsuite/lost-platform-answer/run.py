"""Answers of the platform are lost after the write has taken effect.

The caller of a renewal with an idempotency key gets a normal answer: the node
reads the claim back and finds that it is its own. A resend through another data
centre gets the same answer from the home of the key. A settings change of an
operator is accepted normally, too, and is applied once.
"""

import sys

import calls
import effects
import fleet


def case(run):
    platform = run.start_platform()
    nodes = [run.start_node("a1", "bilbao-a"), run.start_node("d1", "donostia")]
    servers = [run.start_backend("catalogue-1", "catalogue", nodes[1])]
    run.wait_ready(servers)

    for number in range(5):
        token = f"renewal-{number}"
        lost_before = platform.counts()["answers_lost"]
        platform.fault(lose_answers=1)
        answers = [
            calls.call_service(node, "catalogue", path=f"/{token}",
                               method="POST", body=b"{}", token=token,
                               key=f"key-{token}", deadline_ms=8000)
            for node in (nodes[0], nodes[1], nodes[0])
        ]
        fleet.wait_until(
            lambda: platform.counts()["answers_lost"] == lost_before + 1,
            "an answer of the platform is lost")
        for answer in answers:
            fleet.check(answer.status == 200, f"{token}: {answer}")
            fleet.check(answer.body == answers[0].body,
                        f"{token}: a resend gets the same answer")
        runs = effects.runs_by_token(servers)[token]
        fleet.check(runs == 1, f"{token} ran {runs} times")

    before = nodes[0].settings_version()
    # Loses the answers to the writes of the snapshot and of the head.
    platform.fault(lose_answers=2)
    changed = nodes[0].set_settings(("default/catalogue", "deadline_ms",
                                     "1234"))
    fleet.check(changed.status == 200, f"the change is accepted: {changed}")
    version = changed.json()["version"]
    fleet.check(version == before + 1,
                f"the change is applied once: {before} to {version}")
    for node in nodes:
        fleet.wait_until(lambda: node.settings_version() == version,
                         f"{node.name} has version {version}", 5.0)


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
