"""At most one run of a request that may not be repeated."""

import msgspec

from chervilshore import clock as clocks
from chervilshore.controllers import claims as claims_module
from chervilshore.decisions import claims
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore import ids
from chervilshore import results

KEY_HEADER = "idempotency-key"
"""The header with the caller's key."""

RESEND_HEADER = "x-resend"
"""The header that tells how often a request was sent before."""

MAX_KEY_CHARS = 200
"""Characters of a key at most."""

MAX_RESENDS = 1_000_000
"""The highest resend number that is taken."""

RELEASE_WAIT_FRACTION = 0.5
"""Share of what is left of a deadline to wait until a refusal is stored."""


def read_resend(exchange: base.Exchange) -> int:
    """Read how often the caller sent the request before.

    Raises
    ------
    exceptions.RefusalError
        The header is not a number that is allowed.
    """
    text = exchange.headers.get(RESEND_HEADER, "0")
    if text.isascii() and text.isdigit() and int(text) <= MAX_RESENDS:
        return int(text)
    raise exceptions.RefusalError(
        results.Code.BAD_HEADER,
        f"{RESEND_HEADER} must be a number from 0 to {MAX_RESENDS}",
    )


def read_key(exchange: base.Exchange) -> ids.IdempotencyKey:
    """Read the idempotency key.

    Raises
    ------
    exceptions.RefusalError
        There is none, or it is not allowed.
    """
    text = exchange.headers.get(KEY_HEADER, "")
    if not text:
        raise exceptions.RefusalError(
            results.Code.KEY_NEEDED,
            f"{exchange.pipeline_name} may not be repeated; "
            f"send the header {KEY_HEADER}",
        )
    if len(text) > MAX_KEY_CHARS or not text.isprintable():
        raise exceptions.RefusalError(
            results.Code.BAD_HEADER,
            f"{KEY_HEADER} must be 1 to {MAX_KEY_CHARS} printable characters",
        )
    return ids.IdempotencyKey(text)


def _is_not_run(code: results.Code) -> bool:
    return code.value.family is results.Family.NOT_RUN


class ResendFilter(base.Filter):
    """Keeps a refusal of a resend from denying an earlier send.

    It stands before every filter that may refuse. A request that was
    sent before may have run then, so that a refusal which did not look
    at the claims must not say NOT RUN.
    """

    async def handle(
        self, exchange: base.Exchange, proceed: base.Proceed
    ) -> base.Answer:
        """Pass a request on; see `Filter.handle`."""
        if not exchange.headers.get(KEY_HEADER):
            return await proceed(exchange)
        if exchange.headers.get(RESEND_HEADER, "0") == "0":
            return await proceed(exchange)
        try:
            answer = await proceed(exchange)
        except exceptions.RefusalError as error:
            if self._may_say_not_run(exchange, error.code):
                raise
            raise exceptions.RefusalError(
                results.Code.CLAIM_UNKNOWN,
                f"refused with {error.code.value.number} {error.detail}",
                error.retry_after_ms,
            ) from error
        if self._may_say_not_run(exchange, answer.code):
            return answer
        return msgspec.structs.replace(
            answer,
            code=results.Code.CLAIM_UNKNOWN,
            detail=f"refused with {answer.code.value.number} {answer.detail}",
        )

    def _may_say_not_run(
        self, exchange: base.Exchange, code: results.Code
    ) -> bool:
        if not _is_not_run(code) or exchange.covers_earlier_sends:
            return True
        # Without stages the pipeline's rule has not been looked up yet.
        known = bool(exchange.pipeline.stages)
        return known and exchange.pipeline.repeatable


class IdempotencyFilter(base.Filter):
    """Claims the key before anything is sent, and keeps the outcome.

    Parameters
    ----------
    claims : Claims
        Claims keys in the platform.
    clock : Clock
        The clock of the deadlines.
    """

    def __init__(
        self, claims: claims_module.Claims, clock: clocks.Clock
    ) -> None:
        self._claims = claims
        self._clock = clock

    async def handle(
        self, exchange: base.Exchange, proceed: base.Proceed
    ) -> base.Answer:
        """Handle a request; see `Filter.handle`."""
        if exchange.pipeline.repeatable:
            return await proceed(exchange)
        try:
            exchange.key = read_key(exchange)
            resend = read_resend(exchange)
        except exceptions.RefusalError:
            # No send of such a request can have been run.
            exchange.covers_earlier_sends = True
            raise
        claim = self._claims.make_claim(
            claims.digest_key(
                exchange.team, exchange.pipeline.name, exchange.key
            ),
            exchange.raw,
            resend,
            exchange.deadline - self._clock.now(),
        )
        verdict = await self._claims.claim(claim, exchange.deadline)
        if verdict.state is claims.VerdictState.GRANTED:
            return await self._run(exchange, proceed, claim)
        return self._answer_without_run(exchange, verdict, resend)

    def _answer_without_run(
        self,
        exchange: base.Exchange,
        verdict: claims.Verdict,
        resend: int,
    ) -> base.Answer:
        state = claims.VerdictState
        if verdict.state is state.REPLAY:
            return _replay(verdict.recorded)
        if verdict.state is state.OPEN:
            raise exceptions.RefusalError(
                results.Code.CLAIM_OPEN,
                "ask again later with the same key",
            )
        if verdict.state is state.REUSED:
            exchange.covers_earlier_sends = True
            raise exceptions.RefusalError(
                results.Code.KEY_REUSED, "use a new key for a new request"
            )
        if verdict.state is state.SUPERSEDED:
            exchange.covers_earlier_sends = True
            raise exceptions.RefusalError(
                results.Code.KEY_SUPERSEDED,
                f"send it with {RESEND_HEADER}: {verdict.resend + 1}",
            )
        code = results.Code.PLATFORM_DOWN
        if resend:
            code = results.Code.CLAIM_UNKNOWN
        raise exceptions.RefusalError(code, "the claim could not be stored")

    async def _run(
        self,
        exchange: base.Exchange,
        proceed: base.Proceed,
        claim: claims.Claim,
    ) -> base.Answer:
        answer = None
        try:
            answer = await proceed(exchange)
        except exceptions.RefusalError as error:
            answer = base.Answer(
                error.code, b"", error.detail, error.retry_after_ms
            )
        except Exception as error:
            if not exchange.dispatched:
                raise
            detail = f"it ended with {type(error).__name__}"
            answer = base.Answer(results.Code.OUTCOME_UNKNOWN, detail=detail)
        finally:
            if answer is None:
                await self._record_cancelled(exchange, claim)
        return await self._record_answer(exchange, claim, answer)

    async def _record_cancelled(
        self, exchange: base.Exchange, claim: claims.Claim
    ) -> None:
        if exchange.dispatched:
            code = results.Code.OUTCOME_UNKNOWN.value.number
            recorded = claims.RecordedAnswer(code, b"", "it was cancelled")
            await self._claims.record(claim, recorded)
            return
        await self._claims.release(claim)

    async def _record_answer(
        self,
        exchange: base.Exchange,
        claim: claims.Claim,
        answer: base.Answer,
    ) -> base.Answer:
        if _is_not_run(answer.code):
            if not exchange.dispatched:
                return await self._release_refused(exchange, claim, answer)
            answer = msgspec.structs.replace(
                answer, code=results.Code.OUTCOME_UNKNOWN
            )
        recorded = claims.RecordedAnswer(
            answer.code.value.number, answer.body, answer.detail
        )
        await self._claims.record(claim, recorded)
        return answer

    async def _release_refused(
        self,
        exchange: base.Exchange,
        claim: claims.Claim,
        answer: base.Answer,
    ) -> base.Answer:
        if not claim.resend:
            await self._claims.release(claim)
            return answer
        # Once the release is stored, an earlier send that is still on its
        # way comes too late, and so NOT RUN holds for all of them.
        left = exchange.deadline - self._clock.now()
        wait = max(0.0, left * RELEASE_WAIT_FRACTION)
        exchange.covers_earlier_sends = await self._claims.release(claim, wait)
        return answer


def _replay(recorded: claims.RecordedAnswer) -> base.Answer:
    code = results.BY_NUMBER.get(recorded.number, results.Code.OUTCOME_UNKNOWN)
    return base.Answer(code, recorded.body, recorded.detail, replayed=True)
