"""A TCP proxy on 127.0.0.1 that harms what passes: delay, reset, a direction
that goes silent, and a listener that refuses.
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
        self.delay = 0.0  # seconds, each chunk, both directions
        self.silent_to = set()  # of "near", "far": bytes that way are lost
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def reset_all(self):
        with self._lock:
            pairs, self._pairs = self._pairs, set()
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
            with self._lock:
                self._pairs.add((near, far))
            for way in (("far", near, far), ("near", far, near)):
                threading.Thread(target=self._pump, args=way,
                                 daemon=True).start()

    def _pump(self, way, source, target):
        while True:
            try:
                data = source.recv(CHUNK)
                if self.delay:
                    time.sleep(self.delay)
                if way in self.silent_to:
                    if data:
                        continue
                    return  # the other end is not told
                if not data:
                    break
                target.sendall(data)
            except OSError:
                break
        with self._lock:
            self._pairs.discard((source, target))
            self._pairs.discard((target, source))
        _shut(source)
        _shut(target)


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
