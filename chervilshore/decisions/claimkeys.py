"""Object keys of the logs of claims at the platform."""

from chervilshore import ids

LAYOUT_KEY = "claims/layout"
"""The object that holds the number of shards for the whole cluster."""


def log_prefix(shard: ids.ShardId) -> str:
    """Return the common prefix of the keys of a log's batches."""
    return f"claims/{shard:04d}/"


def batch_key(shard: ids.ShardId, sequence: int) -> str:
    """Return the key of a batch of a log."""
    return f"{log_prefix(shard)}{sequence:012d}"


def head_key(shard: ids.ShardId) -> str:
    """Return the key of the head of a shard's snapshot."""
    return f"claimheads/{shard:04d}"


def chunk_key(shard: ids.ShardId, name: str) -> str:
    """Return the key of a chunk of a shard's snapshot."""
    return f"claimchunks/{shard:04d}/{name}"
