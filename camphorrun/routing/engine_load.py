"""Load and speed of language-model engines, as one gateway observes them.

Load pattern: engines differ in speed, also from second to second, and read prompts of a
few hundred and of tens of thousands of tokens one after the other, in chunks between
the tokens of running streams. A short prompt behind a long one, or at a slow engine,
misses its objective while other engines are free. Each of many gateways sends a small
part of the requests and sees the rest only by its effect: its own first events come
later than its own prompts explain.

All times are seconds of one clock, which the caller passes as ``now``.
"""

import copy
import math
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import median

from .engine_speed import ObservedSpeed, RunningQuantile, SpeedReport

# Reading speed before the first observation, in tokens per second, and its bounds.
DEFAULT_TOKENS_PER_SECOND = 50_000.0
MIN_TOKENS_PER_SECOND = 5_000.0
MAX_TOKENS_PER_SECOND = 500_000.0
# Shorter prompts say little about the reading speed, as a step takes as long.
MIN_SPEED_SAMPLE_TOKENS = 1_000
# Time per event of a stream before the first observation.
DEFAULT_EVENT_SECONDS = 0.02
# Delays by other prompts only lengthen the reading, so the speed is a high quantile.
SPEED_QUANTILE = 0.75
# Engines whose speeds differ less from the median count as equal, so that noise of the
# samples moves no request away from a cached prefix.
EQUAL_SPEED_RATIO = 1.35
# Gaps between events per sample of the speed, and the quantile that is taken: a gap
# without prompt chunks, unless the engine reads prompts for most of the time.
GAPS_PER_SAMPLE = 6
GAP_QUANTILE = 0.25
# First events are samples of the speed only if no gaps have been seen for this time:
# gaps tell a slow engine from one that other prompts delay.
GAP_VALIDITY_SECONDS = 2.0
# Time constant with which the estimate of other gateways' tokens decays, about the time
# in which an engine reads the prompts that it has.
OTHERS_DECAY_SECONDS = 1.0
OTHERS_WEIGHT = 0.5
# Delay above the mean of the service that costs nothing, so that prefixes and transfers
# decide at low load. It is a twentieth of the strictest objective for the first event.
FREE_DELAY_SECONDS = 0.05
# Price of the excess delay against that of reading tokens for the same time. With 1,
# test_engine_replays reads up to a fifth more tokens of shared prefixes, for a share in
# time that is higher by 0.01.
DELAY_WEIGHT = 0.3
# Seconds that a second of reading counts as for each running stream above the mean.
# Most of the gaps that a prompt widens are still on time.
STREAM_DELAY_WEIGHT = 0.025
# Samples with less weight, about a tenth of a new one, are not reported.
MIN_REPORT_WEIGHT = 0.01
# Bounds of the tables; the entries that were not used for the longest time are dropped.
MAX_ENGINES = 4096
MAX_EVENT_KINDS = 256


class EngineLoad:
    """What one gateway knows of one engine.

    Attributes
    ----------
    reading : dict of EngineCall
        Own requests that were sent and have no first event.
    streams : int
        Own requests that have a first event and have not ended.
    """

    __slots__ = ("_others", "_others_at", "gaps_at", "reading", "speed", "streams")

    def __init__(self):
        self.reading: dict[EngineCall, None] = {}
        self.streams = 0
        self.speed = ObservedSpeed()
        self.gaps_at = -math.inf
        self._others = 0.0
        self._others_at = -math.inf

    @property
    def own_tokens(self) -> int:
        """Tokens that the engine has still to read for requests of this gateway."""
        return sum(call.unread_tokens for call in self.reading) if self.reading else 0

    def observe_others(self, tokens: float, now: float) -> None:
        """Add an estimate of the tokens of other gateways at the engine."""
        current = self._decayed_others(now)
        self._others = current + OTHERS_WEIGHT * (tokens - current)
        self._others_at = now

    def other_tokens(self, now: float, tokens_per_s: float) -> float:
        """Return the estimate of the tokens that other gateways have at the engine.

        A request that is overdue shows that others are before it. The rest of an
        unknown delay is taken to be as long as the part that has passed.
        """
        tokens = self._decayed_others(now)
        if not self.reading:
            return tokens
        overdue_s = max(call.overdue_s(now) for call in self.reading)
        return max(tokens, overdue_s * tokens_per_s)

    def others_age_s(self, now: float) -> float:
        """Return the age of the estimate of others' tokens; infinite if there is none.

        The age does not include what an overdue request adds to the estimate.
        """
        return now - self._others_at

    def copy(self) -> "EngineLoad":
        """Return a copy whose terms can be computed without a change here.

        The calls that are being read are shared.
        """
        copied = copy.copy(self)
        copied.speed = copy.copy(self.speed)
        return copied

    def _decayed_others(self, now: float) -> float:
        age_s = max(0.0, now - self._others_at)
        return self._others * math.exp(-age_s / OTHERS_DECAY_SECONDS)


class ServiceLoad:
    """Engines of one service, and what their work usually takes."""

    __slots__ = (
        "_event_s",
        "_first_event_s",
        "_stream_s",
        "engines",
        "reading_speed",
    )

    def __init__(self):
        self.engines: OrderedDict[str, EngineLoad] = OrderedDict()
        # Tokens per second of an engine of median speed.
        self.reading_speed = RunningQuantile(DEFAULT_TOKENS_PER_SECOND, SPEED_QUANTILE)
        self._event_s: OrderedDict[str, RunningQuantile] = OrderedDict()
        self._stream_s: OrderedDict[str, RunningQuantile] = OrderedDict()
        # By powers of two of the unread tokens, as in ``pipeline.first_events``.
        self._first_event_s: dict[int, RunningQuantile] = {}

    @property
    def tokens_per_s(self) -> float:
        """Reading speed of an engine of median speed, in tokens per second."""
        speed = self.reading_speed.value
        return min(MAX_TOKENS_PER_SECOND, max(MIN_TOKENS_PER_SECOND, speed))

    def engine(self, host: str) -> EngineLoad:
        """Return the state of an engine."""
        engine = self.engines.get(host)
        if engine is None:
            engine = self.engines[host] = EngineLoad()
            if len(self.engines) > MAX_ENGINES:
                self.engines.popitem(last=False)
        self.engines.move_to_end(host)
        return engine

    def copy(self, hosts: Iterable[str]) -> "ServiceLoad":
        """Return a copy with some engines, to compute terms without a change here."""
        copied = copy.copy(self)
        copied._event_s = self._event_s.copy()
        copied._stream_s = self._stream_s.copy()
        found = ((host, self.engines.get(host)) for host in hosts)
        copied.engines = OrderedDict(
            (host, engine.copy()) for host, engine in found if engine is not None
        )
        return copied

    def event_s(self, kind: str) -> RunningQuantile:
        """Return the usual time per event of streams of a kind of request."""
        return _quantile_of(self._event_s, kind, DEFAULT_EVENT_SECONDS)

    def stream_s(self, kind: str) -> RunningQuantile:
        """Return the usual time from the first to the last event of a stream."""
        return _quantile_of(self._stream_s, kind, DEFAULT_EVENT_SECONDS)

    def first_event_s(self, tokens: int) -> RunningQuantile:
        """Return the usual time to first event with a number of unread tokens."""
        group = tokens.bit_length()
        typical = self._first_event_s.get(group)
        if typical is None:
            guess_s = tokens / self.tokens_per_s + DEFAULT_EVENT_SECONDS
            typical = self._first_event_s[group] = RunningQuantile(guess_s)
        return typical


class EngineCall:
    """One request at an engine, from the send to its end.

    Parameters
    ----------
    kind : str
        Kind of request, whose streams have events of similar size.
    unread_tokens : int
        Prompt tokens that the engine is assumed not to have cached.
    """

    __slots__ = (
        "_engine",
        "_expected_s",
        "_first_event_at",
        "_gaps",
        "_is_first_event_seen",
        "_kind",
        "_last_event_at",
        "_own_tokens_before",
        "_sent_at",
        "_service",
        "unread_tokens",
    )

    def __init__(
        self, service: ServiceLoad, host: str, kind: str, unread_tokens: int, now: float
    ):
        self._service = service
        self._engine = service.engine(host)
        self._kind = kind
        self.unread_tokens = unread_tokens
        self._sent_at = now
        self._own_tokens_before = self._engine.own_tokens
        tokens = self._own_tokens_before + unread_tokens
        alone_s = tokens / service.tokens_per_s + service.event_s(kind).value
        self._expected_s = self._engine.speed.multiple(now) * alone_s
        self._is_first_event_seen = False
        self._first_event_at = self._last_event_at = now
        self._gaps: list[float] = []
        self._engine.reading[self] = None

    def overdue_s(self, now: float) -> float:
        """Return by how much the first event is later than own requests explain."""
        return max(0.0, now - self._sent_at - self._expected_s)

    def on_event(self, now: float, *, is_delayed: bool = False) -> None:
        """Record that an event arrived.

        ``is_delayed`` tells that it may have been read late, for instance because the
        caller was slow to accept earlier ones; the gap before it then says nothing.
        """
        if not self._is_first_event_seen:
            self._observe_first_event(now)
        elif not is_delayed:
            self._gaps.append(now - self._last_event_at)
            if len(self._gaps) == GAPS_PER_SAMPLE:
                self._observe_gaps(now)
        self._last_event_at = now

    def end(self) -> None:
        """Remove the request from the load; further calls have no effect."""
        if self in self._engine.reading:
            del self._engine.reading[self]
        elif self._is_first_event_seen:
            self._engine.streams -= 1
            self._is_first_event_seen = False
            stream_s = self._last_event_at - self._first_event_at
            if stream_s > 0.0:
                self._service.stream_s(self._kind).observe(stream_s)

    def _observe_first_event(self, now: float) -> None:
        if self not in self._engine.reading:
            return
        del self._engine.reading[self]
        self._is_first_event_seen = True
        self._first_event_at = now
        self._engine.streams += 1
        service, engine = self._service, self._engine
        elapsed_s = now - self._sent_at
        tokens_per_s = service.tokens_per_s / engine.speed.multiple(now)
        excess_s = elapsed_s - self._expected_s
        engine.observe_others(max(0.0, excess_s) * tokens_per_s, now)
        own_s = max(0.001, elapsed_s - self._own_tokens_before / tokens_per_s)
        typical = service.first_event_s(self.unread_tokens)
        if now - engine.gaps_at > GAP_VALIDITY_SECONDS:
            engine.speed.observe(own_s / typical.value, now)
        typical.observe(own_s)
        if self.unread_tokens >= MIN_SPEED_SAMPLE_TOKENS:
            multiple = engine.speed.multiple(now)
            service.reading_speed.observe(self.unread_tokens / own_s * multiple)

    def _observe_gaps(self, now: float) -> None:
        gap_s = sorted(self._gaps)[int(GAP_QUANTILE * len(self._gaps))]
        self._gaps.clear()
        # Several events that arrive at once have no gaps.
        if gap_s > 0.0:
            typical = self._service.event_s(self._kind)
            self._engine.speed.observe(gap_s / typical.value, now)
            self._engine.gaps_at = now
            typical.observe(gap_s)


@dataclass(frozen=True, slots=True)
class EngineTerms:
    """Terms of the cost of sending one request to one engine.

    Attributes
    ----------
    unread_tokens : int
        Tokens of the prompt that the engine would have to read.
    own_tokens, other_tokens : float
        Tokens that the engine has still to read, sent by this gateway and by others.
    speed : float
        Duration of its work as a multiple of the median of the service.
    first_event_s : float
        Expected time to the first event, without the transfer of inputs.
    delay_s : float
        Delay of this request by the load and speed of the engine, and of the running
        streams by this request.
    excess_s : float
        Part of the delay that counts: what exceeds the mean of the service.
    tokens_per_s : float
        Reading speed of an engine of median speed.
    """

    unread_tokens: int
    own_tokens: int
    other_tokens: float
    speed: float
    first_event_s: float
    delay_s: float
    excess_s: float
    tokens_per_s: float

    @property
    def excess_tokens(self) -> float:
        """The excess delay in prompt tokens of the same price."""
        return DELAY_WEIGHT * self.excess_s * self.tokens_per_s


class EngineLoads:
    """Load and speed of all engines to which a gateway sends requests."""

    __slots__ = ("_services",)

    def __init__(self):
        self._services: dict[str, ServiceLoad] = {}

    def service(self, name: str) -> ServiceLoad:
        """Return the state of a service."""
        load = self._services.get(name)
        if load is None:
            load = self._services[name] = ServiceLoad()
        return load

    def copy(self, service: str, hosts: Iterable[str]) -> "EngineLoads":
        """Return a copy of what is known of some engines of one service.

        Its ``terms`` are the same, and computing them changes nothing here: tables,
        their order and cached speeds. Requests must not be started at the copy.
        """
        copied = EngineLoads()
        load = self._services.get(service)
        if load is not None:
            copied._services[service] = load.copy(hosts)
        return copied

    def others_age_s(self, service: str, host: str, now: float) -> float:
        """Return the age of what is known of others' tokens at an engine.

        Infinite if nothing is known.
        """
        load = self._services.get(service)
        engine = load.engines.get(host) if load is not None else None
        return engine.others_age_s(now) if engine is not None else math.inf

    def start(
        self, service: str, host: str, kind: str, unread_tokens: int, now: float
    ) -> EngineCall:
        """Record that a request is being sent; the caller must end the call."""
        return EngineCall(self.service(service), host, kind, unread_tokens, now)

    def reports(self, now: float) -> dict[tuple[str, str], SpeedReport]:
        """Return what this gateway has seen of the speed of each engine.

        By service and host, without what has lost its weight.
        """
        return {
            (service, host): engine.speed.own
            for service, load in self._services.items()
            for host, engine in load.engines.items()
            if engine.speed.own.at(now)[1] >= MIN_REPORT_WEIGHT
        }

    def add_reports(
        self, source: str, reports: dict[tuple[str, str], SpeedReport]
    ) -> None:
        """Add the reports of another gateway on engines to which this one sends."""
        for (service, host), report in reports.items():
            load = self._services.get(service)
            if load is not None and host in load.engines:
                load.engines[host].speed.add_report(source, report)

    def terms(
        self, service: str, kind: str, unread_by_host: dict[str, int], now: float
    ) -> dict[str, EngineTerms]:
        """Return the terms of the cost of each engine.

        ``unread_by_host`` has the usable engines, with the tokens of the prompt that
        each would have to read.
        """
        load = self.service(service)
        engines = [load.engine(host) for host in unread_by_host]
        speeds = _relative_speeds(engines, now)
        mean_streams = sum(engine.streams for engine in engines) / len(engines)
        partial = [
            _partial_terms(load, kind, engine, speed, unread, mean_streams, now)
            for engine, speed, unread in zip(
                engines, speeds, unread_by_host.values(), strict=True
            )
        ]
        free_s = sum(each[-1] for each in partial) / len(partial) + FREE_DELAY_SECONDS
        tokens_per_s = load.tokens_per_s
        return {
            host: EngineTerms(*each, max(0.0, each[-1] - free_s), tokens_per_s)
            for host, each in zip(unread_by_host, partial, strict=True)
        }


def _partial_terms(
    load: ServiceLoad,
    kind: str,
    engine: EngineLoad,
    speed: float,
    unread_tokens: int,
    mean_streams: float,
    now: float,
) -> tuple[int, int, float, float, float, float]:
    """Return the terms of one engine up to its delay, the last one."""
    tokens_per_s = load.tokens_per_s
    own_tokens = engine.own_tokens
    other_tokens = engine.other_tokens(now, tokens_per_s / speed)
    wait_s = speed * (own_tokens + other_tokens) / tokens_per_s
    read_s = unread_tokens / tokens_per_s
    step_s = load.event_s(kind).value
    # At the median speed, reading is part of the price of the tokens, and the stream is
    # as long at any engine.
    slowness_s = (speed - 1.0) * (read_s + step_s + load.stream_s(kind).value)
    excess_streams = engine.streams - mean_streams
    stream_delay_s = STREAM_DELAY_WEIGHT * excess_streams * speed * read_s
    first_event_s = wait_s + speed * (read_s + step_s)
    delay_s = wait_s + slowness_s + stream_delay_s
    return unread_tokens, own_tokens, other_tokens, speed, first_event_s, delay_s


def _quantile_of(
    quantiles: OrderedDict[str, RunningQuantile], kind: str, initial: float
) -> RunningQuantile:
    """Return the quantile of a kind, a new one if there is none."""
    found = quantiles.get(kind)
    if found is None:
        found = quantiles[kind] = RunningQuantile(initial)
        if len(quantiles) > MAX_EVENT_KINDS:
            quantiles.popitem(last=False)
    quantiles.move_to_end(kind)
    return found


def _relative_speeds(engines: Iterable[EngineLoad], now: float) -> Sequence[float]:
    """Return the speed of each engine as a multiple of the median of all."""
    multiples = [engine.speed.multiple(now) for engine in engines]
    middle = median(multiples)
    relative = [multiple / middle for multiple in multiples]
    return [
        1.0 if 1 / EQUAL_SPEED_RATIO < each < EQUAL_SPEED_RATIO else each
        for each in relative
    ]
