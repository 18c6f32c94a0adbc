"""Settings of one daemon: a JSON file with comments, validated as a whole against a schema."""

from __future__ import annotations

import json
import pathlib
from collections.abc import Mapping
from typing import Any

import json5
import msgspec
from ebonyhatch.core import errors
from ebonyhatch.node import keys, settings_schema
from returns import result

FILE_LIMIT_BYTES = 65_536
"""Maximum size of the settings file, bytes."""


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """One fault: its location, a description and a remedy."""

    path: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.path}: {self.problem}; {self.remedy}"


class SettingsError(errors.EbonyhatchError):
    """The settings are invalid; all faults are listed."""

    def __init__(self, *, faults: tuple[Fault, ...]) -> None:
        super().__init__(
            problem="\n".join(["the settings have faults:", *map(str, faults)]),
            remedy="correct each fault and run `ebonyhatchd --check` on the file",
        )
        self.faults = faults


class Endpoint(msgspec.Struct, frozen=True, kw_only=True):
    """An IP address and a TCP port; for a listening endpoint, port 0 selects a free port."""

    host: str
    port: int


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """Identity and location of this entry."""

    id: str
    region: str
    failure_domain: str
    rack: str


class Listen(msgspec.Struct, frozen=True, kw_only=True):
    """Endpoints on which the daemon listens."""

    callers: Endpoint
    admin: Endpoint
    peers: Endpoint


class Platform(msgspec.Struct, frozen=True, kw_only=True):
    """Endpoints and properties of the platform's services.

    Attributes:
        store: Endpoint of the key-value service.
        instances: Endpoint of the service that lists instances.
        workers_fenced: Whether workers refuse commands of older epochs.
    """

    store: Endpoint
    instances: Endpoint
    workers_fenced: bool = False


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Resource limits of the daemon.

    Attributes:
        body_bytes: Maximum size of a request body, bytes.
        requests_in_progress: Maximum concurrent requests.
        stop_s: Maximum duration of a graceful shutdown, seconds.
        peer_calls: Maximum unanswered calls to one peer.
        peer_queue_bytes: Maximum bytes in unanswered calls to one peer.
        metric_label_sets: Maximum pairs of class and tenant that have separate histograms.
        memory_mb: Memory of the instance, megabytes.
        max_fds: Maximum open descriptors; 0 for the limit of the process.
    """

    body_bytes: int = 1_000_000
    requests_in_progress: int = 1_000
    stop_s: float = 30.0
    peer_calls: int = 1_024
    peer_queue_bytes: int = 8_000_000
    metric_label_sets: int = 128
    memory_mb: int = 512
    max_fds: int = 0


class Cells(msgspec.Struct, frozen=True, kw_only=True):
    """Grouping of workers into cells."""

    per_failure_domain: int = 2


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """The scheduler that decides, and the seed of its random choices."""

    name: str = "default"
    seed: int = 1


class Access(msgspec.Struct, frozen=True, kw_only=True):
    """Hashes of the operators' bearer tokens."""

    token_sha256: tuple[str, ...] = ()


class Keys(msgspec.Struct, frozen=True, kw_only=True):
    """CURVE keys in Z85: the pair of this entry, and the public keys of its peers by entry id."""

    public: str
    secret: str
    peers: dict[str, str]

    def __repr__(self) -> str:
        return f"Keys(public={self.public!r}, peers={sorted(self.peers)})"


class Log(msgspec.Struct, frozen=True, kw_only=True):
    """Format of the log: `json` or `readable`."""

    format: str = "json"


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of one daemon."""

    entry: Entry
    listen: Listen
    platform: Platform
    limits: Limits = Limits()
    cells: Cells = Cells()
    policy: Policy = Policy()
    access: Access = Access()
    keys: Keys | None = None
    log: Log = Log()


def load(
    *,
    path: pathlib.Path | str,
    environment: Mapping[str, str],
    overrides: Mapping[str, str],
) -> result.Result[Settings, SettingsError]:
    """Reads, overrides and validates the settings.

    Flags take precedence over variables, and variables over the file. The name of a variable is
    `EBONYHATCH_` and the path of the setting in upper case joined by `_`, e.g.
    `EBONYHATCH_LISTEN_CALLERS_PORT`. Values of text settings are used verbatim; others are JSON.

    Args:
        path: The file, in JSON with comments.
        environment: Environment variables; those without the prefix are ignored.
        overrides: Values of flags by dotted path, e.g. `{"log.format": "readable"}`.

    Returns:
        The settings, or all faults.
    """
    faults: list[Fault] = []
    tree = _read(pathlib.Path(path), faults)
    if tree is None:
        return result.Failure(SettingsError(faults=tuple(faults)))
    for override in _overrides(environment, overrides, faults):
        _apply_override(tree, override)
    faults.extend(_schema_faults(tree))
    if faults:
        return result.Failure(SettingsError(faults=tuple(faults)))
    return _convert(tree)


class _Override(msgspec.Struct, frozen=True, kw_only=True):
    path: tuple[str, ...]
    value: Any


def _read(path: pathlib.Path, faults: list[Fault]) -> dict[str, Any] | None:
    """Parses the file into an object, or appends the fault that prevents it."""
    try:
        content = path.read_bytes()
    except OSError as error:
        faults.append(
            _fault(str(path), f"cannot be read: {error.strerror}", "give a readable file")
        )
        return None
    if len(content) > FILE_LIMIT_BYTES:
        remedy = f"shorten it to {FILE_LIMIT_BYTES} bytes"
        faults.append(_fault(str(path), f"has {len(content)} bytes", remedy))
        return None
    return _parse(str(path), content, faults)


def _parse(name: str, content: bytes, faults: list[Fault]) -> dict[str, Any] | None:
    try:
        tree = json5.loads(
            content.decode(), allow_duplicate_keys=False, parse_constant=_reject_constant
        )
    except (ValueError, RecursionError) as error:
        problem = f"is not JSON with comments: {str(error) or 'nested too deeply'}"
        faults.append(_fault(name, problem, "correct the syntax"))
        return None
    if not isinstance(tree, dict):
        faults.append(_fault(name, "is not an object", "write an object of sections"))
        return None
    return tree


def _reject_constant(constant: str) -> None:
    raise ValueError(f"{constant} is not a number")


def _overrides(
    environment: Mapping[str, str], overrides: Mapping[str, str], faults: list[Fault]
) -> list[_Override]:
    """Returns the overrides by variables and then by flags, in the order of application."""
    found = []
    for name, text in sorted(environment.items()):
        if not settings_schema.is_variable(name):
            continue
        leaf = settings_schema.leaf_of_variable(name)
        if leaf is None:
            faults.append(_fault(name, "is not a setting", "unset it or correct its name"))
        else:
            found.extend(_override(name, leaf, text, faults))
    for dotted, text in overrides.items():
        leaf = settings_schema.leaf_of_path(tuple(dotted.split(".")))
        if leaf is None:
            faults.append(_fault(dotted, "is not a setting", "correct the flag"))
        else:
            found.extend(_override(dotted, leaf, text, faults))
    return found


def _override(
    name: str, leaf: settings_schema.Leaf, text: str, faults: list[Fault]
) -> list[_Override]:
    if leaf.is_text:
        return [_Override(path=leaf.path, value=text)]
    try:
        return [_Override(path=leaf.path, value=json.loads(text, parse_constant=_reject_constant))]
    except (ValueError, RecursionError):
        faults.append(_fault(name, "is not a JSON value", f"give {leaf.description}"))
        return []


def _apply_override(tree: dict[str, Any], override: _Override) -> None:
    node = tree
    for step in override.path[:-1]:
        child = node.setdefault(step, {})
        if not isinstance(child, dict):
            return
        node = child
    node[override.path[-1]] = override.value


def _schema_faults(tree: dict[str, Any]) -> list[Fault]:
    return [
        _fault(problem.path, problem.problem, problem.remedy)
        for problem in settings_schema.problems(tree)
    ]


def _convert(tree: dict[str, Any]) -> result.Result[Settings, SettingsError]:
    try:
        settings = msgspec.convert(tree, Settings, strict=False)
    except msgspec.ValidationError as error:
        fault = _fault("settings", str(error), "give a value of that type")
        return result.Failure(SettingsError(faults=(fault,)))
    faults = _address_faults(settings.listen) + _key_faults(settings)
    if faults:
        return result.Failure(SettingsError(faults=tuple(faults)))
    return result.Success(settings)


def _address_faults(listen: Listen) -> list[Fault]:
    """Returns a fault for each address that is used for two kinds of traffic."""
    seen: dict[Endpoint, str] = {}
    faults = []
    for name in ("callers", "admin", "peers"):
        endpoint = getattr(listen, name)
        if endpoint.port and endpoint in seen:
            problem = f"has the same address as listen.{seen[endpoint]}"
            faults.append(_fault(f"listen.{name}", problem, "give each a separate port"))
        seen[endpoint] = name
    return faults


def _key_faults(settings: Settings) -> list[Fault]:
    """Returns faults of keys that do not form a pair or cannot be decoded."""
    if settings.keys is None:
        return []
    faults = []
    if not keys.is_pair(public=settings.keys.public, secret=settings.keys.secret):
        remedy = "copy both lines that `ebonyhatch keys new` prints"
        faults.append(_fault("keys.public", "does not match keys.secret", remedy))
    for entry_id, public in settings.keys.peers.items():
        if not keys.is_valid_key(public):
            remedy = "copy the peer's public key again"
            faults.append(_fault(f"keys.peers.{entry_id}", "is not a public key", remedy))
    return faults


def _fault(path: str, problem: str, remedy: str) -> Fault:
    return Fault(path=path, problem=problem, remedy=remedy)
