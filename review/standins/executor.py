"""Stands in for one boot of an executor, as its own process, so that a crash is a SIGKILL.

It speaks what PROTOCOL.md says under "Running tasks" and "Service discovery". It writes one JSON line to standard output for each start and each
end of a task, with the time on the machine's steady clock, which all processes of a machine share.
"""

import argparse
import asyncio
import json
import os
import signal
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "tests", "soak"))
from small_http import REASONS, Connection, Response, read_request  # noqa: E402

STOP_S = 0.02
LONGEST_WAIT_S = 2.0
PING_RETRY_S = 0.3
CLOCK_START_MS = 1000


class Run:
    def __init__(self, run, begun, ends):
        self.run, self.begun, self.ends, self.stopping = run, begun, ends, False


class Executor:
    def __init__(self, options):
        self.options = options
        self.zero = time.monotonic()
        # The Unix millisecond of its start, in all that it says of itself and in its lists of runs.
        self.born = int(time.time() * 1000)
        self.runs, self.highest = {}, {}
        self.ended, self.count, self.acked = [], 0, 0
        self.token, self.lease_end = 0, 0.0
        self.sequence = 0
        self.hung_until = 0.0
        # The tasks that serve the channels; the loop itself does not keep them.
        self.channels = set()

    def log(self, event, **fields):
        line = {"at": round(time.monotonic(), 4), "executor": self.options.id, "event": event, **fields}
        sys.stdout.write(json.dumps(line) + "\n")
        sys.stdout.flush()

    def clock_ms(self):
        return CLOCK_START_MS + int((time.monotonic() - self.zero) * 1000)

    async def main(self):
        host, _, port = self.options.address.rpartition(":")
        listener = socket.create_server((host, int(port)), backlog=self.options.new_channels)
        listener.setblocking(False)
        self.accepting = asyncio.create_task(self.accept(listener))
        asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, self.hang)
        self.log("up")
        self.pinging = asyncio.create_task(self.ping())
        while True:
            self.expire()
            await asyncio.sleep(0.002)

    def hang(self):
        """From now on calls hang for a while: no new channel is accepted and no request is read. What runs goes on, and pings are sent."""
        self.hung_until = time.monotonic() + self.options.hang_ms / 1000
        self.log("hangs", ms=self.options.hang_ms)

    async def responsive(self):
        while time.monotonic() < self.hung_until:
            await asyncio.sleep(0.005)

    async def accept(self, listener):
        loop = asyncio.get_running_loop()
        while True:
            await self.responsive()
            try:
                channel, _ = listener.accept()
            except BlockingIOError:
                await asyncio.sleep(0.002)
                continue
            reader, writer = await asyncio.open_connection(sock=channel)
            channel_task = loop.create_task(self.serve(reader, writer))
            self.channels.add(channel_task)
            channel_task.add_done_callback(self.channels.discard)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                await self.responsive()
                response = await self.handle(request)
                await self.responsive()
                fields = {**response.headers, "Content-Length": str(len(response.body))}
                head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
                writer.write(f"HTTP/1.1 {response.status} {REASONS.get(response.status, 'Other')}\r\n{head}\r\n".encode() + response.body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            # The client has gone.
            pass
        finally:
            writer.close()

    def expire(self):
        now = time.monotonic()
        for task, run in list(self.runs.items()):
            if now >= self.lease_end:
                self.end(task, "lapsed")
            elif now >= run.ends:
                self.end(task, "stopped" if run.stopping else "done")

    def end(self, task, how):
        run = self.runs.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run.run)
        self.count += 1
        self.ended.append([self.count, task, run.run, how, ""])
        self.log("end", task=task, run=run.run, how=how)

    def report(self):
        self.sequence += 1
        return {"service": self.options.service, "address": self.options.reported or self.options.address, "zone": self.options.zone, "version": "v1",
                "slots": 8, "state": "ready", "coldRemainingMs": 0,
                "capacity": {"cpu": self.options.cpu, "memMb": 65536, "gpu": 0}, "labels": self.options.labels.split(","), "born": self.born,
                "clockMs": self.clock_ms(), "sequence": self.sequence}

    async def ping(self):
        host, _, port = self.options.agent.rpartition(":")
        while True:
            status = None
            connection = Connection((host, int(port)))
            try:
                body = json.dumps(self.report()).encode()
                status, _, _ = await asyncio.wait_for(connection.request("POST", f"/Instances.Heartbeat/{self.options.id}", body), 1.0)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            finally:
                connection.close()
            self.log("ping", sequence=self.sequence, status=status)
            await asyncio.sleep(self.options.heartbeat_ms / 1000 if status == 200 else PING_RETRY_S)

    async def handle(self, request):
        if request.headers.get("x-expect-instance", self.options.id) != self.options.id:
            return Response(421)
        try:
            body = json.loads(request.body)
        except ValueError:
            return Response(400)
        self.expire()
        if body.get("fencingToken", 0) < self.token:
            return self.answer(409, reason="fence")
        self.token = body.get("fencingToken", 0)
        if request.path == "/run-start":
            return self.start(body)
        if request.path == "/run-stop":
            return self.stop(body)
        if request.path == "/hold":
            return await self.hold(body)
        return Response(404)

    def extend(self, deadline_ms):
        now = time.monotonic()
        wanted = now + min(deadline_ms - self.clock_ms(), self.options.hold_max_ms) / 1000
        self.lease_end = max(self.lease_end, wanted)

    def start(self, body):
        task, run = body["task"], body["runId"]
        present = self.runs.get(task)
        if present is not None and present.run == run:
            return self.answer(200)
        if body["deadlineMs"] < self.clock_ms():
            return self.answer(409, reason="late")
        self.extend(body["deadlineMs"])
        if present is not None or run <= self.highest.get(task, 0):
            return self.answer(409, reason="old")
        work = json.loads(body["spec"])
        if sum(self.cpu_of(each) for each in self.runs) + work["cpu"] > self.options.cpu:
            return self.answer(409, reason="room")
        now = time.monotonic()
        self.runs[task] = Run(run, now, now + work["ms"] / 1000)
        self.runs[task].cpu = work["cpu"]
        self.log("start", task=task, run=run, spec=body["spec"], labels=self.options.labels)
        return self.answer(200)

    def cpu_of(self, task):
        return self.runs[task].cpu

    def stop(self, body):
        task, run = body["task"], body["runId"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        present = self.runs.get(task)
        if present is not None and present.run <= run and not present.stopping:
            present.stopping, present.ends = True, min(present.ends, time.monotonic() + STOP_S)
        return self.answer(200)

    async def hold(self, body):
        if "deadlineMs" in body:
            self.extend(body["deadlineMs"])
        self.acked = max(self.acked, body.get("acked", 0))
        until = time.monotonic() + min(body.get("waitMs", 0) / 1000, LONGEST_WAIT_S)
        while not self.unread() and time.monotonic() < until:
            await asyncio.sleep(0.004)
        now = time.monotonic()
        active = [[task, run.run, "", min(99, int(100 * (now - run.begun) / max(run.ends - run.begun, 0.001))), self.cpu_of(task)]
                  for task, run in self.runs.items()]
        return self.answer(200, active=active, finished=self.unread(), born=self.born)

    def unread(self):
        return [end for end in self.ended if end[0] > self.acked][:500]

    def answer(self, status, **fields):
        return Response(status, json.dumps({"clockMs": self.clock_ms(), **fields}).encode(), {"Content-Type": "application/json"})


def main():
    parser = argparse.ArgumentParser()
    for name in ("id", "address", "agent", "service", "zone"):
        parser.add_argument("--" + name, required=True)
    # The address in the pings, where a proxy stands before the executor.
    parser.add_argument("--reported", default="")
    # Its kind and its rack.
    parser.add_argument("--labels", default="a,r1-1")
    # How many new channels wait to be accepted, and for how long calls hang after SIGUSR1.
    parser.add_argument("--new-channels", type=int, default=100)
    parser.add_argument("--hang-ms", type=int, default=2000)
    parser.add_argument("--cpu", type=int, default=32000)
    parser.add_argument("--heartbeat-ms", type=int, default=1500)
    parser.add_argument("--hold-max-ms", type=int, default=1000)
    asyncio.run(Executor(parser.parse_args()).main())


if __name__ == "__main__":
    main()
