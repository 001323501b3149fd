"""Stand-in of the platform's store: rows, transactions, feeds and the registry of workers.

Runs as `store.py HOST PORT`. Workers write their entries through `POST /servers/ID`, and the
operator through `POST /op/NAME`, as both reach the store by ways that the pages don't describe.
"""

import asyncio
import base64
import json
import sys
import time
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parents[2]))

from review.harness.web import Request, Response, serve

CALL_S = 0.004
TRANSACTION_S = 0.006
# Workers report at this interval; an entry is removed after three intervals of silence.
REPORT_INTERVAL_S = 1.5
MAX_SILENCE_S = 3 * REPORT_INTERVAL_S
MAX_ROWS = 500

Key = tuple[str, str, str]


class Store:
    """Rows by table, part and key, and all changes in order."""

    def __init__(self) -> None:
        self.version = 0
        self.rows: dict[Key, tuple[str, int]] = {}
        self.changes: list[tuple[int, Key, str | None]] = []
        self.reported_at: dict[str, float] = {}
        self.changed = asyncio.Condition()

    def encode_row(self, key: Key, value: str | None, version: int) -> dict[str, object]:
        """Return a row as it is sent."""
        table, part, name = key
        row: dict[str, object] = {"table": table, "part": part, "key": name}
        if value is None:
            return {**row, "deleted": True}
        return {**row, "value": value, "schemaVersion": version}

    def stamp(self) -> dict[str, object]:
        """Return the newest version and the store's clock."""
        return {"schemaVersion": self.version, "nowMs": time.monotonic() * 1000}

    async def write(self, puts: dict[Key, str], deletes: list[Key]) -> None:
        """Apply changes as one transaction."""
        self.version += 1
        for key, value in puts.items():
            self.rows[key] = (value, self.version)
            self.changes.append((self.version, key, value))
        for key in deletes:
            if self.rows.pop(key, None) is not None:
                self.changes.append((self.version, key, None))
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, request: Request) -> Response:
        """Answer one call."""
        if request.path == "/v1/rows-tx":
            return await self.commit(request)
        if request.path == "/v1/rows-get":
            await asyncio.sleep(CALL_S)
            return 200, self.read(request.query)
        if request.path == "/v1/rows-feed":
            return 200, await self.follow(request.query)
        _, table, name = request.path.split("/", 2)
        if table == "servers":
            self.reported_at[name] = time.monotonic()
        key = (table, "", name)
        value = base64.b64encode(json.dumps(request.body).encode()).decode()
        if self.rows.get(key, ("", 0))[0] != value:
            await self.write({key: value}, [])
        return 200, {}

    async def commit(self, request: Request) -> Response:
        """Apply a transaction if all of its conditions hold."""
        await asyncio.sleep(TRANSACTION_S)
        body = request.body
        conditions = body.get("expectedRevision") or []
        keys = [(each["table"], each["part"], each["key"]) for each in conditions]
        expected = [each["schemaVersion"] for each in conditions]
        found = [self.rows.get(key, ("", 0))[1] for key in keys]
        if found != expected:
            rows = [self.encode_row(key, *self.rows[key]) for key in keys if key in self.rows]
            return 412, {"rows": rows, **self.stamp()}
        puts = {
            (each["table"], each["part"], each["key"]): each["value"]
            for each in body.get("writes") or []
        }
        deletes = [(each["table"], each["part"], each["key"]) for each in body.get("deletes") or []]
        await self.write(puts, deletes)
        return 200, self.stamp()

    def read(self, query: dict[str, str]) -> dict[str, object]:
        """Return the rows of a part in the order of their keys."""
        limit = min(MAX_ROWS, int(query.get("limit") or MAX_ROWS))
        first, last = query.get("from", ""), query.get("to", "")
        keys = sorted(
            key
            for key in self.rows
            if key[:2] == (query["table"], query.get("part", ""))
            and key[2] >= first
            and (not last or key[2] < last)
        )
        rows = [self.encode_row(key, *self.rows[key]) for key in keys[:limit]]
        return {"rows": rows, "hasMore": len(keys) > limit, **self.stamp()}

    async def follow(self, query: dict[str, str]) -> dict[str, object]:
        """Return the rows of a table that have changed after a version, as soon as there is one."""
        after, table = int(query["after"]), query["table"]
        end = time.monotonic() + min(30.0, int(query.get("waitMs") or 0) / 1000)
        await asyncio.sleep(CALL_S)
        while True:
            found = [
                self.encode_row(key, value, version)
                for version, key, value in self.changes
                if version > after and key[0] == table
            ]
            left = end - time.monotonic()
            if found or left <= 0:
                return {"rows": found, **self.stamp()}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    continue

    async def remove_silent(self) -> None:
        """Remove the entries of workers that have not reported for three intervals."""
        while True:
            await asyncio.sleep(0.1)
            limit = time.monotonic() - MAX_SILENCE_S
            gone = [name for name, at in self.reported_at.items() if at < limit]
            for name in gone:
                del self.reported_at[name]
            if gone:
                await self.write({}, [("servers", "", name) for name in gone])


async def main() -> None:
    """Serve until the process is ended."""
    store = Store()
    server = await serve(sys.argv[1], int(sys.argv[2]), store.handle)
    asyncio.get_running_loop().create_task(store.remove_silent())
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
