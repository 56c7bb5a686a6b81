"""Client for model engines that generate text as an event stream."""

from collections import abc as collections_abc

import aiohttp
import msgspec

from chervilshore.clients import endpoints
from chervilshore import contents
from chervilshore import exceptions
from chervilshore import records

COMPLETIONS_PATH = "/v1/completions"
DATA_PREFIX = b"data:"
END_MARKER = b"[DONE]"
DEFAULT_MAX_TOKENS = 64


class Choice(msgspec.Struct):
    """A part of the generated text."""

    text: str
    finish_reason: str | None = None


class Usage(msgspec.Struct):
    """Number of tokens generated up to and including this chunk."""

    completion_tokens: int = 0


class Chunk(msgspec.Struct):
    """One event of a completion stream."""

    choices: list[Choice]
    usage: Usage | None = None


_CHUNK_DECODER = msgspec.json.Decoder(Chunk)


class CompletionClient(endpoints.EndpointClient):
    """Streams a completion and checks that no token is missing."""

    async def call(
        self, record: records.EndpointRecord, call: endpoints.Call
    ) -> endpoints.Reply:
        """Generate text; see `EndpointClient.call`.

        Raises `EndpointBroken` if the stream has no finish reason or no
        end marker, or if the token count that the engine reports differs
        from the number of tokens received.
        """
        body = {
            "model": call.model,
            "prompt": build_prompt(call.value),
            "max_tokens": call.value.get("max_tokens", DEFAULT_MAX_TOKENS),
            "stream": True,
            "priority": call.priority,
            "resume_from": call.skip_tokens,
        }
        async with self._post(
            record, COMPLETIONS_PATH, body, call
        ) as response:
            reply = endpoints.make_reply(response)
            text = _CompletionText(call)
            async for chunk in _read_chunks(response):
                await text.add(chunk)
            text.check()
        reply.value = {"text": "".join(text.parts), "tokens": text.token_count}
        return reply


class _CompletionText:
    """Joins the text of a stream and checks that no chunk is missing."""

    def __init__(self, call: endpoints.Call) -> None:
        self.parts: list[str] = []
        self.token_count = call.skip_tokens
        self._call = call
        self._has_finish_reason = False
        self._reported_tokens = None

    async def add(self, chunk: Chunk) -> None:
        choice = chunk.choices[0]
        if choice.finish_reason is not None:
            self._has_finish_reason = True
            self._reported_tokens = (
                chunk.usage and chunk.usage.completion_tokens
            )
        if not choice.text:
            return
        self.parts.append(choice.text)
        self.token_count += 1
        if self._call.text_sink is not None:
            await self._call.text_sink(choice.text)

    def check(self) -> None:
        if not self._has_finish_reason:
            raise exceptions.EndpointBroken(
                "completion stream has no finish reason"
            )
        if (
            self._reported_tokens is not None
            and self._reported_tokens != self.token_count
        ):
            raise exceptions.EndpointBroken(
                f"received {self.token_count} tokens, engine reported "
                f"{self._reported_tokens}"
            )


async def _read_chunks(
    response: aiohttp.ClientResponse,
) -> collections_abc.AsyncIterator[Chunk]:
    async for line in response.content:
        if not line.startswith(DATA_PREFIX):
            continue
        data = line[len(DATA_PREFIX) :].strip()
        if data == END_MARKER:
            return
        try:
            yield contents.decode(_CHUNK_DECODER, data)
        except exceptions.ContentInvalid as error:
            raise exceptions.EndpointBroken(str(error)) from error
    raise exceptions.EndpointBroken("completion stream ended without [DONE]")


def build_prompt(value: dict) -> str:
    """Build the prompt from the retrieved documents and the input."""
    documents = value.get("documents", ())
    lines = [document["text"] for document in documents]
    return "\n".join([*lines, str(value.get("input", ""))])
