"""Callers that keep connections open and use them until the node is gone."""

import datetime
import http.client
import random
import socket
import threading
import time

import record as records
import users_platform as platform
from system import HOST

KINDS = [("front", "/front/", False), ("pay", "/pay/", True),
         ("deep", "/deep/", False), ("pay", "/pay/", True)]
# Far over the deadline of 4 s: a machine that gives the nodes no time for seconds
# makes answers late, and late answers are answers.
TIMEOUT_SECONDS = 30.0
CANCEL_SHARE = 0.04
UPLOAD_SHARE = 0.05
UPLOAD_BYTES = 200_000
PAUSE_SECONDS = 0.01


class Caller(threading.Thread):
    def __init__(self, number, seed, system, stop):
        super().__init__(daemon=True)
        self._number = number
        self._random = random.Random(f"{seed}/caller{number}")
        self._system, self._record, self._end = system, system.record, stop
        self._connections = {}
        self._count = 0

    def run(self):
        while not self._end.is_set():
            place = self._random.choice(self._system.places)
            if self._random.random() < CANCEL_SHARE:
                self._cancel_one(place)
            else:
                self._ask(place)
            time.sleep(PAUSE_SECONDS)

    def _next(self, service, unsafe, place):
        self._count += 1
        sent = records.Sent(f"c{self._number}x{self._count}", service, unsafe,
                            f"{place.name}/{place.start}")
        self._record.add_sent(sent)
        return sent

    def _ask(self, place):
        service, prefix, unsafe = self._random.choice(KINDS)
        sent = self._next(service, unsafe, place)
        path = f"{prefix}{sent.attempt}"
        upload = unsafe and self._random.random() < UPLOAD_SHARE
        body = b"x" * UPLOAD_BYTES if upload else None
        connection = self._connection(place)
        begun = time.monotonic()
        try:
            connection.request("POST" if unsafe else "GET", path, body=body,
                               headers=self._headers(sent))
            answer = platform.Answer(connection.getresponse())
        except (OSError, http.client.HTTPException) as error:
            sent.error = (f"{error!r} after {time.monotonic() - begun:.3f} s, "
                          f"at {datetime.datetime.utcnow().time()}")
            connection.close()
            self._connections.pop((place.name, place.start), None)
            return
        self._record.check_answer(sent, answer, path)

    @staticmethod
    def _headers(sent):
        return {"Host": HOST, "Attempt-Id": sent.attempt,
                "Deadline-Ms": "4000"}

    def _connection(self, place):
        key = (place.name, place.start)
        if key not in self._connections:
            self._connections[key] = http.client.HTTPConnection(
                "127.0.0.1", place.ports["caller"], timeout=TIMEOUT_SECONDS)
        return self._connections[key]

    def _cancel_one(self, place):
        sent = self._next("deep", False, place)
        sent.cancelled = True
        head = "".join(f"{name}: {value}\r\n"
                       for name, value in self._headers(sent).items())
        try:
            with socket.create_connection(
                    ("127.0.0.1", place.ports["caller"]), timeout=2) as caller:
                caller.sendall(f"GET /slow/{sent.attempt} HTTP/1.1\r\n{head}\r\n"
                               .encode())
                time.sleep(self._random.uniform(0.1, 0.4))
        except OSError:
            pass


class ConfigWatcher(threading.Thread):
    """Asks a node for the newest routes: what it has served once it may not
    deny later, in the same process."""

    def __init__(self, place, system, stop):
        super().__init__(daemon=True)
        self._place, self._system, self._end = place, system, stop
        self._seen = {}
        self._count = 0

    def run(self):
        while not self._end.is_set():
            self.look()
            time.sleep(0.1)

    def look(self):
        start, version = self._place.start, self._system.version
        seen = self._seen.get(start, 0)
        for asked in {max(seen, 1), version}:
            self._count += 1
            try:
                status = platform.request(
                    self._place.ports["caller"], "GET", f"/v{asked}/x",
                    host=HOST, timeout=TIMEOUT_SECONDS,
                    attempt=f"w{self._place.name}{self._count}").status
            except (OSError, http.client.HTTPException):
                continue
            if status == 200:
                self._seen[start] = max(self._seen.get(start, 0), asked)
            if status == 404 and asked <= seen and start == self._place.start:
                self._system.record.violate(
                    "settings", f"{self._place.name}/{start} served version "
                    f"{seen} and then denied {asked}")
