"""The tool's commands about orders to engines."""

import secrets

import msgspec

from chervilshore.clients import platform as platforms
from chervilshore.controllers import orderstore
from chervilshore.decisions import orders
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import reports

ID_BYTES = 6


async def submit(
    platform: platforms.Platform,
    order: orders.Order,
) -> reports.Report:
    """Submit an order and tell its id.

    Parameters
    ----------
    platform : Platform
        Where orders are.
    order : Order
        The order; without endpoints it goes to all that the host list
        names in its pool, and without an id it gets a new one.
    """
    if not order.order:
        made = ids.OrderId(secrets.token_hex(ID_BYTES))
        order = msgspec.structs.replace(order, order=made)
    if not order.endpoints:
        listed = await platform.hosts()
        order = msgspec.structs.replace(
            order,
            endpoints=tuple(
                record.endpoint
                for record in listed.endpoints
                if record.pool == order.pool
            ),
        )
    if not order.endpoints:
        raise exceptions.ObjectMissing(f"pool {order.pool} has no endpoints")
    try:
        await orderstore.submit(platform, order)
    except exceptions.PlatformUnknown:
        return reports.Report(
            f"it may be in force; submit it again as --order {order.order}",
            {"order": order.order},
            reports.ExitCode.UNKNOWN,
        )
    text = f"order {order.order} for {len(order.endpoints)} endpoints"
    return reports.Report(text, {"order": order.order})


async def show(
    platform: platforms.Platform, pool: ids.PoolName
) -> reports.Report:
    """List the orders of a pool with their progress at each engine."""
    booked = await orderstore.list_orders(platform, pool)
    rows = [("order", "kind", "argument", "endpoint", "progress", "detail")]
    for found in booked:
        order = found.order
        rows.extend(
            (
                order.order,
                order.kind.value,
                order.argument,
                endpoint,
                order.progress_at(endpoint).value,
                order.details.get(endpoint, ""),
            )
            for endpoint in order.endpoints
        )
    data = [msgspec.to_builtins(found.order) for found in booked]
    return reports.Report(reports.format_table(rows), {"orders": data})
