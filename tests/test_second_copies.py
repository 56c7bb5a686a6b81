"""Answers of the platform, engines and hosts that come once more.

They name no call, so that a second copy of an answer to an earlier call on a
connection could pass for the answer to the next one.
"""

import asyncio

import msgspec
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import client
from chervilshore.clients import connections
from chervilshore.clients import connectors
from chervilshore.clients import endpoints
from chervilshore.clients import engines
from chervilshore.clients import models
from chervilshore.clients import rest
from chervilshore.clients import sessions
from chervilshore import clock as clocks
from chervilshore.decisions import objectcache
from chervilshore.decisions import orders
from chervilshore import exceptions
from chervilshore import objects
from chervilshore.platform import documents
from chervilshore.platform import processes
from chervilshore.platform import store
from chervilshore import records
from tests import repeater_helpers

TIMEOUT_MS = 1000.0
PAUSE_SECONDS = 0.05
"""Longer than a repeater takes to send the second copy."""

BOTH = (repeater_helpers.Copy.AFTER, repeater_helpers.Copy.BEFORE)


class RepeatingPlatform(repeater_helpers.Repeater):
    """A platform that sends its answers twice."""

    def __init__(self):
        super().__init__()
        self.objects = {"taken": (b"of another host", 7)}

    def _answer(self, headers, body):
        key = headers[":path"].removeprefix("/objects/")
        if headers[":method"] == "put":
            if key in self.objects:
                return repeater_helpers.make_answer(status=412)
            self.objects[key] = body, 10 + len(self.objects)
        value, version = self.objects[key]
        return repeater_helpers.make_answer(value, X_Version=version)


@pytest.fixture(params=BOTH)
async def platform(request):
    server = RepeatingPlatform()
    server.copy = request.param
    await server.start()
    yield server
    server.stop()


@pytest.fixture
async def platform_client(platform):
    rest_client = rest.RestPlatform(platform.address, TIMEOUT_MS)
    yield rest_client
    await rest_client.close()


# Guards against two runs for one key: a claim that was not stored, as another
# host's was there, counted as stored by the copy of an earlier answer.
async def test_copy_of_an_answer_to_a_write_does_not_acknowledge_another(
    platform_client,
):
    await platform_client.create("free", b"mine")
    await asyncio.sleep(PAUSE_SECONDS)
    with pytest.raises(exceptions.VersionConflict):
        await platform_client.create("taken", b"mine")


# Guards against a claim, lease or head that is read as it was, or as another.
async def test_copy_of_a_read_object_is_no_other_object(platform_client):
    await platform_client.create("free", b"mine")
    for _ in range(2):
        for key, value in (("free", b"mine"), ("taken", b"of another host")):
            await asyncio.sleep(PAUSE_SECONDS)
            stored = await platform_client.get(key)
            assertions.assert_that(stored.value, matchers.Equals(value))


class RepeatingEngine(repeater_helpers.Repeater):
    """An engine that sends its answers twice; runs orders it is asked to."""

    def _answer(self, headers, body):
        if headers[":method"] == "get":
            last = self.runs[-1] if self.runs else ""
            state = msgspec.json.encode(orders.EngineState(last_order=last))
            return repeater_helpers.make_answer(state)
        if self.refusals:
            return self.refusals.pop(0)
        self.runs.append(msgspec.json.decode(body)["order"])
        return repeater_helpers.make_answer(b"{}")


# Guards against an order that an engine gets twice, as the copy of an earlier
# state says that it has not run, or one that counts as done and has not run.
@pytest.mark.parametrize("copy", BOTH)
async def test_copy_of_an_engines_answer_settles_no_order(copy):
    engine = RepeatingEngine()
    engine.copy = copy
    await engine.start()
    record = records.EndpointRecord("e", "p", "a", engine.address)
    call = engines.OrderCall("o1", orders.OrderKind.LOAD, "m", 1)
    async with sessions.open_single_use() as session:
        engine_client = engines.HttpEngineClient(session)
        await engine_client.read(record, TIMEOUT_MS)
        await asyncio.sleep(PAUSE_SECONDS)
        await engine_client.send(record, call, lambda: True, TIMEOUT_MS)
        await asyncio.sleep(PAUSE_SECONDS)
        state = await engine_client.read(record, TIMEOUT_MS)
        assertions.assert_that(state.last_order, matchers.Equals("o1"))
        await asyncio.sleep(PAUSE_SECONDS)
        engine.refusals = [repeater_helpers.make_answer(status=409)]
        with pytest.raises(exceptions.LeaseLost):
            await engine_client.send(record, call, lambda: True, TIMEOUT_MS)
    engine.stop()


class RepeatingStore(repeater_helpers.Repeater):
    """A metadata store that sends its answers twice.

    Attributes
    ----------
    answers : list of bytes
        The answers to the next calls.
    """

    def __init__(self):
        super().__init__()
        self.answers = []

    def _answer(self, headers, body):
        return self.answers.pop(0)


def make_object(name, revision, **fields):
    return {"metadata": {"name": name, "revision": revision}, **fields}


def make_store_answer(status=200, /, **content):
    return repeater_helpers.make_answer(msgspec.json.encode(content), status)


@pytest.fixture(params=BOTH)
async def metadata_store(request):
    server = RepeatingStore()
    server.copy = request.param
    await server.start()
    yield server
    server.stop()


@pytest.fixture
async def store_client(metadata_store):
    opened = store.MetadataStore(
        metadata_store.address, clocks.SystemClock(), TIMEOUT_MS
    )
    yield opened
    await opened.close()


# Guards against DRAIN: a worker that has left is used again, as an earlier
# answer to a watch shows it ready.
async def test_copy_of_an_answer_to_a_watch_brings_no_object_back(
    metadata_store, store_client
):
    written = {"object": make_object("w0", 8), "deleted": False}
    metadata_store.answers = [
        make_store_answer(events=[written], current_rev=9),
        make_store_answer(events=[], current_rev=12),
    ]
    cache = objectcache.ObjectCache()
    cache.merge(await store_client.watch("servers", 5, 500.0), 0.0)
    await asyncio.sleep(PAUSE_SECONDS)
    # The check of the watch uses another connection.
    removal = objects.Change(objects.StoredObject("w0", 12, b""), removed=True)
    cache.merge(objects.Changes((removal,), 12), 0.0)
    cache.merge(await store_client.poll("servers", cache.revision), 0.0)
    assertions.assert_that(cache.objects, matchers.Equals({}))


# Guards against endpoints that are given up, as the copy of the last page of
# a listing passes for a whole one.
async def test_copy_of_a_page_is_no_listing(metadata_store, store_client):
    def list_pages():
        names = ("w0", "w1")
        return [
            make_store_answer(
                items=[make_object(name, 5)],
                has_more=name != names[-1],
                current_rev=9,
            )
            for name in names
        ]

    metadata_store.answers = list_pages() + list_pages()
    for _ in range(2):
        listing = await store_client.list("servers")
        await asyncio.sleep(PAUSE_SECONDS)
        assertions.assert_that(
            [stored.name for stored in listing.objects],
            matchers.Equals(["w0", "w1"]),
        )


# Guards against a host's own object that counts as stored and is not.
async def test_copy_of_an_answer_acknowledges_no_other_write(
    metadata_store, store_client
):
    metadata_store.answers = [
        make_store_answer(**make_object("one", 8, spec={})),
        make_store_answer(409, **make_object("two", 7, spec={})),
        make_store_answer(409, **make_object("three", 7, spec={})),
    ]
    await store_client.replace("hosts", "one", b"{}", 7)
    for name in ("two", "three"):
        await asyncio.sleep(PAUSE_SECONDS)
        with pytest.raises(exceptions.VersionConflict):
            await store_client.replace("hosts", name, b"{}", 6)


# Guards against the status of a rollout that counts as written and is not.
async def test_copy_of_an_answer_acknowledges_no_other_status(
    metadata_store, store_client
):
    metadata_store.answers = [
        make_store_answer(**make_object("one", 8, status={})),
        make_store_answer(409, **make_object("two", 9, status={})),
    ]
    first, second = (
        objects.StoredObject(name, 7, b"{}") for name in ("one", "two")
    )
    await store_client.put_status("rollouts", first, b"{}")
    await asyncio.sleep(PAUSE_SECONDS)
    with pytest.raises(exceptions.ObjectChanged):
        await store_client.put_status("rollouts", second, b"{}")


class RepeatingHost(repeater_helpers.Repeater):
    """A host that sends its answers twice, as a proxy before it may do."""

    def _answer(self, headers, body):
        request = headers.get("x-request-id", "made-by-the-host")
        content = msgspec.json.encode(
            {
                "request": request,
                "code": 0,
                "family": "DONE",
                "result": msgspec.json.decode(body),
                "end": True,
            }
        )
        return repeater_helpers.make_answer(content, X_Request_Id=request)


# Guards against the answer to an earlier request that a caller takes for its
# own: MIXED, and NOT RUN for a request that runs.
@pytest.mark.parametrize("copy", BOTH)
async def test_callers_take_no_answer_to_another_request(copy):
    host = RepeatingHost()
    host.copy = copy
    await host.start()
    caller = client.Client([host.address], "team")
    for number in range(6):
        body = {"input": number}
        answer = await caller.request("look", body, TIMEOUT_MS)
        assertions.assert_that(answer.result, matchers.Equals(body))
        await asyncio.sleep(PAUSE_SECONDS)
    await caller.close()
    host.stop()


class RefusingService(repeater_helpers.Repeater):
    """A plain service whose refusals name no call."""

    def _answer(self, headers, body):
        return repeater_helpers.make_answer(status=429)


# Guards against NOT RUN by a refusal that names no call.
async def test_refusal_without_a_binding_does_not_say_not_run():
    service = RefusingService()
    await service.start()
    record = records.EndpointRecord("e", "p", "a", service.address)
    opened = endpoints.Sessions()
    call = endpoints.Call(
        records.Binding("r1", "do", 1, "e"), {}, 5000.0, path="/"
    )
    with pytest.raises(exceptions.AnswerMismatch):
        await models.PlainClient(opened).call(record, call)
    await opened.close()
    service.stop()


class ReportingEndpoint(repeater_helpers.Repeater):
    """An endpoint that was started at another time than is listed."""

    def _answer(self, headers, body):
        if headers[":path"] == "/report":
            return repeater_helpers.make_answer(b'{"born": 8}')
        return super()._answer(headers, body)


# Guards against a resumed stream that is sent to another process than the one
# that is listed, as the copy of an earlier answer passed for its report.
async def test_copy_of_an_answer_is_no_report_of_a_process():
    endpoint = ReportingEndpoint()
    endpoint.copy = repeater_helpers.Copy.AFTER
    await endpoint.start()
    connection = await connectors.DirectConnector().connect(
        endpoint.address, TIMEOUT_MS
    )
    connection.send(
        connections.Request(
            "GET",
            "/",
            [("Host", "a"), ("Chervilshore-Attempt-Id", "one")],
        )
    )
    head = await connection.read_head()
    async for _ in connection.read_body():
        pass
    connection.prepare_reuse(head)
    record = records.EndpointRecord(
        "e",
        "p",
        "a",
        endpoint.address,
        instance=documents.make_instance("e", 7),
    )
    with pytest.raises(exceptions.EndpointUnreached):
        await processes.check_process(connection, record)
    connection.close()
    endpoint.stop()
