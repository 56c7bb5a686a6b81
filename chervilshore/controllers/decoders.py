"""How the objects of a store are read."""

from collections import abc as collections_abc

import msgspec

from chervilshore import records
from chervilshore.rules import model


class Decoders(msgspec.Struct, frozen=True):
    """How the objects of each kind are read.

    Parameters
    ----------
    rules, domains, endpoints, hosts : str
        The kinds of objects.
    rules_name : str
        The object that holds the configuration.
    read_rules, read_endpoint, read_host : callable
        Decode an object's content.
    write_host : callable
        Encodes what this host tells of itself.
    """

    rules: str
    domains: str
    endpoints: str
    hosts: str
    rules_name: str
    read_rules: collections_abc.Callable[[bytes], model.Rules]
    read_endpoint: collections_abc.Callable[
        [str, bytes], records.EndpointRecord | None
    ]
    read_host: collections_abc.Callable[
        [str, bytes], records.HostRecord | None
    ]
    write_host: collections_abc.Callable[[records.HostRecord], bytes]
