"""The system under test: nodes as separate processes, a backend server on the
host of each, the row store, and a proxy on each link that faults can impair."""

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

ROUTE_HOST = "shop.example"
SLOW_SECONDS = 3.0
# Small, so that excess retries exceed the bound within a few seconds.
RETRY_SLACK = 10
# Node, service of its server, path of the nested calls of that server.
HOSTS = [("a", "front", "/deep/n"), ("b", "pay", None), ("c", "pay", None),
         ("d", "deep", None), ("e", "deep", None)]

# Starts all processes. A child is killed when the thread that started it ends
# (parent death signal), so that none outlives the harness. The threads that
# inject faults end early, so they must not start processes themselves.
_PROCESS_STARTER = concurrent.futures.ThreadPoolExecutor(max_workers=1)


class Worker(platform.Worker):
    """The backend server of a host. Records the calls that reach it. A call to
    /slow takes SLOW_SECONDS, or until it is cancelled."""

    def __init__(self, host, name, nested, record):
        self._record, self._draining_since = record, None
        nested_call = (ROUTE_HOST, nested) if nested else None
        super().__init__(host, host.service, name, nested_call)
        self.proxy = faulty_proxy.FaultyProxy(self.server.address)
        self.server.address = self.proxy.address
        self._announce_allowed.set()

    def _announce(self):
        self._announce_allowed.wait()
        while self.state in ("ready", "draining"):
            draining = self.state == "draining"
            try:
                acknowledged = self.send_heartbeat(self.state) == 200
            except (OSError, http.client.HTTPException):
                acknowledged = False
            if draining and acknowledged:
                self._note_draining()
            time.sleep(platform.HEARTBEAT_SECONDS)

    def leave(self):
        status = super().leave()
        if status == 200:
            self._note_draining()
        return status

    def _note_draining(self):
        if self._draining_since is None:
            self._draining_since = time.monotonic()

    def _seconds_since_draining(self):
        """Seconds since any process of the node acknowledged that the server
        drains or leaves; None if none has."""
        if self._draining_since is None:
            return None
        return time.monotonic() - self._draining_since

    def serve(self, call):
        attempt = call.headers.get("Attempt-Id", "")
        if call.headers.get("Expect-Instance") != self.name:
            return super().serve(call)
        self._record.add_arrival(attempt, self.service, self.name,
                                 self._seconds_since_draining())
        if call.path.startswith("/slow") and self._is_cancelled(call):
            self._record.cancelled_at_server.add(attempt)
            call.close_connection = True
            return None
        if call.path.startswith("/slow"):
            self._record.ran_to_end.add(attempt)
        return super().serve(call)

    @staticmethod
    def _is_cancelled(call):
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


class Host:
    """A node, which can be restarted on the same ports, and its server."""

    def __init__(self, run, name, service, nested, store_link, record):
        self.name, self.service, self.nested = name, service, nested
        self._run, self._store_link = run, store_link
        self._record = record
        self.incarnation = 0  # number of starts of the node
        self._server_count = 0
        self.node = None
        self.ports = {}
        self.start_node()
        self.worker = None
        self.start_worker()

    def start_node(self):
        flags = platform.node_flags(self.name, self._store_link.address,
                                    self.service, retry_slack=RETRY_SLACK,
                                    ports=self.ports)
        self.incarnation += 1
        self.node = _PROCESS_STARTER.submit(fleet.Process, self._run, self.name,
                                            "src/amaranthd/amaranthd",
                                            flags).result()
        self.ports = self.node.ports

    def start_worker(self, name=None):
        self._server_count += 1
        self.worker = Worker(self, name or f"{self.name}{self._server_count}",
                             self.nested, self._record)

    def is_ready(self):
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
        self._change_lock = threading.Lock()
        self.change_config()
        self.hosts = [Host(run, name, service, nested, self.store_link,
                           record)
                       for name, service, nested in HOSTS]

    def change_config(self):
        """Publishes a version with one more route; no route is ever removed."""
        with self._change_lock:
            self.version += 1
            routes = {
                "front": platform.route(ROUTE_HOST, "/front/", "front"),
                "pay": platform.route(ROUTE_HOST, "/pay/", "pay",
                                      "non_idempotent"),
                "slow": platform.route(ROUTE_HOST, "/slow/", "deep"),
                "deep": platform.route(ROUTE_HOST, "/deep/", "deep"),
            }
            for version in range(1, self.version + 1):
                routes[f"v{version}"] = platform.route(
                    ROUTE_HOST, f"/v{version}/", "deep")
            self.store.put_config(self.version, routes)

    def clear_faults(self):
        """Undoes all faults that are still in effect."""
        self.store.make_available()
        self.store_link.clear_faults()
        for host in self.hosts:
            host.node.signal(signal.SIGCONT)
            if not host.node.running:
                host.start_node()
            if host.worker.state != "ready":
                host.start_worker()
            host.worker.proxy.clear_faults()
