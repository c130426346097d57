"""A TCP proxy on 127.0.0.1 that harms what passes: delay, reset, silence, and a
listener that refuses.

Silence is as when a firewall between the two ends forgets a connection: neither
end is told, and bytes sent on it go nowhere.
"""

import socket
import struct
import threading
import time

CHUNK = 65536
# With this linger a close sends a reset.
RESET = struct.pack("ii", 1, 0)


class FaultyProxy:
    def __init__(self, target):
        self._target = target
        self._lock = threading.Lock()
        self._pairs = set()
        self._silenced = set()
        self.delay = 0.0  # seconds, each chunk, both directions
        self.silent_to = set()  # of "near", "far": bytes that way are lost
        self.swallowed_bytes = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def silence_open_connections(self):
        """Those open now pass nothing any more, new ones work; returns how
        many."""
        with self._lock:
            self._silenced |= self._pairs
            return len(self._pairs)

    def heal(self):
        """Ends delay and silence. Connections that have lost bytes do not come
        right again: all are reset."""
        self.delay = 0.0
        self.silent_to = set()
        self.reset_all()

    def reset_all(self):
        with self._lock:
            pairs, self._pairs = self._pairs, set()
            self._silenced.clear()
        for pair in pairs:
            for end in pair:
                _reset(end)

    def close(self):
        """Refuses from now on, and resets what is open."""
        _shut(self._listener)
        self._listener.close()
        self.reset_all()

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            try:
                host, _, port = self._target.rpartition(":")
                far = socket.create_connection((host, int(port)))
            except OSError:
                _reset(near)
                continue
            pair = (near, far)
            with self._lock:
                self._pairs.add(pair)
            for way in (("far", near, far), ("near", far, near)):
                threading.Thread(target=self._pump, args=(pair, *way),
                                 daemon=True).start()

    def _pump(self, pair, way, source, target):
        while True:
            try:
                data = source.recv(CHUNK)
            except OSError:
                data = b""
            if self.delay:
                time.sleep(self.delay)
            with self._lock:
                silent = way in self.silent_to or pair in self._silenced
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
            self._pairs.discard(pair)
        for end in pair:
            _shut(end)


def _shut(end):
    try:
        end.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def _reset(end):
    try:
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        # A thread may be waiting in recv on it; shutdown wakes that.
        _shut(end)
        end.close()
    except OSError:
        pass
