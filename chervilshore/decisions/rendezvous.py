"""Rendezvous hashing: chooses a node for a key, the same on every host."""

from collections import abc

import xxhash


def score(node: str, key: str) -> int:
    """Return the hash score of a node for a key.

    Parameters
    ----------
    node : str
        The node's name.
    key : str
        The name of the object to be placed.

    Returns
    -------
    int
        A number of 64 bits; the node with the highest one is chosen.
    """
    return xxhash.xxh3_64_intdigest(f"{node}\x00{key}".encode())


def choose(nodes: abc.Iterable[str], key: str) -> str | None:
    """Choose the node with the highest score for a key.

    Parameters
    ----------
    nodes : iterable of str
        The nodes that may be chosen.
    key : str
        The name of the object to be placed.

    Returns
    -------
    str or None
        The chosen node; None if there are no nodes.
    """
    return max(nodes, key=lambda node: (score(node, key), node), default=None)


def rank(nodes: abc.Iterable[str], key: str) -> list[str]:
    """Return the nodes in descending order of their score for a key."""
    return sorted(
        nodes, key=lambda node: (score(node, key), node), reverse=True
    )
