"""Runs a request that must not be repeated at most once per key."""

import msgspec

from chervilshore import clock as clocks
from chervilshore.controllers import claims as claims_module
from chervilshore.decisions import claims
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore import ids
from chervilshore import results

KEY_HEADER = "idempotency-key"
"""Header with the caller's idempotency key."""

RESEND_HEADER = "x-resend"
"""Header with the number of times that the request was sent before."""

MAX_KEY_CHARS = 200
"""Maximum characters of a key."""

MAX_RESENDS = 1_000_000
"""Highest resend number that is accepted."""

RELEASE_WAIT_FRACTION = 0.5
"""Fraction of the remaining time to wait until a release is stored."""


def read_resend(exchange: base.Exchange) -> int:
    """Return the number of times that the caller sent the request before.

    Raises
    ------
    exceptions.RefusalError
        The header is no integer in the allowed range.
    """
    text = exchange.headers.get(RESEND_HEADER, "0")
    if text.isascii() and text.isdigit() and int(text) <= MAX_RESENDS:
        return int(text)
    raise exceptions.RefusalError(
        results.Code.BAD_HEADER,
        f"{RESEND_HEADER} must be a number from 0 to {MAX_RESENDS}",
    )


def read_key(exchange: base.Exchange) -> ids.IdempotencyKey:
    """Return the idempotency key of a request.

    Raises
    ------
    exceptions.RefusalError
        The key is missing, too long or not printable.
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
    """Prevents a refused resend from saying NOT RUN of an earlier send.

    A request that was sent before may have run then. A refusal that did not
    check the claims must therefore not say NOT RUN; its code becomes
    CLAIM_UNKNOWN. This filter precedes every filter that may refuse.
    """

    async def handle(
        self, exchange: base.Exchange, proceed: base.Proceed
    ) -> base.Answer:
        """Replace the code of such a refusal; see `Filter.handle`."""
        if not exchange.headers.get(KEY_HEADER):
            return await proceed(exchange)
        if exchange.headers.get(RESEND_HEADER, "0") == "0":
            return await proceed(exchange)
        try:
            answer = await proceed(exchange)
        except exceptions.RefusalError as error:
            if self._may_keep_code(exchange, error.code):
                raise
            raise exceptions.RefusalError(
                results.Code.CLAIM_UNKNOWN,
                f"refused with {error.code.value.number} {error.detail}",
                error.retry_after_ms,
            ) from error
        if self._may_keep_code(exchange, answer.code):
            return answer
        return msgspec.structs.replace(
            answer,
            code=results.Code.CLAIM_UNKNOWN,
            detail=f"refused with {answer.code.value.number} {answer.detail}",
        )

    def _may_keep_code(
        self, exchange: base.Exchange, code: results.Code
    ) -> bool:
        if not _is_not_run(code) or exchange.covers_earlier_sends:
            return True
        # The rule has no stages until the pipeline has been looked up.
        is_looked_up = bool(exchange.pipeline.stages)
        return is_looked_up and exchange.pipeline.repeatable


class IdempotencyFilter(base.Filter):
    """Acquires the key before the request is sent, and records the outcome.

    Parameters
    ----------
    claims : Claims
        Acquires keys and stores outcomes.
    clock : Clock
        Measures deadlines.
    """

    def __init__(
        self, claims: claims_module.Claims, clock: clocks.Clock
    ) -> None:
        self._claims = claims
        self._clock = clock

    async def handle(
        self, exchange: base.Exchange, proceed: base.Proceed
    ) -> base.Answer:
        """Run a request or replay its answer; see `Filter.handle`."""
        if exchange.pipeline.repeatable:
            return await proceed(exchange)
        try:
            exchange.key = read_key(exchange)
            resend = read_resend(exchange)
        except exceptions.RefusalError:
            # No send with these headers can have run: each is refused here.
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
        # Once the release is stored, an earlier send that is still in
        # transit is superseded, so NOT RUN is true of all of them.
        remaining_ms = exchange.deadline - self._clock.now()
        wait_ms = max(0.0, remaining_ms * RELEASE_WAIT_FRACTION)
        exchange.covers_earlier_sends = await self._claims.release(
            claim, wait_ms
        )
        return answer


def _replay(recorded: claims.RecordedAnswer) -> base.Answer:
    code = results.BY_NUMBER.get(recorded.number, results.Code.OUTCOME_UNKNOWN)
    return base.Answer(code, recorded.body, recorded.detail, replayed=True)
