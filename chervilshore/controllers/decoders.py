"""How the objects of a store are named, decoded and encoded."""

from collections import abc as collections_abc

import msgspec

from chervilshore import objects
from chervilshore import records
from chervilshore.rules import model


class Decoders(msgspec.Struct, frozen=True):
    """The kinds of objects of a store, and functions that decode them.

    Parameters
    ----------
    rules, domains, endpoints, hosts, rollouts : str
        The name of each kind; that of roll-outs is empty if none are
        carried out.
    rules_name : str
        The name of the object that holds the configuration.
    read_rules : callable
        Decodes the configuration; raises `exceptions.RulesError` if it is
        not valid.
    read_endpoint, read_host : callable
        Decode an object from its name and content; raise
        `exceptions.ContentInvalid` if it cannot be used.
    write_host : callable
        Encodes this host's own record.
    read_rollout : callable
        Decodes an order of a roll-out and its status; returns None if it
        cannot be used.
    write_rollout_status : callable
        Encodes the status of a roll-out.
    """

    rules: str
    domains: str
    endpoints: str
    hosts: str
    rollouts: str
    rules_name: str
    read_rules: collections_abc.Callable[[bytes], model.Rules]
    read_endpoint: collections_abc.Callable[
        [str, bytes], records.EndpointRecord
    ]
    read_host: collections_abc.Callable[[str, bytes], records.HostRecord]
    write_host: collections_abc.Callable[[records.HostRecord], bytes]
    read_rollout: collections_abc.Callable[
        [objects.StoredObject], records.RolloutRecord | None
    ]
    write_rollout_status: collections_abc.Callable[
        [records.RolloutRecord], bytes
    ]
