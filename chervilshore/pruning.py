"""Remove chunks and history that only old generations need."""

from chervilshore.clients import platform as platforms
from chervilshore import exceptions
from chervilshore.rules import generations

PAGE_SIZE = 50
"""Objects read at once; a chunk may be half a megabyte."""


async def prune(platform: platforms.Platform, kept: int) -> int:
    """Remove what no kept generation refers to.

    A change writes its head into the history before its chunks, and writes
    each chunk that is there already once more. So a chunk that a running
    change needs either shows in the history, or is at a newer version than
    the one that is removed here.

    Parameters
    ----------
    platform : Platform
        Where configurations are accepted.
    kept : int
        Newest generations that stay.

    Returns
    -------
    int
        Objects removed.
    """
    chunks = await _list_versions(platform, generations.CHUNK_PREFIX)
    accepted = await platform.get(generations.HEAD_KEY)
    head = generations.decode_head(accepted.value)
    first = head.generation - kept + 1
    needed = {generations.chunk_key(digest) for digest in head.digests}
    old = {}
    async for stored in _list(platform, generations.HISTORY_PREFIX):
        past = generations.decode_head(stored.value)
        if past.generation < first:
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
        page = await platform.list(prefix, after, most=PAGE_SIZE)
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
    try:
        await platform.delete(key, version)
    except exceptions.VersionConflict:
        return 0
    return 1
