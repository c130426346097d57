"""HTTP calls as callers make them, singly and as a steady load."""

import collections
import dataclasses
import http.client
import json
import threading
import time


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a caller got; status 0 means that no whole answer came."""

    status: int
    headers: dict
    body: bytes
    seconds: float
    error: str = ""

    def json(self):
        return json.loads(self.body)

    def header(self, name):
        return self.headers.get(name.lower(), "")

    @property
    def ran(self):
        return self.header("X-Amaranth-Verdict") == "ran"

    @property
    def verdict(self):
        """The node's verdict: ran, or as the failure body says."""
        if self.ran or self.status == 0:
            return "ran" if self.ran else ""
        try:
            return self.json().get("verdict", "")
        except (ValueError, AttributeError):
            return ""

    @property
    def reason(self):
        try:
            return self.json().get("reason", "")
        except (ValueError, AttributeError):
            return ""


def _request(connection, path, method, body, headers):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    start = time.monotonic()
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        data = response.read()
    except (OSError, http.client.HTTPException) as error:
        connection.close()
        return Answer(0, {}, b"", time.monotonic() - start, repr(error))
    received = {name.lower(): value for name, value in response.getheaders()}
    return Answer(response.status, received, data, time.monotonic() - start)


def call(port, path, method="GET", body=None, headers=None, timeout=10.0):
    """One call on a connection of its own."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        return _request(connection, path, method, body, headers)
    finally:
        connection.close()


def call_service(node, service, path="/", method="GET", body=None,
                 timeout=10.0, **headers):
    """A caller's request; headers by name, e.g. request_class, token."""
    return call(
        node.callers, path, method, body, service_headers(service, **headers),
        timeout,
    )


def service_headers(service, request_class="", token="", request_id="",
                    key="", deadline_ms=0, tenant=""):
    """The callers' headers, without those that are empty."""
    headers = {
        "X-Amaranth-Service": service,
        "X-Amaranth-Class": request_class,
        "X-Token": token,
        "X-Amaranth-Request-Id": request_id,
        "Idempotency-Key": key,
        "X-Amaranth-Deadline-Ms": str(deadline_ms or ""),
        "X-Amaranth-Tenant": tenant,
    }
    return {name: value for name, value in headers.items() if value}


@dataclasses.dataclass(frozen=True)
class Load:
    """One request class offered at a steady rate, whatever the answers."""

    service: str
    request_class: str
    method: str
    per_second: float
    deadline_ms: int = 2000
    # Each request uses a ticket: from the last answer of its node, or asked
    # for. A ticket makes a resend safe and needs no platform.
    ticketed: bool = False


class LoadRun:
    """Offers loads to nodes in turn until stopped; keeps every answer.

    An open loop: each request has its time from the start, so a slow answer
    does not slow the offer, as with many callers that know nothing of each
    other. `late` counts requests that no free worker could send on time.
    """

    LATE_SECONDS = 0.25

    def __init__(self, ports, loads, workers=64):
        self._ports = ports  # a function: the callers' ports in use now
        self._loads = loads
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._start = time.monotonic()
        self._next = [0] * len(loads)
        self.late = 0
        self.answers = collections.defaultdict(list)
        self._tickets = collections.defaultdict(list)  # by node
        self._threads = [
            threading.Thread(target=self._work, daemon=True)
            for _ in range(workers)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stops offering, waits for the answers and returns them by class."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        return self.answers

    def count(self):
        with self._lock:
            return sum(len(answers) for answers in self.answers.values())

    def _take(self):
        with self._lock:
            due = [
                self._start + number / load.per_second
                for number, load in zip(self._next, self._loads)
            ]
            index = due.index(min(due))
            self._next[index] += 1
            return self._loads[index], due[index], self._next[index]

    def _ticket(self, connection, port):
        with self._lock:
            if self._tickets[port]:
                return self._tickets[port].pop()
        answer = _request(connection, "/amaranth/v1/ticket", "POST", b"", {})
        return answer.json()["ticket"] if answer.status == 200 else ""

    def _work(self):
        connections = {}
        while not self._stopped.is_set():
            load, due, number = self._take()
            if self._stopped.wait(max(0.0, due - time.monotonic())):
                return
            if time.monotonic() - due > self.LATE_SECONDS:
                with self._lock:
                    self.late += 1
            self._send(connections, load, number)

    def _send(self, connections, load, number):
        ports = self._ports()
        port = ports[number % len(ports)]
        if port not in connections:
            connections[port] = http.client.HTTPConnection(
                "127.0.0.1", port, timeout=load.deadline_ms / 1000 + 5
            )
        token = f"{load.request_class}-{number}"
        headers = service_headers(
            load.service,
            load.request_class,
            token=token,
            key=self._ticket(connections[port], port) if load.ticketed else "",
            deadline_ms=load.deadline_ms,
        )
        body = b"{}" if load.method == "POST" else None
        answer = _request(
            connections[port], f"/{token}", load.method, body, headers
        )
        if answer.header("X-Amaranth-Ticket"):
            with self._lock:
                self._tickets[port].append(answer.header("X-Amaranth-Ticket"))
        with self._lock:
            self.answers[load.request_class].append((token, answer))
