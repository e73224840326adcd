"""Tests of stages, their owners and the results."""

import asyncio

from .world import play

STAGED = ("X-Model: m", "X-Pieces: 2,3", "X-Piece-Key: pk")


def items(world) -> list[dict]:
    return [
        item
        for replica in world.stage_replicas
        for call in replica.stage_calls
        for item in call
    ]


class TestStages:
    """Pieces in the order of their stages."""

    def test_results_reach_the_request(self):
        """Guards against inputs that are missing, doubled or of another stage."""

        async def scenario(world):
            answer = await world.ask("/staged/x", *STAGED)
            assert answer.status == 200
            first = [item for item in items(world) if item["Stage"] == 0]
            second = [item for item in items(world) if item["Stage"] == 1]
            assert [item["Key"] for item in first] == ["pk", "pk"]
            assert len(second) == 3
            assert all(len(set(item["Inputs"])) == 2 for item in second)
            inputs = world.replicas[0].runs[0].headers.get("x-inputs").split(",")
            assert len(set(inputs)) == 3
            assert not set(inputs) & set(second[0]["Inputs"])

        play(scenario, stage=1)

    def test_results_are_freed(self):
        """Guards against space that is used until results expire."""

        async def scenario(world):
            await world.ask("/staged/x", *STAGED)
            replica = world.stage_replicas[0]
            await world.until(lambda: len(replica.released) == 5)
            assert len(set(replica.released)) == 5

        play(scenario, stage=1)

    def test_gone_input_is_made_again(self):
        """Guards against a request that fails because one result was dropped."""

        async def scenario(world):
            replica = world.stage_replicas[0]
            replica.script.work_s = 0.05
            task = asyncio.ensure_future(world.ask("/staged/x", *STAGED))
            await world.until(lambda: replica.stage_calls)
            replica.script.stage_fault = "gone"
            assert (await task).status == 200

        play(scenario, stage=1)

    def test_result_gone_at_the_request(self):
        """Guards against a request that fails because its inputs expired."""

        async def scenario(world):
            stage = world.stage_replicas[0]
            world.replicas[0].script.lost_handles = {f"{stage.address}/2"}
            assert (await world.ask("/staged/x", *STAGED)).status == 200
            assert len(world.replicas[0].runs) == 1

        play(scenario, stage=1)

    def test_replica_without_space_is_asked_again(self):
        """Guards against a failure for want of space that comes free."""

        async def scenario(world):
            world.stage_replicas[0].script.stage_fault = "room"
            assert (await world.ask("/staged/x", *STAGED)).status == 200

        play(scenario, stage=1)

    def test_failing_replica_is_left_for_another_one(self):
        """Guards against a stage that fails although a replica works."""

        async def scenario(world):
            world.stage_replicas[0].script.answer = "reset"
            for _ in range(3):
                assert (await world.ask("/staged/x", *STAGED)).status == 200

        play(scenario, stage=2)

    def test_request_has_not_run_when_its_stages_fail(self):
        """Guards against a refusal that is no promise."""

        async def scenario(world):
            for replica in world.stage_replicas:
                replica.script.answer = "reset"
            answer = await world.ask("/staged/x", *STAGED)
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert world.replicas[0].runs == []

        play(scenario, stage=2)


class TestOwners:
    """One owner for each stage service."""

    def test_pieces_of_all_gateways_share_calls(self):
        """Guards against gateways that compete with small calls."""

        async def scenario(world):
            replica = world.stage_replicas[0]
            replica.script.work_s = 0.1
            await asyncio.gather(
                *(
                    world.ask("/staged/x", "X-Model: m", "X-Pieces: 1,1", gateway=g)
                    for g in (0, 1, 2) * 4
                )
            )
            assert max(len(call) for call in replica.stage_calls) == 4
            assert len(replica.stage_calls) <= 12

        play(scenario, stage=1, gateways=3)

    def test_lost_owner_is_replaced_at_once(self):
        """Guards against requests that wait for an owner that has gone."""

        async def scenario(world):
            owners = world.daemons[0]._stages._orders["stage"]
            lost = next(
                i for i, d in enumerate(world.daemons) if d.state.member == owners[0]
            )
            world.tasks[lost].cancel()
            await asyncio.gather(world.tasks[lost], return_exceptions=True)
            other = (lost + 1) % 3
            answer = await world.ask("/staged/x", *STAGED, gateway=other)
            assert answer.status == 200

        play(scenario, stage=1, gateways=3)
