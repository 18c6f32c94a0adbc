from __future__ import annotations

import itertools

import msgspec
import pytest
import scripted
from ebonyhatch.fleet import clocks, rows, target_session, targets, task_ends
from returns import result
from twisted.internet import defer, task

LEASE_S = 6.0
PAUSE_S = 0.025
BORN = 5
KEY = targets.RunKey(task="0000000000000001.0.0.0", run=1)
UNKNOWN = result.Failure(targets.UnknownOutcomeError(target_id="t", reason="no answer"))


class SessionCase:
    """A session with a target; its reports can't be applied until `ready` is set."""

    def __init__(
        self,
        *,
        clock: task.Clock | None = None,
        slots: defer.DeferredSemaphore | None = None,
        granted_lease_s: float = LEASE_S,
    ) -> None:
        self.clock = clock or task.Clock()
        self.slots = slots or defer.DeferredSemaphore(1)
        self.target = scripted.ScriptedTarget(clock=self.clock)
        self.ready = False
        self.offered: list[targets.StatusReport] = []
        self.applied: list[targets.StatusReport] = []
        self.lost: list[str] = []
        self.losses: list[rows.Loss | None] = []
        self.changed: list[target_session.TargetSession] = []
        self.stopping = False
        self.durable = 0
        self.may_renew = True
        target = targets.Target(
            target_id="t", address="t:1", pool="p", failure_domain="a", born=BORN
        )
        all_clocks = clocks.MemoryClocks(clock=self.clock)
        self.session = target_session.TargetSession(
            row=rows.TargetRow(target=target),
            port=self.target,
            fence=1,
            lease_s=LEASE_S,
            granted_lease_s=granted_lease_s,
            lease_expires_at=all_clocks.boottime() + target_session.lease_expiry_s(LEASE_S),
            all_clocks=all_clocks,
            on_report=self._on_report,
            on_runs_lost=self._on_runs_lost,
            on_fenced=lambda reason: None,
            on_changed=self.changed.append,
            durable=lambda: self.durable,
            ticket=lambda: 1,
            pause_s=lambda: PAUSE_S,
            scan_slots=self.slots,
            stopping=lambda: self.stopping,
            may_renew=lambda: self.may_renew,
        )

    def report(self, poll: scripted.Poll | None = None, *, born: int = BORN) -> result.Result:
        """Returns a report whose clock is 100 seconds ahead, with one end."""
        ended = targets.Ended(number=1, key=KEY, kind=targets.EndKind.DONE)
        clock_s = self.clock.seconds() + 100.0
        return result.Success(
            targets.StatusReport(clock_s=clock_s, running=(), ended=(ended,), born=born)
        )

    def hold(self) -> None:
        """Starts the session with a target that answers, and lets it hold a report."""
        self.target.respond = self.report
        self.session.start()
        self.advance(1.0)
        assert self.offered and not self.applied

    def list_new_incarnation(self) -> None:
        """Sets the registration as the listing of a restarted target does."""
        row = self.session.row
        row.target = msgspec.structs.replace(row.target, born=BORN + 1)

    def become_ready(self) -> None:
        self.ready = True
        self.session.apply_held_report()

    def advance(self, seconds: float) -> None:
        scripted.advance(self.clock, seconds)

    def _on_runs_lost(self, session, why: str) -> None:
        self.lost.append(why)
        self.losses.append(session.row.loss)

    def _on_report(self, session, report: targets.StatusReport) -> bool:
        self.offered.append(report)
        if self.ready:
            self.applied.append(report)
        return self.ready


def test_held_report_is_applied_once_and_its_ends_too():
    case = SessionCase()
    case.hold()
    held = case.offered[-1]
    case.become_ready()
    assert case.applied == [held] and len(held.ended) == 1
    case.session.apply_held_report()
    assert case.applied == [held]
    case.advance(3.0)
    assert len(case.applied) > 1
    assert all(report.ended == () for report in case.applied[1:])


def test_held_report_does_not_set_the_estimate_of_the_target_s_clock_back():
    case = SessionCase()
    case.hold()
    before = case.session.target_clock_s
    assert before == pytest.approx(101.0, abs=0.02)
    case.become_ready()
    assert case.session.target_clock_s == before


def test_report_that_can_still_not_be_applied_stays_held():
    case = SessionCase()
    case.hold()
    case.session.apply_held_report()
    assert case.applied == []
    case.become_ready()
    assert len(case.applied) == 1


def test_held_report_is_dropped_when_the_lease_expires():
    case = SessionCase()
    case.hold()
    case.target.respond = lambda poll: UNKNOWN
    case.advance(1.5 * LEASE_S)
    assert "lease-lapsed" in case.lost
    case.become_ready()
    assert case.applied == []


def test_held_report_stays_while_polls_fail_and_the_lease_is_valid():
    case = SessionCase()
    case.hold()
    case.target.respond = lambda poll: UNKNOWN
    case.advance(0.5 * LEASE_S)
    assert case.lost == []
    case.become_ready()
    assert len(case.applied) == 1


def test_held_report_is_replaced_by_that_of_a_new_incarnation():
    case = SessionCase()
    case.hold()
    case.target.respond = lambda poll: case.report(born=BORN + 1)
    case.advance(LEASE_S / 2)
    assert case.lost == ["new-life"]
    case.become_ready()
    assert [report.born for report in case.applied] == [BORN + 1]


def test_held_report_is_dropped_when_the_session_is_reset_for_a_new_incarnation():
    case = SessionCase()
    case.hold()
    case.session.reset_for_new_incarnation()
    case.become_ready()
    assert case.applied == []


def test_held_report_is_dropped_when_another_incarnation_refuses():
    case = SessionCase()
    case.hold()
    refused = targets.RefusedError(target_id="t", reason=targets.RefusalReason.OTHER_INCARNATION)
    case.target.respond = lambda poll: result.Failure(refused)
    case.advance(LEASE_S / 2)
    assert "other-life" in case.lost
    case.become_ready()
    assert case.applied == []


def test_lease_is_renewed_each_third_of_it_while_a_report_is_held():
    case = SessionCase()
    case.hold()
    case.advance(4 * LEASE_S)
    first, *renewals = case.target.polls
    assert first.deadline_s == 0.0
    assert [poll.wait_s for poll in case.target.polls] == [0.0] * len(case.target.polls)
    intervals = [later.at - earlier.at for earlier, later in itertools.pairwise(renewals)]
    assert len(intervals) >= 11
    assert intervals == pytest.approx([LEASE_S / 3] * len(intervals), abs=4 * scripted.STEP_S)
    for poll in renewals:
        assert poll.deadline_s == pytest.approx(poll.at + 100.0 + LEASE_S, abs=0.02)
    assert not case.session.lease_expired and case.lost == []


def test_polls_go_on_at_once_when_the_held_report_is_applied():
    case = SessionCase()
    case.hold()
    before = len(case.target.polls)
    case.become_ready()
    assert len(case.target.polls) == before + 1
    assert case.target.polls[-1].at == case.clock.seconds()
    case.advance(0.2)
    assert case.target.polls[-1].wait_s == target_session.POLL_WAIT_S


def test_session_closed_while_a_report_is_held_polls_no_more():
    case = SessionCase()
    case.hold()
    before = len(case.target.polls)
    case.session.close()
    case.become_ready()
    case.advance(LEASE_S)
    assert len(case.target.polls) == before


def _two_sessions() -> tuple[SessionCase, SessionCase]:
    first = SessionCase()
    second = SessionCase(clock=first.clock, slots=first.slots)
    first.session.start()
    second.session.start()
    assert (len(first.target.polls), len(second.target.polls)) == (1, 0)
    return first, second


def test_slot_of_a_first_poll_is_released_when_it_is_answered():
    first, second = _two_sessions()
    first.ready = True
    first.target.polls[0].answer.callback(first.report())
    assert len(second.target.polls) == 1


def test_slot_of_a_first_poll_is_released_when_it_fails():
    first, second = _two_sessions()
    first.target.polls[0].answer.callback(UNKNOWN)
    assert len(second.target.polls) == 1


def test_slot_of_a_first_poll_is_released_when_the_session_is_closed():
    first, second = _two_sessions()
    first.session.close()
    assert len(second.target.polls) == 1


def test_session_closed_while_it_waits_for_a_slot_takes_none():
    first, second = _two_sessions()
    second.session.close()
    first.session.close()
    assert second.target.polls == []
    assert first.slots.tokens == 1 and first.slots.waiting == []


def test_target_that_does_not_answer_takes_no_slot_after_its_first_failure():
    case = SessionCase()
    case.session.start()
    assert case.slots.tokens == 0
    case.target.polls[0].answer.callback(UNKNOWN)
    case.advance(0.1)
    assert len(case.target.polls) == 2 and not case.target.polls[1].answer.called
    assert case.slots.tokens == 1


def test_waiting_poll_takes_no_slot():
    case = SessionCase()
    case.ready = True
    case.session.start()
    for number in range(2):
        case.target.polls[number].answer.callback(case.report())
        case.advance(0.1)
    assert case.target.polls[2].wait_s == target_session.POLL_WAIT_S
    assert case.slots.tokens == 1


def test_held_report_of_an_earlier_incarnation_is_not_applied_once_a_new_one_is_listed():
    case = SessionCase()
    case.hold()
    case.list_new_incarnation()
    case.become_ready()
    assert case.applied == []
    case.advance(LEASE_S / 2)
    assert case.applied == []
    case.target.respond = lambda poll: case.report(born=BORN + 1)
    case.advance(LEASE_S / 2)
    assert case.applied and {report.born for report in case.applied} == {BORN + 1}


def test_reports_of_a_restarted_target_that_was_listed_first_are_applied_at_once():
    case = SessionCase()
    case.ready = True
    case.target.respond = case.report
    case.session.start()
    case.advance(1.0)
    before = len(case.applied)
    case.list_new_incarnation()
    case.session.reset_for_new_incarnation()
    restarted_at = case.clock.seconds()

    def report_of_restarted(poll: scripted.Poll) -> result.Result:
        clock_s = case.clock.seconds() - restarted_at + 0.001
        return result.Success(
            targets.StatusReport(clock_s=clock_s, running=(), ended=(), born=BORN + 1)
        )

    case.target.respond = report_of_restarted
    case.advance(0.2)
    polls = [poll for poll in case.target.polls if poll.at >= restarted_at]
    reports = case.applied[before:]
    assert [report.born for report in reports] == [BORN + 1] * len(polls)
    assert polls and reports[0].clock_s < 0.2
    assert case.session.target_clock_s < 1.0
    assert case.lost == []


def test_slot_of_a_first_poll_without_an_answer_is_given_to_the_next_one_once():
    first, second = _two_sessions()
    first.advance(target_session.SCAN_SLOT_S - 2 * scripted.STEP_S)
    assert second.target.polls == []
    first.advance(4 * scripted.STEP_S)
    assert len(second.target.polls) == 1
    first.target.polls[0].answer.callback(UNKNOWN)
    assert first.slots.tokens == 0
    second.session.close()
    assert first.slots.tokens == 1


def test_session_of_a_stopping_owner_sends_no_first_poll_when_it_gets_a_slot():
    first, second = _two_sessions()
    second.stopping = True
    first.target.polls[0].answer.callback(UNKNOWN)
    assert second.target.polls == []
    assert first.slots.tokens == 1


def test_session_reports_its_target_as_changed_when_its_reachability_or_incarnation_changes():
    case = SessionCase()
    case.hold()
    assert case.changed == []
    case.target.respond = lambda poll: UNKNOWN
    case.advance(LEASE_S / 2)
    assert not case.session.row.reachable and len(case.changed) == 1
    case.target.respond = lambda poll: case.report(born=BORN + 1)
    case.advance(LEASE_S / 2)
    assert case.session.row.reachable and case.session.row.target.born == BORN + 1
    assert case.changed == [case.session] * 3


def test_ends_are_not_acknowledged_to_a_target_that_may_have_restarted_meanwhile():
    case = SessionCase()
    case.ready = True
    case.target.respond = case.report
    case.session.start()
    case.advance(1.0)
    case.durable = 1
    case.advance(0.5)
    assert case.target.polls[-1].acknowledged == 1
    case.target.respond = lambda poll: UNKNOWN
    case.advance(1.0)
    case.target.respond = lambda poll: case.report(poll, born=BORN + 1)
    first_after = len(case.target.polls)
    case.advance(1.0)
    assert case.target.polls[first_after].acknowledged == 0


def test_ends_are_acknowledged_again_once_the_same_incarnation_answers():
    case = SessionCase()
    case.ready = True
    case.target.respond = case.report
    case.session.start()
    case.advance(1.0)
    case.durable = 1
    case.target.respond = lambda poll: UNKNOWN
    case.advance(1.0)
    assert all(poll.acknowledged == 0 for poll in case.target.polls[-2:])
    case.target.respond = case.report
    case.advance(1.0)
    assert case.target.polls[-1].acknowledged == 1


def test_lease_is_not_renewed_while_the_owner_may_not():
    case = SessionCase()
    case.ready = True
    case.target.respond = case.report
    case.session.start()
    case.advance(1.0)
    assert case.target.polls[-1].deadline_s > 0.0
    case.may_renew = False
    case.advance(LEASE_S)
    assert case.target.polls[-1].deadline_s == 0.0
    case.advance(1.0)
    assert case.session.lease_expired and case.session.row.reachable


def _fail(case: SessionCase, *, times: int, timed_out: bool) -> None:
    """Lets the next polls fail, and those after them succeed."""
    failure = targets.UnknownOutcomeError(target_id="t", reason="no answer", timed_out=timed_out)
    remaining = [result.Failure(failure)] * times
    respond = case.target.respond
    case.target.respond = lambda poll: remaining.pop() if remaining else respond(poll)


def _case_with_reports() -> SessionCase:
    case = SessionCase()
    case.ready = True
    case.target.respond = case.report
    case.session.start()
    case.advance(1.0)
    case.session.row.last_report_at = 0.7
    return case


@pytest.mark.parametrize(("timed_out", "from_s"), [(True, 0.7), (False, None)])
def test_loss_lasts_from_the_last_sign_of_life_to_the_first_unanswered_poll(timed_out, from_s):
    case = _case_with_reports()
    _fail(case, times=1_000, timed_out=timed_out)
    case.advance(1.0)
    loss = case.session.row.loss
    assert 1.0 < loss.by_s < 1.1
    assert loss.from_s == (loss.by_s if from_s is None else from_s)
    assert not loss.ended


def test_target_that_answers_again_without_a_crash_was_not_lost():
    case = _case_with_reports()
    _fail(case, times=4, timed_out=False)
    case.advance(2.0)
    assert case.session.row.reachable
    assert case.session.row.loss is None


def test_loss_of_a_target_that_is_back_as_a_new_incarnation_lasts_until_its_report():
    case = _case_with_reports()
    _fail(case, times=4, timed_out=False)
    case.advance(0.1)
    before = case.session.row.loss
    case.target.respond = lambda poll: case.report(born=BORN + 1)
    case.advance(1.0)
    assert case.lost == ["new-life"]
    assert case.losses == [before]
    assert case.session.row.loss is None


def test_crash_between_two_answered_polls_is_a_loss_between_them():
    case = _case_with_reports()
    case.target.respond = lambda poll: case.report(born=BORN + 1)
    case.advance(1.1)
    (loss,) = case.losses
    assert (loss.from_s, loss.by_s > 1.0) == (0.7, True)


def test_lease_after_a_restart_counts_as_long_as_the_target_grants():
    """Guards against a second run: a renewal that crosses a restart gets the longest lease there."""
    case = SessionCase(granted_lease_s=10.0)
    case.ready = True
    case.target.respond = case.report
    case.session.start()
    case.advance(1.0)
    case.target.respond = lambda poll: case.report(born=BORN + 1)
    while not case.lost:
        case.advance(scripted.STEP_S)
    restarted_at = case.clock.seconds()
    case.target.respond = lambda poll: UNKNOWN
    assert case.session.row.recently_restarted
    while case.lost == [task_ends.NEW_INCARNATION]:
        case.advance(scripted.STEP_S)
    assert case.lost[1] == task_ends.LEASE_EXPIRED
    assert case.clock.seconds() - restarted_at >= target_session.lease_expiry_s(10.0)
    case.advance(1.0)
    assert not case.session.row.recently_restarted
