"""Switches one mechanism off at a time and checks that its test fails.

Usage: python -m tools.mutations [--only TEXT]

Each mutation replaces one piece of source text in a scratch copy of the working tree
and runs the tests that guard the promise behind it. A mutation survives if they still
pass; the exit code is 0 only if none survives and every piece of text was found.
"""

import argparse
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from .mutations_cold import COLD_MUTATIONS
from .mutations_crashes import CRASH_MUTATIONS
from .mutations_engines import ENGINE_MUTATIONS
from .mutations_evacuation import EVACUATION_MUTATIONS
from .mutations_fleet import FLEET_MUTATIONS, Mutation
from .mutations_gateway import GATEWAY_MUTATIONS
from .mutations_homes import HOME_MUTATIONS
from .mutations_load import LOAD_MUTATIONS
from .mutations_memory import MEMORY_MUTATIONS
from .mutations_previews import PREVIEW_MUTATIONS
from .mutations_restarts import RESTART_MUTATIONS
from .mutations_shares import SHARE_MUTATIONS
from .mutations_streams import STREAM_MUTATIONS

ROOT = Path(__file__).resolve().parent.parent
TIMEOUT_SECONDS = 120


AGENT = "camphorrun/agent/tests/test_worker.py"
ENTRY = "camphorrun/entry/tests/test_stage_runner.py"
CLAIMS = "camphorrun/claims/tests"
VIEW = "camphorrun/configuration/tests"
LINKS = "camphorrun/transport/tests/test_links.py"
SILENCE = "camphorrun/demo/tests/test_silent_connections.py"
SEALING = "camphorrun/messages/tests/test_messages.py"
GATEWAY = "camphorrun/gateway/tests"
HTTP = "camphorrun/http1/tests"
ADAPTER = "camphorrun/platform/tests"

MUTATIONS = (
    Mutation(
        "first claim record of a key wins",
        "camphorrun/claims/ledger.py",
        "        if record.key in self._claims:\n",
        "        if False:\n",
        CLAIMS,
    ),
    Mutation(
        "late Start is invalid",
        "camphorrun/claims/ledger.py",
        "if time_ms > record.stamp_ms + self._lifetime_ms:\n"
        '            return self._count("late")',
        'if False:\n            return self._count("late")',
        CLAIMS,
    ),
    Mutation(
        "only the owner finishes or withdraws a claim",
        "camphorrun/claims/ledger.py",
        "if (claim.offset, claim.index) != (record.start_offset, record.start_index):",
        "if False:",
        CLAIMS,
    ),
    Mutation(
        "the agent calls only after its own Start won",
        "camphorrun/claims/coordinator.py",
        "        if self._owns(decision, token):\n            return StartGranted",
        "        if True:\n            return StartGranted",
        CLAIMS,
    ),
    Mutation(
        "the agent claims before a non-idempotent call",
        "camphorrun/agent/worker.py",
        "        if record.dispatch.idempotent:\n            return await self._call",
        "        if True:\n            return await self._call",
        AGENT,
    ),
    Mutation(
        "a dispatch that arrives twice runs once",
        "camphorrun/agent/worker.py",
        "        if record is not None:\n            self._replay(record, link, 0)\n"
        "            return\n",
        "",
        AGENT,
    ),
    Mutation(
        "an attempt reported unknown never runs",
        "camphorrun/agent/worker.py",
        "        if self._store.is_refused(message.attempt):",
        "        if False:",
        AGENT,
    ),
    Mutation(
        "a dispatch for another incarnation is refused",
        "camphorrun/agent/worker.py",
        "        if dispatch.incarnation != self._incarnation:",
        "        if False:",
        AGENT,
    ),
    Mutation(
        "a non-idempotent call is not cut off by a cancellation",
        "camphorrun/agent/worker.py",
        "if record.dispatch.idempotent and record.task is not None:",
        "if record.task is not None:",
        AGENT,
    ),
    Mutation(
        "a resumed stream starts at the missing part",
        "camphorrun/agent/worker.py",
        "for part in record.parts[next_sequence:]:",
        "for part in record.parts:",
        AGENT,
    ),
    Mutation(
        "a lost non-idempotent attempt is settled by the log",
        "camphorrun/entry/stage_runner.py",
        "        if call.stage.idempotent:\n            raise self._error",
        "        if True:\n            raise self._error",
        ENTRY,
    ),
    Mutation(
        "an unknown void is never not_run",
        "camphorrun/entry/claim_resolver.py",
        "        raise _unknown(reply.code)\n",
        "        call.started = False\n        raise PipelineError('not run')\n",
        ENTRY,
    ),
    Mutation(
        "a refused early stage rules out later keys",
        "camphorrun/entry/request_service.py",
        "if outcome.status is not OutcomeStatus.NOT_RUN or plan.idempotent:",
        "if True:",
        ENTRY,
    ),
    Mutation(
        "the wait for a lost owner ends",
        "camphorrun/entry/claim_resolver.py",
        "if gone or left_s <= 0:",
        "if left_s <= 0:",
        ENTRY,
    ),
    Mutation(
        "retries are taken from a budget",
        "camphorrun/entry/stage_runner.py",
        "if not self._budget.try_withdraw(self._timers.now()):",
        "if False:",
        ENTRY,
    ),
    Mutation(
        "a restarted stream tells its caller",
        "camphorrun/entry/stage_runner.py",
        "            if part.sequence == 0 and progress.parts_sent:\n",
        "            if False:\n",
        ENTRY,
    ),
    Mutation(
        "not_run only if no stage started",
        "camphorrun/pipeline/executor.py",
        "if status is OutcomeStatus.NOT_RUN and any(call.started for call in calls):",
        "if False:",
        "camphorrun/pipeline/tests",
    ),
    Mutation(
        "compare-and-set by log order",
        "camphorrun/configuration/view.py",
        "if change.expected != version:",
        "if False:",
        VIEW,
    ),
    Mutation(
        "a snapshot with a lower position is ignored",
        "camphorrun/configuration/view.py",
        "        return snapshot.position > self.position\n",
        "        return True\n",
        VIEW,
    ),
    Mutation(
        "a paused reader is not synchronised",
        "camphorrun/configuration/follower.py",
        "        self._peer_position = 0\n        self._set_synchronised(False)\n",
        "        self._peer_position = 0\n",
        VIEW,
    ),
    Mutation(
        "a silent link is replaced",
        "camphorrun/transport/dialer.py",
        "        if self._is_silent():\n            self.link.abort()",
        "        if False:\n            self.link.abort()",
        f"{LINKS} {SILENCE}",
    ),
    Mutation(
        "frames are authenticated",
        "camphorrun/messages/sealing.py",
        "if not hmac.compare_digest(digest, expected):",
        "if False:",
        SEALING,
    ),
    Mutation(
        "frames are accepted once and in order",
        "camphorrun/messages/sealing.py",
        'if int.from_bytes(sequence, "big") != self._frames_received + 1:',
        "if False:",
        SEALING,
    ),
    Mutation(
        "a doubled part is dropped by the entry",
        "camphorrun/entry/agent_peer.py",
        "        if part.sequence != self.next_sequence:\n            return False\n",
        "",
        "camphorrun/entry/tests/test_agent_peer.py",
    ),
    Mutation(
        "an end without all parts asks for them",
        "camphorrun/entry/agent_peer.py",
        "if pending.next_sequence != message.parts and message.ok:",
        "if False:",
        "camphorrun/entry/tests/test_agent_peer.py",
    ),
    Mutation(
        "a draining agent refuses new work",
        "camphorrun/agent/worker.py",
        "        return self._refusal\n",
        '        return ""\n',
        AGENT,
    ),
    Mutation(
        "a 503 counts as executed without the endpoint's word",
        "camphorrun/clients/endpoint_client.py",
        "resp.status == 429 or states_not_executed",
        "resp.status in (429, 503)",
        "camphorrun/clients/tests",
    ),
    Mutation(
        "gateway: an unsafe request is not repeated after an unknown outcome",
        "camphorrun/gateway/attempts.py",
        "if ctx.may_have_run and not route.repeatable:",
        "if False:",
        f"{GATEWAY}/test_requests.py",
    ),
    Mutation(
        "gateway: a refusal promises only what is true",
        "camphorrun/gateway/replica_selection.py",
        "    if not ctx.may_have_run:\n        return RefusedError(",
        "    if True:\n        return RefusedError(",
        f"{GATEWAY}/test_requests.py",
    ),
    Mutation(
        "gateway: an answer to another request is not passed on",
        "camphorrun/gateway/attempts.py",
        "if not info.id_matches or (200 <= head.status < 300 and not info.has_stamp):",
        "if False:",
        f"{GATEWAY}/test_requests.py",
    ),
    Mutation(
        "gateway: attempts are bounded by the route",
        "camphorrun/gateway/attempts.py",
        "if ctx.possible_runs >= route.max_attempts or rejections >= MAX_REJECTIONS:",
        "if rejections >= MAX_REJECTIONS:",
        f"{GATEWAY}/test_requests.py",
    ),
    Mutation(
        "gateway: a replica that rejected gets no next request at once",
        "camphorrun/gateway/attempts.py",
        "            handle.rejection_backoff_until = ",
        "            _ = ",
        f"{GATEWAY}/test_requests.py",
    ),
    Mutation(
        "gateway: requests late in a drain are refused",
        "camphorrun/gateway/daemon.py",
        "                self._request_handler.refuse_new_requests()\n",
        "                pass\n",
        f"{GATEWAY}/test_state.py",
    ),
    Mutation(
        "gateway: the end of a drain answers what still runs",
        "camphorrun/gateway/daemon.py",
        "        self._request_handler.end_running_requests()\n",
        "",
        f"{GATEWAY}/test_state.py",
    ),
    Mutation(
        "gateway: only whole events reach the caller",
        "camphorrun/gateway/event_stream.py",
        "        while match := EVENT_END.search(self._pending, self._scan_start):\n"
        "            end = match.end()\n",
        "        while end := len(self._pending):\n",
        GATEWAY,
    ),
    Mutation(
        "gateway: a stream resumes after the caller's last event",
        "camphorrun/gateway/attempts.py",
        "resume_after=ctx.last_event_id or ctx.caller.resume_after,",
        "resume_after=ctx.caller.resume_after,",
        f"{GATEWAY}/test_requests.py",
    ),
    Mutation(
        "gateway: nothing is refused for good before the configuration is known",
        "camphorrun/gateway/request_handler.py",
        "        if deployment is None or not self._state.ready:\n",
        "        if False:\n",
        f"{GATEWAY}/test_requests.py",
    ),
    Mutation(
        "gateway: stage results are freed",
        "camphorrun/gateway/stage_releases.py",
        "            self._pending.setdefault(address, {})[result] = expires_at\n",
        "            pass\n",
        f"{GATEWAY}/test_stages.py",
    ),
    Mutation(
        "gateway: inputs that are gone are made again",
        "camphorrun/gateway/stage_runner.py",
        'if exc.code != "input_gone" or remake == MAX_REMAKES:',
        "if True:",
        f"{GATEWAY}/test_stages.py",
    ),
    Mutation(
        "gateway: records come from peers while the store does not answer",
        "camphorrun/gateway/peers.py",
        "                self._state.apply(name, _decode_page(topic), address)\n",
        "                pass\n",
        f"{GATEWAY}/test_state.py",
    ),
    Mutation(
        "gateway: draining replicas get no new work",
        "camphorrun/gateway/replica_handle.py",
        "if self.replica.state is not ReplicaState.READY or self.pool.closed:",
        "if False:",
        GATEWAY,
    ),
    Mutation(
        "gateway: a deleted history is replaced by a listing",
        "camphorrun/gateway/store_sync.py",
        "            if exc.code not in INVALID_POSITION_CODES:",
        "            if True:",
        f"{GATEWAY}/test_state.py",
    ),
    Mutation(
        "gateway: a drain ends requests in flight whole",
        "camphorrun/gateway/daemon.py",
        "            if (\n"
        "                balancer_updated\n"
        "                and not self._caller_server.active\n"
        "                and not self._active_peer_calls()\n"
        "            ):\n",
        "            if True:\n",
        f"{GATEWAY}/test_state.py",
    ),
    Mutation(
        "records never go back",
        "camphorrun/catalog/records.py",
        "        is_newer = current is None or record.supersedes(current)",
        "        is_newer = True",
        "camphorrun/catalog/tests",
    ),
    Mutation(
        "a listing removes what it lacks",
        "camphorrun/catalog/records.py",
        "            records = (*records, *self._removals_from(page))\n",
        "            pass\n",
        "camphorrun/catalog/tests",
    ),
    Mutation(
        "a key of the system is never the caller's",
        "camphorrun/platform/exchange.py",
        "raw.headers.end_to_end_fields().without_fields(_RESERVED_FIELDS)",
        "raw.headers.end_to_end_fields()",
        ADAPTER,
    ),
    Mutation(
        "ambiguous framing is refused",
        "camphorrun/http1/server_connection.py",
        '            [value.lower() for value in encodings] != ["chunked"]\n'
        '            or "content-length" in headers\n',
        "            False\n",
        HTTP,
    ),
    Mutation(
        "bytes after an answer spoil the connection",
        "camphorrun/http1/client.py",
        "            and not self._has_unexpected_bytes\n",
        "",
        HTTP,
    ),
    Mutation(
        "a response with an invalid status code is refused",
        "camphorrun/http1/client.py",
        "        if not is_valid_status(status):\n",
        "        if False:\n",
        HTTP,
    ),
    Mutation(
        "an end during the upload proves no whole body",
        "camphorrun/http1/client.py",
        "        elif not unacknowledged_bytes(self._transport):\n",
        "        elif True:\n",
        HTTP,
    ),
    Mutation(
        "a reset that follows the end is noticed",
        "camphorrun/http1/client.py",
        "        error = take_socket_error(self._transport)\n",
        "        error = None\n",
        HTTP,
    ),
    Mutation(
        "an interim response with a body is refused",
        "camphorrun/http1/client.py",
        '            self._reject("interim response with a body")\n',
        "            pass\n",
        HTTP,
    ),
    Mutation(
        "control bytes in a reason phrase are refused",
        "camphorrun/http1/client.py",
        "        if not is_valid_text(self._reason):\n",
        "        if False:\n",
        HTTP,
    ),
    Mutation(
        "a call with an invalid status code fails",
        "camphorrun/clients/session.py",
        "    if not is_valid_status(resp.status):\n",
        "    if False:\n",
        "camphorrun/clients/tests",
    ),
    Mutation(
        "a body without length that is reset is incomplete",
        "camphorrun/http1/client.py",
        '        self._fail(HttpError(f"connection lost: '
        "{exc or 'closed by the peer'}\"))\n",
        "        self._complete = self._complete or self._body_ends_at_close\n"
        '        self._fail(HttpError("lost"))\n',
        HTTP,
    ),
    Mutation(
        "a handler is cancelled when its caller leaves",
        "camphorrun/http1/server_connection.py",
        "        if self._task is not None:\n            self._task.cancel()\n",
        "",
        HTTP,
    ),
    Mutation(
        "late requests come after those in time",
        "camphorrun/pipeline/batches.py",
        "return late, urgency, start_at + transfer_wait_s(group.transfers, zone)",
        "return False, urgency, start_at + transfer_wait_s(group.transfers, zone)",
        "camphorrun/pipeline/tests/test_batches.py",
    ),
    Mutation(
        "requests that stages would delay too much are refused at once",
        "camphorrun/admission/feasibility.py",
        "if predicted_s > objective_left_s * (1.0 + MAX_OVERRUN_SHARE):",
        "if False:",
        "camphorrun/admission/tests/test_feasibility.py",
    ),
    Mutation(
        "first tries with less time are no repeats",
        "camphorrun/admission/feasibility.py",
        "RETRY_DEADLINE_SHARE = 0.86",
        "RETRY_DEADLINE_SHARE = 0.97",
        "camphorrun/admission/tests/test_feasibility.py",
    ),
    Mutation(
        "late requests behind a long backlog are given up at once",
        "camphorrun/pipeline/batches.py",
        "return backlog_is_long and group.latest_start(call_s) < now",
        "return False",
        "camphorrun/pipeline/tests/test_batches.py",
    ),
    Mutation(
        "waits of urgent requests are those of urgent requests",
        "camphorrun/pipeline/batches.py",
        "and group.priority <= priority",
        "and True",
        "camphorrun/pipeline/tests/test_batches.py",
    ),
    Mutation(
        "a replaced owner hands its queue over",
        "camphorrun/gateway/stage_runner.py",
        "                owner.hand_over()",
        "                pass",
        "camphorrun/gateway/tests/test_stages.py",
    ),
    Mutation(
        "an owner reads the space that earlier results use",
        "camphorrun/gateway/stage_owner.py",
        "worker.ledger.on_report(free_bytes, now, least_bytes)",
        "pass",
        "camphorrun/gateway/tests/test_stages.py",
    ),
    Mutation(
        "a changed capacity is in force in running owners",
        "camphorrun/gateway/stage_owner.py",
        "if capacity == self._capacity:",
        "if True:",
        "camphorrun/gateway/tests/test_stages.py",
    ),
    Mutation(
        "a stream of frequent events ends at the timeout of its route",
        "camphorrun/gateway/response_relay.py",
        "remaining_s = ctx.end_at - self._timers.now()",
        "remaining_s = 0.02 + max(0.0, ctx.end_at - self._timers.now())",
        "camphorrun/gateway/tests/test_requests.py",
    ),
    Mutation(
        "a peer that answers no ping is passed over",
        "camphorrun/gateway/peers.py",
        "for task in list(self._outstanding):",
        "for task in ():",
        "camphorrun/gateway/tests/test_stages.py",
    ),
)


def copy_tree(target: Path) -> None:
    """Copy the tracked files of the working tree."""
    listed = subprocess.run(
        ["git", "ls-files"], cwd=ROOT, capture_output=True, text=True, check=True
    )
    for name in listed.stdout.split("\n"):
        source = ROOT / name
        if name and source.is_file():
            (target / name).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(source, target / name)


def tests_fail(tree: Path, tests: str) -> bool:
    """Run tests in a tree; a run without end counts as failed."""
    command = [sys.executable, "-m", "pytest", "-q", "-x", *tests.split()]
    try:
        done = subprocess.run(
            command, cwd=tree, capture_output=True, timeout=TIMEOUT_SECONDS, check=False
        )
    except subprocess.TimeoutExpired:
        return True
    return done.returncode == 1


def check(tree: Path, mutation: Mutation) -> str:
    """Apply a mutation, run its tests and undo it; return the result."""
    path = tree / mutation.path
    text = path.read_text()
    if text.count(mutation.old) != 1:
        return f"text found {text.count(mutation.old)} times"
    path.write_text(text.replace(mutation.old, mutation.new))
    try:
        return "caught" if tests_fail(tree, mutation.tests) else "survived"
    finally:
        path.write_text(text)


def main() -> int:
    """Run from the command line and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--only", default="", help="part of a mechanism's name")
    args = parser.parse_args()
    chosen = [
        each
        for each in (
            *MUTATIONS,
            *FLEET_MUTATIONS,
            *COLD_MUTATIONS,
            *RESTART_MUTATIONS,
            *CRASH_MUTATIONS,
            *EVACUATION_MUTATIONS,
            *HOME_MUTATIONS,
            *STREAM_MUTATIONS,
            *LOAD_MUTATIONS,
            *SHARE_MUTATIONS,
            *MEMORY_MUTATIONS,
            *ENGINE_MUTATIONS,
            *GATEWAY_MUTATIONS,
            *PREVIEW_MUTATIONS,
        )
        if args.only in each.mechanism
    ]
    bad = 0
    with tempfile.TemporaryDirectory() as directory:
        tree = Path(directory)
        copy_tree(tree)
        for mutation in chosen:
            result = check(tree, mutation)
            bad += result != "caught"
            print(f"{result:10} {mutation.mechanism}", flush=True)
    print(f"{len(chosen) - bad} passed, {bad} failed")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
