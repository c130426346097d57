"""A faulty worker truncates a small share of its responses, at different places.
No client may get a success for a response that was cut off.
"""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import mesh  # noqa: E402

HOST = "hulo84.example"
READS, WRITES = "/leny950/", "/puka111/"
SECONDS = 25
CLIENTS_PER_NODE = 5
PAUSE_S = 0.05
WORK_S = 0.06
# garble: x (.02) of its answers are broken off, one of 50.
EVERY = 50
# Where the response is cut: after this many lines of its head, or in its body.
# The lines are the status, Attempt-Id, Instance, Response-Sig, Content-Length.
CUTS = ("line 1", "line 2", "line 4", "line 5", "body", "line 4")


def cut(data, where):
    head, _, body = data.partition(b"\r\n\r\n")
    if where == "body":
        return head + b"\r\n\r\n" + body[:len(body) // 2]
    lines = head.split(b"\r\n")[:int(where.split()[1])]
    return b"\r\n".join(lines) + b"\r\n"


class FaultyWorker(mesh.Worker):
    """Truncates 2% of its responses and closes the connection in order."""

    truncated = 0
    answered = 0
    lock = threading.Lock()

    def serve_answer(self, sock, request, _):
        attempt = request.get("Attempt-Id")
        with self.lock:
            type(self).answered += 1
            if self.answered % EVERY:
                return None
            where = CUTS[self.truncated % len(CUTS)]
            type(self).truncated += 1
        body = self.body_for(request)
        data = mesh.response("200 OK", [
            ("Attempt-Id", attempt), ("Instance", self.ident),
            ("Response-Sig", self.sign(attempt))], body)
        part = cut(data, where)
        # What the whole answer would have been.
        self.answers[attempt] = (200, body, self.sign(attempt))
        self.record(f"worker {self.ident} truncates its answer to {attempt} "
                    f"({where}): {len(part)} of {len(data)} bytes, then "
                    f"closes the connection")
        sock.sendall(part)
        return False


def case(record, trouble):
    machines = [("side-a-1", "huvo11a", "a"), ("side-a-2", "huvo11a", "a"),
                ("side-b-1", "lovo22d", "b")]
    with mesh.Mesh(record, machines) as deployment:
        deployment.store.put_config(7, {
            "r-reads": mesh.route(HOST, READS, "huvo11a", "idempotent"),
            "r-writes": mesh.route(HOST, WRITES, "huvo11a", "non_idempotent"),
        }, ["huvo11a", "lovo22d"])
        deployment.start_all()
        deployment.wait_ready()
        faulty = FaultyWorker(deployment["side-a-1"], "huvo11a", "i-faulty",
                              slots=121, work_s=WORK_S)
        sound = mesh.Worker(deployment["side-a-2"], "huvo11a", "i-sound",
                            slots=121, work_s=WORK_S)
        mesh.wait_for(lambda: all(
            is_served(deployment[name]) for name, _, _ in machines),
            "all nodes serve")
        if trouble:
            faulty.behave = FaultyWorker.serve_answer
        results = send_load(deployment)
        return check(record, results, [faulty, sound])


def is_served(machine):
    answer = mesh.client_request(machine, "GET", HOST, READS + "first",
                                 f"first-{mesh.now():.6f}")
    return answer is not None and answer.status == 200


def send_load(deployment):
    """Clients send one request after the other for SECONDS. Returns the
    answers by attempt."""
    results, end = {}, mesh.now() + SECONDS

    def run(machine, client):
        sent = 0
        while mesh.now() < end:
            sent += 1
            attempt = f"{machine.name}-c{client}-{sent}"
            if sent % 2:
                answer = mesh.client_request(machine, "GET", HOST,
                                             READS + attempt, attempt)
            else:
                answer = mesh.client_request(machine, "POST", HOST,
                                             WRITES + attempt, attempt,
                                             body=b"x" * 4000)
            results[attempt] = answer
            time.sleep(PAUSE_S)

    threads = [threading.Thread(target=run, args=(machine, client))
               for machine in deployment.machines.values()
               for client in range(CLIENTS_PER_NODE)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def check(record, results, workers):
    """MIXED: a success without the worker's Response-Sig, or with a body that
    isn't the worker's whole body."""
    whole = {}
    for worker in workers:
        whole.update(worker.answers)
    broken = []
    successes = 0
    for attempt, answer in results.items():
        if answer is None or not 200 <= answer.status < 300:
            continue
        successes += 1
        _, body, signature = whole[attempt]
        if answer.get("Response-Sig") != signature:
            broken.append(f"MIXED: {attempt} gets {answer.status} without the "
                          f"worker's Response-Sig")
        elif answer.body != body or not answer.complete:
            broken.append(
                f"MIXED: {attempt} gets {answer.status} with the worker's "
                f"Response-Sig, looking complete with {len(answer.body)} bytes;"
                f" the worker's whole body has {len(body)}")
    record(f"{len(results)} requests, {successes} successes, "
           f"{FaultyWorker.truncated} truncated responses")
    print(f"{len(results)} requests, {successes} successes, "
          f"{FaultyWorker.truncated} truncated responses")
    if successes < 100:
        raise mesh.CannotRun("hardly anything was served")
    return broken


if __name__ == "__main__":
    mesh.main(case)
