"""Stand-in of a network that delivers starts late, as `delayer.py HOST PORT RECORD`.

While it is on, each start that a worker hands to it is delivered 2 to 12 s later, as soon as its
address accepts connections from then on. `POST /on` and `POST /off` switch it.
"""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parents[2]))

from review.harness.web import Request, Response, call, serve

MIN_DELAY_S, MAX_DELAY_S = 2.0, 12.0
RETRY_S = 0.005


class Delayer:
    """Starts that are on their way."""

    def __init__(self, record: str) -> None:
        self.record = Path(record)
        self.is_on = False
        self.deliveries: set[asyncio.Task[None]] = set()

    async def handle(self, request: Request) -> Response:
        """Take a start over while this is on."""
        if request.path in {"/on", "/off"}:
            self.is_on = request.path == "/on"
            return 200, {}
        if not self.is_on:
            return 503, {}
        task = asyncio.create_task(self.deliver(request.body["address"], request.body["body"]))
        self.deliveries.add(task)
        task.add_done_callback(self.deliveries.discard)
        return 200, {}

    async def deliver(self, address: str, body: dict[str, object]) -> None:
        """Deliver a start later, unless its address accepts nothing until the longest delay."""
        taken_at = time.monotonic()
        await asyncio.sleep(random.uniform(MIN_DELAY_S, MAX_DELAY_S))
        while time.monotonic() - taken_at < MAX_DELAY_S:
            status, answer = await call(address, "POST", "/v1/run-start?late=1", body, "late")
            if status:
                line = {
                    "at": round(time.monotonic(), 3),
                    "what": "late start",
                    "task": body["task"],
                }
                line |= {"run": body["run"], "address": address, "status": status}
                line |= {"reason": (answer or {}).get("reason", "")}
                line["late_s"] = round(time.monotonic() - taken_at, 2)
                with self.record.open("a", encoding="utf-8") as file:
                    file.write(json.dumps(line) + "\n")
                return
            await asyncio.sleep(RETRY_S)


async def main() -> None:
    """Serve until the process is ended."""
    delayer = Delayer(sys.argv[3])
    server = await serve(sys.argv[1], int(sys.argv[2]), delayer.handle)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
