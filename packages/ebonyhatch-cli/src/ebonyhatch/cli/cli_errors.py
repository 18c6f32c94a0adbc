"""Errors of the command line, each with its exit code and remedy."""

from __future__ import annotations

from collections.abc import Sequence

from ebonyhatch.cli import exit_codes
from ebonyhatch.core import errors, record_faults


class CliError(errors.EbonyhatchError):
    """Base class of the errors that end a command.

    Attributes:
        exit_code: Exit code of the process.
    """

    exit_code = exit_codes.REFUSED


class NoEntryError(CliError):
    """The command needs the address of an entry, and none was given."""

    exit_code = exit_codes.USAGE

    def __init__(self) -> None:
        super().__init__(
            problem="no entry address was given",
            remedy="give --entry http://IP:PORT or set EBONYHATCH_URL",
        )


class FileError(CliError):
    """A file can't be read."""

    def __init__(self, *, path: str, reason: str, remedy: str) -> None:
        super().__init__(problem=f"{path}: {reason}", remedy=remedy)
        self.path = path


class UnreachableError(CliError):
    """The entry can't be connected to; nothing was sent."""

    exit_code = exit_codes.UNAVAILABLE

    def __init__(self, *, url: str, reason: str) -> None:
        super().__init__(
            problem=f"{url} can't be reached: {reason}",
            remedy="check the address, or give another entry with --entry",
        )
        self.url = url


class AnswerLostError(CliError):
    """The connection was lost before the complete response arrived."""

    exit_code = exit_codes.UNKNOWN

    def __init__(self, *, url: str, reason: str) -> None:
        super().__init__(
            problem=f"the response from {url} was lost: {reason}",
            remedy="run the same command again; it takes effect only once",
        )
        self.url = url


class NotAnEntryError(CliError):
    """The response doesn't come from an ebonyhatch entry, or comes from another API of one."""

    def __init__(self, *, url: str, status: int) -> None:
        super().__init__(
            problem=f"{url} answered {status} with a body in an unknown format",
            remedy="records, status and explain need the entry's admin address, job and load "
            "its callers' address",
        )
        self.url = url
        self.status = status


class ProblemError(CliError):
    """The entry responded with a problem document (RFC 9457)."""

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
    """A response was lost, and another write was accepted before the request was repeated."""

    exit_code = exit_codes.UNKNOWN

    def __init__(self, *, detail: str) -> None:
        super().__init__(
            problem=f"a response was lost, and the repeated request failed: {detail}",
            remedy="check with `ebonyhatch records history` whether these records were accepted "
            "before the newer generation",
        )


class InvalidRecordsError(CliError):
    """The records files don't contain a valid set of records."""

    def __init__(self, *, faults: Sequence[record_faults.Fault]) -> None:
        super().__init__(
            problem=f"{len(faults)} fault(s) in the records",
            remedy="correct each fault and check again",
        )
        self.faults = tuple(faults)


class OptionError(CliError):
    """The value of an option is invalid."""

    exit_code = exit_codes.USAGE

    def __init__(self, *, option: str, problem: str, remedy: str) -> None:
        super().__init__(problem=f"{option}: {problem}", remedy=remedy)
        self.option = option


class WaitEndedError(CliError):
    """The job didn't end before the timeout."""

    exit_code = exit_codes.TIMED_OUT

    def __init__(self, *, job_id: str, state: str, timeout_s: float) -> None:
        super().__init__(
            problem=f"job {job_id} is {state or 'not known'} after {timeout_s:g} s",
            remedy="wait again, or run `ebonyhatch explain` to see why it waits",
        )
        self.job_id = job_id


class BenchError(CliError):
    """A bench can't be run."""
