"""Mutations of the placement at engines of unequal speed and load.

Run by ``python -m tools.mutations`` with those of the other mechanisms.
"""

from .mutations_fleet import Mutation

ENGINE_LOAD = "camphorrun/routing/engine_load.py"
ENGINE_SPEED = "camphorrun/routing/engine_speed.py"
DECISION = "camphorrun/routing/tests/test_engine_load.py"
REPLAYS = "camphorrun/routing/tests/test_engine_replays.py"
CALLS = "camphorrun/gateway/tests/test_engine_calls.py"

ENGINE_MUTATIONS = (
    Mutation(
        "engines: one sample has little influence",
        ENGINE_SPEED,
        "SAMPLE_WEIGHT = 0.1\n",
        "SAMPLE_WEIGHT = 0.9\n",
        DECISION,
    ),
    Mutation(
        "engines: several slow samples count fast",
        ENGINE_SPEED,
        "RUN_SAMPLES = 3\n",
        "RUN_SAMPLES = 1000\n",
        DECISION,
    ),
    Mutation(
        "engines: the speed returns to usual without samples",
        ENGINE_SPEED,
        "SPEED_DECAY_SECONDS = 20.0\n",
        "SPEED_DECAY_SECONDS = 20_000.0\n",
        DECISION,
    ),
    Mutation(
        "engines: reports from before a change don't hide it",
        ENGINE_SPEED,
        "if is_run and report.sampled_at < self._run_at:",
        "if False:",
        DECISION,
    ),
    Mutation(
        "engines: equal backlogs cost nothing",
        ENGINE_LOAD,
        "max(0.0, each[-1] - free_s)",
        "max(0.0, each[-1])",
        DECISION,
    ),
    Mutation(
        "engines: overdue requests show the prompts of others",
        ENGINE_LOAD,
        "        return max(tokens, overdue_s * tokens_per_s)\n",
        "        return tokens\n",
        DECISION,
    ),
    Mutation(
        "engines: late first events show the prompts of others",
        ENGINE_LOAD,
        "OTHERS_WEIGHT = 0.5\n",
        "OTHERS_WEIGHT = 0.0\n",
        DECISION,
    ),
    Mutation(
        "engines: long prompts avoid engines with many streams",
        ENGINE_LOAD,
        "STREAM_DELAY_WEIGHT = 0.025\n",
        "STREAM_DELAY_WEIGHT = 0.0\n",
        DECISION,
    ),
    Mutation(
        "engines: gaps of a slow caller are no samples",
        ENGINE_LOAD,
        "elif not is_delayed:",
        "else:",
        DECISION,
    ),
    Mutation(
        "engines: gateways with the same view choose different ones",
        "camphorrun/routing/affinity.py",
        "    if not any(each.excess_s for each in terms.values()):\n",
        "    if True:\n",
        DECISION,
    ),
    Mutation(
        "engines: slow engines get fewer requests in replayed loads",
        ENGINE_LOAD,
        "1.0 if 1 / EQUAL_SPEED_RATIO < each < EQUAL_SPEED_RATIO else each",
        "1.0",
        REPLAYS,
    ),
    Mutation(
        "engines: delays count in replayed loads",
        ENGINE_LOAD,
        "DELAY_WEIGHT = 0.3\n",
        "DELAY_WEIGHT = 0.0\n",
        REPLAYS,
    ),
    Mutation(
        "engines: prefixes are not read again everywhere in replayed loads",
        ENGINE_LOAD,
        "FREE_DELAY_SECONDS = 0.05\n",
        "FREE_DELAY_SECONDS = -1.0\n",
        REPLAYS,
    ),
    Mutation(
        "engines: small differences of speed count as equal",
        ENGINE_LOAD,
        "EQUAL_SPEED_RATIO = 1.35\n",
        "EQUAL_SPEED_RATIO = 1.01\n",
        DECISION,
    ),
    Mutation(
        "engines: an attempt is removed from the load when it ends",
        "camphorrun/gateway/attempts.py",
        "                ctx.engine_call.end()\n",
        "                pass\n",
        CALLS,
    ),
    Mutation(
        "engines: stated prompt sizes are bounded",
        "camphorrun/gateway/replica_selection.py",
        "return min(tokens, engine.kv_tokens or MAX_PROMPT_TOKENS)",
        "return tokens",
        CALLS,
    ),
    Mutation(
        "engines: impossible reports of peers are dropped",
        "camphorrun/gateway/engine_messages.py",
        "        if _is_valid(each)\n",
        "",
        CALLS,
    ),
)
