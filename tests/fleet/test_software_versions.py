"""Streams while targets of several software versions serve side by side."""

from collections.abc import AsyncIterator
import contextlib

from radishd import gateway as gateway_lib
from radishstack.process import roster as roster_lib
from standins import platform_engine

from tests.fleet import fixtures

Fault = platform_engine.Fault
ADAPTER = "a1"
# The stand-in's fault CUT_MIDWAY ends a stream after this event.
LAST_BEFORE_CUT = 1
# Low enough that no target counts as degraded.
FAILURE_SHARE_STEP = 0.1


@contextlib.asynccontextmanager
async def _fleet(*software_versions: str) -> AsyncIterator[fixtures.Fleet]:
    """Runs one engine for each software version; all hold the adapter."""
    async with fixtures.running_fleet(engines=0, plain=1) as fleet:
        for number, software_version in enumerate(software_versions):
            engine = await fleet.add_target(
                f"i-engine{number}",
                engine=True,
                software_version=software_version,
            )
            engine.adapters[ADAPTER] = 1
        await _knows_engines(fleet, fleet.gateway)
        yield fleet


async def _knows_engines(
    fleet: fixtures.Fleet, gateway: gateway_lib.Gateway
) -> None:
    def known() -> bool:
        views = gateway.placement.views.values()
        return len(views) == len(_engines(fleet)) and all(
            f"{fixtures.MODEL}/{ADAPTER}" in view.residents for view in views
        )

    await fleet.until(known, "the gateway knows which engines hold the adapter")


def _engines(fleet: fixtures.Fleet) -> list[platform_engine.PlatformEngine]:
    return [one for one in fleet.targets.values() if one.model]


def _cut_first(fleet: fixtures.Fleet) -> None:
    """Makes the first engine that runs a request cut its stream."""
    cut: list[str] = []

    def cut_once(seen: platform_engine.ReceivedRequest) -> Fault:
        cut.append(seen.attempt_id)
        return Fault.CUT_MIDWAY if len(cut) == 1 else Fault.NONE

    for engine in _engines(fleet):
        engine.fault = cut_once


def _runners(fleet: fixtures.Fleet, attempt_id: str) -> list[str]:
    """Returns the software versions that ran an attempt."""
    return [
        engine.software_version
        for engine in _engines(fleet)
        for ran in engine.ran
        if ran == attempt_id
    ]


def _prefer(
    gateway: gateway_lib.Gateway, *ordered: platform_engine.PlatformEngine
) -> None:
    """Makes a gateway choose engines in an order; those not named come last."""
    names = [engine.instance for engine in ordered]
    for name, member in gateway.roster.members.items():
        rank = names.index(name) if name in names else len(names)
        member.health.failure_share = rank * FAILURE_SHARE_STEP


def test_a_retry_does_not_continue_at_another_software_version() -> None:
    """Guards against one response with events of two software versions.

    The only other target runs other software. The stream is aborted, so that
    its caller notices.
    """

    async def play() -> None:
        async with _fleet("v1", "v2") as fleet:
            _cut_first(fleet)
            answer = await fleet.call("/long/x", adapter=ADAPTER, attempt="a0")
            assert answer.status == 200 and not answer.whole, answer
            assert len(_runners(fleet, "a0")) == 1

    fixtures.run(play)


def test_a_retry_continues_at_the_same_software_version() -> None:
    """Guards against losing a stream that another target could continue.

    The target of the other software version would be chosen first.
    """

    async def play() -> None:
        async with _fleet("v1", "v1", "v2") as fleet:
            _cut_first(fleet)
            first, _, other = _engines(fleet)
            _prefer(fleet.gateway, first, other)
            answer = await fleet.call("/long/x", adapter=ADAPTER, attempt="a1")
            assert answer.whole, answer
            assert _runners(fleet, "a1") == ["v1", "v1"]
            assert not other.ran

    fixtures.run(play)


async def _begin_at_first_engine(fleet: fixtures.Fleet, attempt: str) -> None:
    """Begins a stream at the first engine, whose crash cuts it."""
    first = _engines(fleet)[0]
    _prefer(fleet.gateway, first)
    for engine in _engines(fleet):
        engine.fault = lambda seen: Fault.CUT_MIDWAY
    answer = await fleet.call("/long/x", adapter=ADAPTER, attempt=attempt)
    assert answer.status == 200 and not answer.whole, answer
    for engine in _engines(fleet):
        engine.fault = lambda seen: Fault.NONE
        engine.ran.clear()


async def _resume(
    fleet: fixtures.Fleet, gateway: gateway_lib.Gateway, attempt: str
) -> fixtures.Answer:
    return await fleet.call(
        "/long/x",
        adapter=ADAPTER,
        attempt=f"{attempt}-next",
        gateway=gateway,
        Resumes=attempt,
        Last_Event_Id=str(LAST_BEFORE_CUT),
    )


async def _add_gateway(fleet: fixtures.Fleet) -> gateway_lib.Gateway:
    """Adds a gateway that the first one knows, and the other way round."""
    first = fleet.gateway
    gateway = await fleet.add_gateway(seeds=(first.own.peers,))
    await _knows_engines(fleet, gateway)
    await fleet.until(
        lambda: gateway.own.peers in first.peers.addresses,
        "the gateways know each other",
    )
    return gateway


def test_a_caller_does_not_resume_at_another_software_version() -> None:
    """Guards against a stream with events of two software versions.

    A caller resumes its stream at another gateway, which knows only a target
    of the other software version.
    """

    async def play() -> None:
        async with _fleet("v1", "v2") as fleet:
            gateway = await _add_gateway(fleet)
            await _begin_at_first_engine(fleet, "b0")
            first, other = _engines(fleet)
            assert gateway.roster.drop(first.instance)
            answer = await _resume(fleet, gateway, "b0")
            assert answer.status == 503, answer
            assert not other.ran and not first.ran

    fixtures.run(play)


def test_a_caller_resumes_at_the_same_software_version() -> None:
    """Guards against losing streams that callers resume at another gateway.

    The target of the other software version would be chosen first.
    """

    async def play() -> None:
        async with _fleet("v1", "v1", "v2") as fleet:
            gateway = await _add_gateway(fleet)
            await _begin_at_first_engine(fleet, "b1")
            *_, other = _engines(fleet)
            _prefer(gateway, other)
            answer = await _resume(fleet, gateway, "b1")
            assert answer.status == 200 and answer.whole, answer
            assert not other.ran

    fixtures.run(play)


def test_a_restart_under_the_same_name_may_change_the_software() -> None:
    """Guards against the software version of a former incarnation.

    Its sidecar reports the restart before the list shows the new entry.
    """
    roster = roster_lib.Roster(2_500)
    listing = roster_lib.Listing(
        instance="i1",
        service="llm",
        address="10.0.0.1:80",
        failure_domain="north",
        leaving=False,
        slot_count=8,
        changed_at=1,
        born_ms=5_000,
        software_version="v1",
    )
    roster.upsert(listing)
    restarted = roster.restarted(
        roster_lib.incarnation.IncarnationId("i1", 9_000), 5_000
    )
    assert restarted.listing.software_version == ""
