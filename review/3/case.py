"""One client uploads a body of the size that the configuration allows. The node
must not lose what it has accepted from others.

The stand-in of the platform does what DEPLOY.md says: it kills a process that
exceeds `memoryLimitMb`, and starts it again after a short delay.
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
READS, UPLOADS = "/leny950/", "/cufi502/"
# `limits` of the configuration, see Store.put_config: maxBodyBytes.
MAX_BODY_BYTES = 67108864
# The largest upload on the sheet of the small deployment.
USUAL_BODY_BYTES = 360000
CHUNK = 65536
CLIENTS = 10  # at the machine of the upload, on kept connections
WORK_S = 0.25  # at most 450 ms on the sheet
UPLOAD_AT_S, SECONDS = 6, 12
RESTART_S = 0.5


def peak_kb(pid):
    """Returns the largest resident size that the process has had, in KiB."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0
    for line in status.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1])
    return 0


class MemoryLimit:
    """Kills nodes that have exceeded memoryLimitMb, read as MiB, and starts
    them again. Bytes that a node has not read yet are not counted, although
    the platform counts them."""

    def __init__(self, deployment):
        self.deployment, self.kills = deployment, []
        self.peaks = {name: 0 for name in deployment.machines}
        threading.Thread(target=self._watch, daemon=True).start()

    def _watch(self):
        while True:
            for name, machine in self.deployment.machines.items():
                peak = peak_kb(machine.child.pid)
                self.peaks[name] = max(self.peaks[name], peak)
                if peak > mesh.MEMORY_MB * 1024:
                    self._kill(machine, peak)
            time.sleep(0.002)

    def _kill(self, machine, peak):
        self.deployment.record(
            f"node {machine.name} has used {peak / 1024:.1f} MiB of "
            f"{mesh.MEMORY_MB}: the platform kills it")
        self.kills.append(mesh.now())
        machine.stop(signal.SIGKILL)
        machine.child.wait()
        time.sleep(RESTART_S)
        machine.start()


class KeptConnection:
    """A client that sends one request after the other on one connection."""

    def __init__(self, machine, number):
        self.machine, self.number = machine, number
        self.lost = []  # attempts whose connection ended without an answer
        self.served = 0

    def run(self, end):
        sent = 0
        while mesh.now() < end:
            try:
                sock = socket.create_connection(self.machine.outbound, 1)
            except OSError:
                time.sleep(0.05)
                continue
            sent = self._use(sock, sent, end)
            sock.close()

    def _use(self, sock, sent, end):
        sock.settimeout(6)
        stream, record = mesh.Stream(sock), self.machine.mesh.record
        while mesh.now() < end:
            sent += 1
            attempt = f"{self.machine.name}-k{self.number}-{sent}"
            record(f"client sends {attempt}")
            try:
                sock.sendall(mesh.request_bytes("GET", READS + attempt, [
                    ("Host", HOST), ("Attempt-Id", attempt),
                    ("Deadline-Ms", "5000")]))
                head = stream.read_message(is_response=True)
            except OSError:
                head = None
            if head is None:
                record(f"connection of {attempt} ends without an answer")
                self.lost.append(attempt)
                return sent
            status = int(head.first.split(" ")[1])
            record(f"client of {attempt} gets {status}")
            self.served += status == 200
            if status != 200:
                time.sleep(0.05)
            if head.get("Connection").lower() == "close":
                return sent
        return sent


def upload(machine, size):
    """Sends an upload in chunks; returns the status line, or None."""
    record = machine.mesh.record
    record(f"client sends upload-1, a body of {size} bytes in chunks")
    head = mesh.request_bytes("POST", UPLOADS + "1", [
        ("Host", HOST), ("Attempt-Id", "upload-1"), ("Deadline-Ms", "5000"),
        ("Transfer-Encoding", "chunked")]).replace(b"Content-Length: 0\r\n",
                                                   b"")
    try:
        with socket.create_connection(machine.outbound, 5) as sock:
            sock.sendall(head)
            for start in range(0, size, CHUNK):
                part = b"x" * min(CHUNK, size - start)
                sock.sendall(b"%x\r\n" % len(part) + part + b"\r\n")
            sock.sendall(b"0\r\n\r\n")
            answer = mesh.Stream(sock).read_message(is_response=True)
    except OSError as error:
        record(f"client of upload-1 has no answer: {error}")
        return None
    record(f"client of upload-1 gets {answer and answer.first}")
    return answer and answer.first


def case(record, trouble):
    machines = [("side-a-1", "huvo11a", "a"), ("side-a-2", "kafi81c", "a"),
                ("side-b-1", "lovo22d", "b")]
    with mesh.Mesh(record, machines) as deployment:
        deployment.store.put_config(7, {
            "r-reads": mesh.route(HOST, READS, "huvo11a", "idempotent"),
            "r-uploads": mesh.route(HOST, UPLOADS, "kafi81c", "upload"),
        }, ["huvo11a", "kafi81c", "lovo22d"])
        deployment.start_all()
        deployment.wait_ready()
        reads = mesh.Worker(deployment["side-a-1"], "huvo11a", "i-reads",
                            slots=121, work_s=WORK_S)
        mesh.Worker(deployment["side-a-2"], "kafi81c", "i-uploads",
                    slots=162, work_s=0.072)
        entry = deployment["side-b-1"]
        for path in (READS, UPLOADS):
            mesh.wait_for(lambda: is_served(entry, path), f"{path} is served")
        limit = MemoryLimit(deployment)
        start = mesh.now()
        clients = [KeptConnection(entry, number) for number in range(CLIENTS)]
        threads = [threading.Thread(target=client.run,
                                    args=(start + SECONDS,))
                   for client in clients]
        for thread in threads:
            thread.start()
        time.sleep(UPLOAD_AT_S)
        upload(entry, MAX_BODY_BYTES if trouble else USUAL_BODY_BYTES)
        for thread in threads:
            thread.join()
        return check(record, clients, reads, limit)


def is_served(machine, path):
    answer = mesh.client_request(machine, "POST" if path == UPLOADS else "GET",
                                 HOST, path + "first",
                                 f"first-{mesh.now():.6f}")
    return answer is not None and answer.status == 200


def check(record, clients, worker, limit):
    """LOST: at any time, a machine in touch passes a request from a kept
    connection on to a sound worker and closes that connection without an
    answer, more than three times. A process that ends by itself counts as
    running all the while."""
    ran = {attempt for _, attempt, _ in worker.runs}
    served = sum(client.served for client in clients)
    lost = [attempt for client in clients for attempt in client.lost
            if attempt in ran]
    peaks = ", ".join(f"{name} {peak / 1024:.1f}"
                      for name, peak in limit.peaks.items())
    summary = (f"{served} requests served; peak memory in MiB: {peaks}; "
               f"processes killed over the limit: {len(limit.kills)}; requests "
               f"that a worker ran and that were never answered: {len(lost)}")
    record(summary)
    print(summary)
    if served < 100:
        raise mesh.CannotRun("hardly anything was served")
    if len(lost) <= 3:
        return []
    return [f"LOST: {len(lost)} requests from kept connections were passed on "
            f"to a sound worker and never answered: {', '.join(lost)}"]


if __name__ == "__main__":
    mesh.main(case)
