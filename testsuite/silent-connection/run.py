"""Open connections to a backend server go silent while new ones work.

The node's pooled connections to the server pass through a proxy that
forgets them: bytes go nowhere, nobody is told. Callers who browse see whole
answers, late at most by the progress deadline, since the node tries a fresh
connection. A POST whose bytes went into the silent connection may have run,
as far as the node can tell; it is never run twice. Soon all is as before.
"""

import sys
import threading

import calls
import effects
import fleet
import faulty_proxy

WARM_UP = 16


def get(node, token, answers):
    answers.append((token, calls.call_service(
        node, "catalogue", path=f"/{token}", token=token, deadline_ms=9000,
        timeout=12.0)))


def at_once(node, prefix, count):
    answers = []
    threads = [
        threading.Thread(target=get, args=(node, f"{prefix}-{n}", answers))
        for n in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers


def start_behind_proxy(run, node):
    """The server's port must be known before it announces the proxy's."""
    probe = run.start_backend("probe", "unused", node)
    port = probe.port
    probe.kill()
    proxy = faulty_proxy.FaultyProxy(f"127.0.0.1:{port}")
    server = run.start_backend(
        "catalogue-1", "catalogue", node, port=port, service_ms=20,
        announce_address=proxy.address)
    return proxy, server


def case(run):
    run.start_platform()
    nodes = [run.start_node("a1", "bilbao-a"), run.start_node("a2", "bilbao-a")]
    proxy, server = start_behind_proxy(run, nodes[1])
    run.wait_ready([server])

    warm = at_once(nodes[0], "warm", WARM_UP)
    effects.check_all_whole(warm, ["catalogue"])
    silenced = proxy.silence_open_connections()
    fleet.check(silenced > 0, "the node keeps connections open")

    after = at_once(nodes[0], "after", WARM_UP)
    slowest = max(answer.seconds for _, answer in after)
    print(f"silenced {silenced} connections; slowest answer {slowest:.2f} s; "
          f"{[(a.status, a.verdict, a.reason) for _, a in after]}")
    effects.check_all_whole(after, ["catalogue"])
    fleet.check(proxy.swallowed_bytes > 0, "requests went into silence")

    fresh = at_once(nodes[0], "fresh", WARM_UP)
    effects.check_all_whole(fresh, ["catalogue"])
    proxy.silence_open_connections()
    posts = [
        (f"post-{n}", calls.call_service(
            nodes[0], "catalogue", path=f"/post-{n}", method="POST",
            body=b"{}", token=f"post-{n}", deadline_ms=3000))
        for n in range(4)
    ]
    print([(a.status, a.verdict, a.reason) for _, a in posts])
    effects.check_told_truth(posts, [server], once=True)
    fleet.wait_until(
        lambda: all(a.status == 200 for _, a in at_once(nodes[0], "end", 8)),
        "all is as before")


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
