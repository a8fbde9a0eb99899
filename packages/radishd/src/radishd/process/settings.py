"""Settings of one process, read from YAML and validated as a whole."""

import dataclasses
import enum
import functools
import pathlib
from typing import Annotated
from typing import Any

import pydantic
import pydantic.dataclasses
from radishstack import result
from radishstack.version import checks
import yaml

from radishd.process import client_bounds

_settings = functools.partial(
    pydantic.dataclasses.dataclass,
    frozen=True,
    slots=True,
    kw_only=True,
    # Only the validator of ``Settings`` as a whole is built: validators of its
    # parts would cost each process memory without ever being used.
    config=pydantic.ConfigDict(extra="forbid", defer_build=True),
)

Address = checks.Address
Url = Annotated[
    str, pydantic.Field(pattern=r"^http://\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
]
DurationMs = Annotated[int, pydantic.Field(ge=1, le=3_600_000)]
Size = Annotated[int, pydantic.Field(ge=1)]


class Role(enum.StrEnum):
    """Role of a process."""

    ENTRY = "entry"
    TARGET = "target"
    GATEWAY = "gateway"
    SIDECAR = "sidecar"


@_settings()
class PlatformSettings:
    """Access to the platform.

    Attributes:
        url: Base URL of the object API and the VM list.
        call_timeout_ms: Timeout of one call.
        watch_ms: How long one watch waits.
        vms_poll_ms: How long one watch of the VM list waits.
    """

    url: Url
    call_timeout_ms: DurationMs = 3_000
    watch_ms: DurationMs = 20_000
    vms_poll_ms: DurationMs = 5_000


@_settings()
class EntrySettings:
    """Settings of the entry role.

    Attributes:
        listen: Where callers connect.
        admin: Where health, metrics and status are served.
        control: Where probes and digests are sent from, UDP.
        max_body_bytes: Largest request body.
        max_header_bytes: Largest request header section.
        max_connections: Maximum number of concurrent connections of callers.
        max_in_flight: Maximum number of concurrent requests.
        probe_timeout_ms: Timeout of a probe.
        connect_timeout_ms: Timeout of connecting to a target.
        unready_ms: How long a draining process still accepts requests while it
            reports to the balancer that it is not ready.
        drain_ms: How long a drain waits for requests in flight.
    """

    listen: Address = "127.0.0.1:8080"
    admin: Address = "127.0.0.1:9080"
    control: Address = "127.0.0.1:7080"
    max_body_bytes: Size = 4 * 1024 * 1024
    max_header_bytes: Annotated[int, pydantic.Field(ge=1024, le=65_536)] = (
        16_384
    )
    max_connections: Size = 4_096
    max_in_flight: Size = 2_048
    probe_timeout_ms: DurationMs = 40
    connect_timeout_ms: DurationMs = 500
    unready_ms: DurationMs = 2_000
    drain_ms: DurationMs = 30_000


@_settings()
class TargetSettings:
    """Settings of the target role.

    Attributes:
        kind: Engine or plain service.
        listen: Where entry daemons connect, TCP, and probe, UDP.
        admin: Where health, metrics and status are served.
        url: URL of the engine or plain service itself.
        slot_count: Adapter slots of the engine.
        max_running: Request slots of the target.
        max_queued: Maximum number of queued requests.
        max_parallel_loads: Maximum number of concurrent loads.
        max_connections: Maximum number of connections of other processes.
        max_streams: Maximum number of concurrent streams of a connection.
        poll_ms: Interval at which the engine's state is polled.
        load_timeout_ms: Timeout of a load.
        run_timeout_ms: Idle timeout of the target's response.
        resume_ms: How long a run waits for a disconnected reader.
        keep_bytes: Bytes of one response kept for its idempotency key.
        keep_total_bytes: Bytes of all responses kept for idempotency keys.
        max_answer_bytes: Maximum size of a response that is not a stream.
        quarantine_ms: How long after a start requests with unknown idempotency
            keys are not run.
        site_loads_per_s: Load rate of the weight store; a soft limit, see the
            design note.
        drain_ms: How long a drain waits for runs in flight.
    """

    kind: checks.TargetKind
    listen: Address
    admin: Address
    url: Url
    slot_count: Size = 8
    max_running: Size = 16
    max_queued: Size = 512
    max_parallel_loads: Size = 2
    max_connections: Size = 1_024
    max_streams: Size = 4_096
    poll_ms: DurationMs = 1_000
    load_timeout_ms: DurationMs = 30_000
    run_timeout_ms: DurationMs = 60_000
    resume_ms: DurationMs = 5_000
    keep_bytes: Size = 256 * 1024
    keep_total_bytes: Size = 64 * 1024 * 1024
    max_answer_bytes: Size = 16 * 1024 * 1024
    quarantine_ms: Annotated[int, pydantic.Field(ge=0, le=3_600_000)] = (
        checks.DEFAULT_RETRY_WINDOW_MS
    )
    site_loads_per_s: Annotated[float, pydantic.Field(gt=0)] = 4.0
    drain_ms: DurationMs = 30_000


@_settings()
class GatewaySettings:
    """Settings of the gateway role, which forwards to registered targets.

    Attributes:
        listen: Where callers connect.
        readiness: Where the balancer checks readiness.
        peers: Where other gateways request the objects known here.
        control: Where datagrams are sent from and received, UDP.
        sidecar_port: UDP port of every sidecar.
        admin: Where metrics and status are served.
        retry_ratio: Retries allowed per request, over all gateways.
        retry_extra: Fixed number of retries allowed in addition, over all
            gateways.
        retry_window_ms: Window of both retry allowances.
        lapse_grace_ms: Grace period after a store outage, in which a target
            missing from the list stays in use.
        heartbeat_ms: Interval at which targets renew their entries in the list,
            0 if it is unknown.
        shutdown_ms: Time between the first signal and the forced exit.
        leaving_ms: Time after which a target listed as draining must get no
            more requests.
        configuration_ms: Time after which a new configuration must be in force.
        usage_window_ms: Sliding window of usage caps.
        usage_overage: Fraction of a window's limit by which all gateways
            together may exceed it.
        usage_tolerance: Cost by which they may exceed it in addition, in units
            of the cap.
    """

    listen: Address
    readiness: Address
    peers: Address
    control: Address
    sidecar_port: Annotated[int, pydantic.Field(ge=1, le=65_535)]
    admin: Address
    retry_ratio: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.2
    retry_extra: Annotated[float, pydantic.Field(ge=0)] = 50.0
    retry_window_ms: DurationMs = 10_000
    lapse_grace_ms: DurationMs = 2_500
    heartbeat_ms: Annotated[int, pydantic.Field(ge=0)] = 0
    shutdown_ms: DurationMs = 8_000
    leaving_ms: DurationMs = 2_000
    configuration_ms: DurationMs = 2_000
    usage_window_ms: DurationMs = 10_000
    usage_overage: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.0
    usage_tolerance: Annotated[float, pydantic.Field(ge=0)] = 0.0


@_settings()
class SidecarSettings:
    """Settings of the sidecar role, which manages one engine's adapters.

    Attributes:
        engine: ``ip:port`` of the engine.
        control: Where datagrams are sent from and received, UDP.
        admin: Where metrics and status are served.
        thaw_ms: How long after a process pause no order is sent to the engine.
    """

    engine: Address
    control: Address
    admin: Address
    thaw_ms: DurationMs = 400


@_settings()
class ClientSettings:
    """Limits for clients of the HTTP ports, in every role.

    For callers of a gateway the configuration sets the first two and the idle
    timeout, and for callers of an entry its own settings set the first one.

    Attributes:
        max_header_bytes: Maximum size of a request's headers.
        header_timeout_ms: From the first byte of a request's head to its end.
        body_timeout_ms: From the end of a head to the end of its body.
        send_timeout_ms: How long a client may take no byte of a response.
        idle_timeout_ms: How long a connection without a request stays open.
        send_buffer_bytes: Size of the kernel's send buffer of a connection.
        max_held_bytes: Bytes of requests in memory from which on large ones are
            read no further until others have ended.
        max_control_connections: Maximum number of connections to a port that is
            not for callers.
        callers_files_fraction: Fraction of the process's file descriptors that
            callers' connections may use.
    """

    max_header_bytes: Annotated[int, pydantic.Field(ge=1024)] = (
        client_bounds.DEFAULT_MAX_HEADER_BYTES
    )
    header_timeout_ms: DurationMs = client_bounds.DEFAULT_HEADER_TIMEOUT_MS
    body_timeout_ms: DurationMs = client_bounds.DEFAULT_BODY_TIMEOUT_MS
    send_timeout_ms: DurationMs = client_bounds.DEFAULT_SEND_TIMEOUT_MS
    idle_timeout_ms: DurationMs = client_bounds.DEFAULT_IDLE_TIMEOUT_MS
    send_buffer_bytes: Size = client_bounds.DEFAULT_SEND_BUFFER_BYTES
    max_held_bytes: Size = client_bounds.DEFAULT_MAX_HELD_BYTES
    max_control_connections: Size = (
        client_bounds.DEFAULT_MAX_CONTROL_CONNECTIONS
    )
    callers_files_fraction: Annotated[float, pydantic.Field(gt=0, le=1)] = (
        client_bounds.DEFAULT_CALLERS_FILES_FRACTION
    )


@_settings()
class Settings:
    """Settings of one process.

    Attributes:
        role: Role of the process.
        name: Name of the VM; for a target also its name in the document.
        failure_domain: ``region/domain``.
        platform: Access to the platform.
        entry: Settings of the entry role, the defaults if omitted.
        target: Required for the role target.
        gateway: Required for the role gateway.
        sidecar: Required for the role sidecar.
        clients: Limits for clients of the HTTP ports.
        seeds: Addresses of processes from which the configuration is requested
            if this process starts in a store outage.
        log_level: Lowest level that is logged.
    """

    role: Role
    name: checks.Name
    failure_domain: Annotated[
        str, pydantic.Field(pattern=r"^[a-z0-9-]+/[a-z0-9-]+$")
    ]
    platform: PlatformSettings
    entry: EntrySettings | None = None
    target: TargetSettings | None = None
    gateway: GatewaySettings | None = None
    sidecar: SidecarSettings | None = None
    clients: ClientSettings = ClientSettings()
    seeds: tuple[Address, ...] = ()
    log_level: Annotated[
        str, pydantic.Field(pattern="^(DEBUG|INFO|WARNING|ERROR)$")
    ] = "INFO"


_SETTINGS = pydantic.TypeAdapter(Settings)


def parse(raw: object) -> Settings | tuple[checks.Problem, ...]:
    """Builds settings from plain data.

    Args:
        raw: What the YAML parser returned.

    Returns:
        The settings, or every problem with its path, value and remedy.
    """
    try:
        settings = _SETTINGS.validate_python(raw)
    except pydantic.ValidationError as error:
        return checks.explain(error)
    if settings.role is Role.ENTRY and settings.entry is None:
        return dataclasses.replace(settings, entry=EntrySettings())
    if getattr(settings, settings.role) is None:
        remedy = f"add the settings of the {settings.role} role"
        return (checks.Problem(settings.role, "(missing)", remedy),)
    return settings


def read(path: pathlib.Path) -> result.Outcome[Settings]:
    """Reads a settings file.

    Args:
        path: The YAML file.

    Returns:
        The settings, or a failure whose message has a line per problem.
    """
    try:
        raw: Any = yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, yaml.YAMLError) as error:
        return result.Failure(result.SETTINGS_INVALID, f"{path}: {error}")
    settings = parse(raw)
    if isinstance(settings, tuple):
        lines = "\n".join(str(problem) for problem in settings)
        return result.Failure(result.SETTINGS_INVALID, lines)
    return settings


def split_address(address: str) -> tuple[str, int]:
    """Splits ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
