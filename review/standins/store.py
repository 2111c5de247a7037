# SPDX-License-Identifier: Apache-2.0
"""Stand-in of the platform's store, after PROTOCOL.md: keyed topics only."""

import asyncio
import base64
import json
import struct
import urllib.parse

HOST = "127.0.0.1"
#: Records in one answer to a read.
_MAX_READ_BYTES = 1024 * 1024
_MAX_ITEMS = 500


class Topic:
    """The records of one topic; nothing is removed."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.newest: dict[str, int] = {}
        self.changed = asyncio.Event()

    def append(self, key: str, value: bytes) -> None:
        if value:
            self.newest[key] = len(self.records)
        else:
            self.newest.pop(key, None)
        self.records.append((key, value))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class Store:
    """Serves reads and appends over HTTP."""

    def __init__(self) -> None:
        self._topics: dict[str, Topic] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def append(self, topic: str, key: str, value: bytes) -> None:
        """Append a record, as the operator and the servers do."""
        self._topic(topic).append(key, value)

    def _topic(self, name: str) -> Topic:
        return self._topics.setdefault(name, Topic())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                line, *lines = head[:-4].split("\r\n")
                size = 0
                for one in lines:
                    name, _, value = one.partition(":")
                    if name.lower() == "content-length":
                        size = int(value)
                body = await reader.readexactly(size)
                url = urllib.parse.urlsplit(line.split(" ")[1])
                query = dict(urllib.parse.parse_qsl(url.query))
                status, answer = await self._answer(url.path, query, body)
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s"
                    % (status, len(answer), answer)
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        topic = self._topic(query["topic"])
        if path == "/log-newest":
            return 200, self._newest(topic, query)
        if path == "/log-read":
            return 200, await self._read(topic, query)
        if path == "/log-append":
            return self._append(topic, query, body)
        return 404, b""

    def _newest(self, topic: Topic, query: dict[str, str]) -> bytes:
        after = query.get("after_revision", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "private_key": key,
                "value": base64.b64encode(
                    topic.records[topic.newest[key]][1]
                ).decode(),
                "offset": topic.newest[key],
            }
            for key in keys[:_MAX_ITEMS]
        ]
        page = {
            "items": items,
            "has_more": len(keys) > _MAX_ITEMS,
            "end": len(topic.records),
        }
        return json.dumps(page).encode()

    async def _read(self, topic: Topic, query: dict[str, str]) -> bytes:
        start = int(query["from"])
        wait_s = int(query.get("wait_ms", "0")) / 1000
        if start >= len(topic.records) and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await topic.changed.wait()
            except TimeoutError:
                pass
        found = struct.pack(">QQ", len(topic.records), 0)
        for key, value in topic.records[start:]:
            name = key.encode()
            record = bytes((len(name),)) + name + value
            if len(found) + len(record) > _MAX_READ_BYTES:
                break
            found += struct.pack(">I", len(record)) + record
        return found

    def _append(
        self, topic: Topic, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        first = len(topic.records)
        if int(query.get("current_rev", first)) != first:
            return 412, json.dumps({"end": first}).encode()
        pos = 0
        while pos < len(body):
            (size,) = struct.unpack_from(">I", body, pos)
            record = body[pos + 4 : pos + 4 + size]
            pos += 4 + size
            key_end = 1 + record[0]
            topic.append(record[1:key_end].decode(), record[key_end:])
        answer = {"offset": first, "end": len(topic.records)}
        return 200, json.dumps(answer).encode()
