"""Which gateways a process beside an engine tells, and when: no I/O."""

from radishstack.process import audience as audience_lib

NOW_MS = 100_000


def _audience(count: int, *, users: int = 0) -> audience_lib.Audience:
    """Makes an audience of which the first gateways use the engine."""
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
    """Returns how often each gateway is told in some seconds."""
    audience = _audience(count, users=users)
    updates: dict[str, int] = {}
    for now_ms in range(NOW_MS, NOW_MS + seconds * 1_000, 10):
        if not now_ms % 400:
            _send_demands(audience, count, users, now_ms)
        for recipients in audience.due(now_ms, changed=False, held=frozenset()):
            for host, _ in recipients.addresses:
                updates[host] = updates.get(host, 0) + 1
    return updates


def test_active_gateways_get_frequent_updates_and_idle_ones_rare() -> None:
    """Symptom: a tenth of each VM goes to control at a hundred VMs.

    Sequence: 68 gateways stand before 32 engines, each uses a few. Cause:
    every engine's process told all of them three times a second, 206 words a
    second; 90 are enough.
    """
    updates = _count_updates(68, users=5)
    assert all(updates[f"10.0.0.{number}"] >= 28 for number in range(5)), (
        updates
    )
    idle = [updates[f"10.0.0.{number}"] for number in range(5, 68)]
    assert max(idle) <= 11 and min(idle) >= 9, idle


def test_idle_gateways_in_a_small_fleet_get_frequent_updates() -> None:
    """Few gateways cost little, and fresh beliefs serve their callers."""
    updates = _count_updates(6, users=0)
    assert all(count >= 45 for count in updates.values()), updates


def test_an_update_states_when_the_next_one_comes() -> None:
    """Symptom: engines that nobody uses pass for gone.

    Sequence: an idle gateway hears of an engine once a second. Cause: it
    judged silence by the pace at which users are told.
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
    """A request that waits for a load must not wait for the regular word."""
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
    """Symptom: an engine passes for silent to a gateway that begins to use it.

    Sequence: a gateway that was told a while ago says that it uses the engine.
    Cause: it was told again only when the idle ones were due, after more than
    the 700 ms for which it waits for an answer.
    """
    audience = _audience(68)
    audience.due(NOW_MS, changed=False, held=frozenset())
    assert not audience.due(NOW_MS + 400, changed=False, held=frozenset())
    _send_demands(audience, 1, 1, NOW_MS + 410)
    (recipients,) = audience.due(NOW_MS + 410, changed=False, held=frozenset())
    assert recipients.addresses == (("10.0.0.0", 80),)
    assert recipients.next_ms == audience_lib.MAX_ACTIVE_UPDATE_MS


def test_updates_name_every_gateway_in_turn() -> None:
    """Symptom: half of all control bytes are names of gateways.

    Sequence: 68 gateways, each word names all of them, once a second from
    each of 32 engines: 107 of 172 MB between failure domains in 45 s. Cause:
    names in a word grew with the fleet, and words did as well.
    """
    for count in (3, 68, 390):
        audience = _audience(count)
        named: set[str] = set()
        # As many words as 32 engines tell one idle gateway in some seconds.
        for _ in range(128):
            names = audience.next_names()
            assert len(names) <= audience_lib.NAMES_PER_UPDATE
            named.update(names)
        assert len(named) == count


def test_a_lost_gateway_gets_no_more_updates() -> None:
    """Its address may belong to another process by then."""
    audience = _audience(3)
    audience.expire(NOW_MS + audience_lib.GATEWAY_TTL_MS)
    assert not audience.due(NOW_MS, changed=True, held=frozenset())
