"""Decodes the platform's objects into radishstack's types."""

from collections.abc import Mapping
import json
import re
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic
from radishstack import result
from radishstack.process import adapter_keeper
from radishstack.process import roster
from radishstack.process import usage_cap
from radishstack.version import adapter_capacity
from radishstack.version import client_account
from radishstack.version import route_table

from radishd.process import checked
from radishd.process import logs
from radishd.process import untrusted_json

KIND_CONFIGURATION = "config"
KIND_TARGETS = "servers"
KIND_VERSIONS = "versions"
# Name of the only object of the configuration kind.
CONFIGURATION_NAME = "main"
CONFIGURATION = (KIND_CONFIGURATION, CONFIGURATION_NAME)

_IDEMPOTENT = "idempotent"
_NON_IDEMPOTENT = "non_idempotent"
_STREAMING = "streaming"
_DRAINING = "draining"
_MIN_ATTEMPTS = 1
# Maximum number of invalid entries listed in a log line.
_MAX_LOGGED = 8
# The operator writes API keys; radishstack keeps only their digests.
_ACCOUNTS = "tenants"
_KEYS = "apiKeys"
_KEY_DIGESTS = "keyDigests"

Fields = Mapping[str, Any]

# A target registers under its id, which stands in paths and headers as it is.
_TARGET_NAME = re.compile(r"[A-Za-z0-9._~:@-]{1,256}")

_Text = checked.Text
_Count = checked.Count
_Time = checked.TimeMs
_StartTimeMs = checked.StartTimeMs
_Address = Annotated[str, pydantic.AfterValidator(checked.check_address)]


class _Model(checked.StrictModel):
    name: _Text
    version: checked.Version = 0
    adapters: list[_Text] = []


class _Target(checked.StrictModel):
    service: _Text
    address: _Address
    zone: _Text
    version: _Text
    slots: Annotated[int, pydantic.Field(ge=1, lt=2**63)]
    state: Literal["ready", "draining"]
    coldRemainingMs: _Time  # noqa: N815
    sequence: _Count
    # Set only by a target that shuts down at short notice.
    remainingMs: _Time | None = None  # noqa: N815
    # Start time in Unix milliseconds by the target's own clock.
    born: _StartTimeMs = 0
    models: list[_Model] = []


class _Account(checked.StrictModel):
    name: _Text
    keyDigests: list[Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]]  # noqa: N815
    priority: _Count | None = None
    # Rate per second and burst, in units; a rate of 0 means no cap.
    ratePerS: _Time = 0.0  # noqa: N815
    burst: _Time = 0.0
    # The cap counts requests if no unit is set.
    unit: Literal["token"] | None = None
    # Assumed token count of a request that states none.
    plainTokens: _Time = 1.0  # noqa: N815


_START_TIME_VALIDATOR = pydantic.TypeAdapter(_StartTimeMs)


class _Version(checked.StrictModel):
    model: _Text
    adapter: Annotated[
        str, pydantic.Field(max_length=256, pattern=r"^[!-~]*$")
    ] = ""
    version: checked.Version


def configuration(spec: Fields) -> result.Outcome[route_table.RouteTable]:
    """Decodes the operator's configuration.

    Args:
        spec: The object's content.

    Returns:
        The route table, or what could not be decoded.
    """
    try:
        services = [_service(raw) for raw in spec.get("services") or ()]
        limits = spec.get("limits") or {}
        return route_table.make_table(
            int(spec["version"]),
            [_route(raw) for raw in spec.get("routes") or ()],
            services,
            route_table.Limits(
                int(limits.get("maxHeaderBytes", 16_384)),
                int(limits.get("maxBodyBytes", 4 * 1024 * 1024)),
                int(limits.get("idleTimeoutMs", 15_000)),
                int(limits.get("headerTimeoutMs", 10_000)),
            ),
            _directory(spec),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return result.Failure(result.STORE_CORRUPT, f"configuration: {error!r}")


def _route(raw: Fields) -> route_table.Route:
    shares = raw.get("backends")
    if shares:
        split = tuple(
            route_table.WeightedService(
                one["service"], float(one.get("weight", 1))
            )
            for one in shares
        )
    else:
        split = (route_table.WeightedService(raw["service"], 1.0),)
    # Despite its general name, `type` states which requests may be repeated.
    # Streaming responses may be repeated only if the route is marked resumable.
    kind = raw["type"]
    if kind not in (_IDEMPOTENT, _NON_IDEMPOTENT, _STREAMING):
        logs.warn("route_kind_unknown", route=raw["name"], kind=kind)
    repeat = route_table.Repeat.ONCE
    if kind == _IDEMPOTENT:
        repeat = route_table.Repeat.IDEMPOTENT
    return route_table.Route(
        name=raw["name"],
        host=raw["host"].lower(),
        path_prefix=raw["pathPrefix"],
        repeat=repeat,
        streams=kind == _STREAMING,
        resumable=bool(raw.get("resumable")),
        timeout_ms=int(raw["timeoutMs"]),
        objective_ms=int(raw.get("targetLatencyMs", raw["timeoutMs"])),
        gap_objective_ms=int(raw.get("gapTargetMs") or 0),
        priority=int(raw.get("priority") or 0),
        # The limit counts targets, not sends.
        max_targets=max(_MIN_ATTEMPTS, int(raw.get("maxAttempts") or 1)),
        shares=split,
        # Routes require a key by default, so an omission admits nobody.
        public=raw.get("public") is True,
    )


def without_secrets(spec: Any, *, from_peer: bool = False) -> Any:
    """Replaces the API keys of a configuration by their digests.

    Keys are secrets and exist only in the bytes of the store's answer.

    Args:
        spec: The content of any object.
        from_peer: Whether a gateway sent it; only then are its digests trusted.

    Returns:
        The content, or a copy without keys.
    """
    accounts = spec.get(_ACCOUNTS) if isinstance(spec, dict) else None
    if not isinstance(accounts, list):
        return spec
    redacted = [_without_keys(one, from_peer) for one in accounts]
    return {**spec, _ACCOUNTS: redacted}


def _without_keys(raw: Any, from_peer: bool) -> Any:
    if not isinstance(raw, dict):
        return None
    redacted = {
        name: value
        for name, value in raw.items()
        if name not in (_KEYS, _KEY_DIGESTS)
    }
    keys = raw.get(_KEYS)
    if keys is None and from_peer:
        redacted[_KEY_DIGESTS] = raw.get(_KEY_DIGESTS)
    elif isinstance(keys, list):
        redacted[_KEY_DIGESTS] = [
            client_account.digest_of(_key_bytes(key)).hex()
            for key in keys
            if isinstance(key, str) and key
        ]
        redacted["keyCount"] = len(keys)
    return redacted


def _key_bytes(key: str) -> bytes:
    # JSON may hold a lone surrogate, which UTF-8 cannot encode.
    return key.encode("utf-8", "surrogatepass")


def _directory(spec: Fields) -> client_account.Directory | None:
    """Decodes the client accounts, None if requests need no API key."""
    raw_accounts = spec.get(_ACCOUNTS)
    if raw_accounts is None:
        return None
    problems: list[str] = []
    entries = []
    for raw in raw_accounts if isinstance(raw_accounts, list) else ():
        try:
            entry = _Account.model_validate(raw)
        except ValueError as error:
            problems.append(checked.invalid_object("account", error).message)
            continue
        digests = [bytes.fromhex(one) for one in entry.keyDigests]
        distinct_count = len(set(digests))
        if distinct_count != raw.get("keyCount", len(digests)):
            problems.append(f"account {entry.name}: empty or repeated keys")
        entries.append((_account(entry), digests))
    directory, ambiguous = client_account.make_directory(entries)
    if ambiguous:
        problems.append(f"{len(ambiguous)} keys in several accounts")
    if problems:
        logs.warn(
            "accounts_refused",
            config=spec.get("version"),
            count=len(problems),
            reasons=problems[:_MAX_LOGGED],
        )
    return directory


def _account(entry: _Account) -> client_account.ClientAccount:
    cap = None
    if entry.ratePerS:
        counts_tokens = entry.unit is not None
        cap = usage_cap.UsageCap(
            entry.ratePerS,
            entry.burst,
            usage_cap.CostUnit.TOKEN
            if counts_tokens
            else usage_cap.CostUnit.REQUEST,
            entry.plainTokens if counts_tokens else 1.0,
        )
    return client_account.ClientAccount(entry.name, entry.priority, cap)


def _service(raw: Fields) -> route_table.ServiceSpec:
    engine = raw.get("engine") or {}
    models = engine.get("models") or ()
    return route_table.ServiceSpec(
        raw["name"],
        int(raw.get("maxConnections") or 64),
        adapter_capacity.adapter_limit(
            int(engine.get("adapterSlots") or 0),
            float(engine.get("weightsMb") or 0),
            [float(one.get("adapterMb") or 0) for one in models],
            [float(one.get("weightsMb", "inf")) for one in models],
        ),
        tuple(model["name"] for model in models),
        checked.usable_path(raw.get("healthPath")),
    )


def target(
    name: str, spec: Fields, created: int, revision: int = 0, era: int = 0
) -> result.Outcome[roster.Listing]:
    """Decodes a registered target.

    Args:
        name: The object's name, which is the target's instance.
        spec: The object's content.
        created: Revision at which it was created.
        revision: Revision at which it last changed.
        era: Store era of the revisions.

    Returns:
        The target, or what could not be decoded.
    """
    if not _TARGET_NAME.fullmatch(name):
        return result.Failure(result.STORE_CORRUPT, "the name is no id")
    try:
        entry = _Target.model_validate(spec)
        residents = _residents(spec.get("models") or ())
    except (TypeError, ValueError, AttributeError) as error:
        return checked.invalid_object(f"target {name}", error)
    return roster.Listing(
        instance=name,
        service=entry.service,
        address=entry.address,
        failure_domain=entry.zone,
        leaving=entry.state == _DRAINING or entry.remainingMs is not None,
        has_short_notice=entry.remainingMs is not None,
        slot_count=entry.slots,
        listed_at=created,
        changed_at=revision,
        era=era,
        born_ms=entry.born,
        software_version=entry.version,
        residents=residents,
    )


def _born_ms(raw: Fields) -> int:
    """Returns the start time of a target by its own clock, or 0."""
    return _START_TIME_VALIDATOR.validate_python(
        raw.get("born", 0), strict=True
    )


def _residents(models: Any) -> dict[str, int]:
    residents = {}
    for model in models:
        base = checked.check_text(model["name"])
        residents[base] = checked.parse_version(str(model.get("version") or ""))
        for adapter in model.get("adapters") or ():
            name, _, version = checked.check_text(adapter).partition("@")
            residents[f"{base}/{name}"] = checked.parse_version(version)
    return residents


def announced(spec: Fields) -> result.Outcome[adapter_keeper.LoadRequest]:
    """Decodes the announcement of a new version.

    Returns:
        The adapter, or the base model if no adapter is named, and its version.
    """
    try:
        entry = _Version.model_validate(spec)
    except ValueError as error:
        return checked.invalid_object("version", error)
    name = f"{entry.model}/{entry.adapter}" if entry.adapter else entry.model
    return adapter_keeper.LoadRequest(name, entry.version)


def report(body: bytes) -> result.Outcome[adapter_keeper.Report]:
    """Decodes an engine's report on its state."""
    try:
        raw = json.loads(body)
        problem = untrusted_json.find_problem(raw)
        if problem:
            return result.Failure(result.STORE_CORRUPT, f"report: {problem}")
        in_transit = {}
        for entry in raw.get("incoming") or ():
            name, _, version = checked.check_text(entry).partition("@")
            in_transit[name] = checked.parse_version(version)
        return adapter_keeper.Report(
            accepted_count=checked.check_count(raw["sequence"]),
            residents=_residents(raw.get("models") or ()),
            in_transit=in_transit,
            busy=bool(raw.get("busy")),
            running=checked.check_count(raw.get("running")),
            queued=checked.check_count(raw.get("waiting")),
            born_ms=_born_ms(raw),
        )
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        RecursionError,
    ) as error:
        return result.Failure(result.STORE_CORRUPT, f"report: {error!r}")


def order(
    order_: adapter_keeper.Order, holder: str, fencing_token: int
) -> bytes:
    """Encodes an order to an engine.

    Args:
        order_: The order.
        holder: Name of the process that sends the order.
        fencing_token: Fencing token of that process.
    """
    base, _, adapter = order_.adapter.partition("/")
    loads = order_.operation is adapter_keeper.Operation.LOAD
    body: dict[str, Any] = {
        "operation": "model_load" if loads else "model_unload",
        "model": base,
        "expect": order_.accepted_count,
        "holder": holder,
        "fencingToken": fencing_token,
    }
    if adapter:
        body["adapter"] = adapter
    if order_.version:
        body["version"] = order_.version
    return json.dumps(body).encode()
