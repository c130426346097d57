"""Faults, each a generator: what stands before its yield begins it, the yield
gives how long it lasts, what stands after ends it. They overlap."""

import random
import signal
import threading
import time

import fleet


def kill_node(system, place, rng):
    place.node.kill()
    yield rng.uniform(0.1, 1.5)
    place.start_node()


def stop_node(system, place, rng):
    """SIGTERM beside a living server; its successor at once."""
    place.node.terminate()
    if rng.random() < 0.3:
        time.sleep(0.2)
        place.node.signal(signal.SIGHUP)
    yield rng.uniform(0.0, 0.5)
    place.node.wait_exit(20)
    place.start_node()


def pause_node(system, place, rng):
    place.node.pause()
    yield rng.uniform(0.3, 3.0)
    place.node.resume()


def hang_up(system, place, rng):
    for other in system.places:
        other.node.signal(signal.SIGHUP)
    yield 0.0


def crash_server(system, place, rng):
    """Comes back under a new name, or under its old one."""
    place.worker.crash()
    yield rng.uniform(0.1, 1.0)
    place.start_worker(place.worker.name if rng.random() < 0.5 else None)


def replace_server(system, place, rng):
    """The planned way: it drains, leaves and ends; a new one takes its place."""
    old = place.worker
    old.state = "draining"
    yield 3.5 + rng.uniform(0.0, 1.5)
    try:
        old.leave()
    except OSError:
        pass
    old.crash()
    place.start_worker()


def harm_server_link(system, place, rng):
    proxy = place.worker.proxy
    how = rng.choice(["delay", "reset", "near", "far", "both"])
    if how == "delay":
        proxy.delay = rng.uniform(0.02, 0.4)
    elif how == "reset":
        proxy.reset_all()
    else:
        proxy.silent_to = {"near", "far"} if how == "both" else {how}
    yield rng.uniform(0.2, 2.5)
    proxy.delay = 0.0
    if proxy.silent_to:
        proxy.heal()


def harm_store_link(system, place, rng):
    link = system.store_link
    if rng.random() < 0.5:
        link.silent_to = {"near"} if rng.random() < 0.5 else {"near", "far"}
    else:
        link.delay = rng.uniform(0.1, 0.8)
    yield rng.uniform(0.5, 4.0)
    link.heal()


def store_away(system, place, rng):
    system.store.go_away()
    yield rng.uniform(0.3, 4.0)
    system.store.come_back()


def change_config(system, place, rng):
    for _ in range(rng.randint(1, 4)):
        system.change_config()
        time.sleep(rng.uniform(0.0, 0.3))
    yield 0.0


# Work that an operator plans: no request may be lost by it.
PLANNED = [stop_node, hang_up, replace_server, change_config]
UNPLANNED = [kill_node, pause_node, crash_server, harm_server_link,
             harm_store_link, store_away]
# Faults that start or end a process or a server: one at a time on a host.
EXCLUSIVE = {kill_node, stop_node, pause_node, crash_server, replace_server}


class Schedule:
    """Begins faults at random times until `seconds` are over."""

    def __init__(self, system, rng, planned_only):
        self._system, self._rng = system, rng
        self._faults = PLANNED if planned_only else PLANNED + UNPLANNED
        self._busy = {place.name: threading.Lock() for place in system.places}
        # Planned work takes one host at a time, as operators do.
        self._planned = threading.Lock()
        self._planned_only = planned_only
        self._running = []
        self._since = time.monotonic()

    def run(self, seconds):
        end = self._since + seconds
        while time.monotonic() < end:
            time.sleep(self._rng.uniform(0.1, 0.9))
            fault = self._rng.choice(self._faults)
            place = self._rng.choice(self._system.places)
            seed = self._rng.random()
            thread = threading.Thread(target=self._play,
                                      args=(fault, place, seed), daemon=True)
            thread.start()
            self._running.append(thread)
        for thread in self._running:
            thread.join(30)

    def _play(self, fault, place, seed):
        locks = [self._busy[place.name]] if fault in EXCLUSIVE else []
        if self._planned_only and fault in EXCLUSIVE:
            locks.insert(0, self._planned)
        taken = [lock for lock in locks if lock.acquire(blocking=False)]
        try:
            if len(taken) == len(locks):
                self._carry_out(fault, place, random.Random(seed))
        finally:
            for lock in taken:
                lock.release()

    def _carry_out(self, fault, place, rng):
        at = time.monotonic() - self._since
        playing = fault(self._system, place, rng)
        try:
            lasts = next(playing)
            self._system.record.faults.append(
                f"{at:6.2f} {fault.__name__} {place.name} {lasts:.2f} s")
            time.sleep(lasts)
            for _ in playing:
                pass
        except fleet.CaseFailed as error:
            self._system.record.violate("processes", str(error))
