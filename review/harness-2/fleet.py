"""Runs the platform's programs of this project as processes on loopback, with small stand-ins for the store and the executors.

The command lines come from deploy/system.toml. The bounds are those of a small deployment. Every machine has a loopback address of its
own, and every stand-in behaves as PROTOCOL.md says unless a case asks for a disruption.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))

SERVICE = "washer"
HOST = "orders.example"
QUEUE = "/wash/"

MESH_PORT, FRONTEND_PORT, CONTROL_PORT, READY_PORT, METRICS_PORT, WORKER_PORT, STORE_PORT = 7720, 8161, 8166, 8167, 9464, 8080, 8169
ENTRY_HOSTS, WORKER_HOSTS, STORE_HOST = range(1, 50), range(50, 250), 250

BOUNDS = {"holdMaxMs": 1000, "retransmitMs": 1300, "graceS": 6, "remoteFactor": 1.5, "cancel_ms": 3000, "stopGraceMs": 50, "contactMs": 3000,
          "ackMs": 4000, "configApplyMs": 2000}
HEARTBEAT_S = 1.5
ZONES = ("hall-north", "hall-south", "hall-cargo")

# Time from the kill of a process until the platform has started it again.
RESTART_S = 0.5


class Record:
    """What was sent, answered and run, with the time since the start of the case."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.start

    def note(self, text):
        self.file.write(f"{self.now():9.3f}  {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


# ---- HTTP ------------------------------------------------------------------------------------------------------------------------


async def read_message(reader):
    """Returns the first line, the headers by lower-case name, and the body of a message."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Server:
    """Serves a coroutine (method, path, query, headers, body) -> (status, body); None for no response at all."""

    def __init__(self, host, port, handler):
        self.host, self.port, self.handler = host, port, handler
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._connection, self.host, self.port)

    def stop(self):
        """Ends the listener and all connections, as the end of the process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                pairs = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
                answer = await self.handler(method, path, pairs, headers, body)
                if answer is None:
                    return
                status, content = answer
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Channel:
    """A client's channel to one address."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.reader = self.writer = None

    async def call(self, method, path, body=b"", headers=None):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        fields = {"Host": HOST, "Content-Type": "application/json", "Content-Length": str(len(body)), **(headers or {})}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self.writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
        await self.writer.drain()
        line, answer_headers, answer = await read_message(self.reader)
        if answer_headers.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def call_once(host, port, method, path, body=b"", headers=None, timeout=5.0):
    """Makes one call on a channel of its own. Returns (None, b"") when there is no response."""
    channel = Channel(host, port)
    try:
        return await asyncio.wait_for(channel.call(method, path, body, headers), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return None, b""
    finally:
        channel.close()


# ---- the platform's store --------------------------------------------------------------------------------------------------------


class Store:
    """The store's keyed topics with one partition. Nothing is ever lost."""

    PAGE_ITEMS = 500

    def __init__(self, host):
        self.server = Server(host, STORE_PORT, self._handle)
        self.topics = {}

    def put(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))

    async def _handle(self, method, path, query, headers, body):
        topic = query.get("topic", "")
        if path == "/log-newest":
            return self._newest(topic, query.get("dependsOn", ""))
        if path == "/log-read":
            return await self._read(topic, int(query["fromRev"]), int(query.get("waitMs", "0")) / 1000)
        if path == "/log-append":
            first = len(self.topics.get(topic, []))
            while body:
                (length,) = struct.unpack(">I", body[:4])
                content, body = body[4:4 + length], body[4 + length:]
                self.put(topic, content[1:1 + content[0]].decode(), content[1 + content[0]:])
            return 200, json.dumps({"offset": first, "endOffset": len(self.topics.get(topic, []))}).encode()
        return 404, b"{}"

    def _newest(self, topic, after):
        records = self.topics.get(topic, [])
        newest = {key: (value, offset) for offset, (key, value) in enumerate(records)}
        keys = sorted(key for key, (value, _) in newest.items() if value and key > after)
        items = [{"key": key, "value": base64.b64encode(newest[key][0]).decode(), "offset": newest[key][1]} for key in keys[:self.PAGE_ITEMS]]
        return 200, json.dumps({"items": items, "hasMore": len(keys) > self.PAGE_ITEMS, "endOffset": len(records)}).encode()

    async def _read(self, topic, first, wait_s):
        until = time.monotonic() + min(wait_s, 30)
        while len(self.topics.get(topic, [])) <= first and time.monotonic() < until:
            await asyncio.sleep(0.01)
        records = self.topics.get(topic, [])
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[first:]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return 200, body


# ---- executors -------------------------------------------------------------------------------------------------------------------


class Start:
    """A task that an executor has begun."""

    def __init__(self, at, executor, task, run, spec):
        self.at, self.executor, self.task, self.run, self.spec = at, executor, task, run, spec
        self.ended_at = None
        self.how = None


class Executor:
    """An executor: runs tasks on a lease, with the time that `spec` names ("work:MS")."""

    def __init__(self, name, host, agent_host, zone, record, cpu=16000):
        self.name, self.host, self.agent_host, self.zone, self.record, self.cpu = name, host, agent_host, zone, record, cpu
        self.labels = ["a", "r1"]
        self.acked_pings = 0
        self.server = Server(host, WORKER_PORT, self._handle)
        self.starts = []
        self.life = 0
        self.is_over = False
        self._begin_life()

    def _begin_life(self):
        self.life += 1
        self.id = f"{self.name}-{self.life}-{random.getrandbits(24):06x}"
        self.zero = time.monotonic() - 60
        self.token = 0
        self.lease_end = 0.0
        self.active = {}
        self.highest = {}
        self.finished = []
        self.acked = 0
        self.sequence = 0
        self.state = "ready"

    def clock_ms(self):
        return int((time.monotonic() - self.zero) * 1000)

    async def start(self):
        await self.server.start()
        asyncio.create_task(self._ping_all())
        asyncio.create_task(self._run())

    async def _ping_all(self):
        while not self.is_over:
            acked = await self.ping()
            await asyncio.sleep(HEARTBEAT_S if acked else 0.2)

    async def ping(self):
        self.sequence += 1
        body = json.dumps({"service": SERVICE, "address": f"{self.host}:{WORKER_PORT}", "zone": self.zone, "version": "v1", "slots": 8,
                           "state": self.state, "coldRemainingMs": 0, "capacity": {"cpu": self.cpu, "memMb": 32768, "gpu": 0},
                           "labels": self.labels, "clockMs": self.clock_ms(), "sequence": self.sequence}).encode()
        status, _ = await call_once(self.agent_host, CONTROL_PORT, "POST", f"/Instances.Heartbeat/{self.id}", body, timeout=1.0)
        acked = status is not None and 200 <= status < 300
        self.acked_pings += acked
        return acked

    async def next_ping(self):
        """Waits until the executor's next ping has been acknowledged."""
        before = self.acked_pings
        while self.acked_pings == before:
            await asyncio.sleep(0.005)

    async def _run(self):
        while not self.is_over:
            self.expire()
            await asyncio.sleep(0.005)

    def expire(self):
        now = time.monotonic()
        for key, (start, ends) in list(self.active.items()):
            if ends <= min(now, self.lease_end):
                self._end(key, start.how or "done", ends)
            elif now >= self.lease_end:
                self._end(key, "lapsed", self.lease_end)

    def _end(self, key, how, at):
        start, _ = self.active.pop(key)
        # A run that is not higher than one stopped or ended here is rejected from now on.
        self.highest[start.task] = max(self.highest.get(start.task, 0), start.run)
        start.how, start.ended_at = how, at - self.record.start
        self.finished.append([len(self.finished) + 1, start.task, start.run, how, ""])
        self.record.note(f"{self.name}: task {start.task} run {start.run} ended {how}")

    async def _handle(self, method, path, query, headers, body):
        value = json.loads(body)
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, b"{}"
        self.expire()
        if value.get("fencingToken", 0) < self.token:
            return self._answer(409, reason="fence")
        self.token = value.get("fencingToken", 0)
        if path == "/run-start":
            return self._start(value)
        if path == "/run-stop":
            return self._stop(value)
        if path == "/hold":
            return await self._hold(value)
        return 404, b"{}"

    def _start(self, value):
        task, run = value["task"], value["runId"]
        if (task, run) in self.active:
            return self._answer(200)
        if value["deadlineMs"] < self.clock_ms():
            return self._answer(409, reason="late")
        self._extend(value["deadlineMs"])
        if run <= self.highest.get(task, 0):
            return self._answer(409, reason="old")
        start = Start(self.record.now(), self.name, task, run, value["spec"])
        self.starts.append(start)
        self.active[task, run] = (start, time.monotonic() + int(value["spec"].split(":")[1]) / 1000)
        self.record.note(f"{self.name}: task {task} run {run} started")
        return self._answer(200)

    def _stop(self, value):
        task, run = value["task"], value["runId"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        if (task, run) in self.active:
            start, ends = self.active[task, run]
            start.how = "stopped"
            self.active[task, run] = (start, min(ends, time.monotonic() + 0.02))
        return self._answer(200)

    async def _hold(self, value):
        if "deadlineMs" in value:
            self._extend(value["deadlineMs"])
        self.acked = max(self.acked, value.get("acked", 0))
        until = time.monotonic() + min(value.get("waitMs", 0), 2000) / 1000
        while len(self.finished) <= self.acked and time.monotonic() < until:
            await asyncio.sleep(0.005)
        self.expire()
        active = [[start.task, start.run, "", self._percent(start, ends), 1000] for start, ends in self.active.values()]
        return self._answer(200, active=active, finished=self.finished[self.acked:self.acked + 500])

    def _percent(self, start, ends):
        elapsed = self.record.now() - start.at
        return min(99, int(100 * elapsed / max(elapsed + ends - time.monotonic(), 0.001)))

    def _extend(self, deadline_ms):
        now = time.monotonic()
        wanted = now + (deadline_ms - self.clock_ms()) / 1000
        self.lease_end = max(self.lease_end, min(wanted, now + BOUNDS["holdMaxMs"] / 1000))

    def _answer(self, status, **fields):
        return status, json.dumps({"clockMs": self.clock_ms(), **fields}).encode()


# ---- processes -------------------------------------------------------------------------------------------------------------------


def deploy_commands():
    """Returns the command line of each role in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        return dict(re.findall(r'^\[roles\.(\w+)\]\nrun = "(.*)"$', file.read(), re.MULTILINE))


def fill(template, settings):
    """Fills the placeholders of a command line, as DEPLOY.md says for the forms that this project's deploy file uses."""

    def value(path):
        found = settings
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return ",".join(found) if isinstance(found, list) else str(found)

    def section(match):
        entries = list(settings[match[1]])
        return "".join(match[2].replace("{{@}}", entry).replace("{{,}}", "," if entry != entries[-1] else "") for entry in entries)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: value(match[1]), text).split(" ")


class Process:
    """One process of the system."""

    def __init__(self, name, command, log, record):
        self.name, self.command, self.log, self.record = name, command, log, record
        self.process = None

    def start(self):
        with open(self.log, "ab") as log:
            environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
            self.process = subprocess.Popen(self.command, cwd=ROOT, stdout=log, stderr=log, env=environment)
        self.record.note(f"{self.name}: process started")

    def signal(self, number):
        self.record.note(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def kill_and_restart(self):
        self.signal(signal.SIGKILL)
        self.process.wait()
        await asyncio.sleep(RESTART_S)
        self.start()

    async def stop_and_restart(self):
        """A planned stop: SIGTERM, SIGKILL after `graceS`, and a start soon after the end."""
        self.signal(signal.SIGTERM)
        until = time.monotonic() + BOUNDS["graceS"]
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()
        self.record.note(f"{self.name}: process ended with {self.process.returncode}")
        await asyncio.sleep(RESTART_S)
        self.start()

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Fleet:
    """A small deployment: entries on the edge machines, an agent beside each executor, the store."""

    def __init__(self, record, folder, entries=3, executors=4, seeds=None, cpu=16000):
        self.record, self.folder = record, folder
        self.net = self._free_net()
        self.commands = deploy_commands()
        self.seeds = seeds or [f"{self.address(host)}:{CONTROL_PORT}" for host in ENTRY_HOSTS[:min(entries, 3)]]
        self.store = Store(self.address(STORE_HOST))
        self.entries = [self._process("entry", "edge", host, index) for index, host in enumerate(ENTRY_HOSTS[:entries])]
        self.agents = [self._process("agent", "side", host, index) for index, host in enumerate(WORKER_HOSTS[:executors])]
        self.executors = [Executor(f"executor-{index + 1}", self.address(host), self.address(host), ZONES[index % 3], record, cpu)
                          for index, host in enumerate(WORKER_HOSTS[:executors])]

    def address(self, host):
        return f"{self.net}.{host}"

    def _free_net(self):
        while True:
            net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for port in (FRONTEND_PORT, STORE_PORT):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.1", port))
                return net
            except OSError:
                continue

    def _process(self, role, machine_class, host, index):
        ip = self.address(host)
        name = f"{machine_class}-{ZONES[index % 3]}-{index + 1}"
        settings = {"nodeName": name, "zone": ZONES[index % 3], "region": "amman", "zones": {zone: "amman" for zone in ZONES}, "ip": ip,
                    "internalPorts": [MESH_PORT, MESH_PORT + 15], "platform": {"address": f"{self.address(STORE_HOST)}:{STORE_PORT}"},
                    "listenAddrs": {"frontend": f"{ip}:{FRONTEND_PORT}", "ready": f"{ip}:{READY_PORT}", "controlPlane": f"{ip}:{CONTROL_PORT}"},
                    "seeds": self.seeds, "bounds": BOUNDS,
                    "limits": {"cpuShare": 0.25 if role == "entry" else 0.15, "linkMbps": 1000.0}}
        return Process(name, fill(self.commands[role], settings), os.path.join(self.folder, name + ".log"), self.record)

    def host_of(self, entry):
        return self.address(ENTRY_HOSTS[self.entries.index(entry)])

    async def start(self):
        await self.store.server.start()
        self.publish(version=3, prefixes=[QUEUE])
        for process in self.entries + self.agents:
            process.start()
        for executor in self.executors:
            await executor.start()

    def publish(self, version, prefixes):
        """Puts a manifest with one route for each prefix into the store."""
        routes = [{"name": prefix.strip("/"), "host": HOST, "pathPrefix": prefix, "service": SERVICE, "priority": 0, "maxAttempts": 3,
                   "slackFactor": 3, "targetLatencyMs": 500} for prefix in prefixes]
        manifest = {"version": version, "routes": routes, "services": [{"name": SERVICE, "preconditions": True}], "limits": {}}
        self.store.put("keyed.op", "config", json.dumps(manifest).encode())

    async def until_serving(self, timeout=10.0):
        """Waits until each entry serves a small job. Returns whether all do."""
        until = time.monotonic() + timeout
        waiting = list(self.entries)
        while waiting and time.monotonic() < until:
            entry = waiting[0]
            status, body = await self.submit(entry, new_id(), one_step(1, 20), 2000)
            if status == 200 and json.loads(body).get("state") == "completed":
                waiting.pop(0)
            else:
                await asyncio.sleep(0.2)
        return not waiting

    async def submit(self, entry, job, body, deadline_ms, timeout=None):
        headers = {"X-Deadline-Ms": str(deadline_ms)}
        return await call_once(self.host_of(entry), FRONTEND_PORT, "POST", QUEUE + job, body, headers, timeout or deadline_ms / 1000)

    async def ready(self, entry):
        status, _ = await call_once(self.host_of(entry), READY_PORT, "GET", "/readyz", timeout=1.0)
        return status == 200

    def starts_of(self, job):
        return sorted((start for executor in self.executors for start in executor.starts if start.task.startswith(job)), key=lambda each: each.at)

    def unexpected_ends(self):
        return [process.name for process in self.entries + self.agents if process.process is not None and process.process.poll() is not None]

    def end(self):
        for executor in self.executors:
            executor.is_over = True
        for process in self.entries + self.agents:
            process.end()


def new_id():
    return f"{random.getrandbits(64):016x}"


def one_step(count, duration_ms, cpu=1000):
    return json.dumps({"spec": f"work:{duration_ms}", "bestEffort": True,
                       "steps": [{"count": count, "cpu": cpu, "memMb": 64, "estimatedMs": duration_ms}]}).encode()


def chain(steps, duration_ms, cpu=1000):
    """A job whose steps depend on each other in turn."""
    rows = [{"count": 1, "cpu": cpu, "memMb": 64, "estimatedMs": duration_ms, **({"dependsOn": [index - 1]} if index else {})}
            for index in range(steps)]
    return json.dumps({"spec": f"work:{duration_ms}", "bestEffort": True, "steps": rows}).encode()


def run_case(file, scenario):
    """Runs a scenario, a coroutine (fleet, record, trouble) -> broken rules as texts, and exits as the issue asks. None: it could not run."""
    folder = os.path.dirname(os.path.abspath(file))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record.note("with the disruption" if trouble else "without the disruption")

    async def play():
        with tempfile.TemporaryDirectory() as logs:
            fleet = Fleet(record, logs)
            try:
                await fleet.start()
                if not await fleet.until_serving():
                    record.note("the fleet does not serve")
                    return None
                return await scenario(fleet, record, trouble)
            finally:
                fleet.end()
                if os.environ.get("KEEP_LOGS"):
                    os.system(f"cp -r {logs} {os.environ['KEEP_LOGS']}")

    try:
        broken = asyncio.run(asyncio.wait_for(play(), 110))
    except Exception as error:  # Anything unexpected is no finding.
        record.note(f"the case could not run: {error!r}")
        broken = None
    for each in broken or []:
        record.note("BROKEN " + each)
    record.note("could not run" if broken is None else "rule broken" if broken else "rule held")
    record.close()
    print("could not run" if broken is None else "\n".join(broken) or "rule held")
    sys.exit(2 if broken is None else 1 if broken else 0)
