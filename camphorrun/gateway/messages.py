"""Messages between gateways; times are durations in seconds, never clock readings."""

import msgspec

SCHEMA_VERSION = 7
# First version of gateways that know cold replicas.
COLD_SCHEMA_VERSION = 7
# Paths of orders for pieces, without and with home zones. Gateways of the previous
# release would ignore the home zones; they answer 404 for the second path.
PIECES_PATH = "/pieces"
HOME_PIECES_PATH = "/home-pieces"


class RecordMessage(msgspec.Struct, array_like=True):
    """One record of the store; gateways before schema 3 send neither era nor rank."""

    key: str
    offset: int
    value: bytes
    era: int = 0
    rank: tuple[int, ...] = ()


class TopicMessage(msgspec.Struct):
    """Records of a topic up to the position ``end``.

    In a request, the position up to which the sender knows the topic; -1 if it knows no
    records. ``era`` is 0 from gateways before schema 3.
    """

    end: int
    records: list[RecordMessage] = []
    is_listing: bool = False
    era: int = 0


class RateLimitMessage(msgspec.Struct, array_like=True):
    """What one start of a replica last said about its rate limit, ``age_s`` ago.

    ``per_s`` is the limit in requests per second, None if the replica needs none.
    """

    replica: str
    started_ms: int
    per_s: float | None
    age_s: float


class ColdMessage(msgspec.Struct, array_like=True):
    """A start of a replica that is cold for ``remaining_s`` from now on.

    It tolerates ``per_s`` requests per second. If ``is_certain`` is not set, the
    message says only that the sender needs permits for the replica, because it may be
    cold.
    """

    replica: str
    started_ms: int
    per_s: float
    remaining_s: float
    is_certain: bool = True


class CrashMessage(msgspec.Struct, array_like=True):
    """Crash of a replica, noticed ``age_s`` ago.

    ``requests`` has the fingerprints of each request whose answer had not begun. The
    last of them was sent ``sent_age_s`` ago.
    """

    replica: str
    age_s: float
    sent_age_s: float
    requests: list[tuple[str, ...]]


class ClearanceMessage(msgspec.Struct, array_like=True):
    """A replica began an answer with this fingerprint ``age_s`` ago and lived."""

    suspect: str
    age_s: float


class BlockMessage(msgspec.Struct, array_like=True):
    """A blocked cause; ``trial_age_s`` is None if it has not been tried."""

    cause: frozenset[str]
    age_s: float
    crash_age_s: float
    trials: int
    trial_age_s: float | None


class QuarantineMessage(msgspec.Struct):
    """What a gateway knows of requests that crash replicas."""

    crashes: list[CrashMessage] = []
    clearances: list[ClearanceMessage] = []
    blocks: list[BlockMessage] = []
    version: int = SCHEMA_VERSION


class EngineSpeedMessage(msgspec.Struct, array_like=True):
    """Samples of an engine's speed that the sender has seen, the last ``age_s`` ago.

    ``log_sum`` is the weighted sum of the logarithms of the samples, each a multiple of
    the usual duration, and ``weight`` the sum of their weights.
    """

    service: str
    replica: str
    log_sum: float
    weight: float
    age_s: float


class TrialOrder(msgspec.Struct):
    """Asks whether one request that has a blocked cause may be sent."""

    cause: frozenset[str]
    version: int = SCHEMA_VERSION


class TrialReply(msgspec.Struct):
    """Answer to a trial order."""

    granted: bool
    version: int = SCHEMA_VERSION


class SyncMessage(msgspec.Struct):
    """Records of the store and members of the group that a gateway knows.

    ``ages_s`` gives for each topic the seconds since the store last confirmed its
    records. Gateways before schema 4 send no ``rate_limits``. In a request,
    ``evidence_s`` is the age of the oldest crash that the sender wants to know.
    Gateways before schema 5 send neither it nor a ``quarantine``. ``engine_speeds`` are
    sent if the request ``wants_speeds``; gateways before schema 7 know neither, and
    send no ``cold`` replicas. A request that ``accepts_compressed`` answers may get one
    whose only field is ``compressed``: the encoded answer, compressed by zlib.
    """

    topics: dict[str, TopicMessage]
    members: list[str] = []
    ages_s: dict[str, float] = {}
    rate_limits: list[RateLimitMessage] = []
    evidence_s: float = 0.0
    quarantine: QuarantineMessage | None = None
    cold: list[ColdMessage] = []
    wants_speeds: bool = False
    engine_speeds: list[EngineSpeedMessage] = []
    accepts_compressed: bool = False
    compressed: bytes = b""
    version: int = SCHEMA_VERSION


class StreamBatch(msgspec.Struct):
    """Record of the store: streams that a gateway has sent, with their versions.

    ``era`` is that of the store when the record was written. A store that was restored
    from a copy has records of earlier eras that may lack what replaced them.
    """

    era: int
    streams: list[tuple[str, str | None, int]]


class StreamQuery(msgspec.Struct):
    """Asks which software version began a stream, given by its key.

    Asks a gateway that did not send the stream to read the store for it if ``service``
    names the service of the stream.
    """

    stream: str
    service: str = ""
    version: int = SCHEMA_VERSION


class StreamReply(msgspec.Struct):
    """Answer to a stream query.

    ``is_certain`` is set if the sender of the reply has sent the stream, or has read
    the store since it was asked. Gateways before schema 6 do not tell it.
    """

    software: str
    is_certain: bool = False
    version: int = SCHEMA_VERSION


class PieceOrder(msgspec.Struct):
    """Asks the owner of a stage service for pieces of one stage of one request.

    A ``forced`` order is carried out by a gateway that is not the owner, too. ``shard``
    names the availability zone whose replicas compute the pieces, empty for all
    zones. The pieces of a ``patient`` order are queued although they are expected to be
    late. ``transfers`` gives for each zone the bytes that cross zones if the pieces are
    computed there. ``zone`` is the zone in which the request is expected to run. An
    order with ``home_zones`` is sent to another path, which the previous release does
    not have: only replicas in these zones may compute the pieces, in any zone if it is
    None. ``account`` is the client account of the request. The sender may cancel the
    order by its ``order_id``, see ``ReleaseOrder``. The previous release sends neither
    of these: all of its requests share one account.
    """

    service: str
    request_id: str
    stage: int
    pieces: list[int]
    key: str
    inputs: list[str] | None
    result_bytes: int
    priority: int
    objective_left_s: float
    deadline_left_s: float
    downstream_s: float
    forced: bool = False
    shard: str = ""
    patient: bool = False
    transfers: dict[str, int] = {}
    zone: str = ""
    home_zones: frozenset[str] | None = None
    account: str = ""
    order_id: str = ""
    version: int = SCHEMA_VERSION


class PieceReply(msgspec.Struct):
    """Results by piece, or an error code in ``fault``.

    ``wait_s`` is the queueing delay now expected for such pieces. The code ``moved``
    means that the gateway at ``successor`` computes the pieces that have no result. The
    code ``busy`` means that the pieces would be late, and that none was computed.
    ``retry_after_s`` is set while all replicas have asked for a pause. With
    ``by_account``, the calls are divided among client accounts, and the wait is that of
    the order's account; ``over_share`` tells that it has more than its share queued.
    The previous release sends neither.
    """

    handles: dict[int, str]
    fault: str = ""
    wait_s: float = 0.0
    successor: str = ""
    retry_after_s: float = 0.0
    by_account: bool = False
    over_share: bool = False
    version: int = SCHEMA_VERSION


class ReleaseOrder(msgspec.Struct):
    """Stage results that no request needs any more, so that they can be freed.

    ``forwarded`` tells that a gateway sends the order on which does not own the service
    any more. ``cancelled_orders`` are orders for pieces to the receiver whose replies
    the sender has not read and will not use; their results are freed, too. They may be
    of any service. Gateways of the previous release ignore both fields, and free the
    results themselves.
    """

    service: str
    handles: list[str]
    cancelled_orders: list[str] = []
    forwarded: bool = False
    version: int = SCHEMA_VERSION


class PermitOrder(msgspec.Struct):
    """Lends shares of rate limits to a gateway, and may ask it for a permit.

    ``sender`` is the peer address of the sender, ``group_size`` the number of gateways
    that it knows. If ``lends`` is set, its shares of all ``rate_limits`` that are in
    force, and of all ``cold`` replicas, belong to the receiver for ``lease_s``.
    ``replica`` and ``started_ms`` name the start of a replica for which it asks a
    permit, an empty name none; it uses the permit within ``max_wait_s``. If ``returns``
    is set, it returns an unused permit instead. ``serial`` is the latest one that the
    receiver sent, 0 if there is none; a lease for a cold replica lasts from the time at
    which the receiver sent it. Gateways before schema 7 know neither ``cold`` nor the
    fields after it.
    """

    sender: str
    group_size: int
    lease_s: float
    rate_limits: list[RateLimitMessage]
    lends: bool = True
    replica: str = ""
    started_ms: int = 0
    max_wait_s: float = 0.0
    cold: list[ColdMessage] = []
    returns: bool = False
    serial: int = 0
    version: int = SCHEMA_VERSION


class PermitReply(msgspec.Struct):
    """Answer to a permit order.

    ``rate_limits`` has what the owner knows otherwise than the sender, ``cold`` the
    replicas of the order that it knows to be cold. ``wait_s`` is the time until the
    request may be sent; if refused, until a permit is expected. ``serial`` marks the
    time of the reply, see ``PermitOrder``. Gateways before schema 7 send neither
    ``cold`` nor ``serial``, but send their version.
    """

    granted: bool
    wait_s: float
    rate_limits: list[RateLimitMessage] = []
    cold: list[ColdMessage] = []
    serial: int = 0
    version: int = SCHEMA_VERSION
