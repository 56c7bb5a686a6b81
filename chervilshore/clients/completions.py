"""Calls to model engines that generate text."""

from collections import abc as collections_abc

import aiohttp
import msgspec

from chervilshore.clients import endpoints
from chervilshore import exceptions
from chervilshore import records

PATH = "/v1/completions"
DATA_PREFIX = b"data:"
END_OF_STREAM = b"[DONE]"
DEFAULT_TOKENS = 64


class Choice(msgspec.Struct):
    """A piece of the generated text."""

    text: str
    finish_reason: str | None = None


class Usage(msgspec.Struct):
    """How many tokens there are up to this piece."""

    completion_tokens: int = 0


class Chunk(msgspec.Struct):
    """One event of a completion stream."""

    choices: list[Choice]
    usage: Usage | None = None


_CHUNK = msgspec.json.Decoder(Chunk)


class CompletionClient(endpoints.EndpointClient):
    """Streams a completion and counts its tokens."""

    async def call(
        self, record: records.EndpointRecord, call: endpoints.Call
    ) -> endpoints.Reply:
        """Generate text; see `EndpointClient.call`.

        The reply is whole only when the engine has said why it stopped,
        how many tokens there are, and that the stream has ended.
        """
        body = {
            "model": call.model,
            "prompt": write_prompt(call.value),
            "max_tokens": call.value.get("max_tokens", DEFAULT_TOKENS),
            "stream": True,
            "priority": call.priority,
            "resume_from": call.skip_tokens,
        }
        async with self._post(record, PATH, body, call) as response:
            reply = endpoints.make_reply(response)
            joined = _Text(call)
            async for chunk in _read_chunks(response):
                await joined.add(chunk)
            joined.check()
        reply.value = {"text": "".join(joined.pieces), "tokens": joined.count}
        return reply


class _Text:
    """Joins the pieces of a stream and checks that none is missing."""

    def __init__(self, call: endpoints.Call) -> None:
        self.pieces: list[str] = []
        self.count = call.skip_tokens
        self._call = call
        self._stopped = False
        self._told = None

    async def add(self, chunk: Chunk) -> None:
        choice = chunk.choices[0]
        if choice.finish_reason is not None:
            self._stopped = True
            self._told = chunk.usage and chunk.usage.completion_tokens
        if not choice.text:
            return
        self.pieces.append(choice.text)
        self.count += 1
        if self._call.text_sink is not None:
            await self._call.text_sink(choice.text)

    def check(self) -> None:
        if not self._stopped:
            raise exceptions.EndpointBroken("the stream ended short")
        if self._told is not None and self._told != self.count:
            raise exceptions.EndpointBroken(
                f"{self.count} tokens came, {self._told} were told"
            )


async def _read_chunks(
    response: aiohttp.ClientResponse,
) -> collections_abc.AsyncIterator[Chunk]:
    async for line in response.content:
        if not line.startswith(DATA_PREFIX):
            continue
        data = line[len(DATA_PREFIX) :].strip()
        if data == END_OF_STREAM:
            return
        try:
            yield _CHUNK.decode(data)
        except msgspec.DecodeError as error:
            raise exceptions.EndpointBroken(str(error)) from error
    raise exceptions.EndpointBroken("the stream has no end mark")


def write_prompt(value: dict) -> str:
    """Write the prompt from the input and the documents found for it."""
    documents = value.get("documents", ())
    lines = [document["text"] for document in documents]
    return "\n".join([*lines, str(value.get("input", ""))])
