"""Bytes without end, and answers that nobody reads.

A faulty backend server goes on sending where its answer should end, until the
node closes the connection; callers send bodies of the allowed size, and do not
read their answers. No node may exceed its memory limit, requests at the sound
server are served, and an affected request fails before its deadline, with a
status that lets its caller try again.
"""

import re
import socket
import sys
import threading
import time

import fleet
import users_platform as platform

HOST = "shop.example"
MEMORY_MB = 260
MAX_BODY_BYTES = 64 << 20
LIMITS = ["--memory-limit-mb", str(MEMORY_MB),
          "--max-body-bytes", str(MAX_BODY_BYTES),
          "--max-buffered-bytes", str(128 << 20)]
CLIENTS_PER_NODE = 6
# One of so many answers of the faulty server goes on without end.
FAULT_EVERY = 4
SECONDS = 2.5
MIN_AFFECTED = 5
BLOCK = b"x" * 65536
SHED = -503

HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: {0}\r\nResponse-Sig: stand-in\r\n"
LINE = b"X-Field: " + b"v" * 1000 + b"\r\n"
CHUNK = b"10000\r\n" + BLOCK + b"\r\n"
# Where the bytes without end are: what is sent before them, and what is
# repeated.
PLACES = {
    "header lines": (HEAD, LINE * 60),
    "one header line": (HEAD + "X: ", BLOCK),
    "interim answers": ("", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 999),
    "body without a length": (HEAD + "\r\n", BLOCK),
    "body over the limit": (HEAD + "Content-Length: 600000000\r\n\r\n", BLOCK),
    "chunks": (HEAD + "Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "chunk extension": (HEAD + "Transfer-Encoding: chunked\r\n\r\n4;x=", BLOCK),
    "trailers": (HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\n", LINE * 60),
    "after a whole answer": (HEAD + "Content-Length: 2\r\n\r\nok", BLOCK),
}
# Places where the answer is whole before the bytes without end begin.
HARMLESS = {"after a whole answer"}


class FaultyWorker(platform.Worker):
    """One in FAULT_EVERY of its answers goes on until the connection is closed,
    with a pause after each byte if `slow` is set."""

    def __init__(self, *arguments, **options):
        self.place, self.slow = None, False
        self.affected, self._count = set(), 0
        super().__init__(*arguments, **options)

    def serve(self, call):
        self._count += 1
        if self.place is None or self._count % FAULT_EVERY:
            return super().serve(call)
        call.body()
        attempt = call.headers["Attempt-Id"]
        self.affected.add(attempt)
        call.close_connection = True
        first, repeated = PLACES[self.place]
        try:
            call.wfile.write(first.format(attempt).encode())
            while self.slow:
                call.wfile.write(b"x")
                time.sleep(0.05)
            while True:
                call.wfile.write(repeated)
        except OSError:
            return None


def reset_peaks(nodes):
    for node in nodes:
        with open(f"/proc/{node.pid}/clear_refs", "w") as file:
            file.write("5")


def check_memory(nodes, place):
    """The peak of a node's memory, as the kernel reports it, is within the
    limit of the node."""
    peaks = []
    for node in nodes:
        fleet.check(node.running, f"{node.name} runs ({place})")
        with open(f"/proc/{node.pid}/status") as file:
            peaks.append(int(re.search(r"VmHWM:\s+(\d+)", file.read())[1]) >> 10)
    print(f"{place}: peaks {peaks} MB", end="")
    fleet.check(max(peaks) <= MEMORY_MB, f"peaks of {peaks} MB ({place})")


def outcome_of(answer):
    """Returns the status, or SHED if the node sheds load because requests take
    long: they do on a busy machine, whatever the servers send."""
    is_shed = answer.status == 503 and '"shed-at-entry"' in answer.body
    return SHED if is_shed else answer.status


def check_others(outcomes, name):
    """All but one in a hundred are served, apart from shed requests."""
    served, shed = outcomes.count(200), outcomes.count(SHED)
    print(f"; {served} of {len(outcomes)} others served, {shed} shed", end="")
    fleet.check(served + shed >= 0.99 * len(outcomes) and
                served >= 0.5 * len(outcomes), f"others are served ({name})")


def send_load(nodes, seconds):
    """Returns (attempt, outcome, seconds) of each request."""
    results, end = [], time.monotonic() + seconds

    def run(node, client):
        while time.monotonic() < end:
            attempt = f"e{node.name}{client}-{time.monotonic_ns()}"
            sent_at = time.monotonic()
            method = "GET" if len(results) % 2 else "POST"
            path = "/front/" if method == "GET" else "/writes/"
            answer = platform.request(node.ports["caller"], method,
                                      path + attempt, HOST, attempt)
            results.append((attempt, outcome_of(answer),
                            time.monotonic() - sent_at))
            time.sleep(0.005)

    threads = [threading.Thread(target=run, args=(node, client))
               for node in nodes for client in range(CLIENTS_PER_NODE)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def discarded(nodes):
    """Returns how many answers the nodes have discarded, by their metric."""
    pattern = r"amaranth_server_responses_discarded_total\S* (\d+)"
    return sum(int(count) for node in nodes for count in re.findall(
        pattern, platform.request(node.ports["operator"], "GET",
                                  "/metrics").body))


def play(nodes, faulty, place, slow=False):
    faulty.place, faulty.slow = place, slow
    reset_peaks(nodes)
    counted = discarded(nodes)
    results = []

    def enough_affected():
        # Nodes avoid the faulty server at times.
        results.extend(send_load(nodes, SECONDS))
        return sum(attempt in faulty.affected
                   for attempt, _, _ in results) >= MIN_AFFECTED
    fleet.wait_until(enough_affected, f"requests are affected ({place})", 60)
    faulty.place = None
    name = place + (", slow" if slow else "")
    check_memory(nodes, name)
    affected = [(status, seconds) for attempt, status, seconds in results
                if attempt in faulty.affected]
    others = [status for attempt, status, _ in results
              if attempt not in faulty.affected]
    check_others(others, name)
    print(f"; affected: {sorted({status for status, _ in affected})}, at most "
          f"{max((seconds for _, seconds in affected), default=0):.2f} s")
    if place in HARMLESS:
        fleet.check(all(status == 200 for status, _ in affected),
                    f"whole answers are delivered ({name})")
        return
    # 504 is the deadline. Only an answer that arrives slowly lasts until then.
    allowed = {502, 504} if slow else {502}
    statuses = {status for status, _ in affected}
    fleet.check(statuses <= allowed, f"statuses {statuses} ({name})")
    if not slow:
        fleet.check(discarded(nodes) > counted, f"a metric counts it ({name})")


def upload(node, chunked):
    """Sends a body of the allowed size; returns the status of the answer."""
    with socket.create_connection(("127.0.0.1", node.ports["caller"])) as sock:
        framing = ("Transfer-Encoding: chunked" if chunked
                   else f"Content-Length: {MAX_BODY_BYTES}")
        sock.sendall(f"POST /writes/upload HTTP/1.1\r\nHost: {HOST}\r\n"
                     f"Attempt-Id: u{time.monotonic_ns()}\r\n"
                     f"Deadline-Ms: 5000\r\n{framing}\r\n\r\n".encode())
        try:
            for _ in range(MAX_BODY_BYTES // len(BLOCK)):
                sock.sendall(CHUNK if chunked else BLOCK)
            if chunked:
                sock.sendall(b"0\r\n\r\n")
        except OSError:
            pass  # refused before its end
        return int(sock.recv(4096).split(b" ")[1])


def play_uploads(nodes):
    for chunked in (False, True):
        reset_peaks(nodes)
        status = upload(nodes[2], chunked)
        check_memory(nodes, f"upload, chunked {chunked}")
        print(f"; status {status}")
        fleet.check(status in (200, 502, 503), f"upload gets {status}")


def play_announcements(nodes):
    """A heartbeat whose body goes on until the connection is closed."""
    reset_peaks(nodes)
    address = ("127.0.0.1", nodes[0].ports["announce"])
    with socket.create_connection(address) as sock:
        sock.sendall(b"POST /-/rpc?call=workers.heartbeat&of=x HTTP/1.1\r\n"
                     b"Host: x\r\nTransfer-Encoding: chunked\r\n\r\n")
        try:
            while True:
                sock.sendall(CHUNK)
        except OSError:
            pass
    results = send_load(nodes, 0.5)
    check_memory(nodes, "endless heartbeat")
    check_others([status for _, status, _ in results], "endless heartbeat")
    print()


def play_store(nodes, store):
    """The store's answers go on without end; requests are served meanwhile."""
    reset_peaks(nodes)
    store.endless = True
    results = send_load(nodes, SECONDS)
    store.endless = False
    name = "endless answers of the store"
    check_memory(nodes, name)
    check_others([status for _, status, _ in results], name)
    print()


def play_unread(nodes, sound, size, count):
    """`count` callers request answers of `size` bytes and do not read."""
    reset_peaks(nodes)
    sound.answer_bytes = size
    callers = []
    for i in range(count):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(("127.0.0.1", nodes[2].ports["caller"]))
        sock.sendall(f"GET /large/{i} HTTP/1.1\r\nHost: {HOST}\r\n"
                     f"Attempt-Id: unread{size}-{i}\r\n"
                     f"Deadline-Ms: 5000\r\n\r\n".encode())
        callers.append(sock)
    results = send_load(nodes, SECONDS)
    for sock in callers:
        sock.close()
    name = f"{count} unread answers of {size} bytes"
    check_memory(nodes, name)
    check_others([status for _, status, _ in results], name)
    print()


class LargeWorker(platform.Worker):
    """Answers with `answer_bytes` bytes."""

    answer_bytes = 0

    def serve(self, call):
        attempt = call.headers.get("Attempt-Id", "")
        call.body()
        call.answer(200, b"x" * self.answer_bytes,
                    [("Attempt-Id", attempt), ("Response-Sig", "stand-in")])


def case(run):
    store = platform.RowStore()
    store.put_config(1, {
        "front": platform.route(HOST, "/front/", "front"),
        "writes": platform.route(HOST, "/writes/", "front", "non_idempotent"),
        "large": platform.route(HOST, "/large/", "large")})
    nodes = [platform.start_node(run, name, store, service, LIMITS)
             for name, service in (("a", "front"), ("b", "front"),
                                   ("c", "large"))]
    platform.wait_ready(nodes)
    faulty = FaultyWorker(nodes[0], "front", "faulty", slots=60)
    sound = platform.Worker(nodes[1], "front", "sound", slots=60)
    large = LargeWorker(nodes[1], "large", "large", slots=500)
    for node in nodes:
        platform.wait_served(node, HOST, "/front/1")
        platform.wait_served(node, HOST, "/large/1")
    send_load(nodes, 1)
    fleet.check(faulty.runs and sound.runs, "both servers are in use")
    for place in PLACES:
        play(nodes, faulty, place)
    for place in ("one header line", "body without a length"):
        play(nodes, faulty, place, slow=True)
    play_uploads(nodes)
    play_announcements(nodes)
    play_store(nodes, store)
    for size, count in ((4 << 20, 150), (15 << 20, 40)):
        play_unread(nodes, large, size, count)
    fleet.check("was discarded" in nodes[0].log(), "a log line says why")


if __name__ == "__main__":
    sys.exit(fleet.run_case(case))
