"""Stand-in of one upstream, as a process of its own: ``python upstream.py SETTINGS_JSON``.

It prints a JSON line for each request that arrives, runs or ends. A request path decides the work:
``.../work-MS/size-BYTES/...`` takes MS milliseconds and returns BYTES bytes. If the settings name a
folder for it, the first upstream that runs a request for ``.../lose-answer/...`` never answers.
"""

from __future__ import annotations

import asyncio
import json
import re
import sys
import time
from pathlib import Path

_WORK = re.compile(r"/work-(\d+)/")
_SIZE = re.compile(r"/size-(\d+)/")


def _report(event: str, **fields: object) -> None:
    print(json.dumps({"at": time.monotonic(), "event": event, **fields}), flush=True)


class Upstream:
    """Runs up to ``slots`` requests at a time and queues as many as ``queue``."""

    def __init__(self, settings: dict[str, object]) -> None:
        """Create an upstream with the given settings."""
        self.host, port = str(settings["address"]).rsplit(":", 1)
        self.port = int(port)
        self.upstream_id = str(settings["id"])
        self.slots = int(str(settings.get("slots", 6)))
        self.queue = int(str(settings.get("queue", 18)))
        self.default_work_ms = int(str(settings.get("work_ms", 50)))
        self.lost_folder = str(settings.get("lost_folder", ""))
        self.running = 0
        self.waiting = 0
        self.free_slots = asyncio.Semaphore(self.slots)

    async def serve(self) -> None:
        """Serve until the process ends."""
        server = await asyncio.start_server(self._connection, self.host, self.port, backlog=512)
        _report("listening", id=self.upstream_id)
        async with server:
            await server.serve_forever()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self._request(head, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _request(
        self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        lines = head.decode("latin-1").split("\r\n")
        method, path, _ = lines[0].split(" ", 2)
        headers = {k.lower(): v for k, _, v in (line.partition(": ") for line in lines[1:] if line)}
        content = await reader.readexactly(int(headers.get("content-length", "0")))
        request_id = headers.get("x-cassiashore-request-id", "")
        if path == "/health":
            self._respond(writer, 200, "", b"ok", f"X-Cassiashore-Instance-Id: {self.upstream_id}")
            return
        _report("arrives", request=request_id, path=path, id=self.upstream_id)
        expected = headers.get("x-cassiashore-expect-instance", self.upstream_id)
        if expected != self.upstream_id:
            self._respond(writer, 421, request_id, b"", "X-Cassiashore-Not-Executed: 1")
            return
        if self.waiting >= self.queue:
            self._respond(writer, 503, request_id, b"", "X-Cassiashore-Not-Executed: 1")
            return
        self.waiting += 1
        async with self.free_slots:
            self.waiting -= 1
            self.running += 1
            _report(
                "runs",
                request=request_id,
                method=method,
                path=path,
                content=content.decode("latin-1"),
                id=self.upstream_id,
            )
            try:
                work = _WORK.search(path)
                await asyncio.sleep(int(work[1] if work else self.default_work_ms) / 1000)
            finally:
                self.running -= 1
        if self.lost_folder and "/lose-answer/" in path and self._is_first(request_id):
            _report("loses", request=request_id, path=path, id=self.upstream_id)
            return
        size = _SIZE.search(path)
        body = b"x" * int(size[1]) if size else b"ok " + path.encode()
        self._respond(writer, 200, request_id, body, "X-Cassiashore-Response-Stamp: " + request_id)
        _report("answers", request=request_id, path=path, bytes=len(body), id=self.upstream_id)
        await writer.drain()

    def _is_first(self, request_id: str) -> bool:
        try:
            (Path(self.lost_folder) / request_id).touch(exist_ok=False)
        except FileExistsError:
            return False
        return True

    def _respond(
        self, writer: asyncio.StreamWriter, status: int, request_id: str, body: bytes, extra: str
    ) -> None:
        load = f"{self.running},{self.waiting},{self.slots}"
        echo = f"X-Cassiashore-Request-Id: {request_id}\r\n" if request_id else ""
        writer.write(
            f"HTTP/1.1 {status} Status\r\n{echo}{extra}\r\nX-Cassiashore-Server-Load: {load}\r\n"
            f"Keep-Alive: timeout=10\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
        )


if __name__ == "__main__":
    asyncio.run(Upstream(json.loads(sys.argv[1])).serve())
