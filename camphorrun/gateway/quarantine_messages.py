"""Exchange format of the quarantine: absolute times become ages and back."""

from ..quarantine import Block, Cause, Quarantine
from .messages import (
    BlockMessage,
    ClearanceMessage,
    CrashMessage,
    QuarantineMessage,
)


def encode_quarantine(
    quarantine: Quarantine, now: float, evidence_s: float
) -> QuarantineMessage:
    """Return all blocks, and the evidence of the last ``evidence_s`` seconds.

    Answers are left out if they clear nothing of a crash, as almost all do.
    """
    evidence = quarantine.evidence
    oldest = now - evidence_s
    crashes = [
        CrashMessage(
            crash.replica, now - crash.at, now - crash.at, list(crash.requests)
        )
        for crash in evidence.crashes_since(oldest)
    ]
    clearances = [
        ClearanceMessage(suspect, now - at)
        for suspect, at in evidence.clearances_since(oldest)
        if evidence.is_suspect(suspect)
    ]
    blocks = [_encode_block(*item, now) for item in quarantine.blocks()]
    return QuarantineMessage(crashes, clearances, blocks)


def encode_block(cause: Cause, block: Block, now: float) -> QuarantineMessage:
    """Return what is known of one block."""
    return QuarantineMessage(blocks=[_encode_block(cause, block, now)])


def merge_quarantine(
    quarantine: Quarantine, message: QuarantineMessage, now: float
) -> list[Cause]:
    """Apply what another gateway knows; return the causes that are now blocked.

    Ages below zero count as zero.
    """
    for crash in message.crashes:
        at = now - max(0.0, crash.age_s)
        sent_at = min(at, now - crash.sent_age_s)
        quarantine.add_crash(crash.replica, sent_at, at, crash.requests)
    for clearance in message.clearances:
        quarantine.clear(clearance.suspect, now - max(0.0, clearance.age_s))
    return [
        block.cause
        for block in message.blocks
        if quarantine.block(block.cause, _decode_block(block, now))
    ]


def _encode_block(cause: Cause, block: Block, now: float) -> BlockMessage:
    return BlockMessage(
        cause,
        now - block.since,
        now - block.crashed_at,
        block.trials,
        now - block.tried_at if block.trials else None,
    )


def _decode_block(message: BlockMessage, now: float) -> Block:
    block = Block(
        now - max(0.0, message.age_s),
        now - max(0.0, message.crash_age_s),
        message.trials,
    )
    if message.trial_age_s is not None:
        block.tried_at = now - max(0.0, message.trial_age_s)
    return block
