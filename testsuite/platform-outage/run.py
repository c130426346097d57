"""The platform is away for a while.

Browsing goes on, and so do renewals that use a ticket, which needs no
platform. A renewal with a key of the caller's own cannot be claimed: it is
answered at once, with Retry-After, as "may have run", since an earlier asking
through another node may have, and does not run. A node that starts meanwhile takes the settings from its peers. When the platform is back
the same key runs, once.
"""

import sys

import calls
import effects
import fleet


def renew(node, token, key):
    return calls.call_service(
        node, "catalogue", path=f"/{token}", method="POST", body=b"{}",
        token=token, key=key, deadline_ms=4000)


def ticket(node):
    answer = calls.call(node.callers, "/amaranth/v1/ticket", method="POST")
    fleet.check(answer.status == 200, f"a ticket is minted: {answer}")
    return answer.json()["ticket"]


def case(run):
    platform = run.start_platform()
    nodes = [run.start_node("a1", "bilbao-a"), run.start_node("d1", "donostia")]
    servers = [
        run.start_backend(f"catalogue-{node.name}", "catalogue", node)
        for node in nodes
    ]
    run.wait_ready(servers)
    changed = nodes[0].set_settings(("default/catalogue/browse", "tier",
                                     "browse"))
    fleet.check(changed.status == 200, f"settings are taken: {changed}")
    version = changed.json()["version"]
    fleet.check(renew(nodes[0], "early", "key-early").status == 200,
                "a key is claimed while the platform is there")

    platform.fault(mode="down")
    for number in range(20):
        answer = calls.call_service(nodes[number % 2], "catalogue")
        fleet.check(answer.status == 200, f"browsing goes on: {answer}")
    held = ticket(nodes[0])
    first = renew(nodes[0], "ticket", held)
    again = renew(nodes[1], "ticket", held)
    fleet.check(first.status == 200, f"a ticket needs no platform: {first}")
    fleet.check(again.body == first.body, f"resent to another node: {again}")
    refused = renew(nodes[0], "keyed", "key-keyed")
    print("keyed, platform away:", refused)
    fleet.check(refused.verdict == "may-have-run" and
                refused.reason == "platform-down" and
                refused.header("Retry-After"),
                f"whose key it is cannot be told: {refused}")
    fleet.check(refused.seconds < 3, "it is answered at once")
    fleet.check(effects.runs_by_token(servers)["keyed"] == 0, "it did not run")

    late = run.start_node("a2", "bilbao-a")
    fleet.wait_until(late.is_ready, "a new node is ready from its peers")
    fleet.check(late.settings_version() >= version,
                "the new node has the settings in force")

    platform.fault(mode="ok")
    fleet.wait_until(lambda: renew(nodes[0], "keyed", "key-keyed").status == 200,
                     "the key runs once the platform is back")
    for node in nodes:
        fleet.check(renew(node, "keyed", "key-keyed").status == 200,
                    f"{node.name} gives the remembered answer")
    runs = effects.runs_by_token(servers)
    fleet.check(runs["keyed"] == 1 and runs["ticket"] == 1,
                f"each ran once: {runs}")


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
