"""Evacuation of failure domains: which targets get no runs, and which runs are stopped there."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ebonyhatch.fleet import commands, queues, rows, tables, targets
from ebonyhatch.fleet.constraints import registry
from ebonyhatch.fleet.evacuation import domains, moves

MAX_REPORTED = 256
"""Maximum number of unknown domains that are logged; further ones are ignored without a line."""

MAX_LOGGED_CHARACTERS = 80

COLD_STARTS_PER_S = 1.0
"""Number of starts a second on a cold target whose service names none."""

_IN_FLIGHT = frozenset({rows.RunState.ORDERED, rows.RunState.UNCERTAIN})


class DomainEvacuation:
    """Applies the requested domains to the targets of one term."""

    def __init__(
        self,
        *,
        all_tables: tables.Tables,
        requests: domains.Domains,
        stop: Callable[..., None],
        decide: commands.Decide,
    ) -> None:
        self._tables = all_tables
        self._domains = requests
        self._stop = stop
        self._decide = decide
        self._moves = moves.Moves(all_tables=all_tables, stop=stop, decide=decide)
        self._in_force: dict[str, int] = {}
        self._unknown: set[str] = set()
        self._none_left = False
        self._any_marked = False
        self._pools: dict[str, queues.Pool] = {}

    @property
    def domains(self) -> tuple[str, ...]:
        """Domains that are evacuated now."""
        return tuple(self._in_force)

    def gauges(self) -> dict[str, float]:
        """Returns the number of evacuated domains and of the runs that are left there."""
        runs = 0
        if self._in_force:
            runs = sum(len(row.runs) for row in self._tables.targets.values() if row.evacuated)
        return {"evacuated_domains": len(self._in_force), "evacuated_runs": runs}

    def configure(self, configuration: queues.Configuration) -> None:
        """Applies the configuration in force: how long the targets of a pool are cold."""
        self._pools = {
            pool.name: pool
            for pool in configuration.pools
            if pool.cold_start_s > 0 or pool.cold_per_s > 0
        }

    def register(self, row: rows.TargetRow, *, now: float) -> None:
        """Applies the requests to a target that is new or has registered anew."""
        self._observe_target(row)
        if row.target.cold_left_s > 0:
            self._set_cold(row, until=now + row.target.cold_left_s)

    def _set_cold(self, row: rows.TargetRow, *, until: float) -> None:
        pool = self._pools.get(row.target.pool)
        per_s = COLD_STARTS_PER_S if pool is None else pool.cold_per_s or COLD_STARTS_PER_S
        row.cold_until = max(row.cold_until, until)
        row.cold_interval_s = 1.0 / per_s

    def _observe_target(self, row: rows.TargetRow) -> None:
        domain = row.target.failure_domain
        self._domains.add_known(domain)
        if row.evacuated != (domain in self._domains.requested):
            row.evacuated = not row.evacuated
            self._any_marked = True
        pool = self._pools.get(row.target.pool)
        if pool is not None and not row.evacuated and self._domains.ended_at(domain):
            self._set_cold(row, until=self._domains.ended_at(domain) + pool.cold_start_s)

    def apply(self, *, now: float) -> None:
        """Applies the present requests to all targets.

        Runs whose start may not have been carried out yet are stopped at once: the target refuses a
        start that arrives after the stop.
        """
        if not (self._domains.requested or self._in_force or self._any_marked):
            return
        for row in self._tables.targets.values():
            self._observe_target(row)
        self._log_changes()
        self._any_marked = bool(self._in_force)
        for row in self._evacuated():
            for run in list(row.runs.values()):
                if run.state in _IN_FLIGHT:
                    self._stop_start(run, now=now)

    def review(self, context: registry.Context) -> None:
        """Moves lasting runs to free capacity elsewhere."""
        self._moves.review(context)

    def keys_before_report(self, row: rows.TargetRow) -> frozenset[targets.RunKey] | None:
        """Returns the known runs of an evacuated target that has reported before; None for others."""
        return frozenset(row.runs) if row.evacuated and row.last_report_at else None

    def stop_late_starts(
        self, row: rows.TargetRow, before: frozenset[targets.RunKey], *, now: float
    ) -> None:
        """Stops the runs that a report lists and an earlier one of this term did not.

        Their starts were carried out late, after the owner had given them up; a run of a former owner
        is in the first report.
        """
        for run in [run for key, run in row.runs.items() if key not in before]:
            self._stop(run, reason=moves.REASON, now=now)

    def _evacuated(self) -> list[rows.TargetRow]:
        return [row for row in self._tables.targets.values() if row.evacuated]

    def _stop_start(self, run: rows.RunRow, *, now: float) -> None:
        """Stops a run that is being started; a gang has no use for its other members then."""
        if not run.task.step.step.gang:
            self._stop(run, reason=moves.REASON, now=now)
            return
        for member in run.task.step.tasks.known:
            for other in list(member.runs.values()):
                self._stop(other, reason=moves.REASON, now=now)

    def _log_changes(self) -> None:
        requested = self._domains.requested
        for domain in [domain for domain in self._in_force if domain not in requested]:
            revision = self._in_force.pop(domain)
            self._decide("evacuation.ended", None, domain=domain, revision=revision)
        for domain, revision in requested.items():
            if not self._domains.is_known(domain):
                continue
            self._unknown.discard(domain)
            if domain not in self._in_force:
                members = [row for row in self._evacuated() if row.target.failure_domain == domain]
                self._decide(
                    "evacuation.requested",
                    None,
                    domain=domain,
                    revision=revision,
                    targets=len(members),
                    runs=sum(len(row.runs) for row in members),
                )
            self._in_force[domain] = revision
        self._log_none_left()

    def _log_none_left(self) -> None:
        """Logs once that no target outside the evacuated domains is listed, so that tasks wait."""
        listed = [row for row in self._tables.targets.values() if row.listed]
        none_left = bool(listed) and all(row.evacuated for row in listed)
        if none_left and not self._none_left:
            self._decide("evacuation.no_targets_left", None, domains=sorted(self._in_force))
        self._none_left = none_left

    def log_unknown(self) -> None:
        """Logs the requests once that name no known domain; to be called once targets are listed."""
        unknown = {name for name in self._domains.requested if not self._domains.is_known(name)}
        self._unknown &= unknown
        self._log_unknown(sorted(unknown - self._unknown))

    def _log_unknown(self, names: Iterable[str]) -> None:
        for name in names:
            if len(self._unknown) >= MAX_REPORTED:
                return
            self._unknown.add(name)
            self._decide(
                "evacuation.unreadable",
                None,
                domain=name[:MAX_LOGGED_CHARACTERS],
                revision=self._domains.requested[name],
                reason="no target of this domain is known",
            )
