"""Tests of requests that are relayed to a replica, and of their responses."""

import asyncio

import pytest

from ...http1 import HttpError
from ...retries import RetryBudget
from .cluster import configuration, event_bytes, route, run_scenario


class TestAnswers:
    """Complete and unchanged responses."""

    def test_response_is_relayed_unchanged(self):
        """Guards against a changed body, a lost stamp and wrong request fields."""

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
        """Guards against keep-alive connections that break after a response."""

        async def scenario(cluster):
            conn = await cluster.connect()
            for number in range(5):
                answer = await cluster.send_request(f"/safe/{number}", conn=conn)
                assert answer.body == b"answer /safe/%d" % number
            conn.abort()

        run_scenario(scenario)

    def test_truncated_response_gives_502(self):
        """Guards against a truncated response that is relayed as complete."""

        async def scenario(cluster):
            cluster.replicas[0].script.answer = "truncated"
            answer = await cluster.send_request("/unsafe/x")
            assert answer.status == 502
            assert "x-replica-stamp" not in answer.headers

        run_scenario(scenario)


class TestUnsafe:
    """Requests that may run at most once."""

    @pytest.mark.parametrize("fault", ["reset", "truncated", "foreign"])
    def test_unknown_outcome_gives_502_and_is_never_repeated(self, fault):
        """Guards against a second run, and against 503, which promises no run."""

        async def scenario(cluster):
            for replica in cluster.replicas:
                replica.script.answer = fault
            answer = await cluster.send_request("/unsafe/x")
            assert answer.status == 502
            assert sum(len(replica.runs) for replica in cluster.replicas) == 1

        run_scenario(scenario, plain=3)

    def test_request_that_was_not_run_goes_to_another_replica(self):
        """Guards against a refusal although another replica is free."""

        async def scenario(cluster):
            cluster.replicas[0].script.answer = "full"
            cluster.replicas[1].script.answer = "misdirected"
            for _ in range(4):
                assert (await cluster.send_request("/unsafe/x")).status == 200
            assert len(cluster.replicas[2].runs) == 4

        run_scenario(scenario, plain=3)

    def test_rejecting_replica_does_not_attract_the_next_requests(self):
        """Guards against a rejecting replica that gets all requests as it is idle."""

        async def scenario(cluster):
            cluster.daemons[0]._budgets["plain"] = RetryBudget(0.0, 0.0)
            cluster.daemons[0]._budgets["plain"]._balance = 1.5
            cluster.replicas[0].script.work_s = 0.005
            cluster.replicas[1].script.work_s = 0.02
            await asyncio.gather(
                *(cluster.send_request("/unsafe/x") for _ in range(12))
            )
            # The faster replica now rejects all requests, so it is always idle.
            cluster.replicas[0].script.answer = "full"
            for _ in range(10):
                assert (await cluster.send_request("/unsafe/x")).status == 200

        run_scenario(scenario, plain=2)

    def test_rejected_request_is_refused_with_retry_after(self):
        """Guards against a refusal without a Retry-After field."""

        async def scenario(cluster):
            cluster.replicas[0].script.answer = "full"
            answer = await cluster.send_request("/unsafe/x")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0

        run_scenario(scenario)

    def test_silent_replica_ends_with_the_route_timeout(self):
        """Guards against 503, which promises no run, for a request that may run."""

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
        """Guards against a failure returned although another replica could answer."""

        async def scenario(cluster):
            cluster.replicas[0].script.answer = fault
            for _ in range(4):
                assert (await cluster.send_request("/safe/x")).status == 200

        run_scenario(scenario, plain=2)

    def test_one_repeat_costs_one_of_the_budget(self):
        """Guards against a replica failure that is charged to the budget twice."""

        async def scenario(cluster):
            cluster.daemons[0]._budgets["plain"] = RetryBudget(0.0, 0.0)
            cluster.daemons[0]._budgets["plain"]._balance = 1.5
            for replica in cluster.replicas:
                replica.script.answer = "error"
            answer = await cluster.send_request("/safe/x")
            assert sum(len(replica.runs) for replica in cluster.replicas) == 2
            assert (answer.status, answer.body) == (500, b"failed")

        run_scenario(scenario, plain=2)

    def test_error_response_is_relayed_when_the_budget_is_empty(self):
        """Guards against an error response that the gateway replaces by its own."""

        async def scenario(cluster):
            cluster.daemons[0]._budgets["plain"] = RetryBudget(0.0, 0.0)
            cluster.replicas[0].script.answer = "error"
            answer = await cluster.send_request("/safe/x")
            assert (answer.status, answer.body) == (500, b"failed")

        run_scenario(scenario)

    def test_attempts_are_bounded(self):
        """Guards against more attempts than the route allows."""

        async def scenario(cluster):
            for replica in cluster.replicas:
                replica.script.answer = "reset"
            assert (await cluster.send_request("/safe/x")).status == 502
            assert sum(len(replica.runs) for replica in cluster.replicas) == 2

        run_scenario(scenario, plain=4)

    def test_silent_replica_is_replaced_by_another_one(self):
        """Guards against a repeatable request that waits for a silent replica."""

        async def scenario(cluster):
            cluster.replicas[0].script.answer = "mute"
            for _ in range(3):
                assert (await cluster.send_request("/safe/x")).status == 200

        run_scenario(scenario, plain=2)


class TestRefusals:
    """Requests that the configuration does not allow."""

    def test_unknown_route_and_key_are_refused(self):
        """Guards against requests with an unknown route or key that reach a replica."""

        async def scenario(cluster):
            assert (await cluster.send_request("/none/x")).status == 404
            assert (
                await cluster.send_request("/safe/x", "Api-Key: other")
            ).status == 401
            assert cluster.replicas[0].runs == []

        run_scenario(scenario)

    def test_gateway_without_configuration_refuses_with_503(self):
        """Guards against 404 or 401 before the configuration is known."""

        async def scenario(cluster):
            cluster.store.fault = "busy"
            cluster.add_gateway("late")
            await cluster.wait_until(lambda: cluster.daemons[1].lifecycle.accepts_work)
            assert (await cluster.send_request("/safe/x", gateway=1)).status == 503
            assert await cluster.readiness_status(1) == 503
            assert await cluster.readiness_status(0) == 200

        run_scenario(scenario)

    def test_service_without_replica_is_refused(self):
        """Guards against a request that waits although no replica exists."""

        async def scenario(cluster):
            answer = await cluster.send_request("/safe/x")
            assert answer.status == 503

        run_scenario(scenario, plain=0)


class TestLeaving:
    """Callers that close their connection."""

    def test_disconnect_of_the_caller_cancels_the_request(self):
        """Guards against replicas that keep working for a disconnected caller."""

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

    def test_long_streams_do_not_raise_the_latency_of_a_replica(self):
        """Guards against engines that are ejected because their streams are long."""

        async def scenario(cluster):
            cluster.replicas[0].script.event_gap_s = 0.1
            await cluster.send_request("/stream/x", "X-Model: m")
            pool = cluster.daemons[0]._replica_pool
            state = pool.get(cluster.replicas[0].identifier).endpoint
            assert 0 < state.latency_s < 0.1

        run_scenario(scenario)

    def test_events_arrive_in_order_and_whole(self):
        """Guards against lost, duplicated or reordered events."""

        async def scenario(cluster):
            answer = await cluster.send_request("/stream/x", "X-Model: m")
            assert answer.body == event_bytes(1, 2, 3, 4, 5)

        run_scenario(scenario)

    def test_events_are_passed_on_as_they_arrive(self):
        """Guards against events that are held back until the end of the stream."""

        async def scenario(cluster):
            cluster.replicas[0].script.event_gap_s = 0.1
            conn = await cluster.connect()
            await conn.request(cluster.encode_request("/stream/x", "X-Model: m"))
            assert await conn.read() == event_bytes(1)
            conn.abort()

        run_scenario(scenario)

    def test_cut_stream_is_not_complete_and_not_repeated(self):
        """Guards against a truncated stream that looks complete or is repeated."""

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
        """Guards against a stream that continues after the time-out of its route."""

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
        """Guards against changed prompt fields, which the replica schedules by."""

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
        """Guards against missing or duplicated events after the loss of a replica."""

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
        """Guards against two replicas that work on the same stream."""

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

    def test_caller_resumes_after_its_last_event(self):
        """Guards against repeating events that the caller has received already."""

        async def scenario(cluster):
            answer = await cluster.send_request(
                "/resume/x", "X-Model: m", "Last-Event-Id: 3"
            )
            assert answer.body == event_bytes(4, 5)

        run_scenario(scenario)

    def test_stream_cut_before_its_first_event_gives_502(self):
        """Guards against an empty response that looks complete."""

        async def scenario(cluster):
            cluster.replicas[0].script.cut_after = 0
            assert (await cluster.send_request("/stream/x", "X-Model: m")).status == 502

        run_scenario(scenario)
