"""Mutations of what keeps software versions apart, and configurations in time.

Run by ``python -m tools.mutations`` with those of the other mechanisms.
"""

from .mutations_fleet import Mutation

STREAMS = "camphorrun/gateway/tests/test_stream_versions.py"
BOUNDS = "camphorrun/gateway/tests/test_reader_bounds.py"
LATE = "camphorrun/gateway/tests/test_late_configuration.py"
VERSIONS = "camphorrun/gateway/tests/test_configuration_versions.py"
FOREIGN = "camphorrun/platform/tests/test_foreign_bytes.py"
RECORDS = "camphorrun/gateway/stream_records.py"
TAKE_UPS = "camphorrun/gateway/take_ups.py"
OLD_KNOWLEDGE = "camphorrun/gateway/tests/test_take_ups.py"

STREAM_MUTATIONS = (
    Mutation(
        "versions: a stream goes on at its version within an answer",
        "camphorrun/gateway/response_relay.py",
        "            ctx.required_version = ctx.sent_version\n",
        "            pass\n",
        STREAMS,
    ),
    Mutation(
        "versions: a take-up needs the version that began it",
        TAKE_UPS,
        "        ctx.required_version = version\n",
        "        pass\n",
        STREAMS,
    ),
    Mutation(
        "versions: the store has the versions of a service",
        RECORDS,
        "            await self._store.append_record(VERSION_TOPIC, key, value)\n",
        "            pass\n",
        STREAMS,
    ),
    Mutation(
        "versions: the store has the versions of streams",
        RECORDS,
        "            records = self._versions.take_unsaved()\n",
        "            records = []\n",
        STREAMS,
    ),
    Mutation(
        "versions: earlier streams are recorded when a second version appears",
        "camphorrun/routing/stream_versions.py",
        "                self._unsaved[attempt] = None\n\n    def of_service",
        "                pass\n\n    def of_service",
        STREAMS,
    ),
    Mutation(
        "versions: the start of a replica is proven",
        "camphorrun/gateway/attempts.py",
        "        if is_known or not self._streams.needs_proof(ctx):\n",
        "        if True:\n",
        STREAMS,
    ),
    Mutation(
        "versions: a take-up is admitted by its deadline",
        "camphorrun/gateway/request_handler.py",
        "            objective_s *= TAKE_UP_OBJECTIVE_FACTOR\n",
        "            repeats = False\n",
        STREAMS,
    ),
    Mutation(
        "take-ups: a read that failed decides nothing",
        TAKE_UPS,
        "self._records.recorded_version(service, key) if is_read else None",
        "self._records.recorded_version(service, key)",
        OLD_KNOWLEDGE,
    ),
    Mutation(
        "take-ups: the gateway that sent the stream is asked",
        TAKE_UPS,
        "        version = await self._ask_sender(key) if attempt else None\n",
        "        version = None\n",
        OLD_KNOWLEDGE,
    ),
    Mutation(
        "take-ups: another gateway reads the store",
        TAKE_UPS,
        "            version = await self._ask_readers(service, key)\n",
        "            pass\n",
        OLD_KNOWLEDGE,
    ),
    Mutation(
        "take-ups: records of an earlier era don't count",
        RECORDS,
        "        return batch.streams if batch.era == self._era else []\n",
        "        return batch.streams\n",
        OLD_KNOWLEDGE,
    ),
    Mutation(
        "take-ups: the record of the last attempt counts",
        "camphorrun/routing/stream_versions.py",
        "max(known, record, key=lambda item: item[2])",
        "record",
        "camphorrun/routing/stream_versions.py",
    ),
    Mutation(
        "take-ups: the registrations are read",
        RECORDS,
        "        await asyncio.gather(self._list_versions(), self._read_replicas())\n",
        "        await self._list_versions()\n",
        OLD_KNOWLEDGE,
    ),
    Mutation(
        "take-ups: the start is proven while one version is known",
        RECORDS,
        "        return ctx.required_version is not None or _can_be_taken_up(ctx)\n",
        "        return ctx.required_version is not None\n",
        OLD_KNOWLEDGE,
    ),
    Mutation(
        "take-ups: a restart that is noticed late makes streams unknown",
        RECORDS,
        "            self._registration_age_s() + REGISTRATION_DELAY_SECONDS,\n",
        "            0.0,\n",
        OLD_KNOWLEDGE,
    ),
    Mutation(
        "take-ups: a record is replaced before another version begins",
        RECORDS,
        "        return not start.has_moved or await self._wait_until_saved(key)\n",
        "        return True\n",
        OLD_KNOWLEDGE,
    ),
    Mutation(
        "take-ups: the same version is tried first without the store",
        RECORDS,
        "start.version if start is not None and self._is_failing else None",
        "None",
        OLD_KNOWLEDGE,
    ),
    Mutation(
        "drain: requests are refused before the running ones are ended",
        "camphorrun/gateway/daemon.py",
        "        self._request_handler.refuse_new_requests()\n"
        "        self._request_handler.end_running_requests()\n",
        "        self._request_handler.end_running_requests()\n",
        "tests/test_planned_stop.py",
    ),
    Mutation(
        "bounds: an endless head is not kept",
        "camphorrun/http1/client.py",
        "MAX_OVERHEAD_BYTES = 64 * 1024\n",
        "MAX_OVERHEAD_BYTES = 1 << 40\n",
        "tests/test_endless_replicas.py",
    ),
    Mutation(
        "configuration: polls are short",
        "camphorrun/gateway/store_sync.py",
        "CONFIGURATION_WAIT_SECONDS = 1.0\n",
        "CONFIGURATION_WAIT_SECONDS = 3.0\n",
        LATE,
    ),
    Mutation(
        "configuration: a reader without fresh registrations is left",
        "camphorrun/gateway/zone_readers.py",
        "{REPLICA_TOPIC: 1.0, ",
        "{REPLICA_TOPIC: 1.6, ",
        BOUNDS,
    ),
    Mutation(
        "configuration: a confirmation counts from the request",
        "camphorrun/gateway/zone_readers.py",
        "self._state.confirm(topic, asked_at - max(0.0, age_s))",
        "self._state.confirm(topic, self._timers.now() - max(0.0, age_s))",
        BOUNDS,
    ),
    Mutation(
        "configuration: versions only grow",
        "camphorrun/gateway/state.py",
        "deployment.version < in_force.version:",
        "False:",
        VERSIONS,
    ),
    Mutation(
        "foreign bytes: deep nesting and digits end in the decoder's error",
        "camphorrun/platform/decoding.py",
        "    except (msgspec.DecodeError, RecursionError, ValueError) as exc:\n",
        "    except msgspec.DecodeError as exc:\n",
        FOREIGN,
    ),
)
