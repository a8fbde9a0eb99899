"""Typed datagrams between gateways and sidecars, and between gateways.

Gateways repeat their demand and sidecars their status updates several times a
second, so a lost datagram only makes the state slightly older. Gateways report
crashes to each other, and repeat the reports of requests with several crashes.
"""

from collections.abc import Mapping
import dataclasses
import functools
import math
import pathlib
from typing import Any

import capnp

from radishstack import result
from radishstack.process import adapter_keeper
from radishstack.process import incarnation
from radishstack.process import store_position
from radishstack.process import stream_origins
from radishstack.process import suspicion
from radishstack.process import target_rate_limits
from radishstack.process import usage_loan

MAX_DATAGRAM_BYTES = 32 * 1024
# Maximum entries of a list in one datagram; the sender counts and logs the
# omitted ones.
MAX_ENTRIES = 256
# The largest time that fits in a 32-bit field.
MAX_SOLE_FOR_MS = 0xFFFFFFFF
# The largest count or time that fits in a 16-bit field.
MAX_COUNT = 0xFFFF
# The largest version that fits in a 32-bit field; longer ones have another.
MAX_SHORT_VERSION = 0xFFFFFFFF

_wire = capnp.load(str(pathlib.Path(__file__).with_name("fleet.capnp")))


@dataclasses.dataclass(frozen=True, slots=True)
class DemandDatagram:
    """A gateway's demand and the address for its peers."""

    demand: adapter_keeper.Demand
    peer_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class StatusUpdate:
    """The state of an engine, sent by its sidecar.

    Attributes:
        instance: Incarnation of the engine, by its instance name.
        running: Running requests.
        queued: Queued requests.
        residents: Loaded versions by adapter.
        pending: Adapters that are being loaded or are queued for it.
        peer_addresses: Some of the gateways that send demand to this sidecar,
            different ones in each update.
        load_wait: How long loads take now.
        born_ms: Start time of the engine's incarnation, 0 if unknown.
        former_born_ms: Start time of the previous incarnation that this
            sidecar observed, 0 if there is none.
        next_ms: Time within which the next update is sent, 0 if unknown.
        gateway_count: Number of gateways that send demand to this sidecar.
        recent: Adapters that the engine held until recently, the most recent
            last.
        leaving: Whether the engine reports that it is draining.
    """

    instance: str
    running: int
    queued: int
    residents: dict[str, int]
    pending: frozenset[str]
    peer_addresses: tuple[str, ...]
    load_wait: adapter_keeper.LoadWait
    born_ms: int = 0
    former_born_ms: int = 0
    next_ms: int = 0
    gateway_count: int = 0
    recent: tuple[str, ...] = ()
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedObservation:
    """A crash at which a request was running, in a report between gateways.

    Attributes:
        incarnation_id: The incarnation of a target that crashed.
        began_ago_ms: Time since the request was sent to the target.
        ended_ago_ms: Time since the target crashed.
    """

    incarnation_id: incarnation.IncarnationId
    began_ago_ms: int
    ended_ago_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedRecord:
    """The evidence about one feature, in a report between gateways.

    Attributes:
        fingerprint: Fingerprint of the feature.
        observations: Crashes at which it was running.
        cleared_ago_ms: Time since a request with it succeeded, None if none
            did.
        block_position: Position of the feature, a block of the prompt; 0 if it
            is the whole request.
    """

    fingerprint: str
    observations: tuple[ReportedObservation, ...]
    cleared_ago_ms: int | None = None
    block_position: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """Reports the crash evidence of one gateway to others.

    Attributes:
        records: The evidence about requests.
        asks: Whether the receiver should report its own records.
    """

    records: tuple[ReportedRecord, ...] = ()
    asks: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimitReport:
    """Reports the rate limit in a target's response to other gateways.

    Attributes:
        incarnation_id: The incarnation of the target.
        limit_per_s: Requests per second from all gateways together,
            ``UNLIMITED_PER_S`` if the response has no limit.
        ago_ms: Time since the response was received.
    """

    incarnation_id: incarnation.IncarnationId
    limit_per_s: float
    ago_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StreamRecord:
    """Reports to another gateway which software began a stream.

    Attributes:
        stream_id: The stream.
        origin: Its origin.
        retention_ms: How long the stream may be resumed.
    """

    stream_id: int
    origin: stream_origins.Origin
    retention_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StreamQuery:
    """Asks another gateway for the origin of a stream.

    Attributes:
        stream_id: The stream.
        service: The service that serves it.
        lifetime_ms: Longest lifetime of the service's streams.
    """

    stream_id: int
    service: str
    lifetime_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeReport:
    """Reports up to which changes a gateway has read the store.

    Attributes:
        positions: Position of the newest change by kind of object.
    """

    positions: Mapping[str, store_position.StorePosition]


StreamMessage = StreamRecord | StreamQuery | stream_origins.Answer
Datagram = (
    DemandDatagram
    | StatusUpdate
    | CrashReport
    | RateLimitReport
    | ChangeReport
    | StreamMessage
    | usage_loan.Message
)


def to_reported_record(record: suspicion.Record, now_ms: int) -> ReportedRecord:
    """Converts a record's times on this VM's clock to ages."""
    cleared_at_ms = record.cleared_at_ms
    is_cleared = cleared_at_ms != suspicion.NEVER_MS
    return ReportedRecord(
        record.fingerprint,
        tuple(
            ReportedObservation(
                one.incarnation_id,
                max(0, now_ms - one.began_at_ms),
                max(0, now_ms - one.ended_at_ms),
            )
            for one in record.observations
        ),
        max(0, now_ms - cleared_at_ms) if is_cleared else None,
        record.block_position,
    )


def from_reported_record(
    reported: ReportedRecord, now_ms: int
) -> suspicion.Record:
    """Converts a record's ages to times on this VM's clock."""
    cleared_at_ms = suspicion.NEVER_MS
    if reported.cleared_ago_ms is not None:
        cleared_at_ms = now_ms - reported.cleared_ago_ms
    return suspicion.Record(
        reported.fingerprint,
        tuple(
            suspicion.Observation(
                one.incarnation_id,
                now_ms - one.began_ago_ms,
                now_ms - one.ended_ago_ms,
            )
            for one in reported.observations
        ),
        cleared_at_ms,
        reported.block_position,
    )


def omitted_count(datagram: DemandDatagram) -> int:
    """Returns the number of demand entries that do not fit in a datagram."""
    demand = datagram.demand
    lists = (demand.uses, demand.wants, demand.announced)
    return sum(max(0, len(one) - MAX_ENTRIES) for one in lists)


@functools.singledispatch
def encode(datagram: Datagram) -> bytes:
    """Encodes a datagram."""
    raise TypeError(type(datagram))


@encode.register
def _(datagram: DemandDatagram) -> bytes:
    demand = datagram.demand
    body = {
        "gateway": demand.gateway,
        "instance": demand.instance,
        "adapterLimit": demand.adapter_limit,
        "baseModels": list(demand.base_models),
        "uses": [
            {
                "adapter": use.adapter,
                "inFlight": use.in_flight,
                "sent": use.sent,
            }
            for use in demand.uses[:MAX_ENTRIES]
        ],
        "wants": [
            {
                "adapter": load_request.adapter,
                **_encode_version(load_request.version),
                "waiting": min(load_request.waiting, MAX_COUNT),
                "firstDueMs": load_request.first_due_ms,
                "lastDueMs": load_request.last_due_ms,
            }
            for load_request in demand.wants[:MAX_ENTRIES]
        ],
        "announced": [
            {"adapter": adapter, **_encode_version(version)}
            for adapter, version in list(demand.announced.items())[:MAX_ENTRIES]
        ],
        "peerAddress": datagram.peer_address,
    }
    return _wire.FleetDatagram.new_message(demand=body).to_bytes_packed()


@encode.register
def _(datagram: StatusUpdate) -> bytes:
    body = {
        "instance": datagram.instance,
        "running": min(datagram.running, MAX_COUNT),
        "queued": min(datagram.queued, MAX_COUNT),
        "residents": _encode_holdings(datagram.residents),
        "pending": _encode_holdings(dict.fromkeys(sorted(datagram.pending), 0)),
        "peerAddresses": list(datagram.peer_addresses),
        "loadWaitMs": datagram.load_wait.wait_ms,
        "loadGapMs": min(round(datagram.load_wait.gap_ms), MAX_COUNT),
        "loadInTimeMs": datagram.load_wait.in_time_ms,
        "fetchMs": datagram.load_wait.fetch_ms,
        "bornMs": datagram.born_ms,
        "formerBornMs": datagram.former_born_ms,
        "nextMs": min(datagram.next_ms, MAX_COUNT),
        "gatewayCount": min(datagram.gateway_count, MAX_COUNT),
        "recent": _encode_holdings(dict.fromkeys(datagram.recent, 0)),
        "leaving": datagram.leaving,
    }
    return _wire.FleetDatagram.new_message(state=body).to_bytes_packed()


@encode.register
def _(datagram: CrashReport) -> bytes:
    body = {
        "records": [
            {
                "fingerprint": bytes.fromhex(record.fingerprint),
                "observations": [
                    {
                        "target": one.incarnation_id.name,
                        "bornMs": one.incarnation_id.born_ms,
                        "beganAgoMs": one.began_ago_ms,
                        "endedAgoMs": one.ended_ago_ms,
                    }
                    for one in record.observations
                ],
                "isCleared": record.cleared_ago_ms is not None,
                "clearedAgoMs": record.cleared_ago_ms or 0,
                "blockPosition": record.block_position,
            }
            for record in datagram.records
        ],
        "asks": datagram.asks,
    }
    return _wire.FleetDatagram.new_message(crashReport=body).to_bytes_packed()


@encode.register
def _(datagram: RateLimitReport) -> bytes:
    is_limited = datagram.limit_per_s != target_rate_limits.UNLIMITED_PER_S
    body = {
        "target": datagram.incarnation_id.name,
        "bornMs": datagram.incarnation_id.born_ms,
        "isLimited": is_limited,
        "limitPerS": datagram.limit_per_s if is_limited else 0.0,
        "agoMs": datagram.ago_ms,
    }
    message = _wire.FleetDatagram.new_message(rateLimitReport=body)
    return message.to_bytes_packed()


@encode.register
def _(datagram: ChangeReport) -> bytes:
    body = {
        "positions": [
            {"kind": kind, "era": one.era, "revision": one.revision}
            for kind, one in datagram.positions.items()
        ]
    }
    return _wire.FleetDatagram.new_message(changeReport=body).to_bytes_packed()


@encode.register
def _(datagram: usage_loan.LoanRequest) -> bytes:
    body = dataclasses.asdict(datagram)
    return _wire.FleetDatagram.new_message(usageAsk=body).to_bytes_packed()


@encode.register
def _(datagram: usage_loan.Loan) -> bytes:
    body = dataclasses.asdict(datagram)
    return _wire.FleetDatagram.new_message(usageLoan=body).to_bytes_packed()


@encode.register
def _(datagram: StreamRecord) -> bytes:
    body = {
        "streamId": datagram.stream_id,
        "service": datagram.origin.service,
        "softwareVersion": datagram.origin.software_version,
        "retentionMs": datagram.retention_ms,
    }
    return _wire.FleetDatagram.new_message(streamRecord=body).to_bytes_packed()


@encode.register
def _(datagram: StreamQuery) -> bytes:
    body = {
        "streamId": datagram.stream_id,
        "service": datagram.service,
        "lifetimeMs": datagram.lifetime_ms,
    }
    return _wire.FleetDatagram.new_message(streamQuery=body).to_bytes_packed()


@encode.register
def _(datagram: stream_origins.Answer) -> bytes:
    origin = datagram.origin
    body = {
        "streamId": datagram.stream_id,
        "service": origin.service if origin else "",
        "softwareVersion": origin.software_version if origin else "",
        "isMixed": datagram.view.is_mixed,
        "soleVersion": datagram.view.sole_version,
        "soleForMs": min(datagram.view.sole_for_ms, MAX_SOLE_FOR_MS),
    }
    return _wire.FleetDatagram.new_message(streamAnswer=body).to_bytes_packed()


def _encode_holdings(versions: Mapping[str, int]) -> list[dict[str, Any]]:
    by_base: dict[str, dict[str, Any]] = {}
    for name, version in versions.items():
        base, _, adapter = name.partition("/")
        holding = by_base.setdefault(
            base, {"base": base, "adapters": [], "versions": []}
        )
        if adapter:
            holding["adapters"].append(adapter)
            holding["versions"].append(version)
        else:
            holding["isResident"] = True
            holding.update(_encode_version(version))
    for holding in by_base.values():
        adapter_versions = holding["versions"]
        if max(adapter_versions, default=0) > MAX_SHORT_VERSION:
            holding["longVersions"] = adapter_versions
            holding["versions"] = [0] * len(adapter_versions)
    return list(by_base.values())


def _encode_version(version: int) -> dict[str, int]:
    if version <= MAX_SHORT_VERSION:
        return {"version": version}
    return {"longVersion": version}


def _decode_version(body: Any) -> int:
    return body.longVersion or body.version


def _decode_holdings(holdings: Any) -> dict[str, int]:
    versions = {}
    for holding in holdings:
        if holding.isResident:
            versions[holding.base] = _decode_version(holding)
        adapter_versions = holding.longVersions or holding.versions
        for adapter, version in zip(
            holding.adapters, adapter_versions, strict=True
        ):
            versions[f"{holding.base}/{adapter}"] = version
    return versions


def decode(data: bytes) -> result.Outcome[Datagram]:
    """Decodes a datagram.

    Args:
        data: The received bytes.

    Returns:
        The datagram, or why it is invalid.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        return result.Failure(result.FRAME_TOO_LARGE, f"{len(data)} bytes")
    try:
        message = _wire.FleetDatagram.from_bytes_packed(data)
        match message.which():
            case "demand":
                return _decode_demand(message.demand)
            case "crashReport":
                return _decode_crash_report(message.crashReport)
            case "rateLimitReport":
                return _decode_rate_limit_report(message.rateLimitReport)
            case "changeReport":
                return _decode_change_report(message.changeReport)
            case "streamRecord":
                return _decode_stream_record(message.streamRecord)
            case "streamQuery":
                return _decode_stream_query(message.streamQuery)
            case "streamAnswer":
                return _decode_stream_answer(message.streamAnswer)
            case "usageAsk":
                return _decode_usage_ask(message.usageAsk)
            case "usageLoan":
                return _decode_usage_loan(message.usageLoan)
        return _decode_state(message.state)
    except (capnp.KjException, ValueError) as error:
        return result.Failure(result.FRAME_MALFORMED, str(error))


def _decode_demand(body: object) -> DemandDatagram:
    demand = adapter_keeper.Demand(
        gateway=body.gateway,
        instance=body.instance,
        adapter_limit=body.adapterLimit,
        base_models=tuple(body.baseModels),
        uses=tuple(
            adapter_keeper.Use(use.adapter, use.inFlight, use.sent)
            for use in body.uses
        ),
        wants=tuple(
            adapter_keeper.LoadRequest(
                want.adapter,
                _decode_version(want),
                want.waiting,
                want.firstDueMs,
                want.lastDueMs,
            )
            for want in body.wants
        ),
        announced={one.adapter: _decode_version(one) for one in body.announced},
    )
    return DemandDatagram(demand, body.peerAddress)


def _decode_state(body: object) -> StatusUpdate:
    return StatusUpdate(
        instance=body.instance,
        running=body.running,
        queued=body.queued,
        residents=_decode_holdings(body.residents),
        pending=frozenset(_decode_holdings(body.pending)),
        peer_addresses=tuple(body.peerAddresses),
        load_wait=adapter_keeper.LoadWait(
            body.loadWaitMs, body.loadGapMs, body.loadInTimeMs, body.fetchMs
        ),
        born_ms=body.bornMs,
        former_born_ms=body.formerBornMs,
        next_ms=body.nextMs,
        gateway_count=body.gatewayCount,
        recent=tuple(_decode_holdings(body.recent)),
        leaving=body.leaving,
    )


def _decode_crash_report(body: object) -> CrashReport:
    records = tuple(
        ReportedRecord(
            bytes(record.fingerprint).hex(),
            tuple(
                ReportedObservation(
                    incarnation.IncarnationId(one.target, one.bornMs),
                    one.beganAgoMs,
                    one.endedAgoMs,
                )
                for one in record.observations
            ),
            record.clearedAgoMs if record.isCleared else None,
            record.blockPosition,
        )
        for record in body.records
    )
    return CrashReport(records, body.asks)


def _decode_rate_limit_report(body: object) -> RateLimitReport:
    limit_per_s = target_rate_limits.UNLIMITED_PER_S
    if body.isLimited:
        limit_per_s = _finite_non_negative(body.limitPerS)
    incarnation_id = incarnation.IncarnationId(body.target, body.bornMs)
    return RateLimitReport(incarnation_id, limit_per_s, body.agoMs)


def _decode_change_report(body: object) -> ChangeReport:
    positions = {
        one.kind: store_position.StorePosition(one.era, one.revision)
        for one in body.positions
    }
    return ChangeReport(positions)


def _decode_stream_record(body: object) -> StreamRecord:
    origin = stream_origins.Origin(body.service, body.softwareVersion)
    return StreamRecord(body.streamId, origin, body.retentionMs)


def _decode_stream_query(body: object) -> StreamQuery:
    return StreamQuery(body.streamId, body.service, body.lifetimeMs)


def _decode_stream_answer(body: object) -> stream_origins.Answer:
    view = stream_origins.VersionView(
        body.isMixed, body.soleVersion, body.soleForMs
    )
    origin = None
    if body.softwareVersion:
        origin = stream_origins.Origin(body.service, body.softwareVersion)
    return stream_origins.Answer(body.streamId, origin, view)


def _decode_usage_ask(body: object) -> usage_loan.LoanRequest:
    return usage_loan.LoanRequest(
        body.account,
        body.number,
        _finite_non_negative(body.need),
        _finite_non_negative(body.want),
    )


def _decode_usage_loan(body: object) -> usage_loan.Loan:
    return usage_loan.Loan(
        body.account,
        body.number,
        _finite_non_negative(body.amount),
        _finite_non_negative(body.room),
    )


def _finite_non_negative(value: float) -> float:
    if not math.isfinite(value) or value < 0:
        raise ValueError(f"{value} is not a finite non-negative number")
    return value
