"""The platform is unavailable for a while.

Browse requests are served, and so are renewals with a ticket, which needs no
platform. A key chosen by the caller cannot be claimed: such a renewal is
refused at once with Retry-After and does not run. Its verdict is "may have
run", since an earlier request with the key through another node may have run. A
node that starts during the outage gets the settings from its peers. Once the
platform is available again the same key runs, once.
"""

import sys

import calls
import effects
import fleet


def post_renewal(node, token, key):
    return calls.call_service(
        node, "catalogue", path=f"/{token}", method="POST", body=b"{}",
        token=token, key=key, deadline_ms=4000)


def request_ticket(node):
    answer = calls.http_request(node.caller_port, "/amaranth/v1/ticket",
                                method="POST")
    fleet.check(answer.status == 200, f"a ticket is issued: {answer}")
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
    fleet.check(changed.status == 200, f"settings are accepted: {changed}")
    version = changed.json()["version"]
    fleet.check(post_renewal(nodes[0], "early", "key-early").status == 200,
                "a key is claimed while the platform is available")

    platform.fault(mode="down")
    for number in range(20):
        answer = calls.call_service(nodes[number % 2], "catalogue")
        fleet.check(answer.status == 200,
                    f"browse is served in the outage: {answer}")
    ticket = request_ticket(nodes[0])
    first = post_renewal(nodes[0], "ticket", ticket)
    resent = post_renewal(nodes[1], "ticket", ticket)
    fleet.check(first.status == 200, f"a ticket needs no platform: {first}")
    fleet.check(resent.body == first.body,
                f"a resend gets the same answer: {resent}")
    refused = post_renewal(nodes[0], "keyed", "key-keyed")
    print("keyed renewal in the outage:", refused)
    fleet.check(refused.verdict == "may-have-run" and
                refused.reason == "platform-down" and
                refused.header("Retry-After"),
                f"refused with an unknown outcome: {refused}")
    fleet.check(refused.seconds < 3, "it is refused within 3 s")
    fleet.check(effects.runs_by_token(servers)["keyed"] == 0, "it did not run")

    late_node = run.start_node("a2", "bilbao-a")
    fleet.wait_until(late_node.is_ready,
                     "a new node is ready without the platform")
    fleet.check(late_node.settings_version() >= version,
                "the new node has the current settings")

    platform.fault(mode="ok")
    fleet.wait_until(
        lambda: post_renewal(nodes[0], "keyed", "key-keyed").status == 200,
        "the key runs after the outage")
    for node in nodes:
        fleet.check(post_renewal(node, "keyed", "key-keyed").status == 200,
                    f"{node.name} returns the stored answer")
    runs = effects.runs_by_token(servers)
    fleet.check(runs["keyed"] == 1 and runs["ticket"] == 1,
                f"each ran once: {runs}")


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
