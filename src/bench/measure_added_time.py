#!/usr/bin/env python3
"""Time that the system adds to a call, beside a direct call in the same run.

Starts nodes and echo servers from the build folder on loopback, runs the load
tool against the echo server directly and through the nodes in turn, and prints
a table. "one node" enters and serves on the same node; "two nodes" enters at a
node without a server, so that every call crosses the peer link.
"""
import argparse
import json
import os
import signal
import subprocess
import tempfile
import time
import urllib.request

RATIOS = ("p50", "p90", "p99", "p99.9")


class Fleet:
    def __init__(self, build, folder):
        self.build = build
        self.folder = folder
        self.processes = []

    def start(self, command, log):
        with open(os.path.join(self.folder, log), "w") as file:
            process = subprocess.Popen(command, stdout=file, stderr=file)
        self.processes.append(process)
        return process

    def node(self, name, seeds=""):
        ports_file = os.path.join(self.folder, name + ".json")
        command = [self.build + "/src/amaranthd/amaranthd",
                   "--node-name", name, "--data-centre", "dc1",
                   "--ports-file", ports_file]
        if seeds:
            command += ["--seeds", seeds]
        process = self.start(command, name + ".log")
        wait(lambda: os.path.exists(ports_file))
        with open(ports_file) as file:
            ports = json.load(file)
        ports["process"] = process
        return ports

    def echo(self, name, node=None, slots=2000):
        command = [self.build + "/src/bench/echo_server", "--name", name,
                   "--slots", str(slots)]
        if node:
            command += ["--node", "127.0.0.1:%d" % node["caller"]]
        self.start(command, name + ".log")
        path = os.path.join(self.folder, name + ".log")
        wait(lambda: open(path).read().strip() != "")
        return int(open(path).read().split()[0])

    def stop(self):
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGINT)
        for process in self.processes:
            process.wait()


def wait(condition, limit=20):
    end = time.time() + limit
    while time.time() < end:
        if condition():
            return
        time.sleep(0.05)
    raise RuntimeError("did not come up")


def serves(port):
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


def row(name, result, cpu=None):
    text = "%-22s %8.0f/s" % (name, result["answered"] / result["seconds"])
    for ratio in RATIOS:
        text += "  %s %7.3f" % (ratio, result["ms"][ratio])
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
                        help="calls a second; 0 is a closed loop")
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
    serving = fleet.node("n1")
    entry = fleet.node("n2", "127.0.0.1:%d" % serving["gossip"])
    direct = fleet.echo("echo-1", serving)
    wait(lambda: serves(serving["caller"]) and serves(entry["caller"]))
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
            row(name, result, cpu)
    print("load average at end: %s" % (os.getloadavg(),))


if __name__ == "__main__":
    main()
