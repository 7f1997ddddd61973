"""A small HTTP/1.1 server and client on asyncio, without dependencies."""

import asyncio
import json
import typing as t


class Request:
    """A request whose body was read completely."""

    __slots__ = ("method", "path", "query", "headers", "body")

    def __init__(self, method, path, query, headers, body):
        self.method = method
        self.path = path
        self.query = query
        self.headers = headers
        self.body = body

    def json(self) -> t.Any:
        """Return the decoded body."""
        return json.loads(self.body or b"{}")


class NoAnswer(Exception):
    """Raised by a handler that closes the connection without an answer."""


async def _read_message(reader):
    """Return the first line, the headers and the body of a message."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        row = await reader.readline()
        if row in (b"\r\n", b"\n", b""):
            break
        name, _, value = row.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0") or 0)
    body = await reader.readexactly(length) if length else b""
    return line.decode("latin-1").strip(), headers, body


def unquote(text: str) -> str:
    """Decode percent escapes."""
    out = bytearray()
    raw = text.encode("latin-1")
    index = 0
    while index < len(raw):
        if raw[index] == 0x25:
            out.append(int(raw[index + 1 : index + 3], 16))
            index += 3
        else:
            out.append(raw[index])
            index += 1
    return out.decode()


def _query(text: str) -> dict[str, str]:
    pairs = (part.partition("=") for part in text.split("&") if part)
    return {unquote(name): unquote(value) for name, _, value in pairs}


class Server:
    """Serves ``handler(request) -> (status, body)`` on a loopback port."""

    def __init__(self, handler, host="127.0.0.1"):
        self._handler = handler
        self._host = host
        self._server = None
        self._writers = set()
        self.port = 0

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{self._host}:{self.port}"

    async def start(self, port=0):
        """Listen, on the same port as before when it was started before."""
        self._server = await asyncio.start_server(
            self._serve, self._host, port or self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stop listening and cut all connections, as a killed process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = await _read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                request = Request(
                    method, unquote(path), _query(query), headers, body
                )
                try:
                    status, content = await self._handler(request)
                except NoAnswer:
                    return
                data = content
                if not isinstance(data, bytes):
                    data = json.dumps(content).encode()
                writer.write(
                    (
                        f"HTTP/1.1 {status} -\r\n"
                        "Content-Type: application/json\r\n"
                        f"Content-Length: {len(data)}\r\n\r\n"
                    ).encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(address, method, path, headers=None, body=None, timeout=3.0):
    """Send one request on a new connection; return status and body.

    The status is 0 when no complete answer arrived in time.
    """
    host, _, port = address.partition(":")
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if data:
        lines.append("Content-Type: application/json")
    head = "\r\n".join([*lines, "", ""]).encode()

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(head + data)
            await writer.drain()
            message = await _read_message(reader)
            if message is None:
                return 0, b""
            return int(message[0].split(" ")[1]), message[2]
        finally:
            writer.close()

    try:
        status, content = await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    try:
        return status, json.loads(content or b"{}")
    except ValueError:
        return status, None
