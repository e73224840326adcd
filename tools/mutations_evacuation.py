"""Mutations of what keeps everything away from evacuated availability zones.

Run by ``python -m tools.mutations`` with those of the other mechanisms.
"""

from .mutations_fleet import Mutation

SENDS = "camphorrun/gateway/tests/test_evacuation.py"
ORDERS = "camphorrun/gateway/tests/test_evacuation_orders.py"
WAITS = "camphorrun/gateway/tests/test_evacuation_waits.py"
STAGES = "camphorrun/gateway/tests/test_evacuation_stages.py"
FOREIGN = "camphorrun/platform/tests/test_foreign_bytes.py"

EVACUATION_MUTATIONS = (
    Mutation(
        "evacuation: replicas of the zone get nothing",
        "camphorrun/gateway/replica_handle.py",
        "return self.replica.availability_zone in self._state.evacuated_zones",
        "return False",
        SENDS,
    ),
    Mutation(
        "evacuation: a stage request is checked immediately before it is sent",
        "camphorrun/gateway/stage_calls.py",
        "        handle.ensure_available(permit, home_zones)\n",
        "",
        SENDS,
    ),
    Mutation(
        "evacuation: an order whose value can't be read counts",
        "camphorrun/platform/store.py",
        "    return Record(item.key, offset, bytes(data), era)\n",
        "    return None\n",
        FOREIGN,
    ),
    Mutation(
        "evacuation: a wait for a replica of the zone ends",
        "camphorrun/gateway/replica_handle.py",
        "            self._task.cancel()\n",
        "            pass\n",
        WAITS,
    ),
    Mutation(
        "evacuation: an interrupted wait is not taken for a caller that left",
        "camphorrun/gateway/replica_handle.py",
        "            raise self._handle.stopped_by_evacuation() from exc\n",
        "            pass\n",
        WAITS,
    ),
    Mutation(
        "evacuation: a request that was moved is not charged",
        "camphorrun/gateway/attempts.py",
        '        "connection_ended",\n        "replica_draining",\n'
        '        "replica_evacuated",\n        "replica_leaving",\n'
        '        "replica_limited",\n        "replica_not_home",\n'
        '        "replica_restarted",\n',
        '        "connection_ended",\n        "replica_draining",\n'
        '        "replica_leaving",\n'
        '        "replica_limited",\n        "replica_restarted",\n',
        WAITS,
    ),
    Mutation(
        "evacuation: a request that waits for a permit is moved",
        "camphorrun/gateway/replica_selection.py",
        '                if exc.code == "replica_evacuated":\n',
        "                if False:\n",
        WAITS,
    ),
    Mutation(
        "evacuation: requests that only the zone could serve are refused",
        "camphorrun/gateway/replica_selection.py",
        "        if self.is_evacuated(ctx) or any(\n"
        "            self._replicas.is_evacuated(stage, None, ctx.home_zones) "
        "for stage in stages\n        ):\n",
        "        if False:\n",
        STAGES,
    ),
    Mutation(
        "evacuation: requests that wait for nothing else are ended",
        "camphorrun/gateway/request_handler.py",
        "            ctx.is_evacuated = True\n            task.cancel()\n",
        "            pass\n",
        STAGES,
    ),
    Mutation(
        "evacuation: a request that a replica has is left to finish",
        "camphorrun/gateway/request_handler.py",
        "            if ctx is None or ctx.is_at_replica:\n",
        "            if ctx is None:\n",
        f"{SENDS} {STAGES}",
    ),
    Mutation(
        "evacuation: queued pieces fail if no replica is left outside",
        "camphorrun/gateway/stage_owner.py",
        "self._fail(group, EVACUATED, EVACUATION_RETRY_AFTER_SECONDS)",
        "pass",
        STAGES,
    ),
    Mutation(
        "evacuation: evacuated zones belong to no shard",
        "camphorrun/gateway/stage_shards.py",
        " for h in handles if not h.is_evacuated)",
        " for h in handles)",
        STAGES,
    ),
    Mutation(
        "evacuation: orders for a shard that is gone are spread",
        "camphorrun/gateway/stage_shards.py",
        'return rendezvous_order(f"{service}|{self._own_address}", names)[0]',
        "return names[0]",
        STAGES,
    ),
    Mutation(
        "evacuation: a call that waits for a connection is moved",
        "camphorrun/gateway/stage_calls.py",
        "        with handle.interruptible_wait():\n            conn = await",
        "        if True:\n            conn = await",
        STAGES,
    ),
    Mutation(
        "evacuation: what waited during a pause is sent after a confirmation",
        "camphorrun/gateway/state.py",
        "        while self.awaits_confirmation:\n            await self._all",
        "        while False:\n            await self._all",
        SENDS,
    ),
    Mutation(
        "evacuation: a sender notices a pause before the periodic check",
        "camphorrun/gateway/daemon.py",
        "        self.state.check_pause = self._pause_detector.check\n",
        "",
        SENDS,
    ),
    Mutation(
        "evacuation: the task that sends checks the replica",
        "camphorrun/gateway/attempts.py",
        "    handle.ensure_available(permit, ctx.home_zones)\n    if memory is None:\n",
        "    if memory is None:\n",
        SENDS,
    ),
    Mutation(
        "evacuation: a process that was paused asks its peers",
        "camphorrun/gateway/daemon.py",
        "self._store_sync.confirm_all_topics(), self._peers.query_several()",
        "self._store_sync.confirm_all_topics()",
        ORDERS,
    ),
    Mutation(
        "evacuation: a trial is not used up by a request that is not sent",
        "camphorrun/gateway/request_handler.py",
        "self._selector.check_zones(ctx)\n            await self._guard",
        "await self._guard",
        SENDS,
    ),
    Mutation(
        "evacuation: an order that the store lost ends after some time",
        "camphorrun/gateway/state.py",
        "            if confirmed_at - at >= REWRITE_SECONDS[topic] and",
        "            if topic == REPLICA_TOPIC and",
        ORDERS,
    ),
    Mutation(
        "evacuation: an order that the store lost stays in force for some time",
        "camphorrun/gateway/state.py",
        "            if confirmed_at - at >= REWRITE_SECONDS[topic] and",
        "            if",
        ORDERS,
    ),
    Mutation(
        "evacuation: an order that only a peer of an earlier era knows counts",
        "camphorrun/gateway/state.py",
        "RecordView(adopts_unranked=True)",
        "RecordView()",
        ORDERS,
    ),
    Mutation(
        "evacuation: orders have no rank that outlives their removal",
        "camphorrun/platform/ranks.py",
        "    except DecodeError:\n        return ()\n    return ()",
        "    except DecodeError:\n        return ()\n    return (0,)",
        ORDERS,
    ),
)
