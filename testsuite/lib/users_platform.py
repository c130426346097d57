"""Stand-ins for the users' platform, written from its published protocol: a row
store and a backend server that announces itself and makes nested calls. Starts
nodes that use both. Everything listens on 127.0.0.1, port 0.
"""

import base64
import collections
import http.client
import http.server
import json
import threading
import time

import fleet

SIGNATURE = "stand-in"
HEARTBEAT_SECONDS = 0.2
# Time for which a connection stays open whose answer is lost.
LOST_ANSWER_SECONDS = 60


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 100

    def handle_error(self, request, client_address):
        """Ignores the error: a client that disconnects is not a fault here."""

    def __init__(self, handler):
        super().__init__(("127.0.0.1", 0), handler)
        self.address = f"127.0.0.1:{self.server_port}"
        threading.Thread(target=self.serve_forever, daemon=True).start()


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def answer(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def answer_endlessly(self):
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        try:
            while True:
                self.wfile.write(b"10000\r\n" + b"x" * 65536 + b"\r\n")
        except OSError:
            self.close_connection = True

    def answer_json(self, status, value, headers=()):
        self.answer(status, json.dumps(value).encode(),
                    [("Content-Type", "application/json"), *headers])


class RowStore:
    """Rows by table and key, with one version counter and long-poll watches.
    Simulates outages (503 to every call), lost answers and a restore from a
    copy; the era in its answers counts the restores."""

    def __init__(self):
        self.unavailable = False
        self.endless = False  # bodies of answers go on until the call is closed
        self.writes = 0
        self.era = 1
        self._changed = threading.Condition()
        self._rows = {}
        self._version = 1
        self._lost_watches = 0
        self._started = time.monotonic()
        self._silent_to = set()
        self.watches = collections.Counter()  # by name of the address
        self.address = self.address_for("")

    def address_for(self, name):
        """Opens an address of its own, whose calls are counted under `name`
        and can be silenced."""
        store = self

        class Handler(_Handler):
            def do_GET(self):
                store.read(self, name)

            def do_POST(self):
                store.write(self)

        return _Server(Handler).address

    def put(self, table, key, value):
        with self._changed:
            self._version += 1
            self._rows[table, key] = (value, self._version)
            self._changed.notify_all()

    def put_config(self, version, routes, tenants=None):
        config = {"version": f"r{version}", "routes": routes, "services": {},
                  "limits": {}}
        if tenants is not None:
            config["tenants"] = tenants
        self.put("op", "config",
                 base64.b64encode(json.dumps(config).encode()).decode())

    def _rows_after(self, table, after):
        rows = [{"table": table, "part": "", "key": key, "value": value,
                 "ver": version}
                for (of, key), (value, version) in sorted(self._rows.items())
                if of == table and version > after]
        return {"rows": rows, "ver": self._version, "now": self._now(),
                "hasMore": False}

    def _now(self):
        return f"{int((time.monotonic() - self._started) * 1000)}ms"

    def _headers(self):
        return [("Store-Era", str(self.era))]

    def read(self, call, name=""):
        self._keep_silent(name)
        if self.unavailable:
            return call.answer(503, headers=self._headers())
        if self.endless:
            return call.answer_endlessly()
        path, _, text = call.path.partition("?")
        query = dict(part.partition("=")[::2] for part in text.split("&"))
        after = int(query.get("after", 0))
        table = query["table"]
        wait = int(query.get("waitMs", 0)) / 1000
        if path.endswith("rows-feed"):
            self.watches[name] += 1
            return self._feed(call, name, table, after, wait)
        with self._changed:
            reply = self._rows_after(table, 0)
        return call.answer_json(200, reply, self._headers())

    def _keep_silent(self, name):
        if name in self._silent_to:
            threading.Event().wait(LOST_ANSWER_SECONDS)

    def silence(self, names):
        """Answers no call, and no open watch, at the addresses of `names`."""
        self._silent_to = set(names)

    def _feed(self, call, name, table, after, wait):
        with self._changed:
            if after > self._version:
                return call.answer(410, headers=self._headers())
            era, lost = self.era, self._lost_watches
            self._changed.wait_for(
                lambda: self.unavailable or self.era != era or
                self._lost_watches != lost or
                self._rows_after(table, after)["rows"],
                wait)
            restored, was_lost = self.era != era, self._lost_watches != lost
            reply = self._rows_after(table, after)
        self._keep_silent(name)
        if was_lost:
            threading.Event().wait(LOST_ANSWER_SECONDS)
        if restored or was_lost:
            call.close_connection = True
            return None
        if self.unavailable:
            return call.answer(503, headers=self._headers())
        return call.answer_json(200, reply, self._headers())

    def write(self, call):
        body = json.loads(call.body())
        if self.unavailable:
            return call.answer(503, headers=self._headers())
        for row in body["upserts"]:
            self.put(row["table"], row["key"], row["value"])
        self.writes += 1
        return call.answer_json(200, {"ver": self._version, "now": self._now()},
                                self._headers())

    def keys(self, table):
        with self._changed:
            return {key for of, key in self._rows if of == table}

    def copy(self):
        with self._changed:
            return dict(self._rows), self._version

    def restore(self, copy):
        """Goes back to `copy`: versions are given out again from there, and
        the connections of open watches end."""
        with self._changed:
            rows, self._version = copy
            self._rows = dict(rows)
            self.era += 1
            self._changed.notify_all()

    def lose_open_watches(self):
        """Loses the answers of all open watches; their connections stay
        open."""
        with self._changed:
            self._lost_watches += 1
            self._changed.notify_all()

    def make_unavailable(self):
        with self._changed:
            self.unavailable = True
            self._changed.notify_all()

    def make_available(self):
        self.unavailable = False


class Worker:
    """A backend server on the host of `node`. If `nested` (host, path) is set,
    it makes that nested call once for each request that it runs, through the
    callers' port of its node. If `limit` is set, all its answers name it as the
    requests per second that it accepts; if `leaving` is set, they say that it
    leaves, whatever its heartbeats say."""

    def __init__(self, node, service, name, nested=None, slots=4):
        self.service, self.name, self.nested = service, name, nested
        self.runs = []
        self.arrivals = []  # (time, attempt id), refused requests included
        self.limit = None
        self.leaving = False
        self.callers = []
        self.customers = []  # Tenant header of each run
        self.keys_seen = []  # keys that reached the server
        self.state = "ready"
        self._node, self._slots, self._sequence = node, slots, 0
        self._started = int(time.time() * 1000)
        worker = self

        class Handler(_Handler):
            def do_GET(self):
                worker.serve(self)

            do_POST = do_GET

        self._announce_allowed = threading.Event()
        self.server = _Server(Handler)
        threading.Thread(target=self._announce, daemon=True).start()

    def _announce(self):
        while self.state in ("ready", "draining"):
            try:
                self.send_heartbeat(self.state)
            except OSError:
                pass  # the node is down; the next heartbeat follows anyway
            time.sleep(HEARTBEAT_SECONDS)

    def heartbeat(self, state):
        """Returns the body of the next heartbeat."""
        self._sequence += 1
        return {
            "addr": self.server.address, "born": self._started,
            "info": {"service": self.service, "version": "v1", "zone": "z",
                     "slots": self._slots},
            "status": {"state": state, "seq": self._sequence,
                       "coldLeft": "0ms"}}

    def send_heartbeat(self, state):
        """Sends a heartbeat; returns the status of its acknowledgement."""
        return self.send_control("workers.heartbeat", self.heartbeat(state))

    def send_control(self, call, body):
        return request(self._node.ports["announce"], "POST",
                       f"/-/rpc?call={call}&of={self.name}",
                       body=json.dumps(body)).status

    def leave(self):
        """Sends a leave; returns the status of its acknowledgement."""
        self.state = "left"
        return self.send_control("workers.leave", {"born": self._started})

    def move(self, node):
        """Continues beside `node`, a new process at the same host."""
        self._node = node

    def restart(self):
        """Continues as a new process with the same id."""
        self.leaving, self.limit = False, None
        self._sequence, self._started = 0, int(time.time() * 1000)

    def serve(self, call):
        call.body()
        attempt = call.headers.get("Attempt-Id", "")
        self.arrivals.append((time.monotonic(), attempt))
        echo = [("Attempt-Id", attempt)]
        if self.limit is not None:
            echo.append(("Server-Limit", str(self.limit)))
        if self.leaving:
            echo.append(("Server-Leaving", "1"))
        if call.headers.get("Expect-Instance") != self.name:
            return call.answer(421, headers=echo + [("Instance", self.name)])
        self.runs.append(attempt)
        self.callers.append(call.headers.get("Caller"))
        self.customers.append(call.headers.get("Tenant"))
        if "Credential" in call.headers:
            self.keys_seen.append(call.headers["Credential"])
        if self.nested:
            host, path = self.nested
            nested_answer = request(
                self._node.ports["caller"], "GET", path, host=host,
                attempt=f"{attempt}.n{len(self.runs)}")
            if nested_answer.status != 200:
                return call.answer(500, headers=echo)
        return call.answer(200, f"{self.service}:{call.path}".encode(),
                           echo + [("Response-Sig", SIGNATURE)])


class Answer:
    def __init__(self, response):
        self.status = response.status
        self.headers = response.headers
        self.body = response.read().decode()


def request(port, method, path, host="", attempt="", body=None, timeout=10,
            key=""):
    """Sends one HTTP request on a new connection."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    headers = {"Deadline-Ms": "5000"}
    if host:
        headers["Host"] = host
    if attempt:
        headers["Attempt-Id"] = attempt
    if key:
        headers["Credential"] = key
        headers["Tenant"] = "forged"
    connection.request(method, path, body=body, headers=headers)
    answer = Answer(connection.getresponse())
    connection.close()
    return answer


def route(host, prefix, service, kind="idempotent"):
    return {"host": host, "prefix": prefix, "service": service, "kind": kind,
            "timeout": "5000ms", "targetLatency": "1200ms", "priority": 1,
            "attempts": 2}


RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_SECONDS = 0.2, 47, 10


def node_flags(name, store_address, service, zone="z",
               retry_slack=RETRY_SLACK, ports=None, announce_period="500ms"):
    """Returns the flags of a node that runs on the users' platform. `ports` are
    those of an earlier process, which the node takes over."""
    flags = [
        "--node-name", name, "--mesh", "mesh", "--data-centre", zone,
        "--ip", "127.0.0.1", "--rows", store_address,
        "--server-service", service, "--announce-period", announce_period,
        "--drain", "2s", "--stop-grace", "6s",
        "--retry-ratio", str(RETRY_RATIO), "--retry-slack", str(retry_slack),
        "--retry-window", f"{RETRY_WINDOW_SECONDS}s", "--log-format", "json",
        "--announce-port", str((ports or {}).get("announce", 0))]
    if ports:
        for kind in ("caller", "operator", "peer", "gossip"):
            flags += [f"--{kind}-port", str(ports[kind])]
    return flags


def start_node(run, name, store, service, extra_flags=(), address=None):
    """Starts a node on the users' platform. It becomes ready once it has read
    the configuration from the store."""
    return fleet.Process(run, name, "src/amaranthd/amaranthd",
                         [*node_flags(name, address or store.address, service),
                          *extra_flags])


def is_ready(node, timeout=10):
    return request(node.ports["operator"], "GET", "/-/readyz",
                   timeout=timeout).status == 200


def wait_ready(nodes):
    for node in nodes:
        fleet.wait_until(lambda: is_ready(node), f"{node.name} is ready")


def wait_served(node, host, path):
    """Waits until a GET of `path` is answered with 200; returns that answer."""
    def served_answer():
        answer = request(node.ports["caller"], "GET", path, host=host,
                         attempt=f"w{time.monotonic_ns()}")
        return answer if answer.status == 200 else None
    return fleet.wait_until(served_answer, f"{path} is served by {node.name}")


def wait_used(workers, node, host, path):
    """Sends requests through `node` until each of `workers` has run one."""
    def all_used():
        wait_served(node, host, path)
        return all(worker.runs for worker in workers)
    fleet.wait_until(all_used, "all servers are in use")


def start_service(run, names, host):
    """Starts nodes with these names and two servers of the service "front",
    beside the first two nodes, and waits until both are in use. Its route is
    /front/. Returns the store, the nodes and the servers."""
    store = RowStore()
    store.put_config(1, {"front": route(host, "/front/", "front")})
    nodes = [start_node(run, name, store, "front") for name in names]
    wait_ready(nodes)
    workers = [Worker(nodes[i], "front", f"f{i + 1}", slots=50)
               for i in range(2)]
    for node in nodes:
        wait_served(node, host, "/front/1")
    wait_used(workers, nodes[-1], host, "/front/2")
    return store, nodes, workers


def most_in_a_window(times, seconds):
    """Returns the largest number of `times` in any sliding window."""
    times = sorted(times)
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - seconds:
            first += 1
        most = max(most, last - first + 1)
    return most


class SentRequest:
    def __init__(self, node, attempt):
        self.node, self.attempt = node, attempt
        self.sent_at = time.monotonic()
        self.answered_at = None
        self.answer = None


class Load:
    """Callers that send one request after another through each node, until
    stop()."""

    CALLERS_PER_NODE = 3
    PAUSE_AFTER_FAILURE = 0.02

    def __init__(self, nodes, host, path):
        self.requests = []
        self._target = (host, path)
        self._nodes = {node.name: node for node in nodes}
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(name, i), daemon=True)
            for name in self._nodes for i in range(self.CALLERS_PER_NODE)]
        for thread in self._threads:
            thread.start()

    def replace(self, nodes):
        """Continues at new processes of the nodes; `nodes` are by name."""
        self._nodes = dict(nodes)

    def _run(self, name, caller):
        host, path = self._target
        while not self._stopped.is_set():
            node = self._nodes[name]
            sent = SentRequest(node, f"l{caller}-{time.monotonic_ns()}")
            try:
                sent.answer = request(node.ports["caller"], "GET", path,
                                      host=host, attempt=sent.attempt)
            except (OSError, http.client.HTTPException):
                time.sleep(self.PAUSE_AFTER_FAILURE)  # the node is down
                continue
            sent.answered_at = time.monotonic()
            self.requests.append(sent)
            if sent.answer.status != 200:
                time.sleep(self.PAUSE_AFTER_FAILURE)

    def stop(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join()
