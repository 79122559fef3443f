"""A ping that a partition delayed arrives after its sender has crashed and a new boot has registered at the same address.

With VARIANT=writer a ping of another writer, which names a service that no manifest names, arrives instead.
"""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from fleet import run_case  # noqa: E402

JOBS = 2
TASKS = 8
TASK_MS = 900
PARTITION_PORT = 8170


async def hold_ping(fleet, held):
    """Takes the ping of the first boot as the partitioned path does: nothing of it arrives for now, and nothing comes back."""

    async def keep(reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(next(line.split(b":")[1] for line in head.split(b"\r\n") if line.lower().startswith(b"content-length")))
            held.append(head + await reader.readexactly(length))
            await reader.read()
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()

    return await asyncio.start_server(keep, fleet.side_ip(1), PARTITION_PORT)


def foreign_ping(fleet):
    """Returns a ping of another writer. Nobody listens at the address that it names."""
    body = json.dumps({"service": "not-in-any-manifest", "address": f"{fleet.side_ip(1)}:8079", "zone": "hall-north", "version": "v1", "slots": 8,
                       "state": "ready", "coldRemainingMs": 0, "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0}, "labels": ["a"],
                       "clockMs": 482113, "sequence": 4}).encode()
    return (f"POST /Instances.Heartbeat/i-other HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


async def play(fleet, trouble):
    held = []
    partition = await hold_ping(fleet, held)
    await fleet.start_executor("i-2a", 2)
    await fleet.start_executor("i-3a", 3)
    fleet.record.write("the path of the pings of side-1's executor is partitioned")
    await fleet.start_executor("i-1a", 1, agent=f"{fleet.side_ip(1)}:{PARTITION_PORT}")
    while not held:
        await asyncio.sleep(0.05)
    fleet.record.write("a ping of i-1a is on its way")
    fleet.crash("i-1a")
    await fleet.executors["i-1a"].wait()
    await asyncio.sleep(1.0)
    await fleet.start_executor("i-1b", 1)
    await fleet.until_ready(3)
    fleet.record.write("i-1b, i-2a and i-3a are registered")
    jobs = [asyncio.create_task(fleet.submit(1 + index % 3, f"{0xfee0000000000000 + index:016x}", TASKS, TASK_MS, 3100)) for index in range(JOBS)]
    await asyncio.sleep(0.25)
    if trouble:
        is_foreign = os.environ.get("VARIANT") == "writer"
        ping = foreign_ping(fleet) if is_foreign else held[0]
        reader, writer = await asyncio.open_connection(fleet.side_ip(1), 8166)
        writer.write(ping)
        await writer.drain()
        fleet.record.write(f"{'a ping of another writer' if is_foreign else 'the delayed ping of i-1a'} arrives at side-1's agent: {ping!r}")
        line = await asyncio.wait_for(reader.readline(), 2)
        fleet.record.write(f"the agent answers it with {line.decode().strip()}")
        writer.close()
    await asyncio.gather(*jobs)
    await asyncio.sleep(2.5)
    partition.close()
    return fleet.report_double_runs()


run_case(FOLDER, play)
