"""What all cases share: the record, the exit status, and the platform's forwarder in front of the entries."""

import asyncio
import os
import random
import traceback

from fleet import HOST, PREFIX, CannotRun, Record
from wire import call_once

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# Whether the case has its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def new_job():
    return f"{random.getrandbits(64):016x}"


def job_body(steps, milliseconds, count=1, **fields):
    """Returns a job that needn't be kept, of steps one after the other with these fields; the spec says how long a task works."""
    shape = {"count": count, "cpu": 3100, "memMb": 64, "estimatedMs": milliseconds, **fields}
    return {"spec": f"work:{milliseconds}", "bestEffort": True, "steps": [{**shape, **({"dependsOn": [step - 1]} if step else {})} for step in range(steps)]}


def headers(deadline_ms):
    return {"Host": HOST, "X-Deadline-Ms": str(deadline_ms)}


def describe(answer):
    return "no answer" if answer is None else f"{answer[0]} {answer[2].decode(errors='replace')}"


class Forwarder:
    """Looks at each entry's `ready` address once per second, as the platform does, and picks the entry for a new channel."""

    MISSES = 2

    def __init__(self, entries):
        self.entries = entries
        self.misses = [0] * len(entries)

    async def run(self):
        while True:
            for index in range(len(self.entries)):
                asyncio.create_task(self._look(index))
            await asyncio.sleep(1.0)

    async def _look(self, index):
        answer = await call_once(self.entries[index].ready(), "GET", "/readyz", timeout=0.9)
        self.misses[index] = 0 if answer is not None and answer[0] == 200 else self.misses[index] + 1

    def pick(self, hash_of_client):
        """Returns the entry of the client's zone, or one of the next zone if that is not in rotation. Each zone has one entry."""
        for step in range(len(self.entries)):
            index = (hash_of_client + step) % len(self.entries)
            if self.misses[index] < self.MISSES:
                return self.entries[index]
        return self.entries[hash_of_client % len(self.entries)]


async def serves(entry, body):
    """Returns whether the entry completes a job."""
    answer = await call_once(entry.frontend(), "POST", PREFIX + new_job(), body, headers(1500), timeout=2.0)
    return answer is not None and answer[0] == 200 and b"completed" in answer[2]


async def await_service(fleet, limit_s=20.0):
    """Waits until every entry completes a job."""
    until = asyncio.get_running_loop().time() + limit_s
    for entry in fleet.entries:
        while not await serves(entry, job_body(1, 20)):
            if asyncio.get_running_loop().time() > until:
                raise CannotRun(f"{entry.name} completes no job before the case begins")
            await asyncio.sleep(0.2)


def run(play, record_path):
    """Plays a case, a coroutine from the record to the list of what broke the rule, and ends with the exit status of the case."""
    record = Record(record_path)
    status = COULD_NOT_RUN
    try:
        broken = asyncio.new_event_loop().run_until_complete(play(record))
        for each in broken:
            record.note(f"BROKEN: {each}")
        record.note("the rule was broken" if broken else "the rule held")
        status = BROKEN if broken else HELD
    except (CannotRun, OSError) as error:
        record.note(f"the case could not run: {error}")
    except Exception:
        record.note("the case could not run:\n" + traceback.format_exc())
    # The stand-ins' tasks end with this process; those of the system have ended before.
    os._exit(status)
