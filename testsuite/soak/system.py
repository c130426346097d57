"""The system under test: nodes as processes of their own, a backend server
beside each, the store, and a proxy on each link that can be harmed."""

import concurrent.futures
import http.client
import select
import signal
import socket
import threading
import time

import faulty_proxy
import fleet
import users_platform as platform

HOST = "shop.example"
SLOW_SECONDS = 3.0
# Small, so that a few seconds of repeats show.
RETRY_SLACK = 10
# Node, service of its server, service that this one calls.
PLACES = [("a", "front", "/deep/n"), ("b", "pay", None), ("c", "pay", None),
          ("d", "deep", None), ("e", "deep", None)]

# Children are killed when the thread that started them ends, so that none
# outlives the harness; the threads that play faults end early.
_STARTER = concurrent.futures.ThreadPoolExecutor(max_workers=1)


class Worker(platform.Worker):
    """Beside `place`. Tells the record what reaches it; a path that begins with
    /slow takes SLOW_SECONDS, or until its caller leaves."""

    def __init__(self, place, name, nested, record):
        self._record, self._left_at = record, None
        self._place = place
        below = (HOST, nested) if nested else None
        super().__init__(place, place.service, name, below)
        self.proxy = faulty_proxy.FaultyProxy(self.server.address)
        self.server.address = self.proxy.address
        self._may_announce.set()

    def _announce(self):
        self._may_announce.wait()
        while self.state in ("ready", "draining"):
            draining = self.state == "draining"
            try:
                heard = self.beat(self.state) == 200
            except (OSError, http.client.HTTPException):
                heard = False
            if draining and heard and self._left_at is None:
                self._left_at = (time.monotonic(), self._place.start)
            time.sleep(platform.BEAT_SECONDS)

    def _since_leave(self):
        """Seconds since this start of the node heard of the leave; None if it
        has not."""
        if self._left_at is None or self._left_at[1] != self._place.start:
            return None
        return time.monotonic() - self._left_at[0]

    def serve(self, call):
        attempt = call.headers.get("Attempt-Id", "")
        if call.headers.get("Expect-Instance") != self.name:
            return super().serve(call)
        self._record.add_arrival(attempt, self.service, self.name,
                                 self._since_leave())
        if call.path.startswith("/slow") and self._caller_leaves(call):
            self._record.closed_early.add(attempt)
            call.close_connection = True
            return None
        if call.path.startswith("/slow"):
            self._record.ran_out.add(attempt)
        return super().serve(call)

    @staticmethod
    def _caller_leaves(call):
        end = time.monotonic() + SLOW_SECONDS
        while time.monotonic() < end:
            readable, _, _ = select.select([call.connection], [], [], 0.05)
            if not readable:
                continue
            try:
                if not call.connection.recv(1, socket.MSG_PEEK):
                    return True
            except OSError:
                return True
            time.sleep(0.05)
        return False

    def crash(self):
        self.state = "dead"
        self.proxy.close()
        self.server.shutdown()
        self.server.server_close()


class Place:
    """A host: a node that can be started again at its ports, and its server."""

    def __init__(self, run, name, service, nested, store_link, record):
        self.name, self.service, self.nested = name, service, nested
        self._run, self._store_link = run, store_link
        self._record = record
        self.start = 0  # counts up with each start of the node
        self._servers = 0
        self.node = None
        self.ports = {}
        self.start_node()
        self.worker = None
        self.start_worker()

    def start_node(self):
        flags = platform.node_flags(self.name, self._store_link.address,
                                    self.service, retry_slack=RETRY_SLACK)
        flags[flags.index("--announce-port") + 1] = str(
            self.ports.get("announce", 0))
        for flag in ("caller", "operator", "peer", "gossip"):
            flags += [f"--{flag}-port", str(self.ports.get(flag, 0))]
        self.start += 1
        self.node = _STARTER.submit(fleet.Process, self._run, self.name,
                                    "src/amaranthd/amaranthd", flags).result()
        self.ports = self.node.ports

    def start_worker(self, name=None):
        self._servers += 1
        self.worker = Worker(self, name or f"{self.name}{self._servers}",
                             self.nested, self._record)

    def ready(self):
        try:
            return platform.is_ready(self.node, timeout=2)
        except (OSError, http.client.HTTPException):
            return False


class System:
    def __init__(self, run, record):
        self.record = record
        self.store = platform.RowStore()
        self.store_link = faulty_proxy.FaultyProxy(self.store.address)
        self.version = 0
        self._change = threading.Lock()
        self.change_config()
        self.places = [Place(run, name, service, nested, self.store_link,
                             record)
                       for name, service, nested in PLACES]

    def change_config(self):
        """Adds a route; none is ever taken away."""
        with self._change:
            self.version += 1
            routes = {
                "front": platform.route(HOST, "/front/", "front"),
                "pay": platform.route(HOST, "/pay/", "pay", "non_idempotent"),
                "slow": platform.route(HOST, "/slow/", "deep"),
                "deep": platform.route(HOST, "/deep/", "deep"),
            }
            for version in range(1, self.version + 1):
                routes[f"v{version}"] = platform.route(
                    HOST, f"/v{version}/", "deep")
            self.store.put_config(self.version, routes)

    def heal(self):
        """Ends what faults left behind, for the check of the recovery."""
        self.store.come_back()
        self.store_link.heal()
        for place in self.places:
            place.node.signal(signal.SIGCONT)
            if not place.node.running:
                place.start_node()
            if place.worker.state != "ready":
                place.start_worker()
            place.worker.proxy.heal()
