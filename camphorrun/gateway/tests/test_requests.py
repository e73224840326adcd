"""Tests of requests from caller to replica and back."""

import asyncio

import pytest

from ...http1 import HttpError
from ...retries import RetryBudget
from .cluster import configuration, event_bytes, route, run_scenario


class TestAnswers:
    """Whole answers, unchanged."""

    def test_answer_is_the_replicas(self):
        """Guards against a changed body or a lost stamp."""

        async def scenario(cluster):
            answer = await cluster.send_request("/safe/x?y=1", method="GET")
            assert answer.status == 200
            assert answer.body == b"answer /safe/x?y=1"
            assert answer.headers["x-replica-stamp"] == cluster.replicas[0].identifier
            run = cluster.replicas[0].runs[0]
            assert run.headers.get("x-tenant") == "acc"
            assert "api-key" not in run.headers
            assert run.headers.get("x-expect-replica") == cluster.replicas[0].identifier

        run_scenario(scenario)

    def test_connection_serves_many_requests(self):
        """Guards against kept connections that break after an answer."""

        async def scenario(cluster):
            conn = await cluster.connect()
            for number in range(5):
                answer = await cluster.send_request(f"/safe/{number}", conn=conn)
                assert answer.body == b"answer /safe/%d" % number
            conn.abort()

        run_scenario(scenario)

    def test_large_answer_cut_by_the_replica_is_not_complete(self):
        """Guards against a part of an answer that looks whole."""

        async def scenario(cluster):
            cluster.replicas[0].script.answer = "truncated"
            answer = await cluster.send_request("/unsafe/x")
            assert answer.status == 502
            assert "x-replica-stamp" not in answer.headers

        run_scenario(scenario)


class TestUnsafe:
    """Requests that run once at most."""

    @pytest.mark.parametrize("fault", ["reset", "truncated", "foreign"])
    def test_unknown_outcome_is_said_and_never_repeated(self, fault):
        """Guards against a second charge, and against a false promise."""

        async def scenario(cluster):
            for replica in cluster.replicas:
                replica.script.answer = fault
            answer = await cluster.send_request("/unsafe/x")
            assert answer.status == 502
            assert sum(len(replica.runs) for replica in cluster.replicas) == 1

        run_scenario(scenario, plain=3)

    def test_request_that_was_not_run_goes_to_another_replica(self):
        """Guards against a refusal while another replica is free."""

        async def scenario(cluster):
            cluster.replicas[0].script.answer = "full"
            cluster.replicas[1].script.answer = "misdirected"
            for _ in range(4):
                assert (await cluster.send_request("/unsafe/x")).status == 200
            assert len(cluster.replicas[2].runs) == 4

        run_scenario(scenario, plain=3)

    def test_rejecting_replica_does_not_attract_the_next_requests(self):
        """Guards against a replica that is idle because it rejects everything."""

        async def scenario(cluster):
            cluster.daemons[0]._budgets["plain"] = RetryBudget(0.0, 0.0)
            cluster.daemons[0]._budgets["plain"]._balance = 1.5
            cluster.replicas[0].script.work_s = 0.005
            cluster.replicas[1].script.work_s = 0.02
            await asyncio.gather(
                *(cluster.send_request("/unsafe/x") for _ in range(12))
            )
            # The faster one now rejects, and is idle all the time.
            cluster.replicas[0].script.answer = "full"
            for _ in range(10):
                assert (await cluster.send_request("/unsafe/x")).status == 200

        run_scenario(scenario, plain=2)

    def test_refusal_where_nothing_ran(self):
        """Guards against a promise that does not say when to come back."""

        async def scenario(cluster):
            cluster.replicas[0].script.answer = "full"
            answer = await cluster.send_request("/unsafe/x")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0

        run_scenario(scenario)

    def test_silent_replica_ends_with_the_route_timeout(self):
        """Guards against a promise about a request that may still run."""

        async def scenario(cluster):
            cluster.store.put(
                "keyed.op",
                "config",
                configuration(
                    2,
                    Routes=[route("u", "/unsafe/", "unsafe", "plain", TimeoutMs=300)],
                ),
            )
            daemon = cluster.daemons[0]
            await cluster.wait_until(lambda: daemon.state.deployment.version == 2)
            cluster.replicas[0].script.answer = "mute"
            answer = await cluster.send_request("/unsafe/x")
            assert answer.status == 504
            await cluster.wait_until(lambda: cluster.replicas[0].cancelled == 1)

        run_scenario(scenario)


class TestSafe:
    """Requests that may be repeated."""

    @pytest.mark.parametrize("fault", ["reset", "truncated", "foreign", "error"])
    def test_failed_attempt_is_repeated_elsewhere(self, fault):
        """Guards against a failure that another replica could answer."""

        async def scenario(cluster):
            cluster.replicas[0].script.answer = fault
            for _ in range(4):
                assert (await cluster.send_request("/safe/x")).status == 200

        run_scenario(scenario, plain=2)

    def test_one_repeat_costs_one_of_the_budget(self):
        """Guards against a replica's failure that uses the budget twice."""

        async def scenario(cluster):
            cluster.daemons[0]._budgets["plain"] = RetryBudget(0.0, 0.0)
            cluster.daemons[0]._budgets["plain"]._balance = 1.5
            for replica in cluster.replicas:
                replica.script.answer = "error"
            answer = await cluster.send_request("/safe/x")
            assert sum(len(replica.runs) for replica in cluster.replicas) == 2
            assert (answer.status, answer.body) == (500, b"failed")

        run_scenario(scenario, plain=2)

    def test_failure_is_the_replicas_when_the_budget_is_empty(self):
        """Guards against a replica's answer that is replaced by one of our own."""

        async def scenario(cluster):
            cluster.daemons[0]._budgets["plain"] = RetryBudget(0.0, 0.0)
            cluster.replicas[0].script.answer = "error"
            answer = await cluster.send_request("/safe/x")
            assert (answer.status, answer.body) == (500, b"failed")

        run_scenario(scenario)

    def test_attempts_are_bounded(self):
        """Guards against more replicas than the route allows."""

        async def scenario(cluster):
            for replica in cluster.replicas:
                replica.script.answer = "reset"
            assert (await cluster.send_request("/safe/x")).status == 502
            assert sum(len(replica.runs) for replica in cluster.replicas) == 2

        run_scenario(scenario, plain=4)

    def test_silent_replica_is_left_for_another_one(self):
        """Guards against an idempotent request that waits for a dead replica."""

        async def scenario(cluster):
            cluster.replicas[0].script.answer = "mute"
            for _ in range(3):
                assert (await cluster.send_request("/safe/x")).status == 200

        run_scenario(scenario, plain=2)


class TestRefusals:
    """Requests that the configuration does not allow."""

    def test_unknown_route_and_key(self):
        """Guards against requests on routes that are not there."""

        async def scenario(cluster):
            assert (await cluster.send_request("/none/x")).status == 404
            assert (
                await cluster.send_request("/safe/x", "Api-Key: other")
            ).status == 401
            assert cluster.replicas[0].runs == []

        run_scenario(scenario)

    def test_nothing_known_is_never_404_or_401(self):
        """Guards against a final refusal by a gateway that knows nothing yet."""

        async def scenario(cluster):
            cluster.store.fault = "busy"
            cluster.add_gateway("late")
            await cluster.wait_until(lambda: cluster.daemons[1].lifecycle.accepts_work)
            assert (await cluster.send_request("/safe/x", gateway=1)).status == 503
            assert await cluster.readiness_status(1) == 503
            assert await cluster.readiness_status(0) == 200

        run_scenario(scenario)

    def test_service_without_replica(self):
        """Guards against a request that waits although nothing can serve it."""

        async def scenario(cluster):
            answer = await cluster.send_request("/safe/x")
            assert answer.status == 503

        run_scenario(scenario, plain=0)


class TestLeaving:
    """Callers that leave."""

    def test_replica_learns_that_the_caller_has_left(self):
        """Guards against replicas that work for callers that have gone."""

        async def scenario(cluster):
            cluster.replicas[0].script.answer = "mute"
            conn = await cluster.connect()
            task = asyncio.ensure_future(
                conn.request(cluster.encode_request("/unsafe/x"))
            )
            await cluster.wait_until(lambda: cluster.replicas[0].runs)
            conn.abort()
            await cluster.wait_until(lambda: cluster.replicas[0].cancelled == 1, 0.5)
            with pytest.raises(HttpError):
                await task

        run_scenario(scenario)


class TestStreams:
    """Streams of events."""

    def test_long_streams_make_no_replica_slow(self):
        """Guards against engines ejected for the length of their answers."""

        async def scenario(cluster):
            cluster.replicas[0].script.event_gap_s = 0.1
            await cluster.send_request("/stream/x", "X-Model: m")
            pool = cluster.daemons[0]._replica_pool
            state = pool.get(cluster.replicas[0].identifier).endpoint
            assert 0 < state.latency_s < 0.1

        run_scenario(scenario)

    def test_events_arrive_in_order_and_whole(self):
        """Guards against lost or doubled events."""

        async def scenario(cluster):
            answer = await cluster.send_request("/stream/x", "X-Model: m")
            assert answer.body == event_bytes(1, 2, 3, 4, 5)

        run_scenario(scenario)

    def test_events_are_passed_on_as_they_arrive(self):
        """Guards against events that wait for the end of the stream."""

        async def scenario(cluster):
            cluster.replicas[0].script.event_gap_s = 0.1
            conn = await cluster.connect()
            await conn.request(cluster.encode_request("/stream/x", "X-Model: m"))
            assert await conn.read() == event_bytes(1)
            conn.abort()

        run_scenario(scenario)

    def test_cut_stream_is_not_complete_and_not_repeated(self):
        """Guards against a stream that ends early and looks whole."""

        async def scenario(cluster):
            for replica in cluster.replicas:
                replica.script.cut_after = 2
            conn = await cluster.connect()
            await conn.request(cluster.encode_request("/stream/x", "X-Model: m"))
            with pytest.raises(HttpError):
                await conn.read_all(10_000)
            conn.abort()
            assert sum(len(replica.runs) for replica in cluster.replicas) == 1
            await asyncio.sleep(0.05)
            rendered = cluster.daemons[0].metrics.render().decode()
            assert 'code="broken"' in rendered
            assert 'code="ok"' not in rendered

        run_scenario(scenario, plain=2)

    def test_stream_ends_at_the_route_timeout(self):
        """Guards against a stream that goes on while the route allows it no time."""

        async def scenario(cluster):
            stream = route("s", "/stream/", "streaming", "plain", TimeoutMs=400)
            cluster.store.put("keyed.op", "config", configuration(2, Routes=[stream]))
            daemon = cluster.daemons[0]
            await cluster.wait_until(lambda: daemon.state.deployment.version == 2)
            cluster.replicas[0].script.events = 5000
            cluster.replicas[0].script.event_gap_s = 0.002
            conn = await cluster.connect()
            await conn.request(cluster.encode_request("/stream/x", "X-Model: m"))
            with pytest.raises(HttpError):
                async with asyncio.timeout(0.9):
                    await conn.read_all(10_000)
            conn.abort()
            await cluster.wait_until(lambda: cluster.replicas[0].cancelled == 1)

        run_scenario(scenario)

    def test_prompt_fields_reach_the_replica_as_sent(self):
        """Guards against a replica that judges another prompt than the caller's."""

        async def scenario(cluster):
            prompt = {
                "x-model": "m",
                "x-token-count": "1460,80",
                "x-prefix-hash": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
            }
            lines = (f"{name}: {value}" for name, value in prompt.items())
            assert (await cluster.send_request("/stream/x", *lines)).status == 200
            got = cluster.replicas[0].runs[0].headers
            assert {name: got.get(name) for name in prompt} == prompt

        run_scenario(scenario)

    def test_resumable_stream_goes_on_at_the_next_event(self):
        """Guards against missing or doubled events after a replica was lost."""

        async def scenario(cluster):
            for replica in cluster.replicas:
                replica.script.cut_after = 3
            answer = await cluster.send_request("/resume/x", "X-Model: m")
            assert answer.body == event_bytes(1, 2, 3, 4, 5)
            runs = [run for replica in cluster.replicas for run in replica.runs]
            resumed = sorted(run.headers.get("last-event-id") for run in runs)
            assert resumed == ["", "3"]

        run_scenario(scenario, plain=2)

    def test_replica_that_pauses_is_stopped_when_its_stream_moves(self):
        """Guards against two replicas that work at the same stream."""

        async def scenario(cluster):
            for replica in cluster.replicas:
                replica.script.event_gap_s = 3.0
            ask = asyncio.ensure_future(cluster.send_request("/resume/x", "X-Model: m"))
            await cluster.wait_until(lambda: any(r.runs for r in cluster.replicas))
            paused, other = sorted(cluster.replicas, key=lambda r: not r.runs)
            other.script.event_gap_s = 0.0
            await cluster.wait_until(lambda: other.runs)
            await cluster.wait_until(lambda: paused.cancelled == 1, 0.4)
            assert (await ask).body == event_bytes(1, 2, 3, 4, 5)

        run_scenario(scenario, plain=2)

    def test_caller_resumes(self):
        """Guards against events that the caller has already."""

        async def scenario(cluster):
            answer = await cluster.send_request(
                "/resume/x", "X-Model: m", "Last-Event-Id: 3"
            )
            assert answer.body == event_bytes(4, 5)

        run_scenario(scenario)

    def test_lost_before_its_first_event(self):
        """Guards against an empty answer that looks complete."""

        async def scenario(cluster):
            cluster.replicas[0].script.cut_after = 0
            assert (await cluster.send_request("/stream/x", "X-Model: m")).status == 502

        run_scenario(scenario)
