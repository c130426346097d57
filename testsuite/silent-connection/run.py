"""Open connections to a backend server are blackholed while new ones work.

The pooled connections of the node to the server pass through a proxy that drops
their bytes without notifying either side. Browse requests still receive
complete answers, delayed at most by the attempt timeout, since the node retries
on a new connection. A POST sent on a blackholed connection may have run as far
as the node can know, so it never runs twice. All requests are served again
shortly after.
"""

import sys
import threading

import calls
import effects
import fleet
import faulty_proxy

REQUESTS = 16


def get_browse(node, token, answers):
    answers.append((token, calls.call_service(
        node, "catalogue", path=f"/{token}", token=token, deadline_ms=9000,
        timeout=12.0)))


def get_concurrently(node, prefix, count):
    answers = []
    threads = [
        threading.Thread(target=get_browse,
                         args=(node, f"{prefix}-{n}", answers))
        for n in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers


def start_behind_proxy(run, node):
    """Starts a server that announces the address of a proxy in front of it.

    The proxy needs the port of the server first: a short-lived probe server
    provides a free one.
    """
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

    warm = get_concurrently(nodes[0], "warm", REQUESTS)
    effects.check_all_complete(warm, ["catalogue"])
    blackholed = proxy.blackhole_open_connections()
    fleet.check(blackholed > 0, "the node pools connections")

    after = get_concurrently(nodes[0], "after", REQUESTS)
    slowest = max(answer.seconds for _, answer in after)
    print(f"blackholed {blackholed} connections; slowest {slowest:.2f} s; "
          f"{[(a.status, a.verdict, a.reason) for _, a in after]}")
    effects.check_all_complete(after, ["catalogue"])
    fleet.check(proxy.dropped_bytes > 0,
                "requests were sent on blackholed connections")

    fresh = get_concurrently(nodes[0], "fresh", REQUESTS)
    effects.check_all_complete(fresh, ["catalogue"])
    proxy.blackhole_open_connections()
    posts = [
        (f"post-{n}", calls.call_service(
            nodes[0], "catalogue", path=f"/post-{n}", method="POST",
            body=b"{}", token=f"post-{n}", deadline_ms=3000))
        for n in range(4)
    ]
    print([(a.status, a.verdict, a.reason) for _, a in posts])
    effects.check_verdicts(posts, [server], once=True)
    fleet.wait_until(
        lambda: all(a.status == 200
                    for _, a in get_concurrently(nodes[0], "end", 8)),
        "all requests are served again")


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
