"""Choose one of several nodes for a key, alike on every host."""

from collections import abc

import xxhash


def score(node: str, key: str) -> int:
    """Weigh a node for a key.

    Parameters
    ----------
    node : str
        The node's name.
    key : str
        What is to be placed.

    Returns
    -------
    int
        A number of 64 bits; the highest one wins.
    """
    return xxhash.xxh3_64_intdigest(f"{node}\x00{key}".encode())


def choose(nodes: abc.Iterable[str], key: str) -> str | None:
    """Choose the node with the highest score for a key.

    Parameters
    ----------
    nodes : iterable of str
        The nodes that may be chosen.
    key : str
        What is to be placed.

    Returns
    -------
    str or None
        The chosen node, or nothing when there are no nodes.
    """
    return max(nodes, key=lambda node: (score(node, key), node), default=None)


def rank(nodes: abc.Iterable[str], key: str) -> list[str]:
    """Order the nodes for a key, the best one first."""
    return sorted(
        nodes, key=lambda node: (score(node, key), node), reverse=True
    )
