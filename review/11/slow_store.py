"""Stand-in of a store that can be slow, as `slow_store.py HOST PORT`.

`POST /slow` and `POST /quick` switch it.
"""

import asyncio
import sys
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parents[2]))

from review.harness import store
from review.harness.web import Request, Response, serve

FACTOR = 60


class SlowStore(store.Store):
    """A store whose answers may take `FACTOR` times as long."""

    is_slow = False

    async def handle(self, request: Request) -> Response:
        """Answer one call, slowly or not."""
        if request.path in {"/slow", "/quick"}:
            self.is_slow = request.path == "/slow"
            return 200, {}
        if self.is_slow and request.path.startswith("/v1/"):
            usual_s = store.TRANSACTION_S if request.path == "/v1/rows-tx" else store.CALL_S
            await asyncio.sleep((FACTOR - 1) * usual_s)
        return await super().handle(request)


async def main() -> None:
    """Serve until the process is ended."""
    rows = SlowStore()
    server = await serve(sys.argv[1], int(sys.argv[2]), rows.handle)
    asyncio.get_running_loop().create_task(rows.remove_silent())
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
