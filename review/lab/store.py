"""Stand-in of the platform's row store, with the limits that PROTOCOL.md and DEPLOY.md give."""

import asyncio
import json
from base64 import b64decode, b64encode
from collections import Counter, defaultdict
from time import monotonic
from typing import Any

from lab.http import Request, Server

WRITES_PER_S = 600
READS_PER_S = 2000
READ_S = 0.004
TRANSACTION_S = 0.006
PARTITION_WRITES_PER_S = 200
MAX_ROW_BYTES = 65536
MAX_CALL_BYTES = 1_000_000
MAX_ENTRIES = 100
MAX_PAGE_ROWS = 500
HISTORY_S = 20.0
READ_ONLY_TABLES = frozenset({"op", "servers"})

RowKey = tuple[str, str, str]


class Store:
    """Rows of tables, atomic transactions under conditions, and a feed of changes."""

    def __init__(self) -> None:
        self.server = Server(self._handle)
        self.rows: dict[RowKey, dict[str, Any]] = {}
        self.version = 0
        # Transactions that were rejected as a row, or the call, was too large.
        self.too_large: list[tuple[float, str, int]] = []
        # Version of the newest change that is not kept any more.
        self._dropped = 0
        self._feed: list[tuple[float, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self._partitions: dict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._calls: Counter[tuple[str, int]] = Counter()

    # Operator and workers

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row of a table that the system may not write."""
        self.version += 1
        self._write((table, "", key), b64encode(json.dumps(value).encode()).decode())
        self._announce()

    def drop(self, table: str, key: str) -> None:
        """Remove such a row."""
        self.version += 1
        self._delete((table, "", key))
        self._announce()

    def _write(self, key: RowKey, value: str) -> None:
        table, part, name = key
        row = {"table": table, "part": part, "key": name, "value": value}
        row["schemaVersion"] = self.version
        self.rows[key] = row
        self._feed.append((monotonic(), row))

    def _delete(self, key: RowKey) -> None:
        if self.rows.pop(key, None) is None:
            return
        table, part, name = key
        row = {"table": table, "part": part, "key": name, "deleted": True}
        self._feed.append((monotonic(), {**row, "schemaVersion": self.version}))

    def _announce(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # Calls

    async def _handle(self, request: Request) -> tuple[int, Any]:
        if request.path == "/v1/rows-tx" and request.method == "POST":
            if not self._admit("write", WRITES_PER_S):
                return 429, {}
            return await self._transact(request.body)
        if not self._admit("read", READS_PER_S):
            return 429, {}
        if request.path == "/v1/rows-get":
            await asyncio.sleep(READ_S)
            return 200, self._get(request.query)
        if request.path == "/v1/rows-feed":
            return await self._follow(request.query)
        return 404, {}

    def _admit(self, kind: str, limit: int) -> bool:
        second = int(monotonic())
        self._calls[kind, second] += 1
        return self._calls[kind, second] <= limit

    def _get_base(self) -> dict[str, Any]:
        return {"schemaVersion": self.version, "nowMs": monotonic() * 1000}

    async def _transact(self, body: Any) -> tuple[int, Any]:
        entries = [*body["expectedRevision"], *body["writes"], *body["deletes"]]
        error = self._find_fault(body, entries)
        if error:
            return error, {}
        part = entries[0]["part"]
        async with self._partitions[part]:
            await asyncio.sleep(1 / PARTITION_WRITES_PER_S)
            answer = self._apply(body)
        await asyncio.sleep(max(0.0, TRANSACTION_S - 1 / PARTITION_WRITES_PER_S))
        return answer

    def _find_fault(self, body: Any, entries: list[dict[str, Any]]) -> int:
        """Return the status with which a transaction is rejected, or 0."""
        changed = [*body["writes"], *body["deletes"]]
        if any(entry["table"] in READ_ONLY_TABLES for entry in changed):
            return 403
        if not entries or len({entry["part"] for entry in entries}) > 1:
            return 400
        sizes = [(entry["key"], len(b64decode(entry["value"]))) for entry in body["writes"]]
        if len(entries) > MAX_ENTRIES or len(json.dumps(body)) > MAX_CALL_BYTES:
            self.too_large.append((monotonic(), "call", len(json.dumps(body))))
            return 413
        for key, size in sizes:
            if size > MAX_ROW_BYTES:
                self.too_large.append((monotonic(), key, size))
                return 413
        return 0

    def _apply(self, body: Any) -> tuple[int, Any]:
        found = []
        for entry in body["expectedRevision"]:
            key = (entry["table"], entry["part"], entry["key"])
            found.append(self.rows.get(key, {**entry, "value": "", "schemaVersion": 0}))
        expected = [entry["schemaVersion"] for entry in body["expectedRevision"]]
        if [row["schemaVersion"] for row in found] != expected:
            return 412, {"rows": found, **self._get_base()}
        self.version += 1
        for entry in body["writes"]:
            self._write((entry["table"], entry["part"], entry["key"]), entry["value"])
        for entry in body["deletes"]:
            self._delete((entry["table"], entry["part"], entry["key"]))
        self._announce()
        return 200, self._get_base()

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        limit = min(int(query.get("limit", MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
        start, end = query.get("from", ""), query.get("to", "")
        found = sorted(
            (
                row
                for (table, part, key), row in self.rows.items()
                if table == query["table"]
                and part == query.get("part", "")
                and key >= start
                and (not end or key < end)
            ),
            key=lambda row: row["key"].encode(),
        )
        size = 0
        page = []
        for row in found[:limit]:
            size += len(json.dumps(row))
            if page and size > MAX_CALL_BYTES:
                break
            page.append(row)
        return {**self._get_base(), "rows": page, "hasMore": len(page) < len(found)}

    async def _follow(self, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query["after"])
        until = monotonic() + min(int(query.get("waitMs", 0)), 30_000) / 1000
        while True:
            self._forget()
            if after < self._dropped:
                return 410, {}
            rows = [
                row
                for _, row in self._feed
                if row["schemaVersion"] > after and row["table"] == query["table"]
            ]
            left = until - monotonic()
            if rows or left <= 0:
                return 200, {**self._get_base(), "rows": rows}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def _forget(self) -> None:
        """Forget changes that are older than the history that is kept."""
        limit = monotonic() - HISTORY_S
        kept = next((n for n, (at, _) in enumerate(self._feed) if at >= limit), len(self._feed))
        if kept:
            self._dropped = self._feed[kept - 1][1]["schemaVersion"]
            del self._feed[:kept]
