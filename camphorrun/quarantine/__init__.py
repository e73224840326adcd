"""Detection of requests that crash the replicas which run them."""

from .fingerprints import part_fingerprint

__all__ = ["part_fingerprint"]
