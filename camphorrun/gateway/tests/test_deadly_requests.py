"""Tests of requests that crash each replica which runs them."""

import asyncio
from collections import Counter
from types import SimpleNamespace

import msgspec
import pytest

from ...http1 import HttpError
from ...quarantine import Block, Quarantine, part_fingerprint, request_fingerprint
from ...quarantine import quarantine as quarantine_module
from ..context import Trial
from ..errors import RefusedError
from ..messages import QuarantineMessage
from ..quarantine_messages import encode_quarantine, merge_quarantine
from .cluster import HOST, LocalCluster, event_bytes, run_scenario

# The platform's rule: at most this many requests reach replicas after the settling
# time, which starts at the crash from which on the rule holds. The real one is longer.
MAX_LATE_ARRIVALS = 3
SETTLE_SECONDS = 1.0
PART_CRASHES = 5
# Sound requests that share parts with deadly ones are served at least this often.
MIN_SERVED_SHARE = 0.9
# Status of a request whose answer broke off.
BROKEN_OFF = 0
DEADLY_PART = "dead"
REQUEST_CRASHES = 3
DEADLY_BODY = b"deadly"
MODEL = "X-Model: m"


def prompt(*parts: str) -> str:
    return "X-Prefix-Hash: " + ",".join(f"{part}:100" for part in parts)


def crash_times(cluster: LocalCluster) -> list[float]:
    return sorted(at for replica in cluster.replicas for at in replica.crashes)


def is_settled(cluster: LocalCluster, crash: int) -> bool:
    """Return whether the settling time after the crash of this number has passed."""
    times = crash_times(cluster)
    settled_s = cluster.timers.now() - SETTLE_SECONDS
    return len(times) >= crash and times[crash - 1] < settled_s


def late_arrivals(cluster: LocalCluster, crash: int) -> list[float]:
    """Return the arrivals of deadly requests that the platform's rule counts."""
    settled_at = crash_times(cluster)[crash - 1] + SETTLE_SECONDS
    return [
        at
        for replica in cluster.replicas
        for at in replica.deadly_arrivals
        if at > settled_at
    ]


class Traffic:
    """Requests to the gateways of a cluster, and their statuses by kind."""

    def __init__(self, cluster: LocalCluster):
        self._cluster = cluster
        self._tasks: list[asyncio.Task] = []
        self.statuses: Counter[tuple[str, int]] = Counter()

    def send(self, kind: str, path: str, *lines: str, **options) -> None:
        """Start a request; its status is counted under ``kind``."""
        task = self._send(kind, path, *lines, **options)
        self._tasks.append(asyncio.ensure_future(task))

    async def _send(self, kind: str, path: str, *lines: str, **options) -> None:
        try:
            answer = await self._cluster.send_request(path, *lines, **options)
            self.statuses[kind, answer.status] += 1
        except HttpError:
            self.statuses[kind, BROKEN_OFF] += 1

    async def finish(self) -> None:
        """Wait for all requests."""
        await asyncio.gather(*self._tasks)

    def served_share(self, kind: str) -> float:
        """Return the share of the requests of a kind that were answered with 200."""
        total = sum(n for (name, _), n in self.statuses.items() if name == kind)
        return self.statuses[kind, 200] / total


async def send_parts(cluster: LocalCluster, seconds: float, gap_s: float) -> Traffic:
    """Send sound requests, and every third time one with the deadly part."""
    traffic = Traffic(cluster)
    end_at = cluster.timers.now() + seconds
    number = 0
    while cluster.timers.now() < end_at:
        gateway = number % cluster.gateways
        number += 1
        sound = prompt("system", f"{number}s")
        kind = "sound, settled" if is_settled(cluster, PART_CRASHES) else "sound"
        traffic.send(kind, "/resume/x", MODEL, sound, gateway=gateway)
        if number % 3 == 0:
            deadly = prompt("system", DEADLY_PART, f"{number}d")
            gateway = number // 3 % cluster.gateways
            traffic.send("deadly", "/resume/x", MODEL, deadly, gateway=gateway)
        await asyncio.sleep(gap_s)
    await traffic.finish()
    return traffic


class TestDeadlyPart:
    """One part of prompts that crashes each replica which begins to answer on it."""

    def test_part_crashes_no_replica_after_replica(self):
        """Guards against gateways that judge each crash of a replica by itself."""

        async def scenario(cluster):
            for replica in cluster.replicas:
                replica.script.deadly_part = DEADLY_PART
                replica.script.work_s = 0.02
            traffic = await send_parts(cluster, 5.0, 0.05)
            assert len(crash_times(cluster)) >= PART_CRASHES
            assert len(late_arrivals(cluster, PART_CRASHES)) <= MAX_LATE_ARRIVALS
            assert traffic.served_share("sound, settled") >= MIN_SERVED_SHARE

        run_scenario(scenario, plain=4, gateways=3)


async def send_bodies(
    cluster: LocalCluster, path: str, *lines: str, seconds: float
) -> Traffic:
    """Send requests with different bodies, and every third time the deadly one."""
    traffic = Traffic(cluster)
    end_at = cluster.timers.now() + seconds
    number = 0
    while cluster.timers.now() < end_at:
        gateway = number % cluster.gateways
        number += 1
        settled = is_settled(cluster, REQUEST_CRASHES)
        kind = "sound, settled" if settled else "sound"
        body = f"body {number}".encode()
        traffic.send(kind, path, *lines, gateway=gateway, body=body)
        if number % 3 == 0:
            gateway = number // 3 % cluster.gateways
            traffic.send("deadly", path, *lines, gateway=gateway, body=DEADLY_BODY)
        await asyncio.sleep(0.05)
    await traffic.finish()
    return traffic


class TestDeadlyRequest:
    """A request that crashes each replica which begins to run it, and comes again."""

    @pytest.mark.parametrize(
        ("path", "lines"),
        [
            ("/safe/x", ()),
            ("/unsafe/x", ()),
            ("/resume/x", (MODEL, prompt("system", "document", "own"))),
        ],
    )
    def test_request_crashes_no_replica_after_replica(self, path, lines):
        """Guards against a request that is a new one whenever it comes again."""

        async def scenario(cluster):
            for replica in cluster.replicas:
                replica.script.deadly_body = DEADLY_BODY
                replica.script.work_s = 0.02
            traffic = await send_bodies(cluster, path, *lines, seconds=4.0)
            assert len(crash_times(cluster)) >= REQUEST_CRASHES
            assert len(late_arrivals(cluster, REQUEST_CRASHES)) <= MAX_LATE_ARRIVALS
            assert traffic.served_share("sound, settled") >= MIN_SERVED_SHARE

        run_scenario(scenario, plain=4, gateways=3)


CAUSE = frozenset({part_fingerprint(DEADLY_PART)})
DEADLY_LINES = MODEL, prompt("system", DEADLY_PART, "own")


def block(cluster: LocalCluster, *gateways: int, age_s: float = 0.0) -> None:
    """Block the deadly part at some gateways, as if that had happened earlier."""
    at = cluster.timers.now() - age_s
    for gateway in gateways:
        cluster.daemons[gateway].state.quarantine.block(CAUSE, Block(at, at))


def crashes_known_to(cluster: LocalCluster, gateway: int) -> int:
    evidence = cluster.daemons[gateway].state.quarantine.evidence
    return len(evidence.crashes_since(float("-inf")))


class TestCrashDetection:
    """What counts as the crash of a replica."""

    def test_reset_connections_are_no_crash(self):
        """Guards against blaming requests for resets by a replica that lives on."""

        async def scenario(cluster):
            for replica in cluster.replicas:
                replica.script.answer = "reset"
            for _ in range(12):
                await cluster.send_request("/stream/x", *DEADLY_LINES)
            await asyncio.sleep(0.3)
            assert crashes_known_to(cluster, 0) == 0
            assert cluster.daemons[0].metrics.replica_crashes._metrics == {}

        run_scenario(scenario, plain=2)

    def test_refused_connection_shows_a_crash(self):
        """Guards against crashes that no gateway notices."""

        async def scenario(cluster):
            cluster.replicas[0].script.deadly_part = DEADLY_PART
            cluster.replicas[0].script.down_s = 5.0
            await cluster.send_request("/stream/x", *DEADLY_LINES)
            await cluster.wait_until(lambda: crashes_known_to(cluster, 1) == 1)
            assert crashes_known_to(cluster, 0) == 1

        run_scenario(scenario, gateways=2)

    def test_new_start_shows_a_crash(self):
        """Guards against missing the crash of a replica that is back at once."""

        async def scenario(cluster):
            replica = cluster.replicas[0]
            replica.script.work_s = 0.3
            asked = asyncio.ensure_future(
                cluster.send_request("/stream/x", *DEADLY_LINES)
            )
            await cluster.wait_until(lambda: replica.runs)
            replica.script.down_s = 0.0
            replica.crash()
            await asked
            await cluster.wait_until(lambda: crashes_known_to(cluster, 0) == 1)

        run_scenario(scenario)

    def test_end_of_a_leaving_replica_is_no_crash(self):
        """Guards against blaming requests for a planned end of their replica."""

        async def scenario(cluster):
            replica = cluster.replicas[0]
            replica.script.work_s = 1.0
            replica.script.down_s = 5.0
            slow = asyncio.ensure_future(
                cluster.send_request("/stream/x", *DEADLY_LINES)
            )
            await cluster.wait_until(lambda: replica.runs)
            replica.script.work_s = 0.0
            replica.script.leaving = True
            await cluster.send_request("/stream/x", *DEADLY_LINES)
            replica.crash()
            assert (await slow).status == 502
            await asyncio.sleep(0.2)
            assert crashes_known_to(cluster, 0) == 0

        run_scenario(scenario)

    def test_last_part_of_a_prompt_is_no_suspect(self):
        """Guards against blaming the part that only the request itself has."""

        async def scenario(cluster):
            cluster.replicas[0].script.deadly_part = "own"
            await cluster.send_request("/stream/x", MODEL, prompt("system", "own"))
            await cluster.wait_until(lambda: crashes_known_to(cluster, 0) == 1)
            evidence = cluster.daemons[0].state.quarantine.evidence
            (crash,) = evidence.crashes_since(float("-inf"))
            assert not any(part_fingerprint("own") in r for r in crash.requests)

        run_scenario(scenario)


class TestQuarantinedRequests:
    """Requests with a cause that is blocked."""

    def test_request_is_refused_before_its_stages_run(self):
        """Guards against work for requests that can't be served."""

        async def scenario(cluster):
            block(cluster, 0)
            stages = "X-Pieces: 1,1", "X-Piece-Key: k"
            answer = await cluster.send_request("/staged/x", *DEADLY_LINES, *stages)
            assert (answer.status, answer.headers["x-reason"]) == (503, "quarantined")
            assert float(answer.headers["retry-after"]) > 1.0
            assert not cluster.stage_replicas[0].stage_calls

        run_scenario(scenario, stage=1)

    def test_request_that_waits_is_refused_at_once(self):
        """Guards against a decision that misses requests waiting for their stages."""

        async def scenario(cluster):
            cluster.stage_replicas[0].script.work_s = 1.5
            stages = "X-Pieces: 1,1", "X-Piece-Key: k"
            asked = asyncio.ensure_future(
                cluster.send_request("/staged/x", *DEADLY_LINES, *stages)
            )
            await cluster.wait_until(lambda: cluster.stage_replicas[0].stage_calls)
            block(cluster, 0)
            answer = await asyncio.wait_for(asked, 0.5)
            assert (answer.status, answer.headers["x-reason"]) == (503, "quarantined")
            assert not cluster.replicas[0].runs

        run_scenario(scenario, stage=1)

    def test_request_at_a_replica_is_ended_truthfully(self):
        """Guards against the status 503 for a request that a replica may have run."""

        async def scenario(cluster):
            cluster.replicas[0].script.work_s = 1.5
            asked = asyncio.ensure_future(
                cluster.send_request("/resume/x", *DEADLY_LINES)
            )
            await cluster.wait_until(lambda: cluster.replicas[0].runs)
            block(cluster, 0)
            answer = await asyncio.wait_for(asked, 0.5)
            assert answer.status == 502
            await cluster.wait_until(lambda: cluster.replicas[0].cancelled == 1)
            assert cluster.replicas[0].asked == 1

        run_scenario(scenario)

    def test_retry_is_not_sent(self):
        """Guards against a request that is quarantined between two attempts."""

        async def scenario(cluster):
            for replica in cluster.replicas:
                replica.script.deadly_part = DEADLY_PART
                replica.script.work_s = 0.1
            guard = cluster.daemons[0]._quarantine_guard
            observe = guard.observe_failure

            def observe_and_block(*args):
                observe(*args)
                block(cluster, 0)

            guard.observe_failure = observe_and_block
            answer = await cluster.send_request("/resume/x", *DEADLY_LINES)
            assert answer.status == 502
            assert sum(len(r.runs) for r in cluster.replicas) == 1

        run_scenario(scenario, plain=2)

    def test_request_is_checked_after_the_wait_for_a_connection(self):
        """Guards against sending a request that was quarantined while it waited."""

        async def scenario(cluster):
            daemon = cluster.daemons[0]
            handle = daemon._replica_pool.get(cluster.replicas[0].identifier)
            acquire = handle.pool.acquire

            async def acquire_and_block(*args):
                conn = await acquire(*args)
                daemon.state.quarantine._listeners.clear()
                block(cluster, 0)
                return conn

            handle.pool.acquire = acquire_and_block
            answer = await cluster.send_request("/stream/x", *DEADLY_LINES)
            assert (answer.status, cluster.replicas[0].asked) == (503, 0)

        run_scenario(scenario)

    def test_begun_answer_goes_on(self):
        """Guards against cutting an answer because of a decision that it refutes."""

        async def scenario(cluster):
            replica = cluster.replicas[0]
            replica.script.event_gap_s = 0.2
            asked = asyncio.ensure_future(
                cluster.send_request("/stream/x", *DEADLY_LINES)
            )
            await cluster.wait_until(lambda: replica.runs)
            await asyncio.sleep(0.1)
            block(cluster, 0)
            assert (await asked).body == event_bytes(1, 2, 3, 4, 5)

        run_scenario(scenario)

    def test_other_requests_are_served(self):
        """Guards against refusing requests that share the first part only."""

        async def scenario(cluster):
            block(cluster, 0)
            answer = await cluster.send_request(
                "/stream/x", MODEL, prompt("system", "letter", "own")
            )
            assert answer.status == 200

        run_scenario(scenario)


class TestKnowledgeOfOtherGateways:
    """How gateways learn what others have observed."""

    def test_new_gateway_knows_the_cause_before_it_is_ready(self):
        """Guards against a restart after which the cause must be found again."""

        async def scenario(cluster):
            block(cluster, 0, 1)
            daemon = cluster.add_gateway(
                "new", seeds=(cluster.daemons[0].settings.host.control,)
            )
            await cluster.wait_until(lambda: daemon.state.ready)
            assert daemon.state.quarantine.find_blocked(CAUSE) == CAUSE

        run_scenario(scenario, gateways=2)

    def test_cause_outlives_all_gateways(self):
        """Guards against a power failure after which the cause must be found again."""

        async def scenario(cluster):
            block(cluster, 0, 1)
            # Listing the topic has the block as soon as one of the gateways stored it.
            await cluster.wait_until(lambda: cluster.store.calls.get("/log-append"))
            for task in cluster.tasks:
                task.cancel()
            await asyncio.gather(*cluster.tasks, return_exceptions=True)
            cluster.tasks.clear()
            daemon = cluster.add_gateway("new")
            await cluster.wait_until(lambda: daemon.state.ready)
            assert daemon.state.quarantine.find_blocked(CAUSE) == CAUSE

        run_scenario(scenario, gateways=2)

    def test_cleared_cause_leaves_the_store(self):
        """Guards against a block that returns with the next restart."""

        async def scenario(cluster):
            block(cluster, 0)
            calls = cluster.store.calls
            await cluster.wait_until(lambda: calls.get("/log-append") == 1)
            (suspect,) = CAUSE
            at = cluster.timers.now()
            cluster.daemons[0].state.quarantine.clear(suspect, at)
            await cluster.wait_until(lambda: calls["/log-append"] == 2)
            assert b'"Items":[]' in cluster.store._newest("keyed.quarantine")

        run_scenario(scenario)

    def test_store_that_fails_does_not_delay_the_start(self):
        """Guards against a gateway that waits for the stored causes for ever."""

        async def scenario(cluster):
            answer = cluster.store._answer

            async def fail_quarantine(path, args, body):
                if args.get("Topic") == "keyed.quarantine":
                    return 503, b""
                return await answer(path, args, body)

            cluster.store._answer = fail_quarantine
            daemon = cluster.add_gateway("new")
            await cluster.wait_until(lambda: daemon.state.ready, 2.0)

        run_scenario(scenario)

    def test_lost_message_is_made_up_by_the_exchange(self, monkeypatch):
        """Guards against a gateway that stays without what it was told in vain."""

        async def scenario(cluster):
            guard = cluster.daemons[0]._quarantine_guard
            monkeypatch.setattr(guard, "_send_to_all", lambda message: None)
            guard._report_crash("i-1", 0.0, cluster.timers.now(), [("a",)])
            block(cluster, 0)
            await cluster.wait_until(lambda: crashes_known_to(cluster, 1) == 1)
            assert cluster.daemons[1].state.quarantine.find_blocked(CAUSE)

        run_scenario(scenario, gateways=2)

    def test_answer_at_one_gateway_clears_at_all(self):
        """Guards against refusals by gateways that did not see the answer."""

        async def scenario(cluster):
            block(cluster, 1)
            await cluster.send_request("/stream/x", *DEADLY_LINES, gateway=0)
            # Gateway 0 knows of no crash, so the answer is no news to it.
            assert cluster.daemons[1].state.quarantine.find_blocked(CAUSE)
            block(cluster, 0)
            guard = cluster.daemons[0]._quarantine_guard
            ctx = SimpleNamespace(
                shared_parts=tuple(CAUSE),
                fingerprint="a",
                has_cleared=False,
                request_id="a",
            )
            guard._clear(ctx, cluster.timers.now() + 0.1)
            quarantine = cluster.daemons[1].state.quarantine
            await cluster.wait_until(lambda: not quarantine.find_blocked(CAUSE))

        run_scenario(scenario, gateways=2)


class TestMessages:
    """What gateways send each other in the exchange of records."""

    def test_answers_without_a_crash_are_not_sent(self):
        """Guards against messages that grow with the requests on every day."""
        quarantine = Quarantine()
        for number in range(100):
            quarantine.clear(f"p{number}", 5.0)
        assert not encode_quarantine(quarantine, 6.0, 10.0).clearances
        quarantine.add_crash("i-1", 4.0, 4.5, [("p1",)])
        message = encode_quarantine(quarantine, 6.0, 10.0)
        assert [c.suspect for c in message.clearances] == ["p1"]

    def test_exchange_carries_everything(self):
        """Guards against knowledge that is lost in the encoding."""
        known, learned = Quarantine(), Quarantine()
        known.add_crash("i-1", 4.0, 4.5, [("p1", "p2")])
        known.clear("p2", 5.0)
        known.block(frozenset({"p1"}), Block(4.6, 4.5, 1, 5.5))
        message = encode_quarantine(known, 6.0, 10.0)
        data = msgspec.msgpack.encode(message)
        decoded = msgspec.msgpack.decode(data, type=QuarantineMessage)
        assert merge_quarantine(learned, decoded, 106.0) == [{"p1"}]
        ((_, block),) = learned.blocks()
        assert block == Block(104.6, 104.5, 1, 105.5)
        assert learned.evidence.cleared_at("p2") == 105.0
        (crash,) = learned.evidence.crashes_since(0.0)
        assert (crash.at, crash.requests) == (104.5, {("p1", "p2")})


class TestTrials:
    """The way back after the fault of the replicas was mended."""

    def test_few_trials_reach_replicas(self, monkeypatch):
        """Guards against each gateway making trials of its own."""
        monkeypatch.setattr(quarantine_module, "FIRST_TRIAL_SECONDS", 0.3)

        async def scenario(cluster):
            for replica in cluster.replicas:
                replica.script.deadly_part = DEADLY_PART
            block(cluster, 0, 1, 2)
            traffic = await send_parts(cluster, 3.0, 0.03)
            arrivals = sum(len(r.deadly_arrivals) for r in cluster.replicas)
            # Due after 0.3, 0.9 and 2.1 s.
            assert 1 <= arrivals <= 3
            assert traffic.statuses["deadly", 503] > 20

        run_scenario(scenario, plain=2, gateways=3)

    def test_gateways_make_one_trial_at_a_time(self):
        """Guards against gateways that start a trial at the same moment."""

        async def scenario(cluster):
            for replica in cluster.replicas:
                replica.script.deadly_part = DEADLY_PART
            block(cluster, 0, 1, 2, age_s=quarantine_module.FIRST_TRIAL_SECONDS)
            answers = await asyncio.gather(
                *(
                    cluster.send_request("/stream/x", *DEADLY_LINES, gateway=gateway)
                    for gateway in (0, 1, 2)
                )
            )
            assert sorted(answer.status for answer in answers) == [502, 503, 503]
            assert sum(len(r.deadly_arrivals) for r in cluster.replicas) == 1

        run_scenario(scenario, plain=2, gateways=3)

    def test_answered_trial_ends_the_refusals(self, monkeypatch):
        """Guards against a part that is refused after replicas run it again."""
        monkeypatch.setattr(quarantine_module, "FIRST_TRIAL_SECONDS", 0.3)

        async def scenario(cluster):
            block(cluster, 0, 1)

            def is_blocked(daemon):
                return daemon.state.quarantine.find_blocked(CAUSE) is not None

            await send_parts(cluster, 1.0, 0.03)
            assert not any(map(is_blocked, cluster.daemons))
            answer = await cluster.send_request("/stream/x", *DEADLY_LINES)
            assert answer.status == 200

        run_scenario(scenario, plain=2, gateways=2)

    def test_answered_trial_of_a_stored_request_ends_its_block(self):
        """Guards against a request that stays refused because its crashes are gone."""

        async def scenario(cluster):
            daemon = cluster.daemons[0]
            cause = frozenset(
                {request_fingerprint("POST", HOST, b"/safe/x", "acc", b"mended")}
            )
            at = cluster.timers.now() - quarantine_module.FIRST_TRIAL_SECONDS
            daemon.state.quarantine.block(cause, Block(at, at))
            answer = await cluster.send_request("/safe/x", body=b"mended")
            assert answer.status == 200
            assert not daemon.state.quarantine.blocks()

        run_scenario(scenario)

    def test_trial_ends_with_its_time(self):
        """Guards against a trial that is sent after a pause of the process."""

        async def scenario(cluster):
            block(cluster, 0)
            guard = cluster.daemons[0]._quarantine_guard
            now = cluster.timers.now()
            ctx = SimpleNamespace(
                suspects=tuple(CAUSE), trial=Trial(CAUSE, now + 60), may_have_run=False
            )
            guard.check(ctx)
            ctx.trial = Trial(CAUSE, now - 0.1)
            with pytest.raises(RefusedError):
                guard.check(ctx)

        run_scenario(scenario)
