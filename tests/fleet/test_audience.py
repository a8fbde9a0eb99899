"""Tests which gateways a sidecar updates, and when, without I/O."""

from radishstack.process import audience as audience_lib

NOW_MS = 100_000


def _audience(count: int, *, users: int = 0) -> audience_lib.Audience:
    """Creates an audience whose first ``users`` gateways are active."""
    audience = audience_lib.Audience()
    _send_demands(
        audience, count, users, NOW_MS - audience_lib.ACTIVE_MS - 1, new=True
    )
    return audience


def _send_demands(
    audience: audience_lib.Audience,
    count: int,
    users: int,
    now_ms: int,
    *,
    new: bool = False,
) -> None:
    for number in range(count):
        audience.record_demand(
            (f"10.0.0.{number}", 80),
            f"10.0.0.{number}:90",
            frozenset(),
            uses=new or number < users,
            now_ms=now_ms,
        )


def _count_updates(
    count: int, *, users: int, seconds: int = 10
) -> dict[str, int]:
    """Returns how many updates each gateway gets in some seconds."""
    audience = _audience(count, users=users)
    updates: dict[str, int] = {}
    for now_ms in range(NOW_MS, NOW_MS + seconds * 1_000, 10):
        if not now_ms % 400:
            _send_demands(audience, count, users, now_ms)
        for recipients in audience.due(now_ms, changed=False, held=frozenset()):
            for host, _ in recipients.addresses:
                updates[host] = updates.get(host, 0) + 1
    return updates


def test_a_gateway_that_has_expired_gets_no_update() -> None:
    """Guards against an update for a gateway that has just been removed.

    What the engine holds changes after a gateway has sent no demand for its
    time to live.
    """
    audience = _audience(2, users=0)
    expired_ms = NOW_MS + audience_lib.GATEWAY_TTL_MS + 1
    _send_demands(audience, 1, 0, expired_ms - 1)
    due = audience.due(expired_ms, changed=True, held=frozenset())
    hosts = [host for one in due for host, _ in one.addresses]
    assert hosts == ["10.0.0.0"], due


def test_active_gateways_get_frequent_updates_and_idle_ones_rare() -> None:
    """Guards against control messages that use a tenth of each VM at 100 VMs.

    Each of 68 gateways uses a few of 32 engines, and each sidecar updated all
    gateways three times a second: 206 messages a second, where 90 are enough.
    """
    updates = _count_updates(68, users=5)
    assert all(updates[f"10.0.0.{number}"] >= 28 for number in range(5)), (
        updates
    )
    idle = [updates[f"10.0.0.{number}"] for number in range(5, 68)]
    assert max(idle) <= 11 and min(idle) >= 9, idle


def test_idle_gateways_in_a_small_fleet_get_frequent_updates() -> None:
    """Updates to few gateways cost little, and a fresh status helps callers."""
    updates = _count_updates(6, users=0)
    assert all(count >= 45 for count in updates.values()), updates


def test_an_update_states_when_the_next_one_comes() -> None:
    """Guards against treating unused engines as lost.

    An idle gateway gets an update of an engine once a second, and judged it
    stale by the interval of active gateways.
    """
    audience = _audience(68)
    _send_demands(audience, 68, 1, NOW_MS)
    counts_by_interval = {
        recipients.next_ms: len(recipients.addresses)
        for recipients in audience.due(NOW_MS, changed=False, held=frozenset())
    }
    assert counts_by_interval == {
        audience_lib.MAX_ACTIVE_UPDATE_MS: 1,
        audience_lib.IDLE_UPDATE_MS: 67,
    }


def test_gateways_that_wait_for_a_load_get_changes_at_once() -> None:
    """A request that waits for a load must not wait for a regular update."""
    audience = _audience(68)
    audience.due(NOW_MS, changed=False, held=frozenset())
    address = ("10.0.0.3", 80)
    audience.record_demand(
        address,
        "10.0.0.3:90",
        frozenset({"base/a1"}),
        uses=True,
        now_ms=NOW_MS + 1,
    )
    due = audience.due(NOW_MS + 2, changed=True, held=frozenset())
    assert [recipients.addresses for recipients in due] == [(address,)]
    due = audience.due(NOW_MS + 3, changed=False, held=frozenset({"base/a1"}))
    assert [recipients.addresses for recipients in due] == [(address,)]


def test_a_gateway_that_becomes_active_is_updated_at_once() -> None:
    """Guards against treating an engine as stale when its use begins.

    A gateway reports its first use some time after its last update. Its next
    update came at the idle interval, after more than the 700 ms for which it
    waits for an answer.
    """
    audience = _audience(68)
    audience.due(NOW_MS, changed=False, held=frozenset())
    assert not audience.due(NOW_MS + 400, changed=False, held=frozenset())
    _send_demands(audience, 1, 1, NOW_MS + 410)
    (recipients,) = audience.due(NOW_MS + 410, changed=False, held=frozenset())
    assert recipients.addresses == (("10.0.0.0", 80),)
    assert recipients.next_ms == audience_lib.MAX_ACTIVE_UPDATE_MS


def test_updates_name_every_gateway_in_turn() -> None:
    """Guards against control traffic that consists mostly of gateway names.

    Each update named all of 68 gateways and was sent once a second by each of
    32 engines: 107 of 172 MB between failure domains in 45 s. Both the names in
    an update and the number of updates grew with the fleet.
    """
    for count in (3, 68, 390):
        audience = _audience(count)
        named: set[str] = set()
        # As many updates as 32 engines send to one idle gateway in seconds.
        for _ in range(128):
            names = audience.next_names()
            assert len(names) <= audience_lib.NAMES_PER_UPDATE
            named.update(names)
        assert len(named) == count


def test_a_lost_gateway_gets_no_more_updates() -> None:
    """Another process may have its address by then."""
    audience = _audience(3)
    audience.expire(NOW_MS + audience_lib.GATEWAY_TTL_MS)
    assert not audience.due(NOW_MS, changed=True, held=frozenset())
