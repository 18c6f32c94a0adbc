"""Administration API: records, status and explanations; no call places or ends work."""

from __future__ import annotations

import importlib.resources
import math
from collections.abc import Awaitable, Callable

import eliot
import klein
import msgspec
from ebonyhatch.core import commands, record_changes, records
from ebonyhatch.node import (
    access,
    admin_answers,
    admin_errors,
    admin_requests,
    admin_view,
    configuration,
    configuration_errors,
    logs,
    problems,
)
from returns import result
from twisted.python import failure
from twisted.web import server
from werkzeug import exceptions

HTTP_INTERNAL = 500

OPENAPI_FILE = "openapi.json"


class Admin:
    """Serves operators through a separate HTTP listener.

    Attributes:
        app: The klein application.
    """

    app = klein.Klein()

    def __init__(
        self,
        *,
        configuration: configuration.Configuration,
        view: admin_view.AdminView,
        access: access.Access,
    ) -> None:
        self._configuration = configuration
        self._view = view
        self._access = access

    @app.route("/v1/admin/records", methods=["GET"])
    async def get_records(self, request: server.Request) -> bytes:
        """Serves the newest known records, as operators wrote them."""
        return await self._guarded(request, lambda: self._get_records(request))

    @app.route("/v1/admin/records", methods=["PUT"])
    async def put_records(self, request: server.Request) -> bytes:
        """Puts a complete set of records in force."""
        return await self._guarded(request, lambda: self._put_records(request))

    @app.route("/v1/admin/records/check", methods=["POST"])
    async def check_records(self, request: server.Request) -> bytes:
        """Validates a complete set of records and compares it with the newest known set."""
        return await self._guarded(request, lambda: self._check_records(request))

    @app.route("/v1/admin/records/history", methods=["GET"])
    async def history(self, request: server.Request) -> bytes:
        """Serves the latest generations."""
        return await self._guarded(request, lambda: self._history(request))

    @app.route("/v1/admin/status", methods=["GET"])
    async def status(self, request: server.Request) -> bytes:
        """Serves the status of this entry."""
        return await self._guarded(request, lambda: self._status(request))

    @app.route("/v1/admin/explain/<path:subject_id>", methods=["GET"])
    async def explain(self, request: server.Request, subject_id: str) -> bytes:
        """Serves the explanation of why a job or request waits, or where it was placed."""
        return await self._guarded(request, lambda: self._explain(request, subject_id))

    @app.route("/v1/admin/openapi", methods=["GET"])
    async def openapi(self, request: server.Request) -> bytes:
        """Serves the OpenAPI description of this API."""
        return await self._guarded(request, lambda: self._openapi(request))

    @app.handle_errors(exceptions.NotFound)  # type: ignore[arg-type]
    def no_such_path(self, request: server.Request, reason: failure.Failure) -> bytes:
        """Responds to an unknown path."""
        error = admin_errors.NotFoundError()
        return admin_answers.admin_problem(request=request, error=error)

    @app.handle_errors(exceptions.MethodNotAllowed)  # type: ignore[arg-type]
    def no_such_method(self, request: server.Request, reason: failure.Failure) -> bytes:
        """Responds to a method that the path does not support."""
        allowed = reason.value.valid_methods or ()  # type: ignore[union-attr]
        request.setHeader("Allow", ", ".join(sorted(allowed)))
        error = admin_errors.MethodError()
        return admin_answers.admin_problem(request=request, error=error)

    async def _guarded(
        self, request: server.Request, work: Callable[[], Awaitable[bytes]]
    ) -> bytes:
        try:
            admin_requests.admit(request=request, access=self._access)
            return await work()
        except admin_errors.AdminError as error:
            return admin_answers.admin_problem(request=request, error=error)
        except configuration_errors.ConfigurationError as error:
            return admin_answers.configuration_problem(request=request, error=error)
        except Exception:
            eliot.write_traceback()
            return self._internal(request)

    @staticmethod
    def _internal(request: server.Request) -> bytes:
        return problems.write(
            request=request,
            status=HTTP_INTERNAL,
            kind="internal",
            detail="the entry had an internal error",
            remedy="report it with the traceback from the entry's log",
            outcome=commands.Outcome.UNKNOWN,
        )

    async def _get_records(self, request: server.Request) -> bytes:
        generation = self._configuration.generation
        answer = admin_answers.Records(
            generation=generation, records=msgspec.Raw(self._configuration.encoded_records)
        )
        return admin_answers.write(request=request, answer=answer, generation=generation)

    async def _put_records(self, request: server.Request) -> bytes:
        expect = admin_requests.expectation(request=request)
        offered = admin_requests.body(request=request)
        outcome = await self._configuration.write(records=offered, expect=expect)
        if not isinstance(outcome, result.Success):
            raise outcome.failure()
        written = outcome.unwrap()
        logs.write("records applied", generation=written.generation, changed=written.changed)
        answer = admin_answers.Written(generation=written.generation, changed=written.changed)
        return admin_answers.write(request=request, answer=answer, generation=written.generation)

    async def _check_records(self, request: server.Request) -> bytes:
        offered = admin_requests.body(request=request)
        read = self._configuration.check(records_json=offered)
        if not isinstance(read, result.Success):
            raise configuration_errors.InvalidRecordsError(faults=read.failure().faults)
        answer = admin_answers.Checked(
            generation=self._configuration.generation,
            notices=read.unwrap().notices,
            changes=record_changes.compare(
                old=self._configuration.encoded_records, new=records.canonical(offered)
            ),
        )
        return admin_answers.write(request=request, answer=answer)

    async def _history(self, request: server.Request) -> bytes:
        outcome = await self._configuration.history()
        if not isinstance(outcome, result.Success):
            raise outcome.failure()
        answer = admin_answers.History(generations=outcome.unwrap())
        return admin_answers.write(request=request, answer=answer)

    async def _status(self, request: server.Request) -> bytes:
        age_s = self._configuration.age_s
        answer = admin_answers.Status(
            **msgspec.structs.asdict(self._view.status()),
            generation=self._configuration.in_force.generation,
            configuration_age_s=age_s if math.isfinite(age_s) else None,
            configuration_faults=self._configuration.faults,
        )
        return admin_answers.write(request=request, answer=answer)

    async def _explain(self, request: server.Request, subject_id: str) -> bytes:
        explanation = await self._view.explain(subject_id=subject_id)
        job_id, slash, _ = subject_id.partition("/")
        if explanation is None and slash:
            explanation = await self._view.explain(subject_id=job_id)
        if explanation is None:
            raise admin_errors.UnknownSubjectError(subject_id=subject_id)
        return admin_answers.write(request=request, answer=explanation)

    async def _openapi(self, request: server.Request) -> bytes:
        request.setHeader("Content-Type", "application/json")
        return openapi_document()


def openapi_document() -> bytes:
    """Returns the OpenAPI description of this API."""
    return importlib.resources.files(__package__).joinpath(OPENAPI_FILE).read_bytes()
