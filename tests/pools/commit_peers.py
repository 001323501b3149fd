"""Peers that commit transactions on a fake store."""

from lavenderstall.identifiers import EntryId
from lavenderstall.pools.commit_relay import answer_commit
from lavenderstall.pools.messages import CommitAnswer, CommitRequest
from lavenderstall.pools.ports import RowStore, Transaction

PROXY = EntryId("entry-9")


class FakeCommitPeers:
    """One peer, which reaches the store unless `reached` is false."""

    def __init__(self, store: RowStore) -> None:
        self.store = store
        self.reached = False
        self.answers = True
        self.requests = 0

    def choose_write_proxies(self) -> list[EntryId]:
        """Return the peer if it reaches the store."""
        return [PROXY] if self.reached else []

    async def request_commit(self, peer: EntryId, transaction: Transaction) -> CommitAnswer | None:
        """Commit on the store, and lose the answer unless `answers` is set."""
        self.requests += 1
        answer = await answer_commit(self.store, CommitRequest(self.requests, transaction))
        return answer if self.answers else None
