"""Callers of the soak and a watcher of the route configuration."""

import datetime
import http.client
import random
import socket
import threading
import time

import record as records
import users_platform as platform
from system import ROUTE_HOST

REQUEST_KINDS = [("front", "/front/", False), ("pay", "/pay/", True),
                 ("deep", "/deep/", False), ("pay", "/pay/", True)]
# Far above the request deadline of 4 s: on an overloaded machine the nodes get
# no processor time for seconds, and answers that are late for that reason still
# count as answers.
TIMEOUT_SECONDS = 30.0
CANCELLED_SHARE = 0.04
UPLOAD_SHARE = 0.05
UPLOAD_BYTES = 200_000
PAUSE_SECONDS = 0.01


class Caller(threading.Thread):
    """Sends requests to random nodes on kept-alive connections. Each connection
    is used until it fails."""

    def __init__(self, number, seed, system, stop):
        super().__init__(daemon=True)
        self._number = number
        self._random = random.Random(f"{seed}/caller{number}")
        self._system, self._record, self._stopped = system, system.record, stop
        self._connections = {}
        self._count = 0

    def run(self):
        while not self._stopped.is_set():
            host = self._random.choice(self._system.hosts)
            if self._random.random() < CANCELLED_SHARE:
                self._send_and_cancel(host)
            else:
                self._send_one(host)
            time.sleep(PAUSE_SECONDS)

    def _new_request(self, service, non_idempotent, host):
        self._count += 1
        request = records.SentRequest(f"c{self._number}x{self._count}",
                                      service, non_idempotent,
                                      f"{host.name}/{host.incarnation}")
        self._record.add_request(request)
        return request

    def _send_one(self, host):
        service, prefix, non_idempotent = self._random.choice(REQUEST_KINDS)
        request = self._new_request(service, non_idempotent, host)
        path = f"{prefix}{request.attempt}"
        upload = non_idempotent and self._random.random() < UPLOAD_SHARE
        body = b"x" * UPLOAD_BYTES if upload else None
        connection = self._connection(host)
        started = time.monotonic()
        try:
            connection.request("POST" if non_idempotent else "GET", path,
                               body=body, headers=self._headers(request))
            answer = platform.Answer(connection.getresponse())
        except (OSError, http.client.HTTPException) as error:
            request.error = (f"{error!r} after "
                             f"{time.monotonic() - started:.3f} s, "
                             f"at {datetime.datetime.utcnow().time()}")
            connection.close()
            self._connections.pop((host.name, host.incarnation), None)
            return
        self._record.check_answer(request, answer, path)

    @staticmethod
    def _headers(request):
        return {"Host": ROUTE_HOST, "Attempt-Id": request.attempt,
                "Deadline-Ms": "4000"}

    def _connection(self, host):
        key = (host.name, host.incarnation)
        if key not in self._connections:
            self._connections[key] = http.client.HTTPConnection(
                "127.0.0.1", host.ports["caller"], timeout=TIMEOUT_SECONDS)
        return self._connections[key]

    def _send_and_cancel(self, host):
        request = self._new_request("deep", False, host)
        request.cancelled = True
        header_lines = "".join(f"{name}: {value}\r\n"
                               for name, value
                               in self._headers(request).items())
        try:
            with socket.create_connection(
                    ("127.0.0.1", host.ports["caller"]), timeout=2) as caller:
                caller.sendall(f"GET /slow/{request.attempt} HTTP/1.1\r\n"
                               f"{header_lines}\r\n".encode())
                time.sleep(self._random.uniform(0.1, 0.4))
        except OSError:
            pass


class ConfigWatcher(threading.Thread):
    """Requests the routes of known configuration versions from one node. A
    version that the node has served must not be answered with 404 later by the
    same process."""

    def __init__(self, host, system, stop):
        super().__init__(daemon=True)
        self._host, self._system, self._stopped = host, system, stop
        self._highest_served = {}
        self._count = 0

    def run(self):
        while not self._stopped.is_set():
            self.check_versions()
            time.sleep(0.1)

    def check_versions(self):
        incarnation, version = self._host.incarnation, self._system.version
        highest = self._highest_served.get(incarnation, 0)
        for probed in {max(highest, 1), version}:
            self._count += 1
            try:
                status = platform.request(
                    self._host.ports["caller"], "GET", f"/v{probed}/x",
                    host=ROUTE_HOST, timeout=TIMEOUT_SECONDS,
                    attempt=f"w{self._host.name}{self._count}").status
            except (OSError, http.client.HTTPException):
                continue
            if status == 200:
                self._highest_served[incarnation] = max(
                    self._highest_served.get(incarnation, 0), probed)
            if status == 404 and probed <= highest and \
                    incarnation == self._host.incarnation:
                self._system.record.add_violation(
                    "settings", f"{self._host.name}/{incarnation} served "
                    f"version {highest} and then 404 for version {probed}")
