#!/usr/bin/env python3
"""Measures the latency that the nodes add to a call, against direct calls.

Starts nodes and an echo server from the build folder on loopback, runs the load
tool in turn against the echo server directly and through the nodes, and prints
a table. With "one node" the entry node is also the serving node; with "two
nodes" the entry node has no server, so that every call crosses the peer link.
"""
import argparse
import json
import os
import signal
import subprocess
import tempfile
import time
import urllib.request

QUANTILES = ("p50", "p90", "p99", "p99.9")


class Fleet:
    def __init__(self, build, folder):
        self.build = build
        self.folder = folder
        self.processes = []

    def start_process(self, command, log):
        with open(os.path.join(self.folder, log), "w") as file:
            process = subprocess.Popen(command, stdout=file, stderr=file)
        self.processes.append(process)
        return process

    def start_node(self, name, seeds=""):
        ports_file = os.path.join(self.folder, name + ".json")
        command = [self.build + "/src/amaranthd/amaranthd",
                   "--node-name", name, "--data-centre", "dc1",
                   "--ports-file", ports_file]
        if seeds:
            command += ["--seeds", seeds]
        process = self.start_process(command, name + ".log")
        wait_until(lambda: os.path.exists(ports_file))
        with open(ports_file) as file:
            ports = json.load(file)
        ports["process"] = process
        return ports

    def start_echo_server(self, name, node=None, slots=2000):
        command = [self.build + "/src/bench/echo_server", "--name", name,
                   "--slots", str(slots)]
        if node:
            command += ["--node", "127.0.0.1:%d" % node["caller"]]
        self.start_process(command, name + ".log")
        path = os.path.join(self.folder, name + ".log")
        wait_until(lambda: open(path).read().strip() != "")
        return int(open(path).read().split()[0])

    def stop(self):
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGINT)
        for process in self.processes:
            process.wait()


def wait_until(condition, limit=20):
    end = time.time() + limit
    while time.time() < end:
        if condition():
            return
        time.sleep(0.05)
    raise RuntimeError("timed out waiting for a process to start")


def is_served_at(port):
    request = urllib.request.Request("http://127.0.0.1:%d/" % port)
    request.add_header("X-Amaranth-Service", "echo")
    request.add_header("X-Token", "1")
    try:
        return urllib.request.urlopen(request, timeout=2).status == 200
    except OSError:
        return False


class Load:
    runs = int(time.time()) % 100000 * 100

    @classmethod
    def run(cls, build, port, rate, connections, seconds, method="GET",
            body=0):
        cls.runs += 1
        done = subprocess.run(
            [build + "/src/bench/load_tool", "--json",
             "--target", "127.0.0.1:%d" % port, "--rate", str(rate),
             "--connections", str(connections), "--seconds", str(seconds),
             "--method", method, "--body-bytes", str(body),
             "--run", str(cls.runs)],
            stdout=subprocess.PIPE, check=False)
        return json.loads(done.stdout)


def cpu_seconds(process):
    with open("/proc/%d/stat" % process.pid) as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def print_row(name, result, cpu=None):
    text = "%-22s %8.0f/s" % (name, result["answered"] / result["seconds"])
    for quantile in QUANTILES:
        text += "  %s %7.3f" % (quantile, result["ms"][quantile])
    text += "  crossed %d dup %d unfinished %d" % (
        result["crossed"], result["duplicates"], result["unfinished"])
    if cpu is not None:
        text += "  node cpu %.2f" % cpu
    others = {k: v for k, v in result["outcomes"].items() if k != "ok"}
    if others:
        text += "  " + json.dumps(others)
    print(text, flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--rates", default="306,1000,5000,10000,15000,0",
                        help="calls per second; 0 runs a closed loop")
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--method", default="GET")
    parser.add_argument("--body-bytes", type=int, default=0)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(options.build, folder)
        try:
            measure(fleet, options)
        finally:
            fleet.stop()


def measure(fleet, options):
    serving = fleet.start_node("n1")
    entry = fleet.start_node("n2", "127.0.0.1:%d" % serving["gossip"])
    direct = fleet.start_echo_server("echo-1", serving)
    wait_until(lambda: is_served_at(serving["caller"]) and
               is_served_at(entry["caller"]))
    print("load average at start: %s" % (os.getloadavg(),))
    for rate in [float(text) for text in options.rates.split(",")]:
        print("rate %s" % ("closed loop" if rate == 0 else "%g/s" % rate))
        for name, port, node in (("direct", direct, None),
                                 ("one node", serving["caller"], serving),
                                 ("two nodes", entry["caller"], entry)):
            before = cpu_seconds(node["process"]) if node else 0
            result = Load.run(options.build, port, rate, options.connections,
                              options.seconds, options.method,
                              options.body_bytes)
            cpu = None
            if node:
                cpu = ((cpu_seconds(node["process"]) - before) /
                       (options.seconds + 1))
            print_row(name, result, cpu)
    print("load average at end: %s" % (os.getloadavg(),))


if __name__ == "__main__":
    main()
