"""Nodes are paused for longer than every timeout and then resumed.

First a serving node with queued calls is paused, then an entry node that holds
claims. Callers of the paused entry node time out and resend their keys through
another node, which cannot know whether the holder runs them. When the paused
nodes resume, their queued work and claims are stale. No key runs twice, and
none whose only answers are "not run" has run.
"""

import sys
import threading

import calls
import effects
import fleet

DEADLINE_MS = 1500
REQUEST_TIMEOUT = 8.0


def post(node, token, answers, timeout=REQUEST_TIMEOUT):
    answer = calls.call_service(
        node, "catalogue", path=f"/{token}", method="POST", body=b"{}",
        timeout=timeout, token=token, key=f"key-{token}",
        deadline_ms=DEADLINE_MS)
    answers.append((token, answer))


def post_all(node, tokens, answers, timeout=REQUEST_TIMEOUT):
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
    fleet.wait_until(lambda: effects.runs_by_token(servers),
                     "some of the queued calls run")
    serving.pause()
    for thread in threads:
        thread.join()
    fleet.wait_until(
        lambda: has_member_in_state(entry, serving, ("dead", "suspect")),
        "the entry node sees the paused node as suspect or dead")
    serving.resume()
    fleet.wait_until(lambda: has_member_in_state(entry, serving, ("alive",)),
                     "the entry node sees the resumed node as alive")
    return answers


def pause_entry_node(entry, other, servers):
    first_answers, resent = [], []
    tokens = [f"held-{number}" for number in range(12)]
    threads = post_all(entry, tokens, first_answers, timeout=2.0)
    fleet.wait_until(
        lambda: any(token.startswith("held")
                    for token in effects.runs_by_token(servers)),
        "some of the calls of the entry node run")
    entry.pause()
    for thread in threads:
        thread.join()
    for thread in post_all(other, tokens, resent):
        thread.join()
    entry.resume()
    fleet.wait_until(entry.is_ready, "the resumed entry node is ready")
    final = []
    for thread in post_all(entry, tokens, final):
        thread.join()
    return resent + final


def has_member_in_state(entry, node, states):
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
    check_served(entry)
    answers += pause_entry_node(entry, serving, servers)
    outcomes = sorted((token, a.status, a.verdict, a.reason)
                      for token, a in answers)
    print(*outcomes, sep="\n")
    effects.check_verdicts(
        [(token, a) for token, a in answers if a.status != 200 and
         a.verdict != "not-run"], servers, once=True)
    # After "not run" a key may run only because its caller has resent it.
    check_runs(answers, servers)
    check_served(entry)


def check_runs(answers, servers):
    runs = effects.runs_by_token(servers)
    answers_by_token = {}
    for token, answer in answers:
        answers_by_token.setdefault(token, []).append(answer)
    for token, all_answers in answers_by_token.items():
        fleet.check(runs[token] <= 1, f"{token} ran {runs[token]} times")
        if all(answer.verdict == "not-run" for answer in all_answers):
            # The first request with such a key got no answer and may have run.
            unanswered = token.startswith("held")
            fleet.check(unanswered or runs[token] == 0,
                        f"{token} ran although all answers are not-run")
        if any(answer.status == 200 for answer in all_answers):
            fleet.check(runs[token] == 1,
                        f"{token} got 200, ran {runs[token]} times")


def check_served(entry):
    last = []

    def served():
        last[:] = [calls.call_service(entry, "catalogue", path="/after")]
        return last[0].status == 200

    try:
        fleet.wait_until(served, "requests are served again")
    finally:
        print("after the pause:", last[0].status, last[0].body.decode())


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
