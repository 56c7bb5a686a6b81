"""One odd object of the store does not hide the others."""

import asyncio
import random

import msgspec
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.clients import connections
from chervilshore.clients import connectors
from chervilshore.clients import tunnels
from chervilshore import clock as clocks
from chervilshore.controllers import entries
from chervilshore.controllers import streamreader
from chervilshore import exceptions
from chervilshore import objects
from chervilshore.platform import batches
from chervilshore.platform import documents
from chervilshore.platform import processes
from chervilshore.platform import rollouts
from chervilshore.platform import store as store_clients
from chervilshore.platform import storeanswers
from tests import catalog_helpers
from tests import gateway_helpers
from tests import odd_entries
from tests import virtual

GOOD = b'{"metadata":{"name":"w%d","revision":%d},"spec":{"a":1}}'


@pytest.mark.parametrize(
    "content",
    [
        pytest.param(content, id=label)
        for label, content in odd_entries.ENTRIES
    ],
)
def test_odd_entry_names_no_endpoint(content):
    with pytest.raises(exceptions.ContentInvalid):
        documents.decode_endpoint("w1", content)


@pytest.mark.parametrize("name", odd_entries.NAMES)
def test_entry_with_an_odd_name_names_no_endpoint(name):
    content = msgspec.json.encode(odd_entries.ENTRY)
    with pytest.raises(exceptions.ContentInvalid):
        documents.decode_endpoint(name, content)


def test_entry_with_large_numbers_that_are_possible_is_used():
    content = msgspec.json.encode(
        odd_entries.ENTRY
        | {"born": 1_900_000_000_000, "addr": "127.0.0.1:65535", "slots": -1}
    )
    record = documents.decode_endpoint("a/b:c", content)
    assertions.assert_that(
        (record.address, record.instance, record.slots),
        matchers.Equals(("127.0.0.1:65535", "a/b:c/1900000000000", 0)),
    )


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("peer", b'"127.0.0.1:65536"'),
        ("peer", b'"host.example:7000"'),
        ("peer", b'"garbage"'),
        ("peer", b'""'),
        ("capacity", b"0"),
        ("capacity", b"-1"),
        ("capacity", b"1e300"),
        ("capacity", b"1e999"),
        ("domain", odd_entries.nest(5000)),
        ("other", odd_entries.nest(5000)),
    ],
)
def test_odd_entry_names_no_host(name, value):
    entry = {"domain": "a", "peer": "127.0.0.1:7000", "capacity": 1.0}
    documents.decode_host("h1", msgspec.json.encode(entry))
    content = msgspec.json.encode(entry | {name: msgspec.Raw(value)})
    with pytest.raises(exceptions.ContentInvalid):
        documents.decode_host("h1", content)


@pytest.mark.parametrize("content", [odd_entries.nest(5000), b'{"x":1e999}'])
def test_odd_configuration_is_refused(content):
    with pytest.raises(exceptions.RulesError):
        documents.decode_rules(content)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("service", odd_entries.nest(5000)),
        ("other", odd_entries.nest(5000)),
        ("to", b'"' + b"x" * 300 + b'"'),
        ("duration_s", b"1e308"),
        ("duration_s", b"1e999"),
        ("duration_s", b"0"),
    ],
)
def test_odd_order_is_none(name, value):
    order = {"service": "ledger", "to": "v2", "duration_s": 60}
    stored = objects.StoredObject(
        "o", 1, msgspec.json.encode(order), odd_entries.nest(5000)
    )
    assertions.assert_that(
        rollouts.decode_rollout(stored).state, matchers.Equals("")
    )
    content = msgspec.json.encode(order | {name: msgspec.Raw(value)})
    stored = msgspec.structs.replace(stored, content=content)
    assertions.assert_that(rollouts.decode_rollout(stored), matchers.Is(None))


@pytest.mark.parametrize("content", [odd_entries.nest(5000), b"1e999"])
def test_odd_records_of_streams_count_as_none(content):
    stored = objects.StoredObject("version.1", 1, content)
    for decoder in (
        streamreader._VERSION_DECODER,
        streamreader._STARTS_DECODER,
    ):
        assertions.assert_that(
            streamreader._decode(decoder, stored), matchers.Is(None)
        )


def test_nested_results_and_reports_of_an_endpoint_are_errors_of_its_own():
    content = b'{"items":[],"born":5,"x":' + odd_entries.nest(5000) + b"}"
    client = batches.BatchClient(None, None)
    with pytest.raises(exceptions.EndpointBroken):
        client._read_results(content, 0)
    head = connections.ResponseHead(200, [])
    assertions.assert_that(
        processes._read_born(head, content), matchers.Equals(0)
    )


def make_items(content):
    """Return objects with an odd one between others, as the store has them."""
    odd = b'{"metadata":{"name":"odd","revision":7,"finalizers":%s},"spec":%s}'
    return [
        GOOD % (1, 5),
        odd % (b"[]", content),
        odd.replace(b"odd", b"more") % (content, b"1"),
        GOOD % (2, 6),
    ]


@pytest.mark.parametrize(
    "content",
    [
        pytest.param(content, id=label)
        for label, content in odd_entries.ENTRIES
    ],
)
def test_page_has_the_objects_beside_an_odd_one(content):
    items = b" ,\n ".join(make_items(content))
    page, reasons = storeanswers.decode_page(
        b'{"items": [ ' + items + b' ] , "has_more":true,"current_rev":9}'
    )
    assertions.assert_that(reasons, matchers.Equals([]))
    assertions.assert_that(
        [(item.metadata.name, item.metadata.revision) for item in page.items],
        matchers.Equals([("w1", 5), ("odd", 7), ("more", 7), ("w2", 6)]),
    )
    assertions.assert_that(bytes(page.items[1].spec), matchers.Equals(content))
    assertions.assert_that(
        (page.has_more, page.current_rev), matchers.Equals((True, 9))
    )


@pytest.mark.parametrize("deleted", [True, False])
def test_watch_has_the_changes_beside_an_odd_one(deleted):
    flag = b"true" if deleted else b"false"
    events, _ = storeanswers.decode_events(
        b'{"current_rev":9,"events":['
        + b",".join(
            b'{"deleted":' + flag + b',"object":' + item + b"}"
            for item in make_items(odd_entries.nest(5000))
        )
        + b"]}"
    )
    assertions.assert_that(
        [
            (event.object.metadata.name, event.deleted)
            for event in events.events
        ],
        matchers.Equals(
            [(name, deleted) for name in ("w1", "odd", "more", "w2")]
        ),
    )
    assertions.assert_that(events.current_rev, matchers.Equals(9))


@pytest.mark.parametrize(
    "metadata",
    [
        b'{"name":1,"revision":7}',
        b'{"name":"\xff","revision":7}',
        b'{"name":"\\ud800","revision":7}',
        b'{"name":' + odd_entries.nest(5000) + b"}",
        b'{"name":"odd","revision":1e999}',
        b'{"name":"odd","revision":18446744073709551616}',
        b'{"name":"odd","revision":-1}',
        b'{"revision":7}',
        b"null",
        b"{}",
    ],
)
def test_object_without_a_readable_name_is_left_out_and_reported(metadata):
    items = [GOOD % (1, 5), b'{"metadata":' + metadata + b"}", GOOD % (2, 6)]
    page, reasons = storeanswers.decode_page(
        b'{"items":[' + b",".join(items) + b'],"current_rev":9}'
    )
    assertions.assert_that(
        [item.metadata.name for item in page.items],
        matchers.Equals(["w1", "w2"]),
    )
    assertions.assert_that(reasons, matchers.HasLength(1))


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"[]",
        b"{",
        b'{"items":',
        b'{"items":[{"metadata":{"name":"w1"}',
        b'{"items":[1,',
        b'{"items":[1 2]}',
        b'{"items":["w',
        b'{"items":1}',
        b'{"other":[]}',
        b'{"items":[],"current_rev":-1}',
        b'{"items":[1],"has_more":true}',
        b'{"items":' + b"[" * 200_000,
        b'{"items":[' + b'"\\' * 200_000,
    ],
)
def test_response_that_cannot_be_divided_is_invalid(content):
    with pytest.raises(exceptions.ContentInvalid):
        storeanswers.decode_page(content)


def test_random_bytes_are_decoded_or_invalid():
    rng = random.Random(1)
    whole = b'{"items":[' + GOOD % (1, 5) + b"," + GOOD % (2, 6) + b"]}"
    for _ in range(5000):
        content = bytearray(whole)
        for _ in range(rng.randint(1, 4)):
            content[rng.randrange(len(content))] = rng.choice(
                b'[]{}",:\\ 1ae\xff'
            )
        try:
            storeanswers.decode_page(bytes(content))
        except exceptions.ContentInvalid:
            continue


async def write_all(store, number=0):
    """Write all odd entries, and all odd names."""
    for _, content in odd_entries.ENTRIES:
        number += 1
        await store.write("servers", f"odd{number}", msgspec.Raw(content))
    for name in odd_entries.NAMES:
        await store.write("servers", name, odd_entries.ENTRY)


async def test_store_client_reads_all_objects_beside_odd_ones(deployment):
    client = store_clients.MetadataStore(
        deployment.address, clocks.SystemClock(), 5000.0
    )
    try:
        since = (await client.list("servers")).revision
        await write_all(deployment.store)
        listing = await client.list("servers")
        changes = await client.poll("servers", since)
    finally:
        await client.close()
    count = len(odd_entries.ENTRIES) + len(odd_entries.NAMES)
    assertions.assert_that(
        (len(listing.objects), len(changes.changes)),
        matchers.Equals((count, count)),
    )


async def test_listing_goes_on_after_an_empty_name(deployment):
    client = store_clients.MetadataStore(
        deployment.address, clocks.SystemClock(), 5000.0
    )
    await deployment.store.write("servers", "", "x" * 1_000_000)
    await deployment.store.write("servers", "w1", odd_entries.ENTRY)
    try:
        listing = await client.list("servers")
    finally:
        await client.close()
    assertions.assert_that(
        [stored.name for stored in listing.objects],
        matchers.Equals(["", "w1"]),
    )


async def test_listing_that_repeats_its_parts_is_a_failed_call(monkeypatch):
    client = store_clients.MetadataStore(
        "127.0.0.1:1", clocks.SystemClock(), 5000.0
    )
    content = b'{"items":[' + GOOD % (1, 5) + b'],"has_more":true}'

    async def read(path):
        return connections.ResponseHead(200, []), content

    monkeypatch.setattr(client, "_read", read)
    async with asyncio.timeout(gateway_helpers.WAIT_SECONDS):
        with pytest.raises(exceptions.PlatformUnavailable):
            await client.list("servers")


def test_skipped_entries_are_logged_once_and_few_at_a_time(caplog):
    found = entries.Entries("servers", documents.decode_endpoint)

    def decode(revision):
        caplog.clear()
        content = msgspec.json.encode(odd_entries.ENTRY)
        stored = [
            objects.StoredObject(f"odd{number}", revision, b"[]")
            for number in range(100)
        ]
        stored.append(objects.StoredObject("w1", revision, content))
        assertions.assert_that(found.decode(stored), matchers.HasLength(1))
        return [
            (record.fields["name"], record.fields["skipped"])
            for record in caplog.records
        ]

    logged = [(f"odd{number}", 100) for number in range(entries.MAX_LOGGED)]
    assertions.assert_that(decode(1), matchers.Equals(logged))
    assertions.assert_that(decode(1), matchers.Equals([]))
    assertions.assert_that(decode(2), matchers.Equals(logged))


@pytest.mark.parametrize(
    "content",
    [
        odd_entries.nest(300_000),
        b"[]," * 300_000,
        b'{"a":1},' * 100_000,
        b'"]",' * 200_000,
        b"[[" + b'"a",' * 200_000 + b"]]",
    ],
)
def test_large_content_is_divided_in_few_steps(content):
    # Steps stop the event loop; there is one for each change of the depth.
    steps = sum(1 for _ in storeanswers._BRACKETS.finditer(content))
    assertions.assert_that(steps, matchers.LessThan(6))


# An odd port ended requests with an error inside the host.
async def test_requests_go_to_the_endpoints_beside_odd_entries(
    deployment, caplog
):
    host, (worker,) = await gateway_helpers.serve_plain(deployment)
    await write_all(deployment.store)
    await deployment.add_worker("w9", "ledger")
    await deployment.wait_ready(host, 2)
    for _ in range(20):
        response, _ = await deployment.send(host, "/look/")
        assertions.assert_that(response.status, matchers.Equals(200))
    named = [
        record.fields["name"]
        for record in caplog.records
        if getattr(record, "event", 0) == 4145
    ]
    assertions.assert_that(named, matchers.Not(matchers.Equals([])))
    assertions.assert_that(sorted(set(named)), matchers.Equals(sorted(named)))
    skipped = len(odd_entries.ENTRIES) + len(odd_entries.NAMES)
    assertions.assert_that(
        host._catalog.entries["servers"].skipped, matchers.HasLength(skipped)
    )
    host._catalog.report(host._metrics)
    line = f'chervilshore_store_entries_skipped{{kind="servers"}} {skipped}'
    assertions.assert_that(
        host._metrics.render().decode().splitlines(), matchers.Contains(line)
    )


@pytest.mark.parametrize(
    "address", ["127.0.0.1:65536", "127.0.0.1:x", "127.0.0.1:" + "9" * 5000]
)
async def test_odd_address_is_an_endpoint_that_is_not_reached(address):
    with pytest.raises(exceptions.EndpointUnreached):
        await connectors.DirectConnector().connect(address, 1000.0)
    with pytest.raises(exceptions.RelayUnavailable):
        await tunnels.open_tunnel(address, "127.0.0.1:1", 1000.0)


def write_to(cluster):
    """Write odd entries to the store of a cluster."""
    for number, (_, content) in enumerate(odd_entries.ENTRIES):
        cluster.store.write("servers", f"odd{number}", msgspec.Raw(content))
        cluster.store.write(
            "chervilshore-hosts", f"odd{number}", msgspec.Raw(content)
        )
        cluster.store.write(
            "evacuations", f"odd{number}", msgspec.Raw(content)
        )


def list_known(cluster):
    return [len(host.catalog.endpoints("ledger")) for host in cluster.hosts]


@pytest.mark.parametrize("readers", [0, 1])
def test_hosts_follow_the_list_of_each_other_beside_odd_entries(readers):
    async def run():
        cluster = catalog_helpers.Cluster(5, readers=readers)
        await cluster.start()
        write_to(cluster)
        await cluster.wait(25_000.0)
        cluster.write_endpoint("w2")
        await cluster.wait(catalog_helpers.IN_FORCE_MS)
        assertions.assert_that(list_known(cluster), matchers.Equals([3] * 5))
        for host in cluster.hosts[1:]:
            host.link.cut = True
        await cluster.wait(3000.0)
        write_to(cluster)
        cluster.write_endpoint("w3")
        await cluster.wait(6000.0)
        assertions.assert_that(list_known(cluster), matchers.Equals([4] * 5))
        await cluster.restart(4)
        cluster.hosts[4].link.cut = True
        await cluster.wait(8000.0)
        assertions.assert_that(list_known(cluster), matchers.Equals([4] * 5))

    virtual.run(run())
