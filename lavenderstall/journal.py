"""Recording of automatic changes in the change history, as done or as proposals."""

import logging
from collections.abc import Callable

from twisted.internet.defer import Deferred

from lavenderstall.changes import ChangeState, ItemKey, set_command
from lavenderstall.configuration import ChangeDraft, Configuration, ConfigurationView
from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import EntryId, WorkerId

logger = logging.getLogger(__name__)

RETRY_INTERVAL_SECONDS = 5.0
MAX_ATTEMPTS = 20


class ChangeJournal:
    """Commit automatic changes to the configuration, with retries."""

    def __init__(
        self,
        entry: EntryId,
        configuration: Configuration,
        view: ConfigurationView,
        pause: "Callable[[float], Deferred[None]]",
    ) -> None:
        self._author = f"automatic on {entry}"
        self._configuration = configuration
        self._view = view
        self._pause = pause

    def record_quarantine(self, worker: WorkerId, *, quarantined: bool, reason: str) -> None:
        """Record that a worker was quarantined or released."""
        self._write(worker, reason, ChangeState.DONE, quarantined=quarantined)

    def propose_quarantine(self, worker: WorkerId, reason: str) -> None:
        """Ask operators to approve a quarantine."""
        self._write(worker, reason, ChangeState.PROPOSED, quarantined=True)

    def _write(
        self, worker: WorkerId, reason: str, state: ChangeState, *, quarantined: bool
    ) -> None:
        Deferred.fromCoroutine(self._attempt(worker, reason, state, quarantined=quarantined))

    async def _attempt(
        self, worker: WorkerId, reason: str, state: ChangeState, *, quarantined: bool
    ) -> None:
        scope = f"worker/{worker}"
        for _ in range(MAX_ATTEMPTS):
            current = self._view.get("command", scope)
            wanted = set_command(scope, current, quarantined=quarantined)
            items = {ItemKey("command", scope): wanted}
            draft = ChangeDraft(self._author, reason, items, state=state, automatic=True)
            try:
                await self._configuration.apply(draft)
            except LavenderstallError as error:
                logger.info("recording the change of %s failed, retrying: %s", scope, error)
                await self._pause(RETRY_INTERVAL_SECONDS)
                continue
            return
        logger.error("giving up recording the change of %s", scope)
