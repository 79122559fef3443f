"""Stands in for the platform's store, as PROTOCOL.md describes it: keyed topics with one partition that lose nothing."""

import asyncio
import base64
import json
import struct
from urllib.parse import unquote

from wire import serve

MOST_ITEMS = 500
MOST_BYTES = 1024 * 1024
LONGEST_WAIT_S = 30.0
ANSWER_S = 0.004


class Store:
    """Keeps what is written."""

    def __init__(self, address):
        self.address = address
        self.topics = {}
        self.changed = asyncio.Condition()
        # What happens to a call in place of an answer, by the caller's request; None for nothing.
        self.trouble = None

    async def start(self):
        await serve(self.address, self._handle)

    async def put(self, topic, key, value):
        async with self.changed:
            records = self.topics.setdefault(topic, [])
            records.append((key, value))
            self.changed.notify_all()
            return len(records) - 1

    async def put_config(self, document):
        return await self.put("keyed.op", b"config", json.dumps(document).encode())

    async def _handle(self, request):
        await asyncio.sleep(ANSWER_S)
        if self.trouble is not None:
            return self.trouble(request)
        topic = unquote(request.query.get("topic", ""))
        if request.path == "/log-newest":
            return self._newest(topic, unquote(request.query.get("dependsOn", "")).encode())
        if request.path == "/log-read":
            return await self._read(topic, int(request.query["fromRev"]), int(request.query.get("waitMs", "0")) / 1000)
        if request.path == "/log-append":
            return await self._append(topic, request.body)
        return 404, {}

    def _newest(self, topic, after):
        records = self.topics.get(topic, [])
        newest = {key: (value, offset) for offset, (key, value) in enumerate(records)}
        keys = sorted(key for key, (value, _) in newest.items() if value and key > after)
        items, size = [], 0
        for key in keys:
            value, offset = newest[key]
            size += len(key) + len(value)
            if len(items) == MOST_ITEMS or (items and size > MOST_BYTES):
                break
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "hasMore": len(items) < len(keys), "endOffset": len(records)}

    async def _read(self, topic, first, wait_s):
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(lambda: len(self.topics.get(topic, [])) > first), min(wait_s, LONGEST_WAIT_S))
            except asyncio.TimeoutError:
                pass
        if self.trouble is not None:
            return None
        records = self.topics.get(topic, [])
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[first:]:
            content = bytes([len(key)]) + key + value
            body += struct.pack(">I", len(content)) + content
        return 200, body

    async def _append(self, topic, body):
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {}
        first = len(self.topics.get(topic, []))
        while body:
            (length,) = struct.unpack(">I", body[:4])
            content, body = body[4:4 + length], body[4 + length:]
            await self.put(topic, content[1:1 + content[0]], content[1 + content[0]:])
        return 200, {"offset": first, "endOffset": len(self.topics.get(topic, []))}
