#!/usr/bin/env python3
"""Checks that a planned stop under load loses no call.

Nodes d1 and d2 each have a backend server of one service. Callers enter at d3
with 150 non-idempotent POSTs a second. Halfway, d2 receives SIGTERM. Every call
must get its own complete answer, and its request must run exactly once: d2
announces that it is leaving, the other nodes stop choosing it, it answers the
calls that it holds, and exits with code 0. Then the entry node d3 receives
SIGTERM. Until it exits, calls get a complete answer or "not run", and the drain
started by this one signal ends the process.
"""
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

RATE = 150
FAILED_CHECKS = []


def check(condition, text):
    print(("ok      " if condition else "FAILED  ") + text, flush=True)
    if not condition:
        FAILED_CHECKS.append(text)


def wait_until(condition, what, timeout=30):
    deadline = time.time() + timeout
    while time.time() < deadline:
        if condition():
            return
        time.sleep(0.05)
    raise RuntimeError("timed out waiting for " + what)


class Fleet:
    def __init__(self, build, folder):
        self.build = build
        self.folder = folder
        self.processes = []

    def start_process(self, log, *command):
        path = os.path.join(self.folder, log)
        with open(path, "w") as file:
            process = subprocess.Popen(command, stdout=file, stderr=file)
        self.processes.append(process)
        return process, path

    def start_node(self, name, seed=None):
        ports = os.path.join(self.folder, name + ".json")
        process, _ = self.start_process(
            name + ".log", self.build + "/src/amaranthd/amaranthd",
            "--node-name", name, "--data-centre", "dc1", "--ports-file", ports,
            *(["--seeds", "127.0.0.1:%d" % seed] if seed else []))
        wait_until(lambda: os.path.exists(ports), "the ports file of " + name)
        with open(ports) as file:
            return process, json.load(file)

    def start_echo_server(self, name, node_port):
        self.start_process(
            name + ".log", self.build + "/src/bench/echo_server",
            "--name", name, "--work-us", "20000",
            "--node", "127.0.0.1:%d" % node_port)

    def start_load(self, run, port, seconds):
        return subprocess.Popen(
            [self.build + "/src/bench/load_tool", "--json", "--warmup", "0",
             "--target", "127.0.0.1:%d" % port, "--rate", str(RATE),
             "--connections", "32", "--seconds", str(seconds), "--run",
             str(run), "--method", "POST", "--body-bytes", "200"],
            stdout=subprocess.PIPE)

    def kill_all(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()


def answers_with(port, expected_status):
    request = urllib.request.Request("http://127.0.0.1:%d/" % port)
    request.add_header("X-Amaranth-Service", "echo")
    request.add_header("X-Token", "1")
    try:
        return urllib.request.urlopen(
            request, timeout=5).status == expected_status
    except OSError:
        return False


def count_servers(port):
    with urllib.request.urlopen(
            "http://127.0.0.1:%d/servers" % port, timeout=5) as response:
        return response.read().decode().count('"echo-')


def count_requests(port):
    with urllib.request.urlopen(
            "http://127.0.0.1:%d/metrics" % port, timeout=5) as response:
        for line in response.read().decode().splitlines():
            if line.startswith("amaranth_requests_total "):
                return int(line.split()[1])
    return 0


def wait_for_load(port):
    before = count_requests(port)
    wait_until(lambda: count_requests(port) >= before + 2 * RATE, "load")


def check_run_once(result, what):
    check(result["crossed"] == 0, what + ": no call got the answer of another")
    check(result["duplicates"] == 0, what + ": no request ran twice")
    check(result["unfinished"] == 0, what + ": every call ended")


def run(fleet):
    d1, ports1 = fleet.start_node("d1")
    d2, ports2 = fleet.start_node("d2", ports1["gossip"])
    d3, ports3 = fleet.start_node("d3", ports1["gossip"])
    fleet.start_echo_server("echo-1", ports1["caller"])
    fleet.start_echo_server("echo-2", ports2["caller"])
    wait_until(lambda: answers_with(ports3["caller"], 200), "answer")
    wait_until(lambda: count_servers(ports3["operator"]) == 2,
               "the second backend server")

    load = fleet.start_load(1, ports3["caller"], 6)
    wait_for_load(ports3["operator"])
    d2.send_signal(signal.SIGTERM)
    result = json.loads(load.communicate()[0])
    print(json.dumps(result["outcomes"]), flush=True)
    check(d2.wait(timeout=20) == 0, "the drained serving node exits with 0")
    check(result["outcomes"] == {"ok": RATE * 6},
          "every call through the fleet gets a complete answer")
    check_run_once(result, "serving node stops")

    load = fleet.start_load(2, ports3["caller"], 6)
    wait_for_load(ports3["operator"])
    d3.send_signal(signal.SIGTERM)
    result = json.loads(load.communicate()[0])
    print(json.dumps(result["outcomes"]), flush=True)
    check(d3.wait(timeout=20) == 0, "the drained entry node exits with 0")
    check_run_once(result, "entry node stops")
    allowed = {"ok", "not connected", "503 not-run draining", "broken off"}
    check(set(result["outcomes"]) <= allowed,
          "calls at the stopping entry node: complete, refused or unconnected")
    # The caller may send a request on an idle connection just as the process
    # exits. This affects at most one request per connection.
    check(result["outcomes"].get("broken off", 0) <= 32,
          "at most one request per connection is broken off")
    d1.send_signal(signal.SIGTERM)
    check(d1.wait(timeout=20) == 0, "the last node exits with 0")


def main():
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(sys.argv[1], folder)
        try:
            run(fleet)
        finally:
            fleet.kill_all()
    return 1 if FAILED_CHECKS else 0


if __name__ == "__main__":
    sys.exit(main())
