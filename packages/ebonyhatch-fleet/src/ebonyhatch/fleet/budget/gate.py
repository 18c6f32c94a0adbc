"""Admission of new jobs by an entry within the memory of the instances.

An entry accepts small jobs by itself, up to an allowance that is refilled slowly, unless there is too
little memory by the owner's report. For all other jobs it asks the owner. So what is accepted while no
owner answers is bounded.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from ebonyhatch.fleet import messages
from ebonyhatch.fleet.budget import ledger

ALLOWANCE_SHARE = 0.3
"""Share of the budget that all entries together may accept without asking the owner."""

REFILL_S = 60.0
"""Time in which an allowance is refilled, seconds."""

REPORT_VALID_S = 2.0
"""Time for which a report of the owner holds, seconds."""

OWNER_RETRY_AFTER_S = 2.0
"""Retry-After where no owner answers, seconds: about the time of a takeover."""

AskOwner = Callable[[messages.ReserveCall], Awaitable[object | None]]


class Gate:
    """Decides whether a new job may be made durable.

    A job whose outcome is unknown isn't refused: its write may take effect seconds later.
    """

    def __init__(
        self,
        *,
        budget: int,
        ask_owner: AskOwner,
        entry_count: Callable[[], int],
        now: Callable[[], float],
    ) -> None:
        """Creates a gate.

        Args:
            budget: Memory for accepted jobs, bytes.
            ask_owner: Sends a call to the owner; returns None without an answer.
            entry_count: Returns the number of entries.
            now: Returns the monotonic time, seconds.
        """
        self._budget = budget
        self._ask_owner = ask_owner
        self._entry_count = entry_count
        self._now = now
        self._spent = 0.0
        self._spent_at = now()
        self._used_share = 0.0
        self._reported_at = now()

    def report_use(self, used_share: float) -> None:
        """Applies the owner's report of the share of the budget that is in use."""
        self._used_share, self._reported_at = used_share, self._now()

    async def decide(self, job_id: str, price_bytes: int) -> ledger.Decision:
        """Returns whether a job may be accepted; the memory for it is then promised."""
        refusal = ledger.check_size(price_bytes=price_bytes, budget=self._budget)
        if refusal is not None:
            return refusal
        small = price_bytes <= ledger.SMALL_BYTES
        if small and self._has_room(price_bytes) and self._spend(price_bytes):
            return ledger.Decision(granted=True)
        answer = await self._ask_owner(messages.ReserveCall(job_id=job_id, price_bytes=price_bytes))
        if not isinstance(answer, messages.ReserveAnswer) or not answer.acting:
            return ledger.Decision(
                granted=False,
                uncertain=True,
                reason="the owner, which has to be asked about the memory, doesn't answer",
                retry_after_s=OWNER_RETRY_AFTER_S,
            )
        return answer.decision

    async def note_sent(self, job_id: str, price_bytes: int) -> None:
        """Tells the owner of a job whose outcome is unknown, so that it isn't refused meanwhile."""
        await self._ask_owner(
            messages.ReserveCall(job_id=job_id, price_bytes=price_bytes, sent=True)
        )

    def _has_room(self, price_bytes: int) -> bool:
        """Returns False if a job of a price exceeds its limit by the owner's last report."""
        if self._now() - self._reported_at > REPORT_VALID_S:
            return True
        limit = ledger.limit_bytes(price_bytes, budget=self._budget)
        return self._used_share * self._budget + price_bytes <= limit

    def _spend(self, price_bytes: int) -> bool:
        """Takes a price from the allowance; returns False if it doesn't suffice."""
        now = self._now()
        allowance = ALLOWANCE_SHARE * self._budget / max(1, self._entry_count())
        refilled = (now - self._spent_at) / REFILL_S * allowance
        self._spent = max(0.0, self._spent - refilled)
        self._spent_at = now
        if self._spent + price_bytes > allowance:
            return False
        self._spent += price_bytes
        return True
