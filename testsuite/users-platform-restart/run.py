"""A node acknowledges that its backend server leaves, ends, and starts again.

Requests that reach the server later than the drain time after the
acknowledgement break the promise, whatever heartbeats arrive meanwhile. A
successor under the same id, and a server that stays, are used as soon as they
announce themselves.

    run.py                 all orders of events
    run.py ORDER...        some of them, by name
    run.py --keep-logs DIR ...   copies the logs of the nodes to DIR
"""

import argparse
import pathlib
import shutil
import sys
import time

import fleet
import users_platform as platform

HOST = "shop.example"
PATH = "/front/x"
DRAIN_SECONDS = 2.0
# Allows for scheduling delays of the harness and of the nodes. Believed late
# heartbeats cause runs for seconds more.
SLACK_SECONDS = 1.0
ANNOUNCE_PERIOD = "1500ms"
RESTART_PAUSE = 0.5
LATE_HEARTBEAT_AFTER = 1.5  # from the start of the new process
# A server in use would have announced itself to the new process before.
LATE_BY_ITSELF_AFTER = 3.0
LATE_HEARTBEAT_GAP = 0.8
# Of a server that the node that acknowledged the leave has never heard of.
UNKNOWN_HEARTBEAT_AFTER = 11.0
# A late heartbeat that is believed renews the lease of the server for longer.
OBSERVED_SECONDS = 3.0


class Worker(platform.Worker):
    """A backend server that records when it runs requests."""

    def __init__(self, *arguments, **options):
        self.run_times = []
        super().__init__(*arguments, **options)

    def serve(self, call):
        if call.headers.get("Expect-Instance") == self.name:
            self.run_times.append(time.monotonic())
        return super().serve(call)

    def send(self, heartbeat):
        return self.send_control("workers.heartbeat", heartbeat)

    def stop_announcing(self):
        self.state = "silent"


class Deployment:
    """Four nodes in two data centres, and a server that stays beside two."""

    def __init__(self, run):
        self._run = run
        self.store = platform.RowStore()
        self.store.put_config(
            1, {"front": platform.route(HOST, "/front/", "front")})
        self.nodes = {name: self._start(name) for name in ALL_NODES}
        platform.wait_ready(self.nodes.values())
        self.staying = [Worker(self.nodes[name], "front", f"stays-{name}",
                               slots=50) for name in ("a2", "b1")]
        for node in self.nodes.values():
            platform.wait_served(node, HOST, PATH)
        self.load = platform.Load(list(self.nodes.values()), HOST, PATH)

    def _start(self, name, ports=None):
        flags = platform.node_flags(name, self.store.address, "front",
                                    zone=name[0], ports=ports,
                                    announce_period=ANNOUNCE_PERIOD)
        return fleet.Process(self._run, name, "src/amaranthd/amaranthd", flags)

    def start(self, *names):
        """Starts new processes of these nodes at the same ports."""
        for name in names:
            self.nodes[name] = self._start(name, self.nodes[name].ports)
        for worker in self.staying:
            for name in names:
                if worker.name == f"stays-{name}":
                    worker.move(self.nodes[name])
        self.load.replace(self.nodes)

    def kill(self, *names):
        for name in names:
            self.nodes[name].signal(9)
        for name in names:
            self.nodes[name].kill()

    def restart(self, *names, pause=RESTART_PAUSE):
        self.kill(*names)
        time.sleep(pause)
        self.start(*names)

    def add_worker(self, name):
        """Adds a server beside a1 and waits until it is in use. Returns it, and
        its last heartbeats, which are held back."""
        worker = Worker(self.nodes["a1"], "front", name, slots=50)
        fleet.wait_until(lambda: worker.run_times, f"{name} is used")
        worker.stop_announcing()
        time.sleep(2 * platform.HEARTBEAT_SECONDS)
        return worker, [worker.heartbeat("ready") for _ in range(2)]


class Acknowledged:
    """When a node acknowledged that the server leaves."""

    def __init__(self, worker, send):
        self._worker = worker
        sent_at = time.monotonic()
        status = send()
        self.at = time.monotonic()
        self.seconds = self.at - sent_at
        fleet.check(status == 200, f"{worker.name} is acknowledged")

    def late_runs(self):
        return [at - self.at for at in self._worker.run_times
                if at > self.at + DRAIN_SECONDS + SLACK_SECONDS]


class Order:
    """An order of events around a departure that a1 acknowledges."""

    def __init__(self, ends=("a1",), times=1, after=0.0, pause=RESTART_PAUSE,
                 stops=None, drains=False, store_away=False, store_back=None,
                 late=1, goes_on=False, unknown=False):
        self.ends, self.times = ends, times  # nodes that are killed, how often
        self.after, self.pause = after, pause  # seconds before and after
        self.stops = stops  # a1 is stopped "before" or "after" the departure
        self.drains = drains  # the server drains and sends no leave
        self.store_away = store_away
        # When the store is back, if the nodes need it to serve: "at_start" of
        # the nodes, "before" or "after" the late heartbeats.
        self.store_back = store_back
        self.late = late  # heartbeats that arrive late
        self.goes_on = goes_on  # the server goes on saying "ready"
        self.unknown = unknown  # a1 has never heard of the server

    def play(self, deployment, worker, held):
        """Returns when the departure was acknowledged; `held` are heartbeats
        of before, of which some arrive late."""
        if self.store_away:
            deployment.store.make_unavailable()
        if self.unknown:
            deployment.restart("a1")
            worker.move(deployment.nodes["a1"])
        if self.stops == "before":
            deployment.nodes["a1"].terminate()
            time.sleep(0.5)
        left = Acknowledged(
            worker, (lambda: worker.send_heartbeat("draining"))
            if self.drains else worker.leave)
        time.sleep(self.after)
        if self.stops:
            if self.stops == "after":
                deployment.nodes["a1"].terminate()
            deployment.nodes["a1"].wait_exit()
            deployment.start("a1")
        elif not self.unknown:
            for turn in range(self.times):
                deployment.kill(*self.ends)
                time.sleep(self.pause)
                if self.store_back == "at_start" and turn == self.times - 1:
                    deployment.store.make_available()
                deployment.start(*self.ends)
        worker.move(deployment.nodes["a1"])
        self._announce(deployment, worker, held)
        deployment.store.make_available()
        return left

    def _announce(self, deployment, worker, held):
        if self.goes_on:
            end = time.monotonic() + LATE_HEARTBEAT_AFTER + OBSERVED_SECONDS
            while time.monotonic() < end:
                worker.send(worker.heartbeat("ready"))
                time.sleep(0.5)
            return
        if self.unknown:
            time.sleep(UNKNOWN_HEARTBEAT_AFTER)
        elif self.store_back == "at_start":
            time.sleep(LATE_BY_ITSELF_AFTER)
        else:
            time.sleep(LATE_HEARTBEAT_AFTER)
        if self.store_back == "before":
            deployment.store.make_available()
        for heartbeat in held[-self.late:]:
            worker.send(heartbeat)
            time.sleep(LATE_HEARTBEAT_GAP)
        if self.store_back == "after":
            deployment.store.make_available()
        time.sleep(OBSERVED_SECONDS)


ALL_NODES = ("a1", "a2", "b1", "b2")
ORDERS = {
    "killed_at_once": Order(),
    "killed_soon": Order(after=0.2),
    "killed_twice": Order(times=2),
    "stopped": Order(stops="after"),
    "left_while_stopping": Order(stops="before"),
    "long_absence": Order(pause=14.0),
    "data_centre_killed": Order(ends=("a1", "a2")),
    "all_killed": Order(ends=ALL_NODES),
    "store_unreachable": Order(store_away=True),
    "goes_on_saying_ready": Order(goes_on=True),
    "drains_without_leave": Order(drains=True),
    "left_after_restart": Order(unknown=True),
    "all_killed_store_back_after": Order(ends=ALL_NODES, store_away=True,
                                         store_back="after"),
    "all_killed_store_back_before": Order(ends=ALL_NODES, store_away=True,
                                          store_back="before", late=2),
    "all_killed_twice_store_away": Order(ends=ALL_NODES, times=2,
                                         store_away=True, store_back="after"),
    "all_killed_store_back_at_start": Order(ends=ALL_NODES, store_away=True,
                                            store_back="at_start"),
    "drains_all_killed_store_away": Order(ends=ALL_NODES, store_away=True,
                                          drains=True, store_back="before"),
}


def check_order(deployment, name):
    worker, held = deployment.add_worker(f"leaves-{name}")
    acknowledged = ORDERS[name].play(deployment, worker, held)
    late = acknowledged.late_runs()
    span = f", {min(late):.1f} to {max(late):.1f} s" if late else ""
    print(f"{name}: acknowledged after {acknowledged.seconds:.2f} s, "
          f"{len(late)} late runs{span}", flush=True)
    return len(late)


def successor_is_used(deployment, names):
    """A new process under the id of one that left, whose node was killed, is
    used at once, also if its first heartbeat is lost."""
    worker, _ = deployment.add_worker("succeeded")
    Acknowledged(worker, worker.leave)
    deployment.restart(*names)
    worker.move(deployment.nodes["a1"])
    time.sleep(LATE_HEARTBEAT_AFTER)
    worker.restart()
    worker.heartbeat("ready")  # lost
    worker.run_times.clear()
    worker.send_heartbeat("ready")
    sent_at = time.monotonic()
    fleet.wait_until(lambda: worker.run_times, "the successor is used", 5)
    print(f"successor after a restart of {len(names)} nodes: used after "
          f"{worker.run_times[0] - sent_at:.2f} s", flush=True)


def sound_server_is_used_after_outage(deployment, seconds):
    """A server that goes on announcing itself while all nodes end and start
    again in an outage of the store is used soon after its end."""
    worker = Worker(deployment.nodes["a1"], "front", f"sound-outage-{seconds}",
                    slots=50)
    fleet.wait_until(lambda: worker.run_times, "the sound server is used")
    deployment.store.make_unavailable()
    deployment.restart(*ALL_NODES)
    worker.move(deployment.nodes["a1"])
    time.sleep(seconds)
    worker.run_times.clear()
    deployment.store.make_available()
    back_at = time.monotonic()
    fleet.wait_until(lambda: worker.run_times, "the sound server is used", 10)
    print(f"sound server after an outage of {seconds} s from the start: used "
          f"{worker.run_times[0] - back_at:.2f} s after its end", flush=True)
    worker.leave()


def sound_server_is_used(deployment, names):
    """A server that stays is used from its next heartbeat on."""
    worker, _ = deployment.add_worker(f"sound-{len(names)}")
    deployment.restart(*names)
    started_at = time.monotonic()
    worker.move(deployment.nodes["a1"])
    worker.run_times.clear()
    time.sleep(LATE_HEARTBEAT_AFTER)
    worker.send_heartbeat("ready")
    fleet.wait_until(lambda: worker.run_times, "the sound server is used", 5)
    print(f"sound server after a restart of {len(names)} nodes: used "
          f"{worker.run_times[0] - started_at:.2f} s after the start",
          flush=True)
    worker.leave()


def case(run, orders):
    deployment = Deployment(run)
    late = [name for name in orders or ORDERS
            if check_order(deployment, name) > 0]
    if not orders:
        for names in (("a1",), ALL_NODES):
            successor_is_used(deployment, names)
            sound_server_is_used(deployment, names)
        for seconds in (1, 5):
            sound_server_is_used_after_outage(deployment, seconds)
    fleet.check(not late, f"requests reach a server that left: {late}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("orders", nargs="*")
    parser.add_argument("--keep-logs", type=pathlib.Path)
    options = parser.parse_args()

    def run_orders(run):
        try:
            case(run, options.orders)
        finally:
            if options.keep_logs:
                shutil.copytree(run.folder, options.keep_logs,
                                dirs_exist_ok=True)

    return fleet.run_case(run_orders)


if __name__ == "__main__":
    sys.exit(main())
