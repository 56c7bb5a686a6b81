"""What a host knows of the store and of the other hosts."""

import random

import mode

from chervilshore.clients import zeromq
from chervilshore import clock as clocks
from chervilshore.controllers import catalog
from chervilshore.controllers import catalogsync
from chervilshore.controllers import membership
from chervilshore.controllers import sharedstore
from chervilshore.decisions import probes
from chervilshore import metrics as metric_types
from chervilshore.platform import kinds
from chervilshore.platform import store
from chervilshore import records
from chervilshore import settings

PROBE_SETTINGS = probes.ProbeSettings(period_ms=400.0)
"""Fewer membership probes than by default, as each message costs CPU time on
small hosts."""


class ControlPlane:
    """The parts of a host that follow the store and the other hosts.

    Parameters
    ----------
    options : Settings
        The validated settings.
    clock : Clock
        The clock of all parts.
    metrics : Metrics
        The metrics of the host.
    rng : random.Random
        Chooses peers.

    Attributes
    ----------
    store : MetadataStore
        The store itself.
    peers : ZeroMQTransport
        Messages from and to other hosts.
    membership : Membership
        The other hosts.
    decoders : Decoders
        The kinds of objects that are read from the store.
    catalog : Catalog
        The configuration, endpoints and hosts.
    services : tuple of Service
        The parts to be started, in their order.
    """

    def __init__(
        self,
        options: settings.Settings,
        clock: clocks.Clock,
        metrics: metric_types.Metrics,
        rng: random.Random,
    ) -> None:
        self.store = store.MetadataStore(
            options.platform, clock, options.platform_ms, metrics
        )
        self.peers = zeromq.ZeroMQTransport(
            options.peer_address, clock, metrics, listen=options.peer_listen
        )
        self.membership = membership.Membership(
            _make_record(options),
            clock,
            self.peers,
            rng,
            options.seeds,
            probe_settings=PROBE_SETTINGS,
            metrics=metrics,
        )
        shared = sharedstore.SharedStore(
            self.store,
            options.store_readers,
            self.membership,
            self.peers,
            clock,
        )
        self.decoders = kinds.choose_decoders(options.carries_out_rollouts)
        self.catalog = catalog.Catalog(
            shared,
            self.decoders,
            self.membership,
            clock,
            options.store_recovery_ms,
        )
        sync = catalogsync.CatalogSync(
            self.catalog, self.membership, self.peers, clock, rng
        )
        self.services: tuple[mode.Service, ...] = (
            self.peers,
            self.membership,
            shared,
            self.catalog,
            sync,
        )


def _make_record(options: settings.Settings) -> records.HostRecord:
    return records.HostRecord(
        host=options.host,
        domain=options.domain,
        peer_address=options.peer_address,
        http_address=options.http_address,
        capacity=options.capacity,
        relay_address=options.relay_address,
    )
