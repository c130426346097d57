"""Nodes are stopped for longer than every timeout and then go on.

First a serving node with calls queued, then an entry node that holds keys.
Callers of the paused node time out and send their keys to another node,
which cannot tell whether the holder runs them. When the paused nodes wake
they find work and claims that are long stale. No key runs twice, and none
that a caller was told was not run has run.
"""

import sys
import threading

import calls
import effects
import fleet

DEADLINE_MS = 1500
RESENDS_TIMEOUT = 8.0


def post(node, token, answers, timeout=RESENDS_TIMEOUT):
    answer = calls.call_service(
        node, "catalogue", path=f"/{token}", method="POST", body=b"{}",
        timeout=timeout, token=token, key=f"key-{token}",
        deadline_ms=DEADLINE_MS)
    answers.append((token, answer))


def post_all(node, tokens, answers, timeout=RESENDS_TIMEOUT):
    threads = [
        threading.Thread(target=post, args=(node, token, answers, timeout))
        for token in tokens
    ]
    for thread in threads:
        thread.start()
    return threads


def pause_serving_node(entry, serving, servers):
    answers = []
    tokens = [f"queued-{number}" for number in range(12)]
    threads = post_all(entry, tokens, answers)
    fleet.wait_until(lambda: effects.runs_by_token(servers), "some run")
    serving.pause()
    for thread in threads:
        thread.join()
    fleet.wait_until(
        lambda: entry_sees(entry, serving, ("dead", "suspect")),
        "the paused node is missed")
    serving.resume()
    fleet.wait_until(lambda: entry_sees(entry, serving, ("alive",)),
                     "it is alive again")
    return answers


def pause_entry_node(entry, other, servers):
    lost, resent = [], []
    tokens = [f"held-{number}" for number in range(12)]
    threads = post_all(entry, tokens, lost, timeout=2.0)
    fleet.wait_until(
        lambda: any(token.startswith("held")
                    for token in effects.runs_by_token(servers)),
        "some of the entry node's calls run")
    entry.pause()
    for thread in threads:
        thread.join()
    for thread in post_all(other, tokens, resent):
        thread.join()
    entry.resume()
    fleet.wait_until(entry.is_ready, "the entry node answers again")
    again = []
    for thread in post_all(entry, tokens, again):
        thread.join()
    return resent + again


def entry_sees(entry, node, states):
    members = entry.operator("/status").json()["members"]
    return any(member["node"] == node.name and member["state"] in states
               for member in members)


def case(run):
    run.start_platform()
    entry = run.start_node("a1", "bilbao-a")
    serving = run.start_node("a2", "bilbao-a")
    servers = [run.start_backend("catalogue-1", "catalogue", serving, slots=2,
                                 service_ms=200)]
    run.wait_ready(servers)
    answers = pause_serving_node(entry, serving, servers)
    check_serves(entry)
    answers += pause_entry_node(entry, serving, servers)
    told = sorted((token, a.status, a.verdict, a.reason) for token, a in answers)
    print(*told, sep="\n")
    effects.check_told_truth(
        [(token, a) for token, a in answers if a.status != 200 and
         a.verdict != "not-run"], servers, once=True)
    # A "not run" may be followed by a run only if the caller sent it again.
    check_not_run(answers, servers)
    check_serves(entry)


def check_not_run(answers, servers):
    runs = effects.runs_by_token(servers)
    verdicts = {}
    for token, answer in answers:
        verdicts.setdefault(token, []).append(answer)
    for token, all_answers in verdicts.items():
        fleet.check(runs[token] <= 1, f"{token} ran {runs[token]} times")
        if all(answer.verdict == "not-run" for answer in all_answers):
            held = token.startswith("held")  # its first sender heard nothing
            fleet.check(held or runs[token] == 0, f"{token} ran after all")
        if any(answer.status == 200 for answer in all_answers):
            fleet.check(runs[token] == 1, f"{token} did not run")


def check_serves(entry):
    last = []

    def served():
        last[:] = [calls.call_service(entry, "catalogue", path="/after")]
        return last[0].status == 200

    try:
        fleet.wait_until(served, "both nodes serve again")
    finally:
        print("after the pause:", last[0].status, last[0].body.decode())


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
