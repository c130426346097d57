"""Runs a small fleet on 127.0.0.1: nodes, backend servers and the stand-in of
the platform, each a separate process with its own ports.

Cases wait for conditions, never for a fixed time, and processes are ended by
pid. The last part of every log is printed if a case fails.
"""

import ctypes
import json
import os
import pathlib
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import time

import calls

BUILD = pathlib.Path(
    os.environ.get(
        "AMARANTH_BUILD_DIR",
        pathlib.Path(__file__).resolve().parents[2] / "build",
    )
)
START_TIMEOUT = 20.0
STOP_TIMEOUT = 20.0
LOG_TAIL_BYTES = 6000
PR_SET_PDEATHSIG = 1


class CaseFailed(Exception):
    """A check of the case failed or a wait timed out."""


def wait_until(condition, description, timeout=START_TIMEOUT):
    """Polls `condition` until its value is true and returns that value.

    Raises CaseFailed after `timeout` seconds.
    """
    end = time.monotonic() + timeout
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise CaseFailed(f"timed out after {timeout} s: {description}")
        time.sleep(0.02)


def check(condition, description):
    """Fails the case unless `condition` holds."""
    if not condition:
        raise CaseFailed(description)


def _before_exec():
    # Ends the child with the harness, which may be killed at its timeout, and
    # disables core files, as some cases make servers abort.
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))


class Process:
    """A child process. Its ports are read from its --ports-file."""

    def __init__(self, fleet, name, program, flags, environment=None):
        self.name = name
        self._ports_file = fleet.folder / f"{name}.ports"
        self._ports_file.unlink(missing_ok=True)
        self.log_path = fleet.folder / f"{name}.log"
        command = [str(BUILD / program), *flags]
        command += ["--ports-file", str(self._ports_file)]
        with open(self.log_path, "ab") as log:
            self._child = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=_before_exec,
                env={**os.environ, **(environment or {})},
            )
        self.pid = self._child.pid
        self.ports = wait_until(self._read_ports, f"{name} opens its ports")

    def _read_ports(self):
        if self._child.poll() is not None:
            raise CaseFailed(f"{self.name} ended with {self._child.returncode}")
        if not self._ports_file.exists():
            return None
        return json.loads(self._ports_file.read_text())

    @property
    def running(self):
        return self._child.poll() is None

    @property
    def exit_code(self):
        return self._child.poll()

    def signal(self, number):
        if self.running:
            self._child.send_signal(number)

    def kill(self):
        """Kills the process, as a power failure of its host would."""
        self.signal(signal.SIGKILL)
        self._child.wait()

    def terminate(self):
        """Requests a planned stop (SIGTERM) without waiting for it."""
        self.signal(signal.SIGTERM)

    def wait_exit(self, timeout=STOP_TIMEOUT):
        wait_until(lambda: not self.running, f"{self.name} ends", timeout)
        return self.exit_code

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def log(self):
        return self.log_path.read_text(errors="replace")


class StandIn(Process):
    """A stand-in, which accepts faults at /_standin/fault."""

    @property
    def port(self):
        return self.ports["port"]

    def fault(self, **faults):
        answer = calls.http_request(
            self.port, "/_standin/fault", method="POST", body=faults
        )
        check(answer.status == 200, f"{self.name} accepts the fault {faults}")


class Platform(StandIn):
    def counts(self):
        return calls.http_request(self.port, "/_standin/counts").json()


class Backend(StandIn):
    def effects(self):
        return calls.http_request(self.port, "/_standin/effects").json()


class Node(Process):
    data_centre = ""

    @property
    def caller_port(self):
        return self.ports["caller"]

    @property
    def gossip_address(self):
        return f"127.0.0.1:{self.ports['gossip']}"

    def operator(self, path, method="GET", body=None, timeout=10.0):
        return calls.http_request(
            self.ports["operator"],
            path,
            method=method,
            body=body,
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
            timeout=timeout,
        )

    def is_ready(self):
        return self.operator("/ready", timeout=2.0).status == 200

    def knows_servers(self, servers):
        """Returns whether the node lists all of `servers` (names) at nodes that
        are alive or suspect, none of them draining."""
        answer = self.operator("/servers", timeout=2.0)
        if answer.status != 200:
            return False
        known = {
            server["server"]
            for server in answer.json()["servers"]
            if not server["draining"]
            and server["node_state"] in ("alive", "suspect")
        }
        return set(servers) <= known

    def set_settings(self, *changes, author="case"):
        """Changes settings; each change is a tuple (path, name, value)."""
        body = {
            "author": author,
            "changes": [
                {"path": path, "name": name, "value": value}
                for path, name, value in changes
            ],
        }
        return self.operator("/settings", "POST", body, timeout=20.0)

    def settings_version(self):
        return self.operator("/status").json()["settings_version"]


OPERATOR_TOKEN = "case-token"


class Fleet:
    """All processes of a case; as a context manager it ends them on exit."""

    def __init__(self, name):
        self.name = name
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"amaranth-{name}-"))
        self.processes = []
        self.nodes = []
        self.platform = None

    def __enter__(self):
        return self

    def __exit__(self, kind, error, trace):
        for process in self.processes:
            if process.running:
                process.kill()
        if kind is not None:
            self._print_logs()
        shutil.rmtree(self.folder, ignore_errors=True)
        return False

    def _print_logs(self):
        for path in sorted(self.folder.glob("*.log")):
            text = path.read_text(errors="replace")
            print(f"--- {path.name}\n{text[-LOG_TAIL_BYTES:]}", file=sys.stderr)

    def _add(self, process):
        self.processes.append(process)
        return process

    def start_platform(self):
        self.platform = self._add(
            Platform(self, "platform", "testsuite/platform_standin", [])
        )
        return self.platform

    def start_node(self, name, data_centre, extra_flags=()):
        flags = [
            "--node-name", name,
            "--fleet", "case",
            "--region", "case-region",
            "--data-centre", data_centre,
            "--ip", "127.0.0.1",
            "--caller-port", "0",
            "--operator-port", "0",
            "--peer-port", "0",
            "--gossip-port", "0",
            "--operator-token", OPERATOR_TOKEN,
            "--log-level", os.environ.get("AMARANTH_CASE_LOG", "info"),
        ]  # fmt: skip
        seeds = [node.gossip_address for node in self.nodes if node.running]
        if seeds:
            flags += ["--seeds", ",".join(seeds)]
        if self.platform:
            address = f"127.0.0.1:{self.platform.port}"
            flags += ["--platform-table", address]
            flags += ["--platform-objects", address]
        environment = {
            "AMARANTH_PLATFORM_ACCESS_KEY": f"key-of-{name}",
            "AMARANTH_PLATFORM_SECRET_KEY": "case-secret",
        }
        flags += list(extra_flags)
        node = Node(self, name, "src/amaranthd/amaranthd", flags, environment)
        node.data_centre = data_centre
        self.nodes.append(node)
        return self._add(node)

    def start_backend(self, name, service, node, **flags):
        """Starts a backend_standin with its `flags`, e.g. service_ms=5."""
        arguments = ["--name", name, "--service", service]
        arguments += ["--node", f"127.0.0.1:{node.caller_port}"]
        for flag, value in flags.items():
            arguments += ["--" + flag.replace("_", "-"), str(value)]
        return self._add(
            Backend(self, name, "testsuite/backend_standin", arguments)
        )

    def wait_ready(self, servers):
        """Waits until all running nodes are ready and list all `servers`."""
        names = [server.name for server in servers]
        for node in self.nodes:
            if not node.running:
                continue
            wait_until(node.is_ready, f"{node.name} is ready")
            wait_until(lambda: node.knows_servers(names),
                       f"{node.name} lists the servers {names}")


def run_case(case):
    """Runs `case(fleet)`; exits with status 1 if it fails."""
    name = pathlib.Path(sys.argv[0]).resolve().parent.name
    try:
        with Fleet(name) as fleet:
            case(fleet)
    except (CaseFailed, AssertionError) as error:
        print(f"FAILED {name}: {error}", file=sys.stderr)
        sys.exit(1)
    print(f"passed {name}")
