"""Detection of requests that crash the replicas which run them.

``Quarantine`` blocks the causes of crashes by the evidence of all gateways, and lets
trials through. It has no clock and sends nothing.
"""

from .evidence import EVIDENCE_SECONDS, Crash, CrashEvidence, Suspects
from .fingerprints import (
    cause_fingerprint,
    part_fingerprint,
    request_fingerprint,
)
from .quarantine import Block, Cause, Quarantine

__all__ = [
    "EVIDENCE_SECONDS",
    "Block",
    "Cause",
    "Crash",
    "CrashEvidence",
    "Quarantine",
    "Suspects",
    "cause_fingerprint",
    "part_fingerprint",
    "request_fingerprint",
]
