"""A TCP proxy whose open connections can go silent for good.

As when a firewall between the two ends forgets a connection: neither end is
told, bytes sent on it go nowhere, and new connections work.
"""

import socket
import threading

CHUNK = 65536


class SilentProxy:
    def __init__(self, target_port):
        self._target_port = target_port
        self._lock = threading.Lock()
        self._open = set()
        self._silent = set()
        self.swallowed_bytes = 0
        self.connections = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def silence_open_connections(self):
        """All connections open now pass nothing any more; returns how many."""
        with self._lock:
            self._silent |= self._open
            return len(self._open)

    def close(self):
        self._listener.close()

    def _accept(self):
        number = 0
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(("127.0.0.1", self._target_port))
            except OSError:
                near.close()
                continue
            number += 1
            with self._lock:
                self._open.add(number)
                self.connections += 1
            for source, target in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pump, args=(number, source, target),
                    daemon=True,
                ).start()

    def _pump(self, number, source, target):
        while True:
            try:
                data = source.recv(CHUNK)
            except OSError:
                data = b""
            with self._lock:
                silent = number in self._silent
                if silent:
                    self.swallowed_bytes += len(data)
            if silent and data:
                continue
            if silent:
                return  # one end closed; the other is not told
            if not data:
                break
            try:
                target.sendall(data)
            except OSError:
                break
        with self._lock:
            self._open.discard(number)
        for end in (source, target):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
