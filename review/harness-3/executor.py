"""Stands in for an executor on a `side` machine, as PROTOCOL.md describes it."""

import asyncio
import json
import time
from dataclasses import dataclass

from wire import call_once, serve

HOLD_MAX_S = 1.0
STOP_S = 0.020
BEAT_S = 1.5
LONGEST_WAIT_S = 2.0


@dataclass
class Run:
    """A run that is at work."""

    began: float
    ends: float
    stopping: bool = False


class Executor:
    """One life of an executor. The spec of a task is `ANY:MILLISECONDS`: how long it works."""

    def __init__(self, identifier, address, control, record, zone, service, cpu=16000, labels=("a", "r1")):
        self.identifier = identifier
        self.address = address
        self.control = control
        self.record = record
        self.zone = zone
        self.service = service
        self.cpu = cpu
        self.labels = list(labels)
        # By task and number.
        self.runs = {}
        self.ended = []
        self.ends = 0
        self.acked = 0
        self.token = 0
        self.highest = {}
        self.lease_end = 0.0
        self.zero = time.monotonic() - 100.0
        self.sequence = 0
        self.state = "ready"
        # While it is cut off, no call reaches it and no answer leaves it; it runs on.
        self.connected = asyncio.Event()
        self.connected.set()
        self.server = None

    async def start(self):
        self.server = await serve(self.address, self._handle)
        asyncio.create_task(self._beat())
        asyncio.create_task(self._work())

    def cut_off(self, refuses=False):
        """No call reaches it any more. New channels are refused, or hang as the open ones do."""
        self.connected.clear()
        if refuses:
            self.server.close()

    async def connect(self):
        """Ends the cut."""
        if not self.server.is_serving():
            self.server = await serve(self.address, self._handle)
        self.connected.set()

    async def _beat(self):
        while True:
            await self.connected.wait()
            self.sequence += 1
            answer = await call_once(self.control, "POST", "/Instances.Heartbeat/" + self.identifier, {
                "service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone, "version": "v1", "slots": 8,
                "state": self.state, "coldRemainingMs": 0, "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0}, "labels": self.labels,
                "clockMs": self._clock(), "sequence": self.sequence}, timeout=1.0)
            acknowledged = answer is not None and answer[0] // 100 == 2
            await asyncio.sleep(BEAT_S if acknowledged else 0.2)

    async def _work(self):
        while True:
            self._advance()
            await asyncio.sleep(0.002)

    def _advance(self):
        now = time.monotonic()
        for key, run in list(self.runs.items()):
            if run.ends <= min(now, self.lease_end):
                self._end(key, "stopped" if run.stopping else "done")
        if now >= self.lease_end:
            for key in list(self.runs):
                self._end(key, "lapsed")

    def _end(self, key, how):
        task, number = key
        del self.runs[key]
        self.highest[task] = max(self.highest.get(task, 0), number)
        self.ends += 1
        self.ended.append([self.ends, task, number, how, ""])
        self.record.end(self, task, number, how)

    def _clock(self):
        return int((time.monotonic() - self.zero) * 1000)

    def _answer(self, status, **fields):
        return status, {"clockMs": self._clock(), **fields}

    async def _handle(self, request):
        if not self.connected.is_set():
            # The call is lost: its sender has given up long before the cut heals.
            await self.connected.wait()
            return None
        answer = await self._carry_out(request)
        return answer if self.connected.is_set() else None

    async def _carry_out(self, request):
        if request.path == "/healthz":
            return 200, {}
        self._advance()
        body = request.json()
        if request.headers.get("x-expect-instance", self.identifier) != self.identifier:
            return 421, {}
        if body.get("fencingToken", 0) < self.token:
            return self._answer(409, reason="fence")
        self.token = body.get("fencingToken", 0)
        if request.path == "/run-start":
            return self._start(body)
        if request.path == "/run-stop":
            return self._stop(body)
        if request.path == "/hold":
            return await self._hold(body)
        return 404, {}

    def _start(self, body):
        task, number = body["task"], body["runId"]
        if (task, number) in self.runs:
            return self._answer(200)
        if body["deadlineMs"] < self._clock():
            return self._answer(409, reason="late")
        self._extend(body["deadlineMs"])
        if number <= self.highest.get(task, 0):
            return self._answer(409, reason="old")
        now = time.monotonic()
        self.runs[task, number] = Run(now, now + float(body["spec"].split(":")[1]) / 1000)
        self.record.begin(self, task, number, body["spec"])
        return self._answer(200)

    def _stop(self, body):
        task, number = body["task"], body["runId"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get((task, number))
        if run is not None and not run.stopping:
            run.stopping = True
            run.ends = min(run.ends, time.monotonic() + STOP_S)
        return self._answer(200)

    async def _hold(self, body):
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        self.acked = max(self.acked, body.get("acked", 0))
        until = time.monotonic() + min(body.get("waitMs", 0) / 1000, LONGEST_WAIT_S)
        while not self._unread() and time.monotonic() < until:
            await asyncio.sleep(0.004)
        self._advance()
        now = time.monotonic()
        active = [[task, number, "", min(99, int(100 * (now - run.began) / max(run.ends - run.began, 0.001))), 0]
                  for (task, number), run in self.runs.items()]
        return self._answer(200, active=active, finished=self._unread())

    def _unread(self):
        return [end for end in self.ended if end[0] > self.acked][:500]

    def _extend(self, deadline):
        now = time.monotonic()
        self.lease_end = max(self.lease_end, min(now + (deadline - self._clock()) / 1000, now + HOLD_MAX_S))
