"""A rolling restart of the nodes of one zone, one after the other. No request
that a stopping node has accepted may be lost.
"""

import pathlib
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import mesh  # noqa: E402

HOST = "hulo84.example"
READS, WRITES = "/leny950/", "/puka111/"
CLIENTS = 6  # a machine, on kept connections
WORK_S = 0.25  # at most 450 ms on the sheet
GAP_S, RESTART_S, GRACE_S = 1.0, 0.5, 6.0
STOP_AT_S, SECONDS = 3, 12


class KeptConnection:
    """A client that sends one request after the other on one connection."""

    def __init__(self, machine, number, results):
        self.machine, self.number, self.results = machine, number, results
        self.sent = 0

    def run(self, end):
        while mesh.now() < end:
            try:
                sock = socket.create_connection(self.machine.outbound, 1)
            except OSError:
                time.sleep(0.05)
                continue
            sock.settimeout(6)
            self._use(sock, end)
            sock.close()

    def _use(self, sock, end):
        stream = mesh.Stream(sock)
        while mesh.now() < end:
            self.sent += 1
            attempt = f"{self.machine.name}-k{self.number}-{self.sent}"
            status, closes = self._exchange(sock, stream, attempt)
            if status is None or closes:
                return
            if status != 200:
                time.sleep(0.1)

    def _exchange(self, sock, stream, attempt):
        record, is_write = self.machine.mesh.record, self.number % 2
        record(f"client sends {attempt} at {self.machine.name}")
        sent_at = mesh.now()
        try:
            sock.sendall(mesh.request_bytes(
                "POST" if is_write else "GET",
                (WRITES if is_write else READS) + attempt,
                [("Host", HOST), ("Attempt-Id", attempt),
                 ("Deadline-Ms", "5000")], b"x" * 4000 if is_write else b""))
            head = stream.read_message(is_response=True)
        except OSError:
            head = None
        status = int(head.first.split(" ")[1]) if head else None
        record(f"client of {attempt} gets {status}" if head else
               f"connection of {attempt} ends without an answer")
        self.results.append((self.machine, attempt, sent_at, mesh.now(),
                             status))
        return status, head and head.get("Connection").lower() == "close"


def restart(machine, stops):
    """SIGTERM, then a new process a short delay after the old one's end."""
    machine.stop(signal.SIGTERM)
    stops[machine] = mesh.now()
    try:
        code = machine.child.wait(GRACE_S)
    except mesh.subprocess.TimeoutExpired:
        machine.stop(signal.SIGKILL)
        code = machine.child.wait()
    machine.mesh.record(f"node {machine.name} ended {mesh.now() - stops[machine]:.2f} s "
                        f"after SIGTERM with code {code}")
    machine.codes.append(code)
    time.sleep(RESTART_S)
    machine.start()


def case(record, trouble):
    machines = [("side-a-1", "huvo11a", "a"), ("side-a-2", "wuno96b", "a"),
                ("side-b-1", "huvo11a", "b"), ("side-b-2", "wuno96b", "b")]
    with mesh.Mesh(record, machines) as deployment:
        deployment.store.put_config(7, {
            "r-reads": mesh.route(HOST, READS, "huvo11a", "idempotent"),
            "r-writes": mesh.route(HOST, WRITES, "wuno96b", "non_idempotent"),
        }, ["huvo11a", "wuno96b"])
        deployment.start_all()
        deployment.wait_ready()
        workers = [mesh.Worker(machine, machine.service, f"i-{machine.name}",
                               slots=121, work_s=WORK_S)
                   for machine in deployment.machines.values()]
        mesh.wait_for(lambda: all(
            is_served(machine, path)
            for machine in deployment.machines.values()
            for path in (READS, WRITES)), "all nodes serve")
        for machine in deployment.machines.values():
            machine.codes = []
        results, stops = [], {}
        end = mesh.now() + SECONDS
        threads = [threading.Thread(
            target=KeptConnection(machine, number, results).run, args=(end,))
            for machine in deployment.machines.values()
            for number in range(CLIENTS)]
        for thread in threads:
            thread.start()
        time.sleep(STOP_AT_S)
        if trouble:
            roll(deployment, ("side-b-1", "side-b-2"), stops)
        for thread in threads:
            thread.join()
        return check(record, results, stops, workers, deployment)


def roll(deployment, names, stops):
    """Restarts the machines in turn, each GAP_S after the one before."""
    threads = []
    for name in names:
        thread = threading.Thread(target=restart,
                                  args=(deployment[name], stops))
        thread.start()
        threads.append(thread)
        time.sleep(GAP_S)
    for thread in threads:
        thread.join()


def is_served(machine, path):
    answer = mesh.client_request(machine, "POST" if path == WRITES else "GET",
                                 HOST, path + "first",
                                 f"first-{mesh.now():.6f}")
    return answer is not None and answer.status == 200


def check(record, results, stops, workers, deployment):
    """LOST: around planned work (a SIGTERM of the machine that took the
    request, until 1 s after `grace`), a process has read a whole request and
    the connection ends without a complete answer once it has been passed on to
    a worker. Not counted: the deadline was reached, or the worker was still at
    work in the last sixth of `grace`."""
    ran = {attempt for worker in workers for _, attempt, _ in worker.runs}
    served = sum(status == 200 for *_, status in results)
    lost = []
    for machine, attempt, sent_at, ended_at, status in results:
        if status is not None or attempt not in ran or machine not in stops:
            continue
        since = ended_at - stops[machine]
        planned = 0 <= since <= GRACE_S + 1
        excused = ended_at - sent_at >= 5 or since >= GRACE_S * 5 / 6
        if planned and not excused:
            lost.append(f"{attempt} (connection closed {since:.2f} s after "
                        f"the SIGTERM)")
    codes = {name: machine.codes
             for name, machine in deployment.machines.items() if machine.codes}
    summary = (f"{served} requests served; exit codes of the stopped nodes: "
               f"{codes or 'none stopped'}; requests that a worker ran and "
               f"that were never answered: {len(lost)}")
    record(summary)
    print(summary)
    if served < 100:
        raise mesh.CannotRun("hardly anything was served")
    if not lost:
        return []
    return [f"LOST: {len(lost)} accepted requests were never answered: "
            f"{', '.join(lost)}"]


if __name__ == "__main__":
    mesh.main(case)
