"""Mutations of what carries a large fleet and servers in trouble.

Run by ``python -m tools.mutations`` with those of the other mechanisms.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Mutation:
    """A mechanism, the text that switches it off, and the tests that must fail."""

    mechanism: str
    path: str
    old: str
    new: str
    tests: str


NOTICES = "camphorrun/gateway/tests/test_notices.py"
READERS = "camphorrun/gateway/tests/test_readers.py"
ERAS = "camphorrun/gateway/tests/test_eras.py"
ACCOUNTS = "camphorrun/gateway/tests/test_accounts.py"
OVERDUE = "camphorrun/gateway/tests/test_overdue_requests.py"
VIEW_ERAS = "camphorrun/catalog/tests/test_eras.py"
TRANSFERS = "camphorrun/pipeline/tests/test_transfers.py"
SLOW = "camphorrun/gateway/tests/test_slow_streams.py"
STAGES = "camphorrun/gateway/tests/test_stages.py"
ENDLESS = "camphorrun/http1/tests/test_endless.py"
BATCHES = "camphorrun/pipeline/tests/test_batches.py"
STARTS = "camphorrun/admission/tests/test_feasibility.py"
LIMITS = "camphorrun/gateway/tests/test_rate_limits.py"
PERMITS = "camphorrun/gateway/tests/test_permits.py"

FLEET_MUTATIONS = (
    Mutation(
        "fleet: large records come from the store",
        "camphorrun/gateway/peers.py",
        "MAX_SYNC_BYTES = 128 * 1024\n",
        "MAX_SYNC_BYTES = MAX_ANSWER_BYTES\n",
        READERS,
    ),
    Mutation(
        "limits: a replica with a limit gets only permitted requests",
        "camphorrun/gateway/permits.py",
        "return self._limits.limit_in_force(boot, self._timers.now()) is not None",
        "return False",
        LIMITS,
    ),
    Mutation(
        "limits: an owner grants only the shares that it has been lent",
        "camphorrun/limits/permits.py",
        "        return min(1.0, len(self._leases) / self._group_size)\n",
        "        return 1.0\n",
        PERMITS,
    ),
    Mutation(
        "limits: a share is lent to one owner at a time",
        "camphorrun/gateway/permits.py",
        "        if lease is None or self._timers.now() >= lease.until:\n",
        "        if True:\n",
        PERMITS,
    ),
    Mutation(
        "limits: an owner that does not answer is passed over",
        "camphorrun/gateway/permits.py",
        "        if address in self._next_probe_at:\n            return False\n",
        "",
        PERMITS,
    ),
    Mutation(
        "limits: a permit expires",
        "camphorrun/gateway/replica_handle.py",
        "self._timers.now() <= permit.valid_until\n\n    def _unavailable_error",
        "True\n\n    def _unavailable_error",
        LIMITS,
    ),
    Mutation(
        "limits: an answer from before the limit does not withdraw it",
        "camphorrun/gateway/rate_limits.py",
        "        if known is not None and at <= known[1]:\n",
        "        if False:\n",
        PERMITS,
    ),
    Mutation(
        "limits: a duplicate answer does not withdraw a limit",
        "camphorrun/gateway/attempts.py",
        "sent_at = now if info.id_matches else None",
        "sent_at = now",
        LIMITS,
    ),
    Mutation(
        "limits: a new gateway learns the limits before it is ready",
        "camphorrun/gateway/peers.py",
        "        self._state.merge_rate_limits(answer.rate_limits, now, address)\n",
        "",
        LIMITS,
    ),
    Mutation(
        "limits: a gateway that does not know the members gets no permit",
        "camphorrun/gateway/permits.py",
        "        if not self._state.members_known:\n            return None\n",
        "",
        PERMITS,
    ),
    Mutation(
        "fleet: a replica that leaves gets no request",
        "camphorrun/gateway/replicas.py",
        "            notice_state.leaving_since = now\n",
        "            pass\n",
        NOTICES,
    ),
    Mutation(
        "fleet: a replica that wants a pause gets nothing",
        "camphorrun/gateway/replicas.py",
        "notice_state.paused_until = "
        "max(notice_state.paused_until, now + notice.pause_s)",
        "pass",
        NOTICES,
    ),
    Mutation(
        "fleet: a notice outlives the registration",
        "camphorrun/gateway/replicas.py",
        "notice_state = self._notice_states.get(_start(replica)) or NoticeState()",
        "notice_state = NoticeState()",
        NOTICES,
    ),
    Mutation(
        "fleet: what waited for a connection is checked again",
        "camphorrun/gateway/attempts.py",
        "        self._guard.check(ctx)\n        if ctx.end_at",
        "        return\n        if ctx.end_at",
        f"{NOTICES} {READERS}",
    ),
    Mutation(
        "fleet: stage calls are checked again",
        "camphorrun/gateway/stage_calls.py",
        "        handle.ensure_available(permit, home_zones)\n",
        "        pass\n",
        NOTICES,
    ),
    Mutation(
        "fleet: a rejection of another request is not believed",
        "camphorrun/gateway/attempts.py",
        "    return info.id_matches or (info.id_missing and conn.requests == 1)",
        "    return True",
        NOTICES,
    ),
    Mutation(
        "fleet: results of an earlier answer are not used",
        "camphorrun/gateway/stage_calls.py",
        "        if not handle.recent_results.add(_names(results)):",
        "        if False:",
        NOTICES,
    ),
    Mutation(
        "fleet: heads and framing of answers are bounded",
        "camphorrun/http1/client.py",
        "        if not self._complete and self._is_oversized():",
        "        if False:",
        f"{ENDLESS} -k connection_is_closed",
    ),
    Mutation(
        "fleet: heads and framing of requests are bounded",
        "camphorrun/http1/server_connection.py",
        "        if self._overhead_bytes > self.server.limits.header_bytes:",
        "        if False:",
        f"{ENDLESS} -k EndlessRequests",
    ),
    Mutation(
        "fleet: what callers send ahead is bounded",
        "camphorrun/http1/server_connection.py",
        "            self._transport.pause_reading()",
        "            pass",
        f"{ENDLESS} -k pipelined_bytes",
    ),
    Mutation(
        "fleet: events are bounded",
        "camphorrun/gateway/event_stream.py",
        "        if len(self._pending) > MAX_EVENT_BYTES:",
        "        if False:",
        SLOW,
    ),
    Mutation(
        "fleet: bytes without events are no progress",
        "camphorrun/gateway/response_relay.py",
        "            if any(event_id(event) for event in events):",
        "            if True:",
        SLOW,
    ),
    Mutation(
        "fleet: a stalled stream is kept if nothing pays for another attempt",
        "camphorrun/gateway/response_relay.py",
        "            stall_detector.may_fail_over = False\n",
        '            raise AttemptFailedError("stalled", not_run=False)\n',
        SLOW,
    ),
    Mutation(
        "fleet: a stream cut in the middle of an event is broken",
        "camphorrun/gateway/response_relay.py",
        "        if buffer.is_within_event:",
        "        if False:",
        SLOW,
    ),
    Mutation(
        "fleet: a caller that reads nothing holds no replica",
        "camphorrun/gateway/response_relay.py",
        "                await with_timeout(self._timers, responder.drain(), wait_s)",
        "                await responder.drain()",
        SLOW,
    ),
    Mutation(
        "fleet: one gateway of a zone reads the store",
        "camphorrun/gateway/zone_readers.py",
        "                is_fresh = await self._sync_from(address)\n",
        "                is_fresh = False\n",
        READERS,
    ),
    Mutation(
        "fleet: knowledge that the store did not confirm lately is not taken",
        "camphorrun/gateway/zone_readers.py",
        "        if not _is_fresh(answer):",
        "        if False:",
        READERS,
    ),
    Mutation(
        "fleet: members without a partition move to another topic",
        "camphorrun/gateway/store_sync.py",
        "        self._member_topics += 1\n",
        "        pass\n",
        READERS,
    ),
    Mutation(
        "fleet: nothing is served after a pause before it is confirmed",
        "camphorrun/gateway/store_sync.py",
        "        self._state.require_confirmation(self._timers.now())\n",
        "        pass\n",
        READERS,
    ),
    Mutation(
        "fleet: a new process asks several peers",
        "camphorrun/gateway/peers.py",
        "BOOTSTRAP_PEERS = 5",
        "BOOTSTRAP_PEERS = 1",
        "camphorrun/gateway/tests/test_state.py",
    ),
    Mutation(
        "fleet: stages are made in the zone of the request",
        "camphorrun/gateway/stage_waits.py",
        "if shard == nearest_shard\n            else max(",
        "if True\n            else max(",
        STAGES,
    ),
    Mutation(
        "fleet: a backlog moves work to another zone",
        "camphorrun/gateway/stage_runner.py",
        "MAX_SHARDS = 3",
        "MAX_SHARDS = 1",
        STAGES,
    ),
    Mutation(
        "fleet: what a backlog makes late is turned away",
        "camphorrun/pipeline/batches.py",
        "        return bool(self._groups) and now + wait_s > latest_at",
        "        return False",
        f"{BATCHES} {STAGES}",
    ),
    Mutation(
        "fleet: waits of later stages are asked before a request starts",
        "camphorrun/gateway/stage_waits.py",
        "            self.record_wait(probe_order, shard, reply)",
        "            pass",
        STAGES,
    ),
    Mutation(
        "fleet: no more repeats than callers who were turned away",
        "camphorrun/admission/feasibility.py",
        "        expected_times.popleft()\n        return True",
        "        return True",
        STARTS,
    ),
    Mutation(
        "fleet: a connection with unsent bytes is in use",
        "camphorrun/http1/server_connection.py",
        "            and not self._unsent_bytes\n",
        "",
        "camphorrun/http1/tests/test_server.py",
    ),
    Mutation(
        "eras: the writer's rank decides between eras",
        "camphorrun/catalog/records.py",
        "        if self.era == current.era:\n            if",
        "        if True:\n            if",
        f"{ERAS} {VIEW_ERAS}",
    ),
    Mutation(
        "eras: what a copy lists again stays removed",
        "camphorrun/catalog/records.py",
        "            return not self.value and self.era > current.era",
        "            return self.era > current.era",
        f"{ERAS} {VIEW_ERAS}",
    ),
    Mutation(
        "eras: what is not written again ends",
        "camphorrun/gateway/state.py",
        "        self._remove_unwritten(topic, self._confirmed_at[topic])",
        "        pass",
        ERAS,
    ),
    Mutation(
        "eras: a new process asks its peers before it serves",
        "camphorrun/gateway/state.py",
        "known and self.peers_queried and self.quarantine_queried",
        "known and self.quarantine_queried",
        ERAS,
    ),
    Mutation(
        "eras: an answer with a wrong era is dropped",
        "camphorrun/platform/eras.py",
        "        if era < self.number:",
        "        if False:",
        "camphorrun/platform/tests/test_store.py",
    ),
    Mutation(
        "eras: an absurd era is dropped",
        "camphorrun/platform/eras.py",
        "        if self.number and era > self.number + MAX_ERA_STEP:",
        "        if False:",
        ERAS,
    ),
    Mutation(
        "eras: members are kept until they join again",
        "camphorrun/gateway/store_sync.py",
        "        if self._timers.now() < self._keep_members_until:",
        "        if False:",
        ERAS,
    ),
    Mutation(
        "places: a group waits for a replica near its inputs",
        "camphorrun/pipeline/batches.py",
        "        if max_transfer_wait_s < MIN_TRANSFER_WAIT_SECONDS:",
        "        if True:",
        TRANSFERS,
    ),
    Mutation(
        "places: a request stays in one call",
        "camphorrun/pipeline/batches.py",
        "            if chosen and fit_count < piece_count <= self.capacity.batch:",
        "            if False:",
        TRANSFERS,
    ),
    Mutation(
        "places: a pressed group takes the next replica",
        "camphorrun/pipeline/batches.py",
        "        if taken_at > latest_at:",
        "        if False:",
        TRANSFERS,
    ),
    Mutation(
        "keys: an empty table of keys accepts none",
        "camphorrun/catalog/deployment.py",
        "needs_key = self.accounts is not None and not route.public",
        "needs_key = bool(self.accounts) and not route.public",
        ACCOUNTS,
    ),
    Mutation(
        "keys: an empty key belongs to no account",
        "camphorrun/catalog/deployment.py",
        "return (self.accounts or {}).get(key) if key else None",
        "return (self.accounts or {}).get(key)",
        ACCOUNTS,
    ),
    Mutation(
        "time-outs: pieces in a call are awaited until their deadline",
        "camphorrun/gateway/stage_owner.py",
        "            await with_timeout(self._timers, job.future, left_s)\n",
        "            await job.future\n",
        OVERDUE + "::TestStageCalls",
    ),
    Mutation(
        "time-outs: no owner is asked after the deadline",
        "camphorrun/gateway/owner_calls.py",
        "                if elapsed_s >= order.deadline_left_s:",
        "                if False:",
        OVERDUE,
    ),
    Mutation(
        "time-outs: a request that still waits is ended",
        "camphorrun/gateway/request_handler.py",
        "        if not ctx.answer_begun:\n            ctx.is_overdue",
        "        if False:\n            ctx.is_overdue",
        OVERDUE + "::TestSharedWork",
    ),
)
