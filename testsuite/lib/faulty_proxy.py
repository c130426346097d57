"""A TCP proxy on 127.0.0.1 that injects faults: delays, resets, blackholed
connections and refused connections.

A blackholed connection behaves as if a firewall on the path had lost its state:
bytes are dropped and neither side is notified.
"""

import socket
import struct
import threading
import time

CHUNK = 65536
# SO_LINGER with a timeout of 0: close() sends a reset.
LINGER_ZERO = struct.pack("ii", 1, 0)


class FaultyProxy:
    def __init__(self, target):
        self._target = target
        self._lock = threading.Lock()
        self._pairs = set()
        self._blackholed = set()
        self.delay = 0.0  # seconds added to each chunk, both directions
        self.drop_to = set()  # of "client", "server": drops bytes to it
        self.dropped_bytes = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def blackhole_open_connections(self):
        """Drops all further bytes of the open connections; new connections
        work. Returns the number of connections affected."""
        with self._lock:
            self._blackholed |= self._pairs
            return len(self._pairs)

    def clear_faults(self):
        """Stops delaying and dropping. Resets all connections, as those that
        lost bytes cannot recover."""
        self.delay = 0.0
        self.drop_to = set()
        self.reset_all()

    def reset_all(self):
        with self._lock:
            pairs, self._pairs = self._pairs, set()
            self._blackholed.clear()
        for pair in pairs:
            for sock in pair:
                _reset(sock)

    def close(self):
        """Refuses new connections and resets the open ones."""
        _shut_down(self._listener)
        self._listener.close()
        self.reset_all()

    def _accept(self):
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            try:
                host, _, port = self._target.rpartition(":")
                server = socket.create_connection((host, int(port)))
            except OSError:
                _reset(client)
                continue
            pair = (client, server)
            with self._lock:
                self._pairs.add(pair)
            for direction in (("server", client, server),
                              ("client", server, client)):
                threading.Thread(target=self._forward, args=(pair, *direction),
                                 daemon=True).start()

    def _forward(self, pair, receiver, source, target):
        while True:
            try:
                data = source.recv(CHUNK)
            except OSError:
                data = b""
            if self.delay:
                time.sleep(self.delay)
            with self._lock:
                drop = receiver in self.drop_to or pair in self._blackholed
                if drop:
                    self.dropped_bytes += len(data)
            if drop and data:
                continue
            if drop:
                return  # one side closed; the other is not notified
            if not data:
                break
            try:
                target.sendall(data)
            except OSError:
                break
        with self._lock:
            self._pairs.discard(pair)
        for sock in pair:
            _shut_down(sock)


def _shut_down(sock):
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def _reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        # Wakes a thread that may be blocked in recv() on it.
        _shut_down(sock)
        sock.close()
    except OSError:
        pass
