"""One term of the owner: recovery, target sessions, the scheduler and its journal.

The owner is the one entry (an instance that runs the daemon) that places tasks. Each takeover begins
a new term; its number fences the writes and orders of the owners before it.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable

from ebonyhatch.fleet import (
    cancellations,
    change_feed,
    clocks,
    commands,
    crash_blame,
    decision_log,
    fleet_counts,
    journal,
    keys,
    known_targets,
    loop_turns,
    model_snapshot,
    progress,
    queues,
    reach,
    recovery,
    rows,
    scheduler,
    silent_targets,
    store,
    supervision,
    suspension,
    target_list,
    target_session,
    targets,
    task_ends,
)
from ebonyhatch.fleet.budget import accounts
from ebonyhatch.fleet.evacuation import requests as evacuation_requests
from ebonyhatch.fleet.lookahead import policy
from ebonyhatch.fleet.orders import sender
from ebonyhatch.fleet.takeover import leases, stabilization
from ebonyhatch.node import coroutines
from twisted.internet import defer

MIN_TICK_INTERVAL_S = 0.008
"""Minimum time between two ticks, seconds. Events that arrive together are handled in one tick."""

MAX_TICK_INTERVAL_S = 0.25
"""Maximum time between two ticks, seconds; bounds how late a hung run is detected."""

MAX_TICK_SHARE = 0.4
"""Maximum share of the loop's time that decisions take, so that renewals and answers are not held
up; the orders that follow from them are limited by `sender.MAX_ORDERS_IN_FLIGHT`."""

MAX_SCANS_IN_FLIGHT = 32
"""Maximum number of polls that ask for an immediate answer, over all targets."""


class Owner:
    """Owner for one term, from `start` until `close`."""

    def __init__(
        self,
        *,
        term: int,
        head_revision: int,
        store_port: store.Store,
        targets_port: targets.Targets,
        target_codec: target_list.TargetCodec,
        evacuations: evacuation_requests.EvacuationRequests,
        all_clocks: clocks.Clocks,
        granted_lease_s: float,
        former_lease_s: float,
        keep_ended_s: float,
        entry_lease_s: float,
        lease_valid: Callable[[], bool],
        store_reachable: Callable[[], bool],
        on_superseded: Callable[[str], None],
        poll_pause_s: Callable[[], float],
        silent: silent_targets.Inherited,
        job_budget_bytes: int,
        term_beginnings: silent_targets.TermBeginnings,
        link_bytes_per_s: float = 0.0,
        learn_target_speed: bool = False,
        refuse_late_work: bool = False,
        placement_policy: str = policy.DEFAULT,
    ) -> None:
        self._term = term
        self._store = store_port
        self._targets_port = targets_port
        self._clocks = all_clocks
        self._leases = leases.Leases(
            granted_s=granted_lease_s,
            former_s=former_lease_s,
            began_at=all_clocks.boottime(),
        )
        self._lease_valid = lease_valid
        self._store_reachable = store_reachable
        self._on_superseded = on_superseded
        self._poll_pause_s = poll_pause_s
        self._scan_slots = defer.DeferredSemaphore(MAX_SCANS_IN_FLIGHT)
        self._ticks = 0
        self._ticks_held_back = 0
        self._tick_seconds = 0.0
        self._tick_took_s = 0.0
        self._group = coroutines.CoroutineGroup(clock=all_clocks.loop)
        self._evacuations = evacuations
        self._scheduler = scheduler.Scheduler(
            decide=decision_log.decide,
            requests=evacuations.domains,
            learn_target_speed=learn_target_speed,
            refuse_late_work=refuse_late_work,
            placement_policy=placement_policy,
        )
        self._scheduler.begin_term(term)
        self._counts = fleet_counts.FleetCounts(
            all_tables=self._scheduler.tables, all_clocks=all_clocks
        )
        self._configuration = queues.Configuration(version=0)
        self._sessions: dict[str, target_session.TargetSession] = {}
        self._orders = sender.OrderSender(
            all_clocks=all_clocks,
            group=self._group,
            orders=self._scheduler,
            sessions=self._sessions,
            schedule_tick=self._schedule_tick,
        )
        self._listed: dict[str, targets.Target] = {}
        self._targets = target_list.TargetList(
            store_port=store_port,
            target_codec=target_codec,
            all_clocks=all_clocks,
            group=self._group,
            on_change=self._on_targets_changed,
        )
        self._recovery = recovery.Recovery(
            store_port=store_port, all_clocks=all_clocks, group=self._group
        )
        self._began_at = all_clocks.now()
        self._accounts = accounts.JobAccounts(
            budget=job_budget_bytes,
            first_term=term == 1,
            keep_ended_s=keep_ended_s,
            all_clocks=all_clocks,
        )
        self._journal = journal.Journal(
            store_port=store_port,
            all_clocks=all_clocks,
            term=term,
            head_revision=head_revision,
            collect_changed=self._collect_changed_jobs,
            collect_auxiliary_records=self._collect_auxiliary_records,
            collect_expired=self._accounts.pop_due,
            on_removed=self._on_removed,
            on_durable=self._on_durable,
            on_auxiliary_durable=self._announce_targets,
            on_rejected=self._on_progress_rejected,
            on_superseded=on_superseded,
            link_bytes_per_s=link_bytes_per_s,
            longest_lease_s=lambda: self._leases.longest_s(at=all_clocks.boottime()),
        )
        self._silent = silent_targets.SilentTargets(
            term=term,
            inherited=silent,
            beginnings=term_beginnings,
            all_clocks=all_clocks,
            listed=lambda: self._listed,
            runs_end_by=self._runs_end_by,
            request_write=self._journal.request_write,
        )
        self._stabilization = stabilization.Stabilization(
            term=term,
            all_clocks=all_clocks,
            group=self._group,
            sessions=self._sessions,
            inherited_runs=self._scheduler,
            schedule_tick=self._schedule_tick,
            longest_lease_s=target_session.lease_expiry_s(granted_lease_s),
        )
        self._recovered = False
        self._removed_while_listing: dict[str, int] | None = None
        self._closed = False
        self._next_tick_at: float | None = None
        self._timer: object = None
        self._ticked_at = all_clocks.now()
        self._suspension = suspension.SuspensionWatch(all_clocks=all_clocks)
        self._lease_renewal_required = False
        self._reach = reach.Reach(
            all_clocks=all_clocks, sessions=self._sessions.values, lease_ttl_s=entry_lease_s
        )
        self._model_saved_at = all_clocks.now()
        self._known_records = known_targets.Records()
        self._inherited_targets: known_targets.KnownTargets | None = None
        self._unannounced: set[str] = set()
        self._former_targets_stored = False
        self._targets_compared_at = 0.0
        self._cancel_waiters = cancellations.Waiters()

    @property
    def term(self) -> int:
        """Term of this owner, which is also its fencing token."""
        return self._term

    @property
    def recovered(self) -> bool:
        """Whether all jobs have been read from the store."""
        return self._recovered

    @property
    def stalled_s(self) -> float:
        """Time for which the recovery has read nothing, seconds; 0 once it is done."""
        if self._recovered:
            return 0.0
        return self._clocks.now() - max(self._began_at, self._recovery.progressed_at)

    @property
    def reached_fraction(self) -> float:
        """Fraction of the listed targets that answer; 1 if none is listed."""
        listed = [one.row for one in self._sessions.values() if one.row.listed]
        return sum(row.reachable for row in listed) / len(listed) if listed else 1.0

    @property
    def listed_targets(self) -> tuple[targets.Target, ...]:
        """Targets that are listed and not draining."""
        rows_now = (session.row for session in self._sessions.values())
        return tuple(row.target for row in rows_now if row.listed and not row.target.draining)

    @property
    def scheduler(self) -> scheduler.Scheduler:
        """Scheduler of this term."""
        return self._scheduler

    @property
    def accounts(self) -> accounts.JobAccounts:
        """Memory that the jobs take, and the ended ones among them."""
        return self._accounts

    @property
    def _min_tick_interval_s(self) -> float:
        """Minimum time from the end of a tick to the next one, seconds."""
        return max(MIN_TICK_INTERVAL_S, self._tick_took_s * (1 / MAX_TICK_SHARE - 1))

    def gauges(self) -> dict[str, float]:
        """Returns the current state for metrics."""
        return {
            **self._counts.gauges(),
            **self._accounts.gauges(),
            "targets_slow": self._scheduler.slow_targets,
            "orders_in_flight": self._orders.in_flight,
            "orders_answered": self._orders.answered,
            "order_seconds": self._orders.seconds,
            "ticks": self._ticks,
            "ticks_held_back": self._ticks_held_back,
            "tick_seconds": self._tick_seconds,
            **self._scheduler.evacuation.gauges(),
            **self._scheduler.gauges(),
        }

    def start(self, *, configuration: queues.Configuration) -> None:
        """Starts recovery; scheduling begins after it."""
        self._configuration = configuration
        self._scheduler.configure(configuration)
        self._evacuations.read_again()
        self._targets.start()
        supervision.spawn(self._group, "intake", self._follow_intake)
        supervision.spawn(self._group, "stabilization", self._stabilize)

    def close(self) -> None:
        """Stops the owner; drops changes that are not durable yet, as no caller relies on them."""
        self._closed = True
        self._group.close()
        self._journal.close()
        for session in self._sessions.values():
            session.close()
        self._cancel_waiters.close()

    async def flush(self, *, limit_s: float) -> None:
        """Waits until the journal has nothing to write, or for `limit_s` seconds."""
        until = self._clocks.now() + limit_s
        self._silent.prepare_handover()
        self._journal.request_write(urgent=True)
        while not self._journal.idle and self._clocks.now() < until:
            await self._group.sleep(0.01)

    def set_configuration(self, configuration: queues.Configuration) -> None:
        """Applies the configuration in force."""
        self._configuration = configuration
        self._scheduler.configure(configuration)
        self._schedule_tick()

    def apply_evacuations(self) -> None:
        """Applies the present requests to evacuate failure domains."""
        self._scheduler.evacuation.apply(now=self._clocks.now())
        if self._targets.loaded:
            self._scheduler.evacuation.log_unknown()
        self._schedule_tick()

    def job(self, job_id: str) -> rows.JobRow | None:
        """Returns the row of a job; None for an unknown one."""
        return self._scheduler.tables.jobs.get(job_id)

    def pending(self, queue: str) -> int:
        """Returns the number of jobs of a queue of which no task has started."""
        return self._counts.pending(queue)

    def waits_s(self) -> dict[str, float]:
        """Returns, by queue, how long a job that is submitted now would wait, seconds."""
        clock = self._clocks
        return self._scheduler.waits_s(self._configuration, now=clock.now(), wall=clock.wall())

    def cancel(self, job_id: str) -> defer.Deferred[None]:
        """Cancels a job.

        The result fires once the cancellation is durable, and is cancelled when the term ends.
        """
        row = self.job(job_id)
        if row is None or row.visible_state in rows.ENDED_STATES:
            return defer.succeed(None)
        waiter = self._cancel_waiters.add(job_id)
        self._cancel(job_id)
        self._schedule_tick()
        return waiter

    async def _follow_intake(self) -> None:
        """Recovers unless that is done, then watches submissions and cancellations."""
        changes = None if self._recovered else await self._recover()
        while True:
            if changes is not None:
                await self._apply_changes(changes)
            self._removed_while_listing = {}
            listed, changes = await self._recovery.read_intake()
            await self._add_intake(listed.items, {}, inherited=False)
            self._removed_while_listing = None
            self._schedule_tick()

    async def _recover(self) -> change_feed.ChangeFeed:
        """Restores the stored state; returns the changes of the intake since then."""
        stored = await self._recovery.read()
        self._inherited_targets = stored.targets
        self._known_records.restore(stored.grouped_targets)
        self._former_targets_stored = stored.former_targets
        self._targets.restore_known({name: known.target for name, known in stored.targets.items()})
        for session in self._sessions.values():
            session.limit_inherited_lease(self._inherited_lease_end(session.row))
        if stored.model is not None:
            self._scheduler.restore_model(stored.model)
        await self._add_intake(stored.intake, stored.progress, inherited=True)
        # A job that was cancelled meanwhile must not be started.
        while held := stored.changes.take_held():
            await self._apply_intake_changes(held)
        self._recovered = True
        decision_log.write(
            "recovery.done",
            term=self._term,
            jobs=len(stored.intake),
            progress=len(stored.progress),
            took_s=round(self._clocks.now() - self._began_at, 3),
        )
        turns = loop_turns.Turns(group=self._group)
        for session in list(self._sessions.values()):
            session.apply_held_report()
            await turns.note()
        # Unchanged records of targets count from a round after the recovery on.
        self._journal.request_write()
        self._schedule_tick()
        return stored.changes

    async def _add_intake(
        self, items: tuple[store.Item, ...], stored_progress: dict[str, bytes], *, inherited: bool
    ) -> None:
        turns = loop_turns.Turns(group=self._group)
        for item in items:
            if item.key.startswith(keys.JOBS):
                self._add_job(item, stored_progress, inherited=inherited)
            await turns.note(size_bytes=len(item.value))
        for item in items:
            if item.key.startswith(keys.CANCELS):
                self._apply_cancellation(item)
                await turns.note()

    async def _apply_changes(self, feed: change_feed.ChangeFeed) -> None:
        """Applies changes of the intake until the history is compacted."""
        while changes := await feed.take():
            await self._apply_intake_changes(changes)
            self._schedule_tick()

    async def _apply_intake_changes(self, changes: tuple[store.Change, ...]) -> None:
        turns = loop_turns.Turns(group=self._group)
        for change in changes:
            if change.item is None:
                continue
            if change.key.startswith(keys.JOBS):
                self._add_job(change.item, {}, inherited=False)
            else:
                self._apply_cancellation(change.item)
            await turns.note(size_bytes=len(change.item.value))

    def _add_job(
        self, item: store.Item, stored_progress: dict[str, bytes], *, inherited: bool
    ) -> None:
        job_id = item.key.removeprefix(keys.JOBS)
        removed = self._removed_while_listing or {}
        if self.job(job_id) is not None or item.revision < removed.get(job_id, 0):
            return
        try:
            row = scheduler.restore_job(
                accepted=progress.decode_accepted(item.value),
                durable=stored_progress.get(job_id),
                configuration=self._configuration,
                inherited=inherited,
            )
        except Exception as error:
            # One record that can't be restored must not hold up the others.
            reason = f"{type(error).__name__}: {error}"
            decision_log.write("record.unreadable", key=item.key, reason=reason)
            return
        decision_log.write(
            "job.known",
            job_id=job_id,
            queue=row.queue.name,
            revision=item.revision,
            state=row.state,
            inherited=inherited,
            steps=len(row.job.steps),
            tasks=sum(step.count for step in row.job.steps),
        )
        self._scheduler.add_job(row, now=self._clocks.now(), wall=self._clocks.wall())
        if self._accounts.add(row, record_bytes=len(item.value)):
            self._cancel(job_id)

    def _collect_changed_jobs(self) -> list[rows.JobRow]:
        """Returns the jobs whose progress is to be written; those that ended get their time."""
        changed = self._scheduler.drain_changed_jobs()
        for row in changed:
            if row.ended and not row.ended_at:
                row.ended_at = self._clocks.wall()
        return changed

    def _collect_auxiliary_records(self) -> list[store.Put]:
        """Returns the records to write with the jobs: changed targets, and the learned model."""
        if not (self._recovered and self._targets.loaded):
            # The inherited records still describe targets that have no session yet.
            return self._silent.collect(present=None)
        changed = self._known_records.changed(self._row_of)
        self._known_records.take(changed)
        auxiliary_records = self._silent.collect(present=self._sessions) + [
            store.Put(key=keys.targets(group), value=known_targets.encode(known))
            for group, known in changed.items()
        ]
        for known in changed.values():
            for name in known:
                # No run may be ordered on a target that its record declares to take none.
                if (row := self._row_of(name)) is None:
                    continue
                row.announced = row.announced and known[name].takes_runs
                if not row.announced:
                    self._unannounced.add(name)
        now = self._clocks.now()
        if now - self._model_saved_at >= model_snapshot.MIN_SAVE_INTERVAL_S:
            self._model_saved_at = now
            auxiliary_records.append(
                store.Put(key=keys.MODEL_SNAPSHOT, value=self._scheduler.model_snapshot())
            )
        if self._former_targets_stored:
            # It is emptied last: the groups must hold its targets before.
            self._former_targets_stored = False
            empty = known_targets.encode({})
            auxiliary_records.append(store.Put(key=keys.FORMER_TARGETS, value=empty))
        return auxiliary_records

    def _row_of(self, target_id: str) -> rows.TargetRow | None:
        session = self._sessions.get(target_id)
        return None if session is None else session.row

    def _announce_targets(self) -> None:
        """Lets runs be ordered on the targets whose durable record says that they may take some."""
        recorded = self._known_records.targets
        for name in list(self._unannounced):
            if (row := self._row_of(name)) is None:
                self._unannounced.discard(name)
            elif name in recorded and recorded[name].takes_runs:
                row.announced = True
                self._unannounced.discard(name)
        for name in self._silent.confirm() & self._sessions.keys():
            self._sessions[name].apply_held_report()

    def _apply_cancellation(self, item: store.Item) -> None:
        job_id = item.key.removeprefix(keys.CANCELS)
        if self.job(job_id) is None:
            self._accounts.note_cancellation(job_id, at=cancellations.time_of(item.value))
            return
        self._cancel(job_id)

    def _cancel(self, job_id: str) -> None:
        self._scheduler.cancel(job_id, now=self._clocks.now())
        self._journal.request_write(urgent=True)

    async def _stabilize(self) -> None:
        while not (self._recovered and self._targets.loaded):
            await self._group.sleep(0.02)
        await self._stabilization.run(self._inherited_targets or {})

    def _on_targets_changed(self, listed: dict[str, targets.Target]) -> None:
        now = self._clocks.now()
        for target_id in (*listed, *self._sessions):
            self._known_records.mark(target_id)
        restarted = {
            name: session
            for name, target in listed.items()
            if (session := self._sessions.get(name)) and session.row.target.born < target.born
        }
        crash_blame.note_losses([session.row for session in restarted.values()], now=now)
        for target in listed.values():
            session = self._sessions.get(target.target_id)
            if session is not None and (
                self._listed.get(target.target_id) == target
                or target.born < session.row.target.born
            ):
                # The target has reported a newer incarnation than the list names.
                session.row.listed = True
                continue
            row = self._scheduler.set_target(target, now=now)
            if session is None:
                self._open_session(row)
            elif target.target_id in restarted:
                session.reset_for_new_incarnation()
        self._listed = listed
        for target_id, session in list(self._sessions.items()):
            if target_id not in listed:
                session.row.listed = False
        self._close_unlisted_sessions()
        self._journal.request_write()
        self.apply_evacuations()

    def _close_unlisted_sessions(self) -> None:
        for session in list(self._sessions.values()):
            if not session.row.listed:
                self._close_session_if_empty(session)

    def _open_session(self, row: rows.TargetRow) -> None:
        """Starts the session with a newly listed target.

        The session acknowledges ended runs only once they are durable in the journal.
        """
        session = target_session.TargetSession(
            row=row,
            port=self._targets_port,
            fence=self._term,
            lease_s=self._leases.requested_s,
            granted_lease_s=self._leases.granted_s,
            lease_expires_at=self._inherited_lease_end(row),
            all_clocks=self._clocks,
            on_report=self._on_status_report,
            on_runs_lost=self._on_runs_lost,
            on_fenced=self._on_superseded,
            on_changed=self._on_target_changed,
            durable=lambda: self._journal.durable_round,
            ticket=lambda: self._journal.next_round,
            pause_s=self._poll_pause_s,
            scan_slots=self._scan_slots,
            stopping=lambda: self._closed,
            may_renew=lambda: self._silent.may_renew(row.target_id) and self._may_renew_leases(),
        )
        self._sessions[row.target_id] = session
        self._unannounced.add(row.target_id)
        session.start()

    def _inherited_lease_end(self, row: rows.TargetRow) -> float:
        by_lease = self._leases.inherited_end(
            row,
            self._inherited_targets,
            renewed_until=self._silent.renewed_until(row.target_id),
        )
        return min(by_lease, self._silent.ended_by(row.target_id))

    def _runs_end_by(self, target_id: str) -> float | None:
        session = self._sessions.get(target_id)
        return None if session is None else session.runs_end_by

    def _close_session_if_empty(self, session: target_session.TargetSession) -> None:
        row = session.row
        if row.listed or row.runs or not (row.confirmed or session.runs_ended):
            return
        session.close()
        self._sessions.pop(row.target_id, None)
        self._scheduler.remove_target(row)

    def _on_target_changed(self, session: target_session.TargetSession) -> None:
        self._known_records.mark(session.row.target_id)
        self._silent.note_reachability(session.row)

    def _on_status_report(
        self, session: target_session.TargetSession, report: targets.StatusReport
    ) -> bool:
        """Applies a status report once all jobs are known; returns whether it was applied.

        Earlier, runs of jobs that are not read yet would be stopped as unexpected, and runs might be
        ordered on a target that is marked as silent in the store.
        """
        if not self._silent.may_renew(session.row.target_id) or not self._recovered:
            return False
        # Without all ends the target doesn't show which runs of former owners are done.
        session.row.confirmed = session.row.confirmed or report.ends_complete
        self._scheduler.apply_report(session.row, report, now=self._clocks.now())
        if report.ended:
            self._journal.request_write(urgent=self._scheduler.has_urgent_changes())
        self._schedule_tick()
        return True

    def _on_runs_lost(self, session: target_session.TargetSession, why: str) -> None:
        row = session.row
        if why != task_ends.LEASE_EXPIRED or row.runs:
            decision_log.write(
                "target.runs_lost", target=row.target_id, why=why, runs=len(row.runs)
            )
        row.confirmed = False
        self._known_records.mark(row.target_id)
        self._scheduler.mark_runs_lost(
            row,
            why=why,
            now=self._clocks.now(),
            lease_s=target_session.lease_expiry_s(self._leases.granted_s),
        )
        self._close_session_if_empty(session)
        self._schedule_tick()

    def _on_durable(self, states: list[tuple[rows.JobRow, rows.JobState]]) -> None:
        for row, state in states:
            if state not in rows.ENDED_STATES:
                # A cancellation made since this write is not durable yet.
                continue
            row.visible_state = state
            row.ended_at = row.ended_at or self._clocks.wall()
            self._accounts.end(row)
            decision_log.write(
                "job.shown",
                job_id=row.job.job_id,
                queue=row.queue.name,
                state=state,
                took_s=round(row.ended_at - row.job.accepted_at, 3),
            )
            self._cancel_waiters.fire(row.job.job_id)

    def _on_progress_rejected(self, row: rows.JobRow) -> None:
        """Fails a job whose progress can't become durable, as no end of its tasks would count."""
        reason = "its progress exceeds the largest value of the store"
        self._scheduler.fail(row, reason=reason, now=self._clocks.now())
        self._schedule_tick()

    def _on_removed(self, job_ids: list[str], revision: int) -> None:
        if self._removed_while_listing is not None:
            # The listing may hold records that were read before.
            self._removed_while_listing.update(dict.fromkeys(job_ids, revision))
        self._accounts.remove(job_ids)
        for job_id in job_ids:
            self._scheduler.forget(job_id)
            decision_log.write("job.removed", job_id=job_id, kept=self._accounts.ended_count)

    def _schedule_tick(self) -> None:
        """Schedules a tick; events that arrive before it are handled in the same tick."""
        due_at = self._ticked_at + self._tick_took_s + self._min_tick_interval_s
        self._schedule_tick_in(max(0.0, due_at - self._clocks.now()))

    def _schedule_tick_in(self, delay_s: float) -> None:
        if self._closed:
            return
        due_at = self._clocks.now() + delay_s
        if self._next_tick_at is not None and self._next_tick_at <= due_at:
            return
        if self._timer is not None and self._timer.active():  # type: ignore[attr-defined]
            self._timer.cancel()  # type: ignore[attr-defined]
        self._next_tick_at = due_at
        self._timer = self._clocks.loop.callLater(delay_s, self._tick)

    def _tick(self) -> None:
        self._next_tick_at = None
        if self._closed:
            return
        now, wall = self._clocks.now(), self._clocks.wall()
        self._ticked_at = now
        if gap_s := self._suspension.suspended_s():
            # Another entry may have taken over while this machine was suspended.
            self._lease_renewal_required = True
            decision_log.write("owner.was_suspended", gap_s=round(gap_s, 2))
        if self._lease_valid():
            self._lease_renewal_required = False
        self._scheduler.may_place = (
            self._recovered and self._evacuations.listed and self._may_order_runs()
        )
        runs_left = self._accounts.max_runs - self._scheduler.tables.totals.runs
        self._scheduler.order_limit = min(self._orders.free_slots, runs_left)
        due_commands = self._decide(now=now, wall=wall)
        self._tick_took_s = self._clocks.now() - now
        self._ticks += 1
        self._tick_seconds += self._tick_took_s
        self._ticks_held_back += self._scheduler.orders_held_back
        for command in due_commands:
            self._orders.send(command)
        due_s = self._scheduler.next_wake_s(now=now, wall=wall)
        wake_s = MAX_TICK_INTERVAL_S if due_s is None else min(due_s, MAX_TICK_INTERVAL_S)
        self._schedule_tick_in(max(wake_s, self._min_tick_interval_s))
        if now - self._targets_compared_at > MAX_TICK_INTERVAL_S:
            self._targets_compared_at = now
            self._close_unlisted_sessions()
            self._accounts.drop_steps()
            if self._silent.is_due() or (
                self._targets.loaded
                and (self._known_records.changed(self._row_of) or self._accounts.is_due())
            ):
                self._journal.request_write()
        if self._scheduler.has_changes():
            self._journal.request_write(urgent=self._scheduler.has_urgent_changes())

    def _decide(self, *, now: float, wall: float) -> list[commands.Command]:
        """Ticks the scheduler; an exception in one tick is logged and must not end the ticking."""
        try:
            return self._scheduler.tick(now=now, wall=wall)
        except Exception:
            decision_log.write("tick.failed", reason=traceback.format_exc())
            return []

    def _may_order_runs(self) -> bool:
        """Returns whether new runs may be ordered.

        Without a valid lease they may be ordered while the store is unreachable and most targets
        answer: no other entry can take over during a full outage, and targets refuse the orders of
        a superseded owner. After a suspension of this process, a renewed lease is required in any
        case.
        """
        return self._may_renew_leases() and (
            self._lease_valid()
            or (not self._store_reachable() and not self._lease_renewal_required)
        )

    def _may_renew_leases(self) -> bool:
        """Returns whether the leases of targets may be renewed."""
        return self._reach.suffices(lease_valid=self._lease_valid())
