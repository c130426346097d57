"""A small deployment on loopback addresses: nodes started with the command of
deploy/system.toml, a stand-in of the platform's store, workers and clients.

All stand-ins follow PROTOCOL.md. Each machine has a loopback address of its
own; the ports are the same on all machines, as on a day of the users.
"""

import base64
import json
import os
import pathlib
import signal
import socket
import re
import shutil
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]

# Settings of the small deployments (SYSTEM.md).
BEAT, DRAIN, GRACE, APPLY, TOUCH = "1500ms", "2000ms", "6s", "2000ms", 3.0
MEMORY_MB = 260

START = time.monotonic()


def now():
    """Seconds since the script started, on the steady clock."""
    return time.monotonic() - START


class Record:
    """Writes record.txt: one line for each thing sent, answered or run."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._lock = threading.Lock()

    def __call__(self, text):
        with self._lock:
            self._file.write(f"{now():9.3f} {text}\n")
            self._file.flush()


def free_ports(ips, count):
    """Returns port numbers that are free (TCP and UDP) on all `ips`."""
    ports = []
    while len(ports) < count:
        held = []
        try:
            probe = socket.socket()
            held.append(probe)
            probe.bind((ips[0], 0))
            port = probe.getsockname()[1]
            for ip in ips[1:]:
                other = socket.socket()
                held.append(other)
                other.bind((ip, port))
            for ip in ips:
                datagram = socket.socket(type=socket.SOCK_DGRAM)
                held.append(datagram)
                datagram.bind((ip, port))
            if port not in ports:
                ports.append(port)
        except OSError:
            pass
        finally:
            for sock in held:
                sock.close()
    return ports


class Head:
    """A parsed request or response: first line, headers, body."""

    def __init__(self, first, headers, body=b"", complete=True):
        self.first, self.headers, self.body = first, headers, body
        self.complete = complete

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


class Stream:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock, self._data = sock, b""

    def _more(self):
        data = self.sock.recv(65536)
        self._data += data
        return bool(data)

    def read_head(self):
        """Returns the head, or None if the connection ends before one."""
        while b"\r\n\r\n" not in self._data:
            if not self._more():
                return None
        text, _, self._data = self._data.partition(b"\r\n\r\n")
        lines = text.decode("latin-1").split("\r\n")
        headers = [tuple(part.strip() for part in line.split(":", 1))
                   for line in lines[1:] if ":" in line]
        return Head(lines[0], headers)

    def _take(self, size):
        while len(self._data) < size:
            if not self._more():
                return None
        taken, self._data = self._data[:size], self._data[size:]
        return taken

    def _line(self):
        while b"\r\n" not in self._data:
            if not self._more():
                return None
        line, _, self._data = self._data.partition(b"\r\n")
        return line

    def read_message(self, is_response=False):
        head = self.read_head()
        if head is None:
            return None
        if "chunked" in head.get("Transfer-Encoding").lower():
            while True:
                line = self._line()
                if line is None:
                    head.complete = False
                    return head
                size = int(line.split(b";")[0], 16)
                part = self._take(size + 2)
                if part is None:
                    head.complete = False
                    return head
                head.body += part[:-2]
                if size == 0:
                    return head
        length = head.get("Content-Length")
        if length:
            body = self._take(int(length))
            head.complete = body is not None
            head.body = self._data if body is None else body
        elif is_response:
            while self._more():
                pass
            head.body, self._data = self._data, b""
        return head

    def leftover(self):
        return self._data


def serve(address, handle):
    """Accepts connections at `address` ("ip:port", port 0 for any) and calls
    `handle(sock)` in a thread for each. Returns the address."""
    ip, _, port = address.rpartition(":")
    listener = socket.create_server((ip, int(port)), backlog=200)

    def run(sock):
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            handle(sock)
        except OSError:
            pass
        finally:
            sock.close()

    def accept():
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=run, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return f"{ip}:{listener.getsockname()[1]}"


def response(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def as_json(status, value):
    return response(status, [("Content-Type", "application/json")],
                    json.dumps(value).encode())


class Store:
    """The platform's store: rows with versions, reads, feeds, transactions."""

    def __init__(self, ip):
        self._changed = threading.Condition()
        self._rows = {}  # (table, part, key) -> (value, ver)
        self._ver = 1
        self.address = serve(f"{ip}:0", self._handle)

    def put(self, table, key, value):
        with self._changed:
            self._ver += 1
            self._rows[table, "", key] = (value, self._ver)
            self._changed.notify_all()

    def put_config(self, version, routes, services, tenants=None):
        config = {"version": f"r{version}", "routes": routes,
                  "services": {name: {"healthPath": "/healthz",
                                      "maxConns": 800} for name in services},
                  "limits": {"maxHeaderBytes": 16384,
                             "maxBodyBytes": 67108864,
                             "headerTimeout": "3000ms",
                             "idleTimeout": "15000ms"}}
        if tenants is not None:
            config["tenants"] = tenants
        self.put("op", "config",
                 base64.b64encode(json.dumps(config).encode()).decode())

    def _reply(self, rows):
        return {"rows": rows, "ver": self._ver,
                "now": f"{int(time.monotonic() * 1000)}ms", "hasMore": False}

    def _select(self, table, after):
        chosen = [(ver, part, key, value) for (of, part, key), (value, ver)
                  in self._rows.items() if of == table and ver > after]
        return [{"table": table, "part": part, "key": key, "value": value,
                 "ver": ver} for ver, part, key, value in sorted(chosen)]

    def _handle(self, sock):
        stream = Stream(sock)
        while True:
            request = stream.read_message()
            if request is None:
                return
            sock.sendall(self._answer(request))

    def _answer(self, request):
        method, target, _ = request.first.split(" ")
        path, _, text = target.partition("?")
        query = dict(pair.partition("=")[::2]
                     for pair in text.split("&") if pair)
        if path == "/-/rows-get":
            with self._changed:
                rows = self._select(query["table"], 0)
                rows.sort(key=lambda row: row["key"])
                return as_json(200, self._reply(rows))
        if path == "/-/rows-feed":
            after, wait = int(query["after"]), int(query["waitMs"]) / 1000
            with self._changed:
                self._changed.wait_for(
                    lambda: self._select(query["table"], after), wait)
                return as_json(200, self._reply(
                    self._select(query["table"], after)))
        if path == "/-/rows-tx" and method == "POST":
            body = json.loads(request.body)
            with self._changed:
                for row in body.get("expect", []):
                    key = (row["table"], row.get("part", ""), row["key"])
                    if self._rows.get(key, ("", 0))[1] != row["ver"]:
                        return as_json(412, self._reply([]))
                for row in body.get("upserts", []):
                    self._ver += 1
                    key = (row["table"], row.get("part", ""), row["key"])
                    self._rows[key] = (row["value"], self._ver)
                for row in body.get("remove", []):
                    self._rows.pop((row["table"], row.get("part", ""),
                                    row["key"]), None)
                self._changed.notify_all()
                return as_json(200, {"ver": self._ver,
                                     "now": self._reply([])["now"]})
        return as_json(404, {"error": "no such call"})


def route(host, prefix, service, kind, timeout="5000ms", aim="1200ms",
          priority=1, attempts=2):
    return {"host": host, "prefix": prefix, "service": service, "kind": kind,
            "timeout": timeout, "targetLatency": aim, "priority": priority,
            "attempts": attempts}


class Machine:
    """One `side` machine: a node, and the address of the worker beside it."""

    def __init__(self, mesh, name, service, zone, ip):
        self.mesh, self.name, self.service = mesh, name, service
        self.zone, self.ip, self.child = zone, ip, None
        self.log = open(mesh.folder / f"{name}.log", "ab")
        self.control = None  # set if heartbeats pass a proxy

    def _fields(self):
        ports = self.mesh.ports
        return {"node": self.name, "region": "review", "zone": self.zone,
                "ip": self.ip, "listen.outbound": ports[0],
                "listen.ready": ports[1], "listen.control": ports[2],
                "portRange.0": ports[3], "platform.addr":
                self.mesh.store.address, "service": self.service,
                "beat": BEAT, "bounds.drain": DRAIN, "bounds.grace": GRACE,
                "bounds.apply": APPLY, "bounds.retryRatio": 0.2,
                "bounds.retrySlack": 47, "bounds.retryWindow": "10s",
                "limits.memoryLimitMb": MEMORY_MB}

    def start(self):
        text = (ROOT / "deploy/system.toml").read_text()
        command = re.search(r'^run = "(.*)"$', text, re.MULTILINE).group(1)
        for name, value in self._fields().items():
            command = command.replace("{{" + name + "}}", str(value))
        if "{{" in command:
            raise RuntimeError(f"unknown field in: {command}")
        self.child = subprocess.Popen(
            command.split(), cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=subprocess.STDOUT,
            env={key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                 if key in os.environ})
        self.mesh.record(f"start node {self.name} pid={self.child.pid}")

    def stop(self, number):
        self.mesh.record(f"signal {signal.Signals(number).name} to node "
                         f"{self.name}")
        self.child.send_signal(number)

    @property
    def outbound(self):
        return (self.ip, self.mesh.ports[0])

    def is_ready(self):
        try:
            return exchange((self.ip, self.mesh.ports[1]), "GET",
                            "/-/readyz", timeout=2).status == 200
        except OSError:
            return False


class Mesh:
    """The deployment. As a context manager it ends all processes on exit."""

    def __init__(self, record, machines):
        """`machines`: list of (name, service, zone)."""
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        ips = [f"127.53.0.{i + 10}" for i in range(len(machines))]
        self.ports = free_ports(ips, 4)
        self.store = Store("127.53.0.2")
        self.machines = {
            name: Machine(self, name, service, zone, ip)
            for (name, service, zone), ip in zip(machines, ips)}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for machine in self.machines.values():
            if machine.child and machine.child.poll() is None:
                machine.child.send_signal(signal.SIGCONT)
                machine.child.kill()
            if machine.child:
                machine.child.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def __getitem__(self, name):
        return self.machines[name]

    def start_all(self):
        for machine in self.machines.values():
            machine.start()

    def wait_ready(self, timeout=30):
        wait_for(lambda: all(machine.is_ready()
                             for machine in self.machines.values()),
                 "all nodes are ready", timeout)


class CannotRun(Exception):
    """The case could not be set up."""


def main(case, limit_s=115):
    """Runs `case(record, trouble)`, which returns what broke the rule, a list
    of texts. Exits with 1 if there is any, 0 if the rule held, 2 if the case
    could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    record(f"trouble={trouble}")
    signal.signal(signal.SIGALRM, _too_long)
    signal.alarm(limit_s)
    try:
        broken = case(record, trouble)
    except (CannotRun, OSError) as error:
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}", flush=True)
        os._exit(2)
    for count, text in enumerate(broken):
        record(f"BROKEN: {text}")
        if count < 3:
            print(f"BROKEN: {text}")
    if len(broken) > 3:
        print(f"... and {len(broken) - 3} more; see record.txt")
    record(f"result: {'broken' if broken else 'held'}")
    print("the rule was broken" if broken else "the rule held")
    sys.stdout.flush()
    os._exit(1 if broken else 0)


def _too_long(*_):
    raise CannotRun("time limit of the script")


def wait_for(condition, what, timeout=30):
    end = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > end:
            raise CannotRun(f"timed out: {what}")
        time.sleep(0.05)


class Answer:
    def __init__(self, head, leftover=b""):
        self.status = int(head.first.split(" ")[1])
        self.get, self.body = head.get, head.body
        self.complete, self.leftover = head.complete, leftover


def request_bytes(method, target, headers=(), body=b""):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines + ["", ""]).encode() + body


def exchange(address, method, target, headers=(), body=b"", timeout=10):
    """Sends one request on a new connection. Raises OSError if the connection
    ends without an answer."""
    with socket.create_connection(address, timeout=timeout) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.sendall(request_bytes(method, target, headers, body))
        stream = Stream(sock)
        head = stream.read_message(is_response=True)
        if head is None:
            raise ConnectionError("closed without an answer")
        return Answer(head, stream.leftover())


def client_request(machine, method, host, path, attempt, deadline_ms=5000,
                   body=b""):
    """One client attempt at the node of `machine`; records it. Returns the
    answer, or None if the connection ended without one."""
    headers = [("Host", host), ("Attempt-Id", attempt),
               ("Deadline-Ms", str(deadline_ms))]
    record = machine.mesh.record
    record(f"client sends {attempt} {method} {path} at {machine.name}")
    try:
        answer = exchange(machine.outbound, method, path, headers, body,
                          timeout=deadline_ms / 1000 + 1)
    except OSError as error:
        record(f"client of {attempt} has no answer: {error}")
        return None
    record(f"client of {attempt} gets {answer.status} "
           f"sig={answer.get('Response-Sig') or '-'} "
           f"body={len(answer.body)} bytes complete={answer.complete}")
    return answer


class Worker:
    """A worker. `behave(worker, sock, request, run)` may send the answer
    itself and return False to end the connection or True to keep it; it
    returns None to let the worker answer as usual."""

    def __init__(self, machine, service, ident, slots=20, work_s=0.005,
                 behave=None):
        self.machine, self.service, self.ident = machine, service, ident
        self.record = machine.mesh.record
        self.slots, self.work_s, self.behave = slots, work_s, behave
        self.runs = []  # (time, attempt id, request)
        self.answers = {}  # attempt id -> (status, body, signature)
        self.seq, self.state = 0, "ready"
        self.beating = True
        self.address = serve(f"{machine.ip}:0", self._handle)
        threading.Thread(target=self._beat, daemon=True).start()

    def control(self):
        return self.machine.control or (self.machine.ip,
                                        self.machine.mesh.ports[2])

    def heartbeat_body(self):
        self.seq += 1
        return json.dumps({
            "addr": self.address,
            "info": {"service": self.service, "version": "v1",
                     "zone": self.machine.zone, "slots": self.slots},
            "status": {"state": self.state, "seq": self.seq,
                       "coldLeft": "0ms"}}).encode()

    def call_control(self, call, body, timeout=1.0):
        try:
            return exchange(self.control(), "POST",
                            f"/-/rpc?call=workers.{call}&of={self.ident}",
                            [("Host", "control"),
                             ("Content-Type", "application/json")],
                            body, timeout).status
        except OSError:
            return None

    def _beat(self):
        while self.beating:
            self.call_control("heartbeat", self.heartbeat_body())
            time.sleep(1.5)

    def leave(self):
        """Sends the leave; returns the time of its acknowledgement."""
        self.beating = False
        status = self.call_control("leave", b"{}")
        self.record(f"worker {self.ident} leaves: {status}")
        return now() if status == 200 else None

    def _handle(self, sock):
        stream = Stream(sock)
        while True:
            request = stream.read_message()
            if request is None or not self.serve_one(sock, request):
                return

    def serve_one(self, sock, request):
        attempt = request.get("Attempt-Id")
        echo = [("Attempt-Id", attempt), ("Instance", self.ident)]
        if request.first.startswith("GET /healthz"):
            sock.sendall(response("200 OK", [("Instance", self.ident)]))
            return True
        expected = request.get("Expect-Instance")
        if expected and expected != self.ident:
            sock.sendall(response("421 Misdirected Request", echo))
            return True
        self.runs.append((now(), attempt, request))
        self.record(f"worker {self.ident} runs {attempt} {request.first}")
        time.sleep(self.work_s)
        if self.behave is not None:
            kept = self.behave(self, sock, request, len(self.runs))
            if kept is not None:
                return kept
        body = self.body_for(request)
        sock.sendall(response("200 OK", echo + [
            ("Response-Sig", self.sign(attempt))], body))
        self.note(attempt, 200, body)
        return True

    def body_for(self, request):
        return f"{self.ident} {request.first} ".encode() * 20

    def sign(self, attempt):
        return f"sig-{attempt}"

    def note(self, attempt, status, body):
        self.answers[attempt] = (status, body, self.sign(attempt))
        self.record(f"worker {self.ident} answered {attempt} with {status}, "
                    f"{len(body)} bytes")
