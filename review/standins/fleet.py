"""A small deployment on loopback for the cases of this review: the programs of deploy/system.toml as processes, and stand-ins around them.

The store and the proxies are the project's own stand-ins for its soak. Executors are processes of executor.py. Clients are here.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
STANDINS = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(ROOT, "platform", "tests", "soak"))
from small_http import Connection  # noqa: E402
from store_standin import StoreStandin  # noqa: E402

SERVICE = "landfee-api"
HOST = "desk.example"
PREFIX = "/quote/"
RETRANSMIT_MS = 1300
ZONES = ("hall-north", "hall-south", "hall-cargo")

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up."""


def free_network():
    """Returns the first two numbers of loopback addresses that nobody uses at the ports of a day."""
    chance = random.Random(os.getpid() ^ time.time_ns())
    for _ in range(50):
        network = f"127.{chance.randint(20, 220)}"
        try:
            for port in (7720, 8080, 8161, 8166, 8167, 8169, 9464):
                with socket.socket() as probe:
                    probe.bind((f"{network}.1.1", port))
            return network
        except OSError:
            continue
    raise CannotRun("no free loopback network")


def fill(text, fields):
    """Fills a command of the deploy file, as DEPLOY.md says."""
    text = re.sub(r"\{\{#zones\}\}.*?\{\{/zones\}\}", ",".join(fields["zones"]), text)

    def value(match):
        current = fields
        for part in match.group(1).split("."):
            current = current[int(part)] if isinstance(current, list) else current.get(part, "")
        return ",".join(current) if isinstance(current, list) else str(current)

    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", value, text)


class Record:
    """record.txt: what was sent, answered and run, one line each with seconds since the beginning."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.zero = time.monotonic()

    def write(self, text, at=None):
        moment = (time.monotonic() if at is None else at) - self.zero
        self.file.write(f"{moment:8.3f} {text}\n")
        self.file.flush()


class Fleet:
    """Entries, side machines with an agent and an executor each, the store and the operator."""

    def __init__(self, folder, entries=3, sides=3):
        self.record = Record(folder)
        self.network = free_network()
        # Where the logs of the programs go; removed at the end unless the variable names a folder.
        self.logs = os.environ.get("KEEP_LOGS") or tempfile.mkdtemp(prefix="azuremoor-review-")
        self.deploy = tomllib.load(open(os.path.join(ROOT, "deploy", "system.toml"), "rb"))
        self.entries, self.sides = entries, sides
        self.processes = []
        # The processes of agents and entries by the number of their machine.
        self.agents, self.entry_processes = {}, {}
        self.store = StoreStandin((f"{self.network}.9.1", 8169))
        self.starts, self.ends, self.downs = [], [], []
        self.executors = {}
        self.listeners = []

    def entry_ip(self, index):
        return f"{self.network}.1.{index}"

    def side_ip(self, index):
        return f"{self.network}.2.{index}"

    async def begin(self):
        for role in ("entry", "agent"):
            program = self.deploy["roles"][role]["run"].split()[0]
            if not os.access(os.path.join(ROOT, program), os.X_OK):
                raise CannotRun(f"{program} is not built")
        await self.store.start()
        await self.put_manifest(1)
        for index in range(1, self.entries + 1):
            self.entry_processes[index] = self.start_role("entry", index)
        for index in range(1, self.sides + 1):
            self.agents[index] = self.start_role("agent", index)

    async def put_manifest(self, version, prefix=PREFIX):
        document = {
            "version": version,
            "routes": [{"name": "fee-quote", "host": HOST, "pathPrefix": prefix, "service": SERVICE, "kind": "non_idempotent", "priority": 0,
                        "maxAttempts": 3, "slackFactor": 1.6, "targetLatencyMs": 60, "timeoutMs": 1500}],
            "services": [{"name": SERVICE, "preconditions": True, "maxConns": 64}], "limits": {}}
        await self.store.put("keyed.op", "config", json.dumps(document).encode())
        self.record.write(f"operator: manifest {version} acknowledged by the store")

    def start_role(self, role, index):
        is_entry = role == "entry"
        ip = self.entry_ip(index) if is_entry else self.side_ip(index)
        name = f"{'edge' if is_entry else 'side'}-{index}"
        fields = {
            "nodeName": name, "zone": ZONES[(index - 1) % len(ZONES)], "region": "amman", "zones": list(ZONES), "ip": ip,
            "internalPorts": ["7720", "7735"],
            "listenAddrs": {"frontend": f"{ip}:8161", "ready": f"{ip}:8167", "controlPlane": f"{ip}:8166"},
            "platform": {"address": f"{self.network}.9.1:8169"},
            "seeds": [f"{self.entry_ip(each)}:8166" for each in range(1, min(self.entries, 3) + 1)],
            "bounds": {"holdMaxMs": 1000, "retransmitMs": RETRANSMIT_MS, "graceS": 6, "remoteFactor": 1.5},
            "limits": {"cpuShare": 0.25 if is_entry else 0.15, "linkMbps": 1000.0}}
        command = fill(self.deploy["roles"][role]["run"], fields).split()
        log = open(os.path.join(self.logs, f"{name}.log"), "ab")
        process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.processes.append(process)
        self.record.write(f"{name} starts, process {process.pid}")
        return process

    async def start_executor(self, name, side, agent=None, reported="", boot=None, **options):
        """Starts a boot of an executor on a side machine. Its pings go to the agent there, or to the given address.

        The boot's name in the record differs from the executor's id where an executor starts again under the id that it had.
        """
        boot = boot or name
        command = [sys.executable, "-B", os.path.join(STANDINS, "executor.py"), "--id", name, "--address", f"{self.side_ip(side)}:8080", "--agent",
                   agent or f"{self.side_ip(side)}:8166", "--service", SERVICE, "--zone", ZONES[(side - 1) % len(ZONES)], "--reported", reported]
        for key, value in options.items():
            command += ["--" + key.replace("_", "-"), str(value)]
        process = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE, stdin=asyncio.subprocess.DEVNULL)
        self.processes.append(process)
        self.executors[boot] = process
        up = asyncio.get_running_loop().create_future()
        asyncio.create_task(self.follow(boot, process, up))
        try:
            await asyncio.wait_for(up, 10)
        except asyncio.TimeoutError as error:
            raise CannotRun(f"{name} did not start") from error
        return process

    async def follow(self, name, process, up):
        while line := await process.stdout.readline():
            event = json.loads(line)
            event["executor"] = name
            kind = event["event"]
            self.record.write(f"{name}: " + " ".join(f"{key}={value}" for key, value in event.items() if key not in ("at", "executor")), event["at"])
            if kind == "up" and not up.done():
                up.set_result(None)
            elif kind == "start":
                self.starts.append(event)
            elif kind == "end":
                self.ends.append(event)
            for listener in self.listeners:
                listener(event)
        self.downs.append((name, time.monotonic()))
        self.record.write(f"{name} is gone")

    def crash(self, name):
        """The executor crashes: everything that ran there is gone."""
        self.record.write(f"{name} crashes (SIGKILL)")
        self.downs.append((name, time.monotonic()))
        self.executors[name].kill()

    async def until_ready(self, workers, seconds=15):
        """Waits until each entry sees that many usable workers."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            states = [await self.usable(index) for index in range(1, self.entries + 1)]
            if all(count >= workers for count in states):
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"the fleet is not ready: {states} usable workers at the entries")

    async def state(self, ip):
        connection = Connection((ip, 9464))
        try:
            _, _, body = await asyncio.wait_for(connection.request("GET", "/v1/state"), 1.0)
            return json.loads(body)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return {}
        finally:
            connection.close()

    async def usable(self, index):
        return sum(1 for worker in (await self.state(self.entry_ip(index))).get("workers", []) if worker["usable"])

    async def submit(self, entry, job, tasks, ms, cpu, deadline_ms=5000, steps=None):
        """A client's call with one step of tasks, or with the given steps. Returns (status, body), or (None, None) without an answer."""
        spec = json.dumps({"ms": ms, "cpu": cpu})
        body = {"spec": spec, "bestEffort": True,
                "steps": steps or [{"count": tasks, "cpu": cpu, "memMb": 64, "estimatedMs": ms}]}
        connection = Connection((self.entry_ip(entry), 8161))
        self.record.write(f"client: POST {PREFIX}{job} to edge-{entry}, {tasks} tasks of {ms} ms")
        try:
            status, _, answer = await asyncio.wait_for(
                connection.request("POST", PREFIX + job, json.dumps(body).encode(), {"Host": HOST, "X-Deadline-Ms": str(deadline_ms)}),
                deadline_ms / 1000)
            self.record.write(f"client: {job} is answered with {status} {answer.decode(errors='replace')}")
            return status, answer
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.write(f"client: {job} gets no answer ({type(error).__name__})")
            return None, None
        finally:
            connection.close()

    def double_runs(self):
        """Returns the pairs of runs of one task that were at work at the same time on executors that were up."""
        runs = []
        for start in self.starts:
            end = next((end["at"] for end in self.ends if (end["executor"], end["task"], end["run"]) == (start["executor"], start["task"], start["run"])),
                       None)
            down = min((at for name, at in self.downs if name == start["executor"]), default=time.monotonic())
            runs.append((start["task"], start["at"], down if end is None else min(end, down), start["executor"], start["run"]))
        runs.sort()
        pairs = []
        for index, first in enumerate(runs):
            for second in runs[index + 1:]:
                if first[0] == second[0] and second[1] < first[2]:
                    pairs.append((first, second, min(first[2], second[2]) - second[1]))
        return pairs

    def report_double_runs(self):
        """Writes TWICE as the record shows it. Returns whether it was broken."""
        pairs = self.double_runs()
        for first, second, overlap in pairs:
            self.record.write(f"TWICE: {first[0]} ran on {first[3]} (run {first[4]}) and on {second[3]} (run {second[4]}) at the same time for "
                              f"{overlap * 1000:.0f} ms", second[1])
        return bool(pairs)

    async def end(self):
        for process in self.processes:
            if (process.returncode if not isinstance(process, subprocess.Popen) else process.poll()) is None:
                try:
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.processes:
            if isinstance(process, subprocess.Popen):
                process.wait()
            else:
                await process.wait()
        await asyncio.sleep(0.1)
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.logs, ignore_errors=True)


def run_case(folder, play, **sizes):
    """Plays a case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

    async def whole():
        # A case that is told to stop ends its processes, too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        fleet = Fleet(folder, **sizes)
        try:
            await fleet.begin()
            broken = await asyncio.wait_for(play(fleet, os.environ.get("TROUBLE", "1") != "0"), 110)
            fleet.record.write(f"the rule {'was broken' if broken else 'held'}")
            return BROKEN if broken else HELD
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            fleet.record.write(f"the case could not run: {type(error).__name__} {error}")
            return NOT_RUN
        finally:
            await fleet.end()

    sys.exit(asyncio.run(whole()))
