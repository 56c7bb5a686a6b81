"""Decodes JSON that other programs have written."""

import typing

import msgspec

from chervilshore import exceptions

MAX_REASON_LENGTH = 200

MAX_NAME_LENGTH = 256
"""Characters of the longest name; names are in headers, logs and messages."""

Name = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]


def decode(decoder: msgspec.json.Decoder, content: bytes) -> typing.Any:
    """Decode a JSON document of any content.

    Raises
    ------
    exceptions.ContentInvalid
        It is not JSON, has not the expected fields or is nested too deeply.
    """
    try:
        return decoder.decode(content)
    except (msgspec.DecodeError, RecursionError) as error:
        reason = f"{type(error).__name__} {error}"
        raise exceptions.ContentInvalid(reason[:MAX_REASON_LENGTH]) from error
