"""Finished outcomes of keyed requests, kept for entries that ask again."""

from collections import OrderedDict

from ..messages import GetOutcome, OutcomeReply, StoreOutcome

MAX_OUTCOME_BYTES = 16 * 1024 * 1024
MAX_OUTCOME_ENTRIES = 50_000
MAX_KEEP_SECONDS = 600.0


class _Kept:
    """One outcome and the time at which it is dropped."""

    __slots__ = ("body_digest", "drop_at", "outcome")

    def __init__(self, body_digest: str, outcome: bytes, drop_at: float):
        self.body_digest = body_digest
        self.outcome = outcome
        self.drop_at = drop_at


class OutcomeStore:
    """Bounded store; the oldest outcomes are dropped first.

    An outcome is found only with the client account that it belongs to.
    """

    def __init__(
        self,
        max_bytes: int = MAX_OUTCOME_BYTES,
        max_entries: int = MAX_OUTCOME_ENTRIES,
    ):
        self._max_bytes = max_bytes
        self._max_entries = max_entries
        self._kept: OrderedDict[tuple[str, str], _Kept] = OrderedDict()
        self.size = 0

    def __len__(self) -> int:
        return len(self._kept)

    def put(self, message: StoreOutcome, now: float) -> None:
        """Keep an outcome; a later one for the same key replaces it."""
        name = (message.account, message.key_digest)
        self._drop(name)
        keep_s = min(MAX_KEEP_SECONDS, message.keep_s)
        kept = _Kept(message.body_digest, message.outcome, now + keep_s)
        self._kept[name] = kept
        self.size += len(kept.outcome)
        while self.size > self._max_bytes or len(self._kept) > self._max_entries:
            self._drop(next(iter(self._kept)))

    def get(self, message: GetOutcome, now: float) -> OutcomeReply:
        """Return the outcome of a key, or an empty reply."""
        name = (message.account, message.key_digest)
        kept = self._kept.get(name)
        if kept is not None and kept.drop_at <= now:
            self._drop(name)
            kept = None
        if kept is None:
            return OutcomeReply(message.query)
        return OutcomeReply(message.query, kept.body_digest, kept.outcome)

    def _drop(self, name: tuple[str, str]) -> None:
        kept = self._kept.pop(name, None)
        if kept is not None:
            self.size -= len(kept.outcome)
