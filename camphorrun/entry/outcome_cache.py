"""Outcomes of keyed requests: running here, finished here, or kept by agents."""

import asyncio
import hashlib
from collections import OrderedDict

import msgspec

from ..core import TimerService
from ..messages import StoreOutcome
from ..pipeline import Outcome, OutcomeStatus, RequestPlan
from .errors import RequestError
from .peer_pool import PeerPool

KEEP_SECONDS = 120.0
MAX_KEPT = 10_000
MAX_KEPT_BYTES = 16 * 1024 * 1024
# Larger answers are not copied to agents; a repeated request runs again.
MAX_SHARED_BYTES = 64 * 1024

_ENCODER = msgspec.msgpack.Encoder(enc_hook=lambda value: value.value)
_DECODER = msgspec.msgpack.Decoder(Outcome)


class _Finished:
    """A finished outcome and the time at which it is dropped."""

    __slots__ = ("body_digest", "drop_at", "outcome")

    def __init__(self, body_digest: str, outcome: Outcome, drop_at: float):
        self.body_digest = body_digest
        self.outcome = outcome
        self.drop_at = drop_at


class OutcomeCache:
    """Answers repeated requests with the outcome of the first one.

    Answered outcomes are copied to the home agents of their key, so that they survive
    the loss of this entry.
    """

    def __init__(self, pool: PeerPool, timers: TimerService):
        self._pool = pool
        self._timers = timers
        self._running: dict[tuple[str, str], tuple[str, asyncio.Future]] = {}
        self._finished: OrderedDict[tuple[str, str], _Finished] = OrderedDict()
        self._bytes = 0

    async def find(self, account: str, key: str, body_digest: str) -> Outcome | None:
        """Return the outcome of a key, waiting if the request runs here now.

        Parameters
        ----------
        account, key : str
            Owner and idempotency key.
        body_digest : str
            Digest of the new request; empty for a lookup.

        Raises
        ------
        RequestError
            With code ``key_reused`` if the key belongs to another body.
        """
        name = (account, key)
        running = self._running.get(name)
        if running is not None:
            _check_body(running[0], body_digest)
            return await asyncio.shield(running[1])
        finished = self._local(name)
        if finished is not None:
            _check_body(finished.body_digest, body_digest)
            return finished.outcome
        return await self._find_shared(account, key, body_digest)

    def begin(self, plan: RequestPlan) -> None:
        """Record that a keyed request runs here."""
        fut = asyncio.get_running_loop().create_future()
        self._running[(plan.account, plan.key)] = (plan.body_digest, fut)

    def end(self, plan: RequestPlan, outcome: Outcome | None) -> None:
        """Record the end of a keyed request; None if it was cancelled."""
        name = (plan.account, plan.key)
        _, fut = self._running.pop(name)
        if outcome is None:
            fut.cancel()
            return
        fut.set_result(outcome)
        if outcome.status is OutcomeStatus.ANSWERED:
            self._keep(name, plan.body_digest, outcome)
            self._share(plan, outcome)

    def is_running(self, account: str, key: str) -> bool:
        """Return whether the request of a key runs here."""
        return (account, key) in self._running

    def _local(self, name: tuple[str, str]) -> _Finished | None:
        finished = self._finished.get(name)
        if finished is not None and finished.drop_at <= self._timers.now():
            self._drop(name)
            return None
        return finished

    def _keep(self, name: tuple[str, str], body_digest: str, outcome: Outcome) -> None:
        self._drop(name)
        drop_at = self._timers.now() + KEEP_SECONDS
        self._finished[name] = _Finished(body_digest, outcome, drop_at)
        self._bytes += len(outcome.output)
        while len(self._finished) > MAX_KEPT or self._bytes > MAX_KEPT_BYTES:
            self._drop(next(iter(self._finished)))

    def _drop(self, name: tuple[str, str]) -> None:
        finished = self._finished.pop(name, None)
        if finished is not None:
            self._bytes -= len(finished.outcome.output)

    def _share(self, plan: RequestPlan, outcome: Outcome) -> None:
        if len(outcome.output) > MAX_SHARED_BYTES:
            return
        message = StoreOutcome(
            _key_digest(plan.account, plan.key),
            plan.account,
            plan.body_digest,
            _ENCODER.encode(outcome),
            KEEP_SECONDS,
        )
        self._pool.store_outcome(message)

    async def _find_shared(
        self, account: str, key: str, body_digest: str
    ) -> Outcome | None:
        reply = await self._pool.find_outcome(account, _key_digest(account, key))
        if reply is None:
            return None
        _check_body(reply.body_digest, body_digest)
        return _DECODER.decode(reply.outcome)


def _key_digest(account: str, key: str) -> str:
    text = f"{account}\0{key}".encode()
    return hashlib.blake2b(text, digest_size=16).hexdigest()


def _check_body(known: str, given: str) -> None:
    if given and known != given:
        raise RequestError(
            "the key was used with another body",
            code="key_reused",
            field="Idempotency-Key",
            http_status=409,
        )
