"""The tool's commands for orders to engines."""

import secrets

import msgspec

from chervilshore.clients import platform as platforms
from chervilshore.controllers import orderstore
from chervilshore.decisions import orders
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import reports

ID_BYTES = 6
"""Random bytes of a new order id."""


async def submit(
    platform: platforms.Platform,
    order: orders.Order,
) -> reports.Report:
    """Submit an order and show its id.

    Parameters
    ----------
    platform : Platform
        Stores the orders.
    order : Order
        The order. Without endpoints it goes to all endpoints of its pool
        in the host list; without an id it gets a new one.

    Raises
    ------
    exceptions.ObjectMissing
        The pool has no endpoints.
    """
    if not order.order:
        order_id = ids.OrderId(secrets.token_hex(ID_BYTES))
        order = msgspec.structs.replace(order, order=order_id)
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
            f"the order may have been stored; "
            f"submit it again with --order {order.order}",
            {"order": order.order},
            reports.ExitCode.UNKNOWN,
        )
    text = f"order {order.order} for {len(order.endpoints)} endpoints"
    return reports.Report(text, {"order": order.order})


async def show(
    platform: platforms.Platform, pool: ids.PoolName
) -> reports.Report:
    """Show the orders of a pool with their progress at each endpoint."""
    stored_orders = await orderstore.list_orders(platform, pool)
    rows = [("order", "kind", "argument", "endpoint", "progress", "detail")]
    for stored in stored_orders:
        order = stored.order
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
    data = [msgspec.to_builtins(stored.order) for stored in stored_orders]
    return reports.Report(reports.format_table(rows), {"orders": data})
