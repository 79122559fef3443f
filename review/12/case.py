"""TWICE: an executor is cut off with its connections refused, and its tasks are started elsewhere while it runs on."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness-3"))

from case import TROUBLE, await_service, describe, headers, job_body, new_job, run
from fleet import PREFIX, Fleet
from wire import call_once

WORK_MS = 2000
DEADLINE_MS = 8000
CUT_AFTER_S = 0.5
# The site's longest cut of executors is 5.5 s.
CUT_S = 3.0


async def play(record):
    fleet = Fleet(record, entries=3, agents=6)
    try:
        await fleet.start()
        await fleet.store.put_config({**fleet.routes(timeout_ms=9000), "version": 9})
        await asyncio.sleep(5.0)
        await await_service(fleet)
        await asyncio.sleep(3.0)
        job, entry = new_job(), fleet.entries[0]
        record.note(f"client: sends job {job} to {entry.name}")
        body = job_body(1, WORK_MS, count=12)
        submission = asyncio.create_task(call_once(entry.frontend(), "POST", PREFIX + job, body, headers(DEADLINE_MS), DEADLINE_MS / 1000))
        await asyncio.sleep(CUT_AFTER_S)
        if TROUBLE:
            busiest = max(fleet.executors, key=lambda executor: len(executor.runs))
            busiest.cut_off(refuses=True)
            record.note(f"{busiest.identifier} is cut off, connections to it are refused; it runs {len(busiest.runs)} tasks")
            await asyncio.sleep(CUT_S)
            await busiest.connect()
            record.note(f"{busiest.identifier} is connected")
        record.note(f"client: {describe(await submission)}")
        return [f"TWICE: {one[0]} ran on {one[2]} from {one[3]:.4f} to {one[4]:.4f} and on {other[2]} from {other[3]:.4f} to {other[4]:.4f}"
                for one, other in record.overlaps() if one[2] != other[2]]
    finally:
        fleet.end()


run(play, os.path.join(HERE, "record.txt"))
