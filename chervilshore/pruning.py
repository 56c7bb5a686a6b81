"""Removes history and chunks that only old generations need."""

from chervilshore.clients import platform as platforms
from chervilshore import exceptions
from chervilshore.rules import generations

PAGE_SIZE = 50
"""Objects per listed page; a chunk may be half a megabyte."""


async def prune(platform: platforms.Platform, keep_count: int) -> int:
    """Remove old generations, and chunks that no kept generation needs.

    A concurrent change is safe. It writes its head to the history before its
    chunks, and rewrites chunks that exist. So a chunk that it needs is either
    referred to by the history read here, or has a newer version than the one
    listed here and is not deleted.

    Parameters
    ----------
    platform : Platform
        Stores the configuration.
    keep_count : int
        Number of newest generations to keep.

    Returns
    -------
    int
        Number of removed objects.
    """
    chunks = await _list_versions(platform, generations.CHUNK_PREFIX)
    accepted = await platform.get(generations.HEAD_KEY)
    head = generations.decode_head(accepted.value)
    first_kept = head.generation - keep_count + 1
    needed = {generations.chunk_key(digest) for digest in head.digests}
    old = {}
    async for stored in _list(platform, generations.HISTORY_PREFIX):
        past = generations.decode_head(stored.value)
        if past.generation < first_kept:
            old[stored.key] = stored.version
        else:
            needed.update(map(generations.chunk_key, past.digests))
    unused = {
        key: version for key, version in chunks.items() if key not in needed
    }
    removed = 0
    for key, version in (old | unused).items():
        removed += await _remove(platform, key, version)
    return removed


async def _list(platform: platforms.Platform, prefix: str):
    after = ""
    while True:
        page = await platform.list(prefix, after, page_size=PAGE_SIZE)
        for stored in page:
            yield stored
        if len(page) < PAGE_SIZE:
            return
        after = page[-1].key


async def _list_versions(
    platform: platforms.Platform, prefix: str
) -> dict[str, int]:
    return {
        stored.key: stored.version async for stored in _list(platform, prefix)
    }


async def _remove(platform: platforms.Platform, key: str, version: int) -> int:
    """Delete an object unless it has changed; return 1 if deleted, else 0."""
    try:
        await platform.delete(key, version)
    except exceptions.VersionConflict:
        return 0
    return 1
