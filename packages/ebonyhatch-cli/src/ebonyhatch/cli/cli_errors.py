"""Errors of the command line, each with its exit code and remedy."""

from __future__ import annotations

from collections.abc import Sequence

from ebonyhatch.cli import exit_codes
from ebonyhatch.core import errors, record_faults


class CliError(errors.EbonyhatchError):
    """Base of the errors that end a command.

    Attributes:
        exit_code: Code to exit with.
    """

    exit_code = exit_codes.REFUSED


class NoEntryError(CliError):
    """The command needs an entry."""

    exit_code = exit_codes.USAGE

    def __init__(self) -> None:
        super().__init__(
            problem="no entry was named",
            remedy="give --entry http://IP:PORT or set EBONYHATCH_URL",
        )


class FileError(CliError):
    """A file can't be read."""

    def __init__(self, *, path: str, reason: str, remedy: str) -> None:
        super().__init__(problem=f"{path}: {reason}", remedy=remedy)
        self.path = path


class UnreachableError(CliError):
    """No connection to the entry; nothing was sent."""

    exit_code = exit_codes.UNAVAILABLE

    def __init__(self, *, url: str, reason: str) -> None:
        super().__init__(
            problem=f"{url} can't be reached: {reason}",
            remedy="check the address, or name another entry with --entry",
        )
        self.url = url


class AnswerLostError(CliError):
    """The connection broke before the whole answer came."""

    exit_code = exit_codes.UNKNOWN

    def __init__(self, *, url: str, reason: str) -> None:
        super().__init__(
            problem=f"the answer of {url} was lost: {reason}",
            remedy="run the same command again; it doesn't act twice",
        )
        self.url = url


class NotAnEntryError(CliError):
    """What answered isn't an entry of this project, or not this API of it."""

    def __init__(self, *, url: str, status: int) -> None:
        super().__init__(
            problem=f"{url} answered {status} in a form that isn't known here",
            remedy="records, status and explain need the entry's admin address, job and load "
            "its callers' address",
        )
        self.url = url
        self.status = status


class ProblemError(CliError):
    """The entry answered with a problem document."""

    def __init__(
        self,
        *,
        status: int,
        detail: str,
        remedy: str,
        exit_code: int,
        faults: Sequence[record_faults.Fault],
    ) -> None:
        super().__init__(problem=detail, remedy=remedy)
        self.status = status
        self.exit_code = exit_code
        self.faults = tuple(faults)


class OvertakenError(CliError):
    """An answer was lost, and another write came before the repeat."""

    exit_code = exit_codes.UNKNOWN

    def __init__(self, *, detail: str) -> None:
        super().__init__(
            problem=f"an answer was lost, and then: {detail}",
            remedy="look with `ebonyhatch records history` whether these records were accepted "
            "before the newer generation",
        )


class InvalidRecordsError(CliError):
    """Records files don't hold a good set."""

    def __init__(self, *, faults: Sequence[record_faults.Fault]) -> None:
        super().__init__(
            problem=f"{len(faults)} fault(s) in the records",
            remedy="mend each of them and check again",
        )
        self.faults = tuple(faults)


class OptionError(CliError):
    """The value of an option can't be used."""

    exit_code = exit_codes.USAGE

    def __init__(self, *, option: str, problem: str, remedy: str) -> None:
        super().__init__(problem=f"{option}: {problem}", remedy=remedy)
        self.option = option


class WaitEndedError(CliError):
    """The time to wait has passed."""

    exit_code = exit_codes.TIMED_OUT

    def __init__(self, *, job_id: str, state: str, timeout_s: float) -> None:
        super().__init__(
            problem=f"job {job_id} is {state or 'not known'} after {timeout_s:g} s",
            remedy="wait again, or ask `ebonyhatch explain` why it waits",
        )
        self.job_id = job_id


class BenchError(CliError):
    """A bench can't be run."""
