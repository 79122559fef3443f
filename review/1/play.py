"""The channels of clients are reset while their jobs run, and the clients send the jobs again after retransmitMs, to another node."""

import asyncio
import json
import os
import socket
import struct
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from fleet import HOST, PREFIX, RETRANSMIT_MS, run_case  # noqa: E402

JOBS = 4
TASKS = 4
CPU = 3100
# The site's tasks last 3,600 ms at most.
TASK_MS = int(os.environ.get("TASK_MS", "2400"))
DEADLINE_MS = int(os.environ.get("DEADLINE_MS", "8000"))
RESET_AFTER_S = float(os.environ.get("RESET_AFTER_S", "0.3"))


async def one_job(fleet, number, trouble):
    job = f"{0xabc0000000000000 + number:016x}"
    node = 1 + number % 3
    if not trouble:
        await fleet.submit(node, job, TASKS, TASK_MS, CPU, DEADLINE_MS)
        return
    body = json.dumps({"spec": json.dumps({"ms": TASK_MS, "cpu": CPU}), "bestEffort": True,
                       "steps": [{"count": TASKS, "cpu": CPU, "memMb": 64, "estimatedMs": TASK_MS}]}).encode()
    reader, writer = await asyncio.open_connection(fleet.entry_ip(node), 8161)
    writer.write((f"POST {PREFIX}{job} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
                  f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
    await writer.drain()
    fleet.record.write(f"client: POST {PREFIX}{job} to edge-{node}, {TASKS} tasks of {TASK_MS} ms")
    await asyncio.sleep(RESET_AFTER_S)
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
    fleet.record.write(f"the channel of {job} to edge-{node} is reset")
    await asyncio.sleep(RETRANSMIT_MS / 1000)
    await fleet.submit(1 + (number + 1) % 3, job, TASKS, TASK_MS, CPU, DEADLINE_MS)


async def play(fleet, trouble):
    for side in (1, 2, 3):
        await fleet.start_executor(f"i-{side}", side)
    await fleet.until_ready(3)
    await asyncio.gather(*(one_job(fleet, number, trouble) for number in range(JOBS)))
    await asyncio.sleep(1.0)
    return fleet.report_double_runs()


run_case(FOLDER, play)
