"""Where the logs of claims stand in the platform."""

from chervilshore import ids

LAYOUT_KEY = "claims/layout"
"""The object that holds the number of shards for the whole fleet."""


def log_prefix(shard: ids.ShardId) -> str:
    """Tell how the keys of a log's batches begin."""
    return f"claims/{shard:04d}/"


def batch_key(shard: ids.ShardId, sequence: int) -> str:
    """Tell the key of a batch."""
    return f"{log_prefix(shard)}{sequence:012d}"


def head_key(shard: ids.ShardId) -> str:
    """Tell the key of the head of a shard's snapshot."""
    return f"claimheads/{shard:04d}"


def chunk_key(shard: ids.ShardId, name: str) -> str:
    """Tell the key of a chunk of a shard's snapshot."""
    return f"claimchunks/{shard:04d}/{name}"
