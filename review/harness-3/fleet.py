"""Starts the project's programs with the commands of the deploy file, on loopback, beside the stand-ins of this folder."""

import asyncio
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import time

from executor import Executor
from store import Store

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

# The settings of a small deployment, as DEPLOY.md shows them.
BOUNDS = {"holdMaxMs": 1000, "retransmitMs": 1300, "graceS": 6, "remoteFactor": 1.5}
ZONES = ["hall-north", "hall-south", "hall-cargo"]
REGION = "amman"
MESH_PORT, FRONTEND_PORT, CONTROL_PORT, READY_PORT, APP_PORT, STORE_PORT = 7720, 8161, 8166, 8167, 8165, 8169
EDGE, SIDE, STORE, PROXY, GONE = 1, 2, 3, 4, 5

SERVICE = "huvo11a"
HOST = "nony24.example"
PREFIX = "/lohu930/"
TRAFFIC_STARTS_S = 10.0


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, as clients and executors see it."""

    def __init__(self, path):
        self.zero = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")
        # Rows of task, number, executor, begin, end (None while it is at work) and how it ended.
        self.runs = []

    def now(self):
        return time.monotonic() - self.zero

    def note(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()

    def begin(self, executor, task, number, spec):
        self.note(f"executor {executor.identifier}: start of {task} run {number} spec {spec}")
        self.runs.append([task, number, executor.identifier, self.now(), None, None])

    def end(self, executor, task, number, how):
        self.note(f"executor {executor.identifier}: end of {task} run {number}: {how}")
        for row in self.runs:
            if row[:3] == [task, number, executor.identifier] and row[4] is None:
                row[4], row[5] = self.now(), how

    def overlaps(self):
        """Returns pairs of runs of one task that were at work at the same time."""
        found = []
        for index, one in enumerate(self.runs):
            for other in self.runs[index + 1:]:
                if one[0] == other[0] and other[3] < (one[4] or self.now()) and one[3] < (other[4] or self.now()):
                    found.append((one, other))
        return found


def read_commands():
    """Returns the command of each role in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        text = file.read()
    return dict(re.findall(r'^\[roles\.(\w+)\]\nrun = "([^"]*)"$', text, re.MULTILINE))


def render(text, fields):
    """Fills the braces of a command, as DEPLOY.md tells it."""

    def value(path):
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    def section(match):
        entries = fields[match[1]]
        rows = [match[2].replace("{{@}}", str(key)) for key in entries]
        return "".join(row.replace("{{,}}", "" if index + 1 == len(rows) else ",") for index, row in enumerate(rows))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: value(match[1]), text)


class Machine:
    """One machine of the system: its address, its program and the settings of it."""

    def __init__(self, fleet, kind, index, seeds):
        self.fleet = fleet
        self.index = index
        self.ip = fleet.host(kind, index)
        self.zone = ZONES[(index - 1) % len(ZONES)]
        self.role = "entry" if kind == EDGE else "agent"
        self.name = f"{'edge' if kind == EDGE else 'side'}-{self.zone}-{index}"
        self.seeds = seeds
        self.process = None

    def settings(self):
        return {"nodeName": self.name, "zone": self.zone, "region": REGION, "zones": {zone: REGION for zone in ZONES}, "ip": self.ip,
                "internalPorts": [MESH_PORT, MESH_PORT + 15], "seeds": self.seeds, "bounds": BOUNDS,
                "listenAddrs": {"controlPlane": f"{self.ip}:{CONTROL_PORT}", "frontend": f"{self.ip}:{FRONTEND_PORT}",
                                "ready": f"{self.ip}:{READY_PORT}"},
                "platform": {"address": f"{self.fleet.host(STORE, 1)}:{STORE_PORT}"},
                "limits": {"cpuShare": 0.25 if self.role == "entry" else 0.15, "linkMbps": 1000.0}}

    def start(self):
        words = render(self.fleet.commands[self.role], self.settings()).split(" ")
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def frontend(self):
        return (self.ip, FRONTEND_PORT)

    def ready(self):
        return (self.ip, READY_PORT)


class Fleet:
    """The machines, executors and the store of one case."""

    def __init__(self, record, entries, agents, seeds=None, cpu=16000):
        self.commands = read_commands()
        for command in self.commands.values():
            if not os.path.exists(os.path.join(ROOT, command.split(" ")[0])):
                raise CannotRun("the build of the deploy file is missing")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = self._free_net()
        self.record = record
        seeds = seeds(self) if seeds else [f"{self.host(EDGE, index)}:{CONTROL_PORT}" for index in range(1, min(entries, 3) + 1)]
        self.store = Store((self.host(STORE, 1), STORE_PORT))
        self.entries = [Machine(self, EDGE, index, seeds) for index in range(1, entries + 1)]
        self.agents = [Machine(self, SIDE, index, seeds) for index in range(1, agents + 1)]
        self.executors = [Executor(f"i-{machine.index:08x}", (machine.ip, APP_PORT), (machine.ip, CONTROL_PORT), record, machine.zone,
                                   SERVICE, cpu) for machine in self.agents]

    def host(self, kind, index):
        return f"127.{self.net}.{kind}.{index}"

    def _free_net(self):
        for net in random.sample(range(10, 250), 40):
            try:
                with socket.socket() as probe:
                    probe.bind((f"127.{net}.{STORE}.1", STORE_PORT))
                with socket.socket() as probe:
                    probe.bind((f"127.{net}.{EDGE}.1", FRONTEND_PORT))
                return net
            except OSError:
                continue
        raise CannotRun("no free addresses")

    def routes(self, timeout_ms=1500, **fields):
        return {"version": 7, "routes": [
            {"name": "r-3hwrr6x", "host": HOST, "pathPrefix": PREFIX, "kind": "non_idempotent", "timeoutMs": timeout_ms, "targetLatencyMs": 60,
             "priority": 0, "service": SERVICE, "maxAttempts": 3, "slackFactor": 1.6, **fields}],
            "services": [{"name": SERVICE, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": False, "preconditions": True,
                          "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}

    async def start(self):
        await self.store.start()
        await self.store.put_config(self.routes())
        for machine in self.entries + self.agents:
            machine.start()
        for executor in self.executors:
            await executor.start()

    def end(self):
        for machine in self.entries + self.agents:
            machine.end()
