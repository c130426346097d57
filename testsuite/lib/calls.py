"""HTTP requests of callers: single requests and open-loop load."""

import collections
import dataclasses
import http.client
import json
import threading
import time


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a caller received; status 0 if no complete answer arrived."""

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
        """The verdict of the node: `ran` if the header says so, otherwise the
        `verdict` of the failure body. Empty if there is none."""
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


def _send_request(connection, path, method, body, headers):
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


def http_request(port, path, method="GET", body=None, headers=None,
                 timeout=10.0):
    """Sends one HTTP request on a new connection."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        return _send_request(connection, path, method, body, headers)
    finally:
        connection.close()


def call_service(node, service, path="/", method="GET", body=None,
                 timeout=10.0, **headers):
    """Sends a caller's request to `service` through `node`.

    `headers` are the arguments of service_headers(), e.g. request_class.
    """
    return http_request(
        node.caller_port, path, method, body,
        service_headers(service, **headers),
        timeout,
    )


def service_headers(service, request_class="", token="", request_id="",
                    key="", deadline_ms=0, tenant=""):
    """Returns the headers of a caller's request; empty ones are left out."""
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
    """One request class, offered at a constant rate regardless of answers."""

    service: str
    request_class: str
    method: str
    per_second: float
    deadline_ms: int = 2000
    # Each request carries a ticket as its idempotency key: one returned with
    # an earlier answer of the same node, or a newly requested one. A ticket
    # makes a resend safe and works without the platform.
    ticketed: bool = False


class LoadRun:
    """Sends loads to the nodes in turn until stopped and keeps every answer.

    Open loop: the send time of each request is fixed from the start, so slow
    answers do not reduce the offered rate, as with many independent callers.
    `late` counts requests sent more than LATE_SECONDS after their time because
    no worker was free.
    """

    LATE_SECONDS = 0.25

    def __init__(self, ports, loads, workers=64):
        self._ports = ports  # function: returns the callers' ports in use
        self._loads = loads
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._start = time.monotonic()
        self._next = [0] * len(loads)
        self.late = 0
        self.answers = collections.defaultdict(list)
        self._tickets = collections.defaultdict(list)  # by callers' port
        self._threads = [
            threading.Thread(target=self._run_worker, daemon=True)
            for _ in range(workers)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stops sending, waits for the answers and returns them by class."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        return self.answers

    def count(self):
        with self._lock:
            return sum(len(answers) for answers in self.answers.values())

    def _next_due(self):
        with self._lock:
            due = [
                self._start + number / load.per_second
                for number, load in zip(self._next, self._loads)
            ]
            index = due.index(min(due))
            self._next[index] += 1
            return self._loads[index], due[index], self._next[index]

    def _take_ticket(self, connection, port):
        with self._lock:
            if self._tickets[port]:
                return self._tickets[port].pop()
        answer = _send_request(connection, "/amaranth/v1/ticket", "POST", b"",
                               {})
        return answer.json()["ticket"] if answer.status == 200 else ""

    def _run_worker(self):
        connections = {}
        while not self._stopped.is_set():
            load, due, number = self._next_due()
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
            key=self._take_ticket(connections[port], port)
            if load.ticketed else "",
            deadline_ms=load.deadline_ms,
        )
        body = b"{}" if load.method == "POST" else None
        answer = _send_request(
            connections[port], f"/{token}", load.method, body, headers
        )
        if answer.header("X-Amaranth-Ticket"):
            with self._lock:
                self._tickets[port].append(answer.header("X-Amaranth-Ticket"))
        with self._lock:
            self.answers[load.request_class].append((token, answer))
