"""The budget of a process for requests that aren't complete, and which connections to close.

Pure: the caller passes the time and carries the decisions out.
"""

from __future__ import annotations

import dataclasses
import enum
import heapq
import itertools
from collections.abc import Iterator

import msgspec

CONNECTION_BYTES = 8_192
"""Memory of a connection and its parser without what the client sent, bytes; 2,500 connections with
a request each grew a process by 20 MB."""

HEADER_LINE_BYTES = 256
"""Memory of a parsed header line beyond its text, bytes: two objects, a list and an entry of a table."""

MEMORY_SHARE = 1 / 8
"""Share of the instance's memory for connections and incomplete requests. The program itself takes
60 to 150 MB of 200 MB, and bodies that are decoded take a multiple of their size."""

MIN_HELD_BYTES = 8_000_000
"""Smallest budget, bytes: one body of the largest size that settings allow, and its copy."""

RESERVED_DESCRIPTORS_SHARE = 1 / 4
"""Share of the descriptors that is kept for the store, targets and peers, also while few are open:
a new owner opens a connection to each target."""

MIN_RESERVED_DESCRIPTORS = 64
FREE_DESCRIPTORS_SHARE = 1 / 16
"""Share of the descriptors that stays free beyond those that are open for other uses."""

MIN_CONNECTIONS = 16

RELIEF_SHARE = 1 / 8
"""Share of the budget that is freed when it is exhausted, so that the search for the most wasteful
connections isn't repeated for each new connection."""

USED_IDLE_WEIGHT = 0.1
"""Weight of an idle connection whose client has completed a request, compared with others."""

UNWEIGHTED_BYTES = 16_384
"""Bytes of a request whose use isn't weighed: the largest head. Otherwise a request of which only the
head has arrived would count as the most wasteful of all."""

PROGRESS_TIMEOUT_S = 10.0
"""Time after which a body without any new byte is given up, seconds; three times the deadline of a
caller that names none."""

BODY_TIMEOUT_S = 60.0
"""Time within which a body has to arrive, seconds: 262,144 chunks of one byte at 0.2 Mbit/s."""

LINGER_S = 2.0
"""Time for which a refused client may still read the refusal, seconds."""


class Phase(enum.Enum):
    """Stages of a connection."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    PASSED_ON = "passed-on"
    CLOSING = "closing"


class Cause(enum.StrEnum):
    """Reasons for refusing a request or closing a connection."""

    BODY_TOO_LARGE = "body-too-large"
    HEAD_TOO_LARGE = "head-too-large"
    MALFORMED = "malformed"
    HEAD_TIMEOUT = "head-timeout"
    BODY_TIMEOUT = "body-timeout"
    IDLE = "idle"
    UNREAD = "unread"
    BUDGET = "budget"
    CONNECTIONS = "connections"


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits that every request has to meet.

    Attributes:
        body_bytes: Largest body, bytes.
        header_bytes: Largest head, bytes.
        header_s: Time within which a head has to arrive, seconds.
        idle_s: Time after which an idle connection is closed, seconds.
    """

    body_bytes: int = 262_144
    header_bytes: int = 16_384
    header_s: float = 3.0
    idle_s: float = 15.0


class Budget(msgspec.Struct, frozen=True, kw_only=True):
    """What a process may hold for callers.

    Attributes:
        held_bytes: Memory for connections and incomplete requests, bytes.
        max_fds: Descriptors of the process.
    """

    held_bytes: int
    max_fds: int

    def connections(self, *, others: int = 0) -> int:
        """Returns the maximum number of connections.

        Args:
            others: Number of descriptors that are open for other uses.
        """
        reserved = max(
            MIN_RESERVED_DESCRIPTORS,
            self.max_fds * RESERVED_DESCRIPTORS_SHARE,
            others + self.max_fds * FREE_DESCRIPTORS_SHARE,
        )
        return max(MIN_CONNECTIONS, int(self.max_fds - reserved))


def budget_of(*, memory_mb: float, max_fds: int) -> Budget:
    """Returns the budget of a process on an instance of a size."""
    held_bytes = max(MIN_HELD_BYTES, int(memory_mb * 1_000_000 * MEMORY_SHARE))
    return Budget(held_bytes=held_bytes, max_fds=max_fds)


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Connection:
    """What is known of a connection.

    Attributes:
        limits: Limits of its requests.
        since: Start of its request, or of its present phase without one, in seconds.
        progressed_at: Time at which the last byte of a body arrived, seconds.
        phase: Stage.
        held_bytes: Memory that it takes, bytes.
        received_bytes: Bytes received for the request.
        useful_bytes: Bytes of the request's body.
        backlogged: Whether received bytes haven't been parsed; its client can't make progress then.
        untaken_bytes: Bytes of answers that the client hasn't taken.
        taken_at: Time at which the client last took a part of them, seconds.
        used: Whether a request of it was answered.
        refused: Whether a request of it was refused.
    """

    limits: CallerLimits
    since: float
    progressed_at: float
    phase: Phase = Phase.IDLE
    held_bytes: int = CONNECTION_BYTES
    received_bytes: int = 0
    useful_bytes: int = 0
    backlogged: bool = False
    untaken_bytes: int = 0
    taken_at: float = 0.0
    used: bool = False
    refused: bool = False


class RequestBudget:
    """Counts what connections hold, and names those to close."""

    def __init__(self, *, budget: Budget) -> None:
        self._budget = budget
        self._connections: dict[Connection, None] = {}
        self._ending: dict[Connection, None] = {}
        self._held_bytes = 0
        self._max_connections = budget.connections()

    def __len__(self) -> int:
        """Returns the number of connections, with those that are being closed."""
        return len(self._connections) + len(self._ending)

    def __iter__(self) -> Iterator[Connection]:
        """Iterates over the connections that aren't being closed."""
        return iter(tuple(self._connections))

    @property
    def held_bytes(self) -> int:
        """Memory that all connections take, bytes."""
        return self._held_bytes

    @property
    def max_connections(self) -> int:
        """Maximum number of connections."""
        return self._max_connections

    @property
    def full(self) -> bool:
        """Whether no further connection is accepted."""
        return len(self) >= self._max_connections

    @property
    def exceeded(self) -> bool:
        """Whether connections have to be closed; that begins before the budget is full."""
        return self._held_bytes > self._budget.held_bytes or len(
            self._connections
        ) > self._max_connections * (1 - RELIEF_SHARE)

    def set_other_descriptors(self, count: int) -> None:
        """Sets the number of descriptors that are open for other uses."""
        self._max_connections = self._budget.connections(others=count)

    def open(self, *, limits: CallerLimits, now: float) -> Connection:
        """Adds a connection."""
        connection = Connection(limits=limits, since=now, progressed_at=now)
        self._connections[connection] = None
        self._held_bytes += connection.held_bytes
        return connection

    def end(self, connection: Connection) -> None:
        """Notes that a connection is being closed: it only takes a descriptor from now on."""
        if connection in self._connections:
            self.close(connection)
            self._ending[connection] = None

    def close(self, connection: Connection) -> None:
        """Removes a connection, if it is there."""
        self._ending.pop(connection, None)
        if connection in self._connections:
            del self._connections[connection]
            self._held_bytes -= connection.held_bytes

    def hold(self, connection: Connection, held_bytes: int) -> None:
        """Sets the memory that a connection takes beyond `CONNECTION_BYTES`."""
        held_bytes += CONNECTION_BYTES
        if connection in self._connections:
            self._held_bytes += held_bytes - connection.held_bytes
        connection.held_bytes = held_bytes

    def enter(self, connection: Connection, phase: Phase, *, now: float) -> None:
        """Moves a connection to a phase."""
        previous = connection.phase
        if phase is previous:
            return
        connection.phase = phase
        if previous is Phase.PASSED_ON:
            connection.used = True
        if previous is not Phase.HEAD or phase is Phase.CLOSING:
            connection.since = now
        connection.progressed_at = now
        if phase in (Phase.IDLE, Phase.HEAD):
            connection.received_bytes = connection.useful_bytes = 0

    def progress(self, connection: Connection, *, useful_bytes: int, now: float) -> None:
        """Sets the number of bytes of the body that have arrived."""
        if useful_bytes > connection.useful_bytes:
            connection.useful_bytes = useful_bytes
            connection.progressed_at = now

    def leave_untaken(self, connection: Connection, untaken_bytes: int, *, now: float) -> None:
        """Sets the number of bytes of answers that the client hasn't taken."""
        if untaken_bytes < connection.untaken_bytes:
            connection.taken_at = now
        connection.untaken_bytes = untaken_bytes

    def to_close(self, *, now: float) -> tuple[Connection, ...]:
        """Returns the most wasteful connections while the budget is exceeded, the worst first.

        Closing them frees `RELIEF_SHARE` of the budget. A connection whose request has been passed
        on is never among them.
        """
        if not self.exceeded:
            return ()
        share = 1 - RELIEF_SHARE
        held_bytes, count = self._held_bytes, len(self._connections)
        max_held_bytes = self._budget.held_bytes * share
        max_count = self._max_connections * share * share
        candidates = [
            (-_waste(connection, now), number, connection)
            for number, connection in enumerate(self._connections)
            if connection.phase is not Phase.PASSED_ON
        ]
        heapq.heapify(candidates)
        excess_bytes = held_bytes > self._budget.held_bytes
        excess_count = count > self._max_connections * share
        closed = []
        while candidates and (
            (excess_bytes and held_bytes > max_held_bytes) or (excess_count and count > max_count)
        ):
            connection = heapq.heappop(candidates)[-1]
            closed.append(connection)
            held_bytes -= connection.held_bytes
            count -= 1
        return tuple(closed)

    def expired(self, *, now: float) -> tuple[tuple[Connection, Cause], ...]:
        """Returns the connections whose clients took too long, with the cause."""
        connections = itertools.chain(self._connections, self._ending)
        found = ((connection, _overdue(connection, now)) for connection in connections)
        return tuple((connection, cause) for connection, cause in found if cause is not None)


def _waste(connection: Connection, now: float) -> float:
    """Returns the memory that a connection took over time, in proportion to its overhead."""
    waste = connection.held_bytes * (now - connection.since)
    if connection.refused:
        return float("inf")
    if connection.phase is Phase.BODY:
        useful_bytes = connection.useful_bytes + UNWEIGHTED_BYTES
        return waste * max(1.0, connection.received_bytes / useful_bytes)
    if connection.phase is Phase.IDLE and connection.used and not connection.untaken_bytes:
        return waste * USED_IDLE_WEIGHT
    return waste


def _overdue(connection: Connection, now: float) -> Cause | None:
    age_s = now - connection.since
    limits = connection.limits
    if connection.untaken_bytes and connection.phase is not Phase.PASSED_ON:
        waiting_s = now - max(connection.since, connection.taken_at)
        return Cause.UNREAD if waiting_s > limits.idle_s else None
    match connection.phase:
        case Phase.IDLE if age_s > limits.idle_s:
            return Cause.IDLE
        case Phase.HEAD if age_s > limits.header_s and not connection.backlogged:
            return Cause.HEAD_TIMEOUT
        case Phase.BODY if not connection.backlogged:
            stalled_s = now - connection.progressed_at
            if stalled_s > PROGRESS_TIMEOUT_S or age_s > BODY_TIMEOUT_S:
                return Cause.BODY_TIMEOUT
        case Phase.CLOSING if age_s > LINGER_S:
            return Cause.UNREAD
    return None
