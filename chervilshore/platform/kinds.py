"""The kinds of objects in the platform's store, with their decoders."""

import msgspec

from chervilshore.controllers import decoders
from chervilshore.platform import documents
from chervilshore.platform import names
from chervilshore.platform import rollouts

DECODERS = decoders.Decoders(
    rules=names.CONFIG,
    domains=names.EVACUATIONS,
    endpoints=names.SERVERS,
    hosts=names.HOSTS,
    rollouts="",
    rules_name=names.CONFIG_NAME,
    read_rules=documents.decode_rules,
    read_endpoint=documents.decode_endpoint,
    read_host=documents.decode_host,
    write_host=documents.encode_host,
    read_rollout=rollouts.decode_rollout,
    write_rollout_status=rollouts.encode_rollout_status,
)


def choose_decoders(with_rollouts: bool) -> decoders.Decoders:
    """Return the decoders, with those of roll-outs or without."""
    if not with_rollouts:
        return DECODERS
    return msgspec.structs.replace(DECODERS, rollouts=names.ROLLOUTS)
