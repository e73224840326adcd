"""Tests of requests that crash each replica which runs them."""

import asyncio
from types import SimpleNamespace

import pytest

from ...quarantine import Block, request_fingerprint
from ...quarantine import quarantine as quarantine_module
from ..context import Trial
from ..errors import RefusedError
from .cluster import HOST, event_bytes, run_scenario
from .deadly_traffic import (
    CAUSE,
    DEADLY_BODY,
    DEADLY_LINES,
    DEADLY_PART,
    MAX_LATE_ARRIVALS,
    MIN_SERVED_SHARE,
    MODEL,
    PART_CRASHES,
    REQUEST_CRASHES,
    block,
    crash_times,
    late_arrivals,
    prompt,
    send_bodies,
    send_parts,
)


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
            replica = cluster.replicas[0]
            assert replica.asked - replica.reports == 1

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
