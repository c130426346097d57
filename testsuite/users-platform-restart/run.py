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
# Allows for scheduling delays of the harness and of the nodes.
SLACK_SECONDS = 0.5
ACKNOWLEDGEMENT_SECONDS = 1.0
ANNOUNCE_PERIOD = "1500ms"
RESTART_PAUSE = 0.5
LATE_HEARTBEAT_AFTER = 1.5  # from the start of the new process
LONG_ABSENCE = 14.0
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
        self.nodes = {name: self._start(name)
                      for name in ("a1", "a2", "b1", "b2")}
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
        its last heartbeat, which is held back."""
        worker = Worker(self.nodes["a1"], "front", name, slots=50)
        fleet.wait_until(lambda: worker.run_times, f"{name} is used")
        worker.stop_announcing()
        time.sleep(2 * platform.HEARTBEAT_SECONDS)
        return worker, worker.heartbeat("ready")


class Acknowledged:
    """When a node acknowledged that the server leaves."""

    def __init__(self, worker, send):
        self._worker = worker
        sent_at = time.monotonic()
        status = send()
        self.at = time.monotonic()
        fleet.check(status == 200, f"{worker.name} is acknowledged")
        fleet.check(self.at - sent_at < ACKNOWLEDGEMENT_SECONDS,
                    f"acknowledged after {self.at - sent_at:.2f} s")

    def late_runs(self):
        return [at - self.at for at in self._worker.run_times
                if at > self.at + DRAIN_SECONDS + SLACK_SECONDS]


def late_heartbeat(deployment, worker, held):
    """The held heartbeat arrives some time after the node is back."""
    worker.move(deployment.nodes["a1"])
    time.sleep(LATE_HEARTBEAT_AFTER)
    worker.send(held)
    time.sleep(OBSERVED_SECONDS)


def killed_at_once(deployment, worker, held):
    left = Acknowledged(worker, worker.leave)
    deployment.restart("a1")
    late_heartbeat(deployment, worker, held)
    return left


def killed_soon(deployment, worker, held):
    left = Acknowledged(worker, worker.leave)
    time.sleep(0.2)
    deployment.restart("a1")
    late_heartbeat(deployment, worker, held)
    return left


def killed_twice(deployment, worker, held):
    left = Acknowledged(worker, worker.leave)
    deployment.restart("a1")
    time.sleep(0.3)
    deployment.restart("a1")
    late_heartbeat(deployment, worker, held)
    return left


def stopped(deployment, worker, held):
    left = Acknowledged(worker, worker.leave)
    deployment.nodes["a1"].terminate()
    deployment.nodes["a1"].wait_exit()
    deployment.start("a1")
    late_heartbeat(deployment, worker, held)
    return left


def left_while_stopping(deployment, worker, held):
    deployment.nodes["a1"].terminate()
    time.sleep(0.5)
    left = Acknowledged(worker, worker.leave)
    deployment.nodes["a1"].wait_exit()
    deployment.start("a1")
    late_heartbeat(deployment, worker, held)
    return left


def long_absence(deployment, worker, held):
    left = Acknowledged(worker, worker.leave)
    deployment.restart("a1", pause=LONG_ABSENCE)
    late_heartbeat(deployment, worker, held)
    return left


def data_centre_killed(deployment, worker, held):
    left = Acknowledged(worker, worker.leave)
    deployment.restart("a1", "a2")
    late_heartbeat(deployment, worker, held)
    return left


def all_killed(deployment, worker, held):
    left = Acknowledged(worker, worker.leave)
    deployment.restart("a1", "a2", "b1", "b2")
    late_heartbeat(deployment, worker, held)
    return left


def store_unreachable(deployment, worker, held):
    deployment.store.make_unavailable()
    left = Acknowledged(worker, worker.leave)
    deployment.restart("a1")
    late_heartbeat(deployment, worker, held)
    deployment.store.make_available()
    return left


def goes_on_saying_ready(deployment, worker, held):
    left = Acknowledged(worker, worker.leave)
    deployment.restart("a1")
    worker.move(deployment.nodes["a1"])
    end = time.monotonic() + LATE_HEARTBEAT_AFTER + OBSERVED_SECONDS
    while time.monotonic() < end:
        worker.send(worker.heartbeat("ready"))
        time.sleep(0.5)
    return left


def drains_without_leave(deployment, worker, held):
    left = Acknowledged(worker, lambda: worker.send_heartbeat("draining"))
    deployment.restart("a1")
    late_heartbeat(deployment, worker, held)
    return left


def left_after_restart(deployment, worker, held):
    """The node that acknowledges the leave has never heard of the server, and
    the late heartbeat arrives more than ten seconds after the leave."""
    deployment.restart("a1")
    worker.move(deployment.nodes["a1"])
    left = Acknowledged(worker, worker.leave)
    time.sleep(11.0)
    worker.send(held)
    time.sleep(OBSERVED_SECONDS)
    return left


LEAVES = [killed_at_once, killed_soon, killed_twice, stopped,
          left_while_stopping, long_absence, data_centre_killed, all_killed,
          store_unreachable, goes_on_saying_ready, drains_without_leave,
          left_after_restart]


def check_leave(deployment, order, number):
    worker, held = deployment.add_worker(f"leaves-{number}")
    late = order(deployment, worker, held).late_runs()
    span = f", {min(late):.1f} to {max(late):.1f} s" if late else ""
    print(f"{order.__name__}: {len(late)} late runs{span}", flush=True)
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
    late = [order.__name__ for number, order in enumerate(LEAVES)
            if (not orders or order.__name__ in orders) and
            check_leave(deployment, order, number) > 0]
    if not orders:
        for names in (("a1",), ("a1", "a2", "b1", "b2")):
            successor_is_used(deployment, names)
            sound_server_is_used(deployment, names)
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
