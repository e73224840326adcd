"""Messages between gateways; times are remaining seconds, never clock readings."""

import msgspec

SCHEMA_VERSION = 3


class RecordMessage(msgspec.Struct, array_like=True):
    """One record of the store; daemons before schema 3 send neither era nor rank."""

    key: str
    offset: int
    value: bytes
    era: int = 0
    rank: tuple[int, ...] = ()


class TopicMessage(msgspec.Struct):
    """Records of a topic up to a position; without records a question for newer ones.

    ``era`` is 0 from daemons before schema 3.
    """

    end: int
    records: list[RecordMessage] = []
    is_listing: bool = False
    era: int = 0


class SyncMessage(msgspec.Struct):
    """What a daemon knows of the store, and the members that it sees.

    ``ages_s`` gives for each topic the seconds since its knowledge was confirmed by
    the store.
    """

    topics: dict[str, TopicMessage]
    members: list[str] = []
    ages_s: dict[str, float] = {}
    version: int = SCHEMA_VERSION


class PieceOrder(msgspec.Struct):
    """Asks the owner of a stage service for pieces of one stage of one request.

    ``forced`` orders are carried out by a daemon that is not the owner, too. ``shard``
    names the availability zone whose replicas make the pieces, empty for all. The
    pieces of ``patient`` orders wait although they will be late. ``transfers`` has the
    bytes that cross zones if the pieces are made in a zone.
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
    version: int = SCHEMA_VERSION


class PieceReply(msgspec.Struct):
    """Results by piece, or the code of a fault.

    ``wait_s`` is the wait that pieces of this kind have to expect now. With the fault
    ``moved`` the daemon at ``successor`` makes the pieces that have no result.
    The fault ``busy`` means that the pieces would be late, and that none was made.
    ``retry_after_s`` is set while all replicas asked for a pause.
    """

    handles: dict[int, str]
    fault: str = ""
    wait_s: float = 0.0
    successor: str = ""
    retry_after_s: float = 0.0
    version: int = SCHEMA_VERSION


class ReleaseOrder(msgspec.Struct):
    """Results that no request needs any more."""

    service: str
    handles: list[str]
    version: int = SCHEMA_VERSION
