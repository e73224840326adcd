"""Which software version began a stream that a caller takes up again.

What two versions write doesn't fit together. While a service has had one version only,
that version began all streams. Otherwise each stream is recorded when it begins, and
one without a record is unknown: it can't go on.
"""

from collections import OrderedDict
from dataclasses import dataclass, replace

# A caller takes a stream up within its deadline; a version that has gone may have begun
# a stream for as long.
STREAM_LIFE_SECONDS = 60.0
MAX_STREAMS = 20_000

# Service and software version.
ServiceVersion = tuple[str, str]
# Attempt that began a stream, the version, and the number of the attempt.
StreamRecord = tuple[str, str | None, int]


@dataclass(frozen=True, slots=True)
class StreamStart:
    """Start of a stream: the service, its version, and the replica that runs it.

    The version is None if it can't be told any more. ``is_proven`` is set if the
    process that runs the stream is known to have the version. ``number`` counts the
    attempts of the request, as a later one replaces what an earlier one has recorded.
    ``has_moved`` is set if one of them had another version.
    """

    service: str
    version: str | None
    replica: str
    at: float
    is_proven: bool = False
    number: int = 1
    has_moved: bool = False


class StreamVersions:
    """Versions of services, and the streams that this gateway or others began.

    Examples
    --------
    >>> versions = StreamVersions()
    >>> versions.observe({("engine", "v1")}, 0.0)
    >>> start = versions.begin("a1", StreamStart("engine", "v1", "i-1", 0.0))
    >>> versions.observe({("engine", "v2")}, 1.0)
    >>> versions.of_service("engine", 1.0) == {"v1", "v2"}
    True
    >>> versions.take_unsaved(), versions.begun("a1").version
    ([('a1', 'v1', 1)], 'v1')
    >>> versions.learn([("a2", "v2", 2), ("a2", "v1", 1)])
    >>> versions.learned("a2")
    ('a2', 'v2', 2)
    """

    __slots__ = ("_begun", "_learned", "_seen_at", "_unsaved", "stored")

    def __init__(self):
        # Versions that the store has, and those that were registered lately.
        self.stored: set[ServiceVersion] = set()
        self._seen_at: dict[ServiceVersion, float] = {}
        self._begun: OrderedDict[str, StreamStart] = OrderedDict()
        # Versions of the streams of all gateways, as read from the store.
        self._learned: OrderedDict[str, StreamRecord] = OrderedDict()
        # Streams whose record is to be written, in order.
        self._unsaved: dict[str, None] = {}

    def observe(self, registered: set[ServiceVersion], now: float) -> None:
        """Apply the versions that are registered at present."""
        services = {service for service, _ in registered}
        single = {name for name in services if not self.has_several(name, now)}
        self._seen_at.update(dict.fromkeys(registered, now))
        for service in single:
            self._save_if_several(service, now)

    def add_stored(self, stored: set[ServiceVersion], now: float) -> None:
        """Add versions that the store has."""
        added = stored - self.stored
        services = {service for service, _ in added}
        single = {name for name in services if not self.has_several(name, now)}
        self.stored |= stored
        for key in added:
            self._seen_at.setdefault(key, now)
        for service in single:
            self._save_if_several(service, now)

    def _save_if_several(self, service: str, now: float) -> None:
        """Record the streams that began while the service had one version."""
        if not self.has_several(service, now):
            return
        for attempt, start in self._begun.items():
            if start.service == service and now - start.at < STREAM_LIFE_SECONDS:
                self._unsaved[attempt] = None

    def of_service(self, service: str, now: float) -> set[str]:
        """Return the versions that may have begun a stream which can still go on."""
        lately = {
            version
            for (name, version), at in self._seen_at.items()
            if name == service and now - at < STREAM_LIFE_SECONDS
        }
        return lately | {version for name, version in self.stored if name == service}

    def has_several(self, service: str, now: float) -> bool:
        """Return whether streams of a service need records."""
        return len(self.of_service(service, now)) > 1

    def unstored(self, now: float) -> set[ServiceVersion]:
        """Return the versions that are registered and not in the store."""
        return {
            key
            for key, at in self._seen_at.items()
            if now - at < STREAM_LIFE_SECONDS and key not in self.stored
        }

    def outdated(self, now: float, unseen_s: float) -> list[ServiceVersion]:
        """Return the stored versions that have not been registered for a time.

        None that is the only one of its service is among them.
        """
        return [
            (service, version)
            for service, version in sorted(self.stored)
            if now - self._seen_at.get((service, version), now) >= unseen_s
            and len({v for name, v in self.stored if name == service}) > 1
        ]

    @property
    def has_unsaved(self) -> bool:
        """Whether a record is to be written."""
        return bool(self._unsaved)

    def is_unsaved(self, attempt: str) -> bool:
        """Return whether the record of a stream is to be written."""
        return attempt in self._unsaved

    def begun(self, attempt: str) -> StreamStart | None:
        """Return the start of a stream that this gateway has sent, None otherwise."""
        return self._begun.get(attempt)

    def begin(self, attempt: str, start: StreamStart) -> StreamStart:
        """Note that a stream is sent to a replica; a later note replaces it."""
        previous = self._begun.pop(attempt, None)
        if previous is not None:
            start = replace(
                start,
                number=previous.number + 1,
                has_moved=previous.has_moved or previous.version != start.version,
            )
        self._begun[attempt] = start
        if self.has_several(start.service, start.at):
            self._unsaved.pop(attempt, None)
            self._unsaved[attempt] = None
        self._drop_old(start.at)
        return start

    def forget_replica(self, replica: str, since: float) -> None:
        """Make the version unknown of the streams that a replica began lately.

        Those stay known that are proven to have reached the registered start.
        """
        for attempt, start in self._begun.items():
            is_unsure = start.replica == replica and not start.is_proven
            if is_unsure and start.at >= since:
                self._begun[attempt] = replace(
                    start, version=None, number=start.number + 1
                )
                self._unsaved[attempt] = None

    def learn(self, records: list[StreamRecord]) -> None:
        """Add records of streams that the store has.

        Of several records of a stream the one with the highest number counts: a write
        that was given up may still reach the store after a later one.
        """
        for record in records:
            known = self._learned.pop(record[0], record)
            self._learned[record[0]] = max(known, record, key=lambda item: item[2])
        while len(self._learned) > MAX_STREAMS:
            self._learned.popitem(last=False)

    def learned(self, attempt: str) -> StreamRecord | None:
        """Return the record of a stream as of the last read, None without one."""
        return self._learned.get(attempt)

    def take_unsaved(self) -> list[StreamRecord]:
        """Return the records that are to be written, and regard them as written."""
        starts = [(name, self._begun[name]) for name in self._unsaved]
        self._unsaved.clear()
        return [(name, start.version, start.number) for name, start in starts]

    def put_back(self, records: list[StreamRecord]) -> None:
        """Regard records as unwritten that could not be written."""
        known = {name: None for name, _, _ in records if name in self._begun}
        self._unsaved = known | self._unsaved

    def save_again(self, now: float) -> None:
        """Regard all records and versions as unwritten: the store may lack them."""
        self.stored.clear()
        self._learned.clear()
        for service in {start.service for start in self._begun.values()}:
            self._save_if_several(service, now)

    def _drop_old(self, now: float) -> None:
        while self._begun:
            attempt, start = next(iter(self._begun.items()))
            is_recent = now - start.at < STREAM_LIFE_SECONDS
            if is_recent and len(self._begun) <= MAX_STREAMS:
                return
            del self._begun[attempt]
            self._unsaved.pop(attempt, None)
