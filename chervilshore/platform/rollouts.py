"""Decodes the platform's orders of roll-outs and encodes their status."""

import typing

import msgspec

from chervilshore import contents
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import objects
from chervilshore import records


MAX_DURATION_S = 1e9
"""Seconds that no order allows; more than 30 years."""


class _Order(msgspec.Struct):
    """An order to move a pool, the `service`, to a software version."""

    service: contents.Name
    to: contents.Name
    duration_s: typing.Annotated[
        float, msgspec.Meta(gt=0.0, le=MAX_DURATION_S)
    ]


class _Status(msgspec.Struct):
    state: str
    to: str


_ORDER_DECODER = msgspec.json.Decoder(_Order)
_STATUS_DECODER = msgspec.json.Decoder(_Status)


def decode_rollout(
    stored: objects.StoredObject,
) -> records.RolloutRecord | None:
    """Decode an order and its status.

    Returns
    -------
    RolloutRecord or None
        None if the order is invalid. A status that cannot be read, or that
        answers an order of another version, counts as none.
    """
    try:
        order = contents.decode(_ORDER_DECODER, stored.content)
    except exceptions.ContentInvalid:
        return None
    if not order.service or not order.to:
        return None
    return records.RolloutRecord(
        pool=ids.PoolName(order.service),
        to=ids.SoftwareVersion(order.to),
        duration_ms=order.duration_s * 1000.0,
        state=_decode_state(stored.status, order.to),
        created=stored.created,
    )


def _decode_state(content: bytes, to: str) -> str:
    try:
        status = contents.decode(_STATUS_DECODER, content)
    except exceptions.ContentInvalid:
        return ""
    return status.state if status.to == to else ""


def encode_rollout_status(record: records.RolloutRecord) -> bytes:
    """Encode the status of a roll-out for the platform's store."""
    return msgspec.json.encode(_Status(record.state, record.to))
