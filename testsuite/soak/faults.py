"""Faults and the schedule that injects them.

Each fault is a generator: the code before its yield starts the fault, the yield
returns its duration in seconds, and the code after the yield ends it. Faults
overlap.
"""

import http.client
import random
import signal
import threading
import time

import fleet


def kill_node(system, host, rng):
    host.node.kill()
    yield rng.uniform(0.1, 1.5)
    host.start_node()


def stop_node(system, host, rng):
    """Stops the node by SIGTERM while its server runs on, and restarts it once
    it has exited. Sometimes sends SIGHUP during the drain."""
    host.node.terminate()
    if rng.random() < 0.3:
        time.sleep(0.2)
        host.node.signal(signal.SIGHUP)
    yield rng.uniform(0.0, 0.5)
    host.node.wait_exit(20)
    host.start_node()


def pause_node(system, host, rng):
    host.node.pause()
    yield rng.uniform(0.3, 3.0)
    host.node.resume()


def send_sighup(system, host, rng):
    for other in system.hosts:
        other.node.signal(signal.SIGHUP)
    yield 0.0


def crash_server(system, host, rng):
    """Crashes the server, then starts one under a new name or the old one."""
    host.worker.crash()
    yield rng.uniform(0.1, 1.0)
    host.start_worker(host.worker.name if rng.random() < 0.5 else None)


def replace_server(system, host, rng):
    """Replaces the server as planned work: it drains, leaves and ends before a
    new one starts."""
    old = host.worker
    old.state = "draining"
    yield 3.5 + rng.uniform(0.0, 1.5)
    _send(old.leave)
    old.crash()
    host.start_worker()


def _leave(system, host, rng, end_node):
    """The server drains or leaves, its node ends once or twice, and a heartbeat
    of before arrives late."""
    old = host.worker
    late_heartbeat = old.heartbeat("ready")
    if rng.random() < 0.5:
        old.state = "draining"
        time.sleep(0.5)
    else:
        _send(old.leave)
    for _ in range(rng.randint(1, 2)):
        end_node(host)
        time.sleep(rng.uniform(0.0, 1.0))
        host.start_node()
    yield 4.0 + rng.uniform(0.0, 1.0)
    _send(lambda: old.send_control("workers.heartbeat", late_heartbeat))
    time.sleep(1.5)
    _send(old.leave)
    old.crash()
    host.start_worker()


def _send(message):
    try:
        message()
    except (OSError, http.client.HTTPException):
        pass  # the node is down or paused


def leave_while_stopped(system, host, rng):
    def stop(host):
        host.node.terminate()
        host.node.wait_exit(20)
    yield from _leave(system, host, rng, stop)


def leave_while_killed(system, host, rng):
    yield from _leave(system, host, rng, lambda host: host.node.kill())


def impair_server_link(system, host, rng):
    proxy = host.worker.proxy
    kind = rng.choice(["delay", "reset", "client", "server", "both"])
    if kind == "delay":
        proxy.delay = rng.uniform(0.02, 0.4)
    elif kind == "reset":
        proxy.reset_all()
    else:
        proxy.drop_to = {"client", "server"} if kind == "both" else {kind}
    yield rng.uniform(0.2, 2.5)
    proxy.delay = 0.0
    if proxy.drop_to:
        proxy.clear_faults()


def impair_store_link(system, host, rng):
    link = system.store_link
    if rng.random() < 0.5:
        link.drop_to = {"client"} if rng.random() < 0.5 else {
            "client", "server"}
    else:
        link.delay = rng.uniform(0.1, 0.8)
    yield rng.uniform(0.5, 4.0)
    link.clear_faults()


def make_store_unavailable(system, host, rng):
    system.store.make_unavailable()
    yield rng.uniform(0.3, 4.0)
    system.store.make_available()


def change_config(system, host, rng):
    for _ in range(rng.randint(1, 4)):
        system.change_config()
        time.sleep(rng.uniform(0.0, 0.3))
    yield 0.0


# Planned work of an operator, during which no request may be lost.
PLANNED = [stop_node, send_sighup, replace_server, leave_while_stopped,
           change_config]
UNPLANNED = [kill_node, leave_while_killed, pause_node, crash_server,
             impair_server_link, impair_store_link, make_store_unavailable]
# Faults that pause, start or end a process or server: one at a time per host.
EXCLUSIVE = {kill_node, stop_node, pause_node, crash_server, replace_server,
             leave_while_stopped, leave_while_killed}


class Schedule:
    """Injects random faults at random times."""

    def __init__(self, system, rng, planned_only):
        self._system, self._rng = system, rng
        self._faults = PLANNED if planned_only else PLANNED + UNPLANNED
        self._host_locks = {host.name: threading.Lock()
                            for host in system.hosts}
        # Planned work is done on one host at a time.
        self._planned_lock = threading.Lock()
        self._planned_only = planned_only
        self._threads = []
        self._started = time.monotonic()

    def run(self, seconds):
        end = self._started + seconds
        while time.monotonic() < end:
            time.sleep(self._rng.uniform(0.1, 0.9))
            fault = self._rng.choice(self._faults)
            host = self._rng.choice(self._system.hosts)
            seed = self._rng.random()
            thread = threading.Thread(target=self._run_if_free,
                                      args=(fault, host, seed), daemon=True)
            thread.start()
            self._threads.append(thread)
        for thread in self._threads:
            thread.join(30)

    def _run_if_free(self, fault, host, seed):
        locks = [self._host_locks[host.name]] if fault in EXCLUSIVE else []
        if self._planned_only and fault in EXCLUSIVE:
            locks.insert(0, self._planned_lock)
        acquired = [lock for lock in locks if lock.acquire(blocking=False)]
        try:
            if len(acquired) == len(locks):
                self._inject(fault, host, random.Random(seed))
        finally:
            for lock in acquired:
                lock.release()

    def _inject(self, fault, host, rng):
        at = time.monotonic() - self._started
        steps = fault(self._system, host, rng)
        try:
            duration = next(steps)
            self._system.record.faults.append(
                f"{at:6.2f} {fault.__name__} {host.name} {duration:.2f} s")
            time.sleep(duration)
            for _ in steps:
                pass
        except fleet.CaseFailed as error:
            self._system.record.add_violation("processes", str(error))
