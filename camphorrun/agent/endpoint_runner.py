"""Runs attempts at the endpoint and collects their results."""

import dataclasses
from collections.abc import Callable

import msgspec

from ..clients import EndpointCall, EndpointClient, EndpointError, StreamPart
from ..core import TimerService
from ..messages import LoadReport, ResultEnd, ResultPart, StageCost
from .attempts import AttemptRecord

# Tokens that arrive within this time travel in one message. It is well below the
# target of 74 ms between tokens and cuts messages at high token rates.
PART_FLUSH_SECONDS = 0.02
MAX_STREAM_RESUMES = 2
# A call that may not be repeated is given this long beyond its deadline, so that its
# outcome becomes known.
NON_IDEMPOTENT_GRACE_SECONDS = 30.0

PartSender = Callable[[AttemptRecord, ResultPart], None]


class PartBuffer:
    """Joins the tokens of a stream into parts."""

    __slots__ = ("_flushed_at", "_record", "_send", "_texts", "_timers", "_units")

    def __init__(self, record: AttemptRecord, timers: TimerService, send: PartSender):
        self._record = record
        self._timers = timers
        self._send = send
        self._texts: list[str] = []
        self._units = 0
        self._flushed_at = -1.0

    def add(self, part: StreamPart) -> None:
        """Add tokens; the first ones and those after a pause are sent at once."""
        self._texts.append(part.text)
        self._units += part.units
        if self._timers.now() - self._flushed_at >= PART_FLUSH_SECONDS:
            self.flush()

    def flush(self) -> None:
        """Send what is buffered."""
        if not self._texts:
            return
        record = self._record
        part = ResultPart(
            record.dispatch.attempt,
            len(record.parts),
            "".join(self._texts).encode(),
            self._units,
        )
        record.add_part(part)
        self._texts = []
        self._units = 0
        self._flushed_at = self._timers.now()
        self._send(record, part)


class EndpointRunner:
    """Calls the endpoint for one attempt.

    Parameters
    ----------
    client : EndpointClient
        The endpoint.
    timers : TimerService
        Clock.
    send_part : callable
        Sends a part to the entry of the attempt.
    """

    def __init__(
        self, client: EndpointClient, timers: TimerService, send_part: PartSender
    ):
        self._client = client
        self._timers = timers
        self._send_part = send_part

    async def run(self, record: AttemptRecord, fencing_token: int) -> ResultEnd:
        """Return the final message of the attempt, without load.

        Raises
        ------
        EndpointError
            If the endpoint failed.
        """
        call = _endpoint_call(record, fencing_token)
        if record.dispatch.stream:
            return await self._run_stream(record, call)
        reply = await self._client.call(call, self._timeout_s(record))
        return self._end(record, bytes(reply.output), reply)

    async def cancel(self, record: AttemptRecord) -> None:
        """Tell the endpoint that the result is not wanted."""
        await self._client.cancel(_call_id(record))

    async def _run_stream(self, record: AttemptRecord, call: EndpointCall) -> ResultEnd:
        buffer = PartBuffer(record, self._timers, self._send_part)
        next_sequence = 0
        resumes = 0
        while True:
            try:
                async for part in self._client.stream(call, self._timeout_s(record)):
                    if part.end:
                        buffer.flush()
                        return self._end(record, b"", part)
                    if part.sequence == next_sequence:
                        next_sequence += 1
                        buffer.add(part)
            except EndpointError:
                resumes += 1
                if resumes > MAX_STREAM_RESUMES or next_sequence == 0:
                    raise
            call = dataclasses.replace(call, from_sequence=next_sequence)

    def _timeout_s(self, record: AttemptRecord) -> float:
        remaining_s = max(0.001, record.deadline_at - self._timers.now())
        if record.dispatch.idempotent:
            return remaining_s
        return remaining_s + NON_IDEMPOTENT_GRACE_SECONDS

    def _end(self, record: AttemptRecord, data: bytes, usage) -> ResultEnd:
        now = self._timers.now()
        bytes_out = len(data) + sum(len(part.data) for part in record.parts)
        cost = StageCost(
            busy_s=now - record.started_at,
            queue_s=record.started_at - record.received_at,
            input_units=usage.input_units,
            output_units=usage.output_units,
            bytes_in=len(record.dispatch.payload),
            bytes_out=bytes_out,
        )
        return ResultEnd(
            record.dispatch.attempt,
            ok=True,
            parts=len(record.parts),
            data=data,
            cost=cost,
            load=LoadReport(),
        )


def _call_id(record: AttemptRecord) -> str:
    attempt = record.dispatch.attempt
    return f"{attempt.request_id}.{attempt.stage}.{attempt.attempt}"


def _endpoint_call(record: AttemptRecord, fencing_token: int) -> EndpointCall:
    dispatch = record.dispatch
    return EndpointCall(
        call_id=_call_id(record),
        operation=dispatch.operation,
        model=dispatch.model,
        input=msgspec.Raw(dispatch.payload),
        priority=dispatch.priority,
        stream=dispatch.stream,
        output_units=dispatch.output_units,
        key=dispatch.key,
        fencing_token=fencing_token,
    )
