"""Checks the syntax of a request: headers, names and body."""

import msgspec

from chervilshore.controllers import configuration
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore.filters import idempotency
from chervilshore import ids
from chervilshore import results

MAX_TOKENS = 32_768
"""Maximum value of `max_tokens` in a request."""

MAX_HEADER_CHARS = 4096
"""Maximum characters of the value of a header."""

_BODY = msgspec.json.Decoder(dict)


class DecodeFilter(base.Filter):
    """Decodes a request and fixes the generation of rules that it uses.

    Parameters
    ----------
    configuration : Configuration
        Provides the active rules.
    """

    def __init__(self, configuration: configuration.Configuration) -> None:
        self._configuration = configuration

    async def handle(
        self, exchange: base.Exchange, proceed: base.Proceed
    ) -> base.Answer:
        """Check the syntax of a request; see `Filter.handle`."""
        rules = self._configuration.rules
        if not rules.generation:
            raise exceptions.RefusalError(results.Code.NOT_READY)
        exchange.rules = rules
        self._check_headers(exchange)
        exchange.pipeline = self._find_pipeline(exchange)
        exchange.team = self._find_team(exchange)
        exchange.key = self._read_key(exchange)
        exchange.body = self._read_body(exchange)
        return await proceed(exchange)

    def _check_headers(self, exchange: base.Exchange) -> None:
        for name, value in exchange.headers.items():
            if len(value) > MAX_HEADER_CHARS:
                raise exceptions.RefusalError(
                    results.Code.BAD_HEADER,
                    f"{name[:80]} is over {MAX_HEADER_CHARS} characters",
                )

    def _find_pipeline(self, exchange: base.Exchange):
        found = exchange.rules.pipelines.get(exchange.pipeline_name)
        if found is None:
            raise exceptions.RefusalError(
                results.Code.UNKNOWN_PIPELINE, exchange.pipeline_name[:80]
            )
        return found

    def _find_team(self, exchange: base.Exchange) -> ids.TeamId:
        team = ids.TeamId(exchange.headers.get("x-team", ""))
        if team not in exchange.rules.teams:
            raise exceptions.RefusalError(results.Code.UNKNOWN_TEAM, team[:80])
        return team

    def _read_key(self, exchange: base.Exchange) -> ids.IdempotencyKey:
        given = idempotency.KEY_HEADER in exchange.headers
        if exchange.pipeline.repeatable and not given:
            return ids.IdempotencyKey("")
        return idempotency.read_key(exchange)

    def _read_body(self, exchange: base.Exchange) -> dict:
        try:
            body = _BODY.decode(exchange.raw)
        except (msgspec.DecodeError, RecursionError) as error:
            raise exceptions.RefusalError(
                results.Code.BAD_JSON, str(error)
            ) from error
        if not exchange.pipeline.path:
            self._check_model_body(body)
        return body

    def _check_model_body(self, body: dict) -> None:
        if not isinstance(body.get("input"), str):
            raise exceptions.RefusalError(
                results.Code.BAD_JSON, "input must be a string"
            )
        tokens = body.get("max_tokens", 1)
        is_integer = isinstance(tokens, int) and not isinstance(tokens, bool)
        if not is_integer or not 1 <= tokens <= MAX_TOKENS:
            raise exceptions.RefusalError(
                results.Code.BAD_JSON,
                f"max_tokens must be an integer from 1 to {MAX_TOKENS}",
            )
