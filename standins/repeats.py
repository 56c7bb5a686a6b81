"""Earlier responses that a faulty worker writes once more."""

import asyncio
import random

from aiohttp import web
import msgspec

SHARE = 0.5
"""Share of the occasions at which an earlier response is written again."""

SOON_SECONDS = (0.001, 0.02)
"""Bounds of the time after a response until it is written again at once."""


class Repeat(msgspec.Struct, frozen=True):
    """Which responses are written once more, and when.

    Parameters
    ----------
    refused : bool
        Whether refusals are; otherwise answers of requests that ran.
    named : bool
        Whether the copy names its request.
    elsewhere : bool
        Whether it is written on another connection than the response.
    later : bool
        Whether it is written when a next request runs; otherwise soon after
        the response, whatever the connection carries then.
    fresh : bool
        Whether it is written only on connections that have not carried a
        response yet; otherwise only on kept ones.
    """

    refused: bool = True
    named: bool = True
    elsewhere: bool = False
    later: bool = True
    fresh: bool = False

    @property
    def label(self) -> str:
        """Name for counts."""
        return "-".join(
            (
                "refusal" if self.refused else "answer",
                "named" if self.named else "unnamed",
                "elsewhere" if self.elsewhere else "same",
                "later" if self.later else "soon",
                "fresh" if self.fresh else "kept",
            )
        )


class _Response(msgspec.Struct):
    refused: bool
    status: int
    headers: dict[str, str]
    body: bytes

    def render(self, named: bool) -> bytes:
        lines = [f"HTTP/1.1 {self.status} Repeated"]
        for name, value in self.headers.items():
            if named or name != "Chervilshore-Attempt-Id":
                lines.append(f"{name}: {value}")
        lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + self.body


class Repeater:
    """Keeps the latest responses of a worker and writes them once more.

    Parameters
    ----------
    rng : random.Random
        Chooses the occasions and the connections.

    Attributes
    ----------
    disturbed : list of tuple
        Attempt id of each request whose connection carried a copy before
        its own response, and the label of the repeat.
    """

    def __init__(self, rng: random.Random) -> None:
        self.disturbed: list[tuple[str, str]] = []
        self._random = rng
        # By connection: the latest refusal and the latest answer, and the
        # request that is in progress.
        self._latest: dict[asyncio.Transport, dict[bool, _Response]] = {}
        self._current: dict[asyncio.Transport, str] = {}

    def begin(self, transport: asyncio.Transport, attempt: str) -> None:
        """Note that a request has come."""
        self._current[transport] = attempt
        for known in (self._latest, self._current):
            for one in [one for one in known if one.is_closing()]:
                del known[one]

    def end(
        self,
        transport: asyncio.Transport,
        refused: bool,
        response: web.StreamResponse,
        body: bytes,
        repeat: Repeat | None,
    ) -> None:
        """Keep a response; write it again soon if the fault says so.

        Parameters
        ----------
        transport : Transport
            The connection of the response.
        refused : bool
            Whether it says that its request has not run.
        response : StreamResponse
            Its status and headers.
        body : bytes
            Its complete body.
        repeat : Repeat or None
            The fault.
        """
        self._current.pop(transport, None)
        headers = {
            name: value
            for name, value in response.headers.items()
            if name.startswith("Chervilshore")
        }
        kept = _Response(refused, response.status, headers, body)
        self._latest.setdefault(transport, {})[refused] = kept
        if repeat is None or repeat.later or repeat.refused != refused:
            return
        if self._random.random() < SHARE:
            target = self._choose_other(transport, repeat)
            if target is not None:
                asyncio.get_running_loop().call_later(
                    self._random.uniform(*SOON_SECONDS),
                    self._write,
                    target,
                    kept,
                    repeat,
                )

    def write_earlier(
        self, transport: asyncio.Transport, repeat: Repeat | None
    ) -> None:
        """Write an earlier response while a request runs, if the fault says.

        Parameters
        ----------
        transport : Transport
            The connection of the request.
        repeat : Repeat or None
            The fault.
        """
        if repeat is None or not repeat.later:
            return
        if repeat.fresh == (transport in self._latest):
            return
        source = self._choose_other(transport, repeat)
        kept = self._latest.get(source, {}).get(repeat.refused)
        if kept is not None and self._random.random() < SHARE:
            self._write(transport, kept, repeat)

    def _choose_other(
        self, transport: asyncio.Transport, repeat: Repeat
    ) -> asyncio.Transport | None:
        """Return the other connection of a repeat; may be the same one."""
        if not repeat.elsewhere:
            return transport
        others = [
            one
            for one, kept in self._latest.items()
            if one is not transport
            and (not repeat.later or repeat.refused in kept)
        ]
        return self._random.choice(others) if others else None

    def _write(
        self, transport: asyncio.Transport, kept: _Response, repeat: Repeat
    ) -> None:
        if transport.is_closing():
            return
        if transport in self._current:
            self.disturbed.append((self._current[transport], repeat.label))
        transport.write(kept.render(repeat.named))
