"""Tests of what the end of an attempt says about its endpoint."""

import asyncio

import pytest

from ...clients import HostEntry
from ...core import LoopTimerService, ManualTimerService
from ...messages import (
    AttemptId,
    Cancel,
    Dispatch,
    NotStarted,
    ResultAck,
    ResultEnd,
    ResultPart,
    Resume,
    StageCost,
)
from ...metrics import Metrics
from ...routing import EjectionState, EndpointState
from .. import agent_peer
from ..agent_peer import AgentPeer
from ..errors import AttemptLostError
from ..outlier_monitor import OutlierMonitor

_ATTEMPT = AttemptId("req", 0, 1)


class _Dialer:
    """Records what is sent."""

    def __init__(self):
        self.sent: list[object] = []

    def send(self, message: object) -> None:
        self.sent.append(message)


def _peer(timers) -> AgentPeer:
    listed = HostEntry("host-1", "127.0.0.1:1", "agent", "a", service="s")
    peer = AgentPeer(
        listed,
        EndpointState("host-1", "a", "s"),
        timers,
        Metrics(),
        positions=dict,
        on_outcome=lambda reply: None,
    )
    peer.dialer = _Dialer()
    return peer


def _dispatch() -> Dispatch:
    return Dispatch(_ATTEMPT, "inc", "s", "op", "", "a", 1, True, 1.0, b"{}")


async def _time_out(answer: object) -> AgentPeer:
    """Return a peer whose attempt ran out of time, after the agent's answer."""
    peer = _peer(LoopTimerService())
    with pytest.raises(AttemptLostError):
        await peer.attempt(_dispatch(), None, 0.001)
    assert isinstance(peer.dialer.sent[-1], Cancel)
    if answer is None:
        await asyncio.sleep(0.05)
    else:
        peer.handle(answer, None)
    return peer


class TestTimeouts:
    """A timeout is held against the endpoint only if the call was running."""

    @pytest.mark.parametrize(
        ("answer", "failures"),
        [
            (NotStarted(_ATTEMPT, "cancelled"), 0),
            (ResultEnd(_ATTEMPT, False, cost=StageCost(busy_s=0.1, queue_s=0.9)), 0),
            (ResultEnd(_ATTEMPT, False, cost=StageCost(busy_s=0.9, queue_s=0.1)), 1),
            (None, 1),
        ],
        ids=["queued", "mostly queued", "running", "no answer"],
    )
    def test_who_is_responsible(self, answer, failures, monkeypatch):
        """Guards against ejection for overload, and against none for silence."""
        monkeypatch.setattr(agent_peer, "VERDICT_SECONDS", 0.01)
        peer = asyncio.run(_time_out(answer))
        assert peer.state.samples == failures
        assert peer.state.in_flight == 0

    def test_unwanted_results_are_acknowledged(self):
        """Guards against results that hold up the drain of an agent."""
        peer = _peer(ManualTimerService())
        peer.handle(ResultEnd(_ATTEMPT, False, code="cancelled"), None)
        assert peer.dialer.sent == [ResultAck(_ATTEMPT)]


class _Pool:
    """One service with its peers."""

    def __init__(self, peers: list[AgentPeer]):
        self.peers = peers

    def services(self) -> tuple[str, ...]:
        return ("s",)

    def of_service(self, service: str) -> list[AgentPeer]:
        return self.peers


class TestOutlierMonitor:
    """Ejections happen in the entry and are counted."""

    def test_failing_endpoint_is_ejected_and_counted(self):
        """Guards against an ejection logic that nothing drives."""
        timers = ManualTimerService()
        peers = [_peer(timers) for _ in range(4)]
        metrics = Metrics()
        OutlierMonitor(_Pool(peers), timers, metrics).start()
        for index, peer in enumerate(peers):
            for _ in range(8):
                peer.state.on_result(index > 0, 0.1, timers.now())
        timers.advance(1.0)
        assert peers[0].state.ejection is EjectionState.EJECTED
        assert peers[1].state.ejection is EjectionState.ACTIVE
        text = metrics.render().decode()
        assert 'ejections_total{reason="failing",service="s"} 1.0' in text


class TestReplies:
    """Replies are matched by request, stage and attempt, and parts by sequence."""

    @staticmethod
    async def _run(*messages: object) -> tuple[AgentPeer, object, list[bytes]]:
        """Return the peer, the result and the parts after the messages arrived."""
        peer = _peer(LoopTimerService())
        running = asyncio.ensure_future(peer.attempt(_dispatch(), None, 10.0))
        await asyncio.sleep(0)
        for message in messages:
            peer.handle(message, None)
        result, parts = await running
        return peer, result, parts

    def test_doubled_and_foreign_replies_are_dropped(self):
        """Guards against doubled parts and a result of another request."""
        other = AttemptId("other", 0, 1)
        earlier = AttemptId("req", 0, 9)
        first, second = (ResultPart(_ATTEMPT, n, b"%d" % n) for n in range(2))
        _, result, parts = asyncio.run(
            self._run(
                ResultPart(other, 0, b"x"),
                ResultEnd(other, ok=True, data=b"other"),
                ResultEnd(earlier, ok=True, data=b"earlier"),
                first,
                first,
                second,
                ResultEnd(_ATTEMPT, ok=True, parts=2),
                ResultEnd(_ATTEMPT, ok=True, data=b"late"),
            )
        )
        assert (result.attempt, result.data, parts) == (_ATTEMPT, b"", [b"0", b"1"])

    def test_end_without_all_parts_asks_for_them(self):
        """Guards against an answer that lacks a part."""
        first, second = (ResultPart(_ATTEMPT, n, b"%d" % n) for n in range(2))
        end = ResultEnd(_ATTEMPT, ok=True, parts=2)
        peer, _, parts = asyncio.run(self._run(first, end, second, end))
        assert Resume(_ATTEMPT, peer.incarnation, 1) in peer.dialer.sent
        assert parts == [b"0", b"1"]
