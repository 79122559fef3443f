"""A small HTTP/1.1 server and client on asyncio for the stand-ins: whole bodies, kept connections, no chunks."""

import asyncio
import json
from dataclasses import dataclass

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request", 503: "Service Unavailable"}


@dataclass
class Request:
    """A request that was read whole."""

    method: str
    path: str
    query: dict
    headers: dict
    body: bytes

    def json(self):
        return json.loads(self.body or b"{}")


async def read_message(reader):
    """Returns the first line, the headers by lower-case name, and the body."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers, await reader.readexactly(int(headers.get("content-length", "0")))


async def serve(address, handler):
    """Serves `handler`, a coroutine from a request to (status, body) or None for no answer, at (host, port)."""

    async def connection(reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                pairs = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
                answer = await handler(Request(method, path, pairs, headers, body))
                if answer is None:
                    return
                status, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\nContent-Type: application/json\r\nContent-Length: {len(content)}\r\n\r\n"
                writer.write(head.encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, address[0], address[1])


class Channel:
    """A client's channel, for one request after the other."""

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None

    async def send(self, method, path, body=None, headers=None):
        """Sends a request without awaiting its answer."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        content = b"" if body is None else json.dumps(body).encode()
        fields = {"Content-Type": "application/json", "Content-Length": str(len(content)), **(headers or {})}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self.writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + content)
        await self.writer.drain()

    async def receive(self):
        """Returns (status, headers, body) of the answer."""
        line, headers, body = await read_message(self.reader)
        return int(line.split(" ")[1]), headers, body

    async def call(self, method, path, body=None, headers=None):
        await self.send(method, path, body, headers)
        return await self.receive()

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def call_once(address, method, path, body=None, headers=None, timeout=5.0):
    """Makes one call on a channel of its own. Returns (status, headers, body), or None if there was no answer in time."""
    channel = Channel(address)
    try:
        return await asyncio.wait_for(channel.call(method, path, body, headers), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        channel.close()
