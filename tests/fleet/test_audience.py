"""Which gateways a process beside an engine tells, and when: no I/O."""

from radishstack.process import audience as audience_lib

NOW_MS = 100_000


def _audience(count: int, *, users: int = 0) -> audience_lib.Audience:
    """Makes an audience of which the first gateways use the engine."""
    audience = audience_lib.Audience()
    _hear(audience, count, users, NOW_MS - audience_lib.USING_MS - 1, new=True)
    return audience


def _hear(
    audience: audience_lib.Audience,
    count: int,
    users: int,
    now_ms: int,
    *,
    new: bool = False,
) -> None:
    for number in range(count):
        audience.heard(
            (f"10.0.0.{number}", 80),
            f"10.0.0.{number}:90",
            frozenset(),
            uses=new or number < users,
            now_ms=now_ms,
        )


def _told(count: int, *, users: int, seconds: int = 10) -> dict[str, int]:
    """Returns how often each gateway is told in some seconds."""
    audience = _audience(count, users=users)
    told: dict[str, int] = {}
    for now_ms in range(NOW_MS, NOW_MS + seconds * 1_000, 10):
        if not now_ms % 400:
            _hear(audience, count, users, now_ms)
        for word in audience.due(now_ms, changed=False, held=frozenset()):
            for host, _ in word.addresses:
                told[host] = told.get(host, 0) + 1
    return told


def test_users_are_told_often_and_others_seldom() -> None:
    """Symptom: a tenth of each VM goes to control at a hundred VMs.

    Sequence: 68 gateways stand before 32 engines, each uses a few. Cause:
    every engine's process told all of them three times a second, 206 words a
    second; 90 are enough.
    """
    told = _told(68, users=5)
    assert all(told[f"10.0.0.{number}"] >= 28 for number in range(5)), told
    idle = [told[f"10.0.0.{number}"] for number in range(5, 68)]
    assert max(idle) <= 11 and min(idle) >= 9, idle


def test_a_small_crowd_is_told_like_users() -> None:
    """Few gateways cost little, and fresh beliefs serve their callers."""
    told = _told(6, users=0)
    assert all(count >= 45 for count in told.values()), told


def test_a_word_promises_when_the_next_one_comes() -> None:
    """Symptom: engines that nobody uses pass for gone.

    Sequence: an idle gateway hears of an engine once a second. Cause: it
    judged silence by the pace at which users are told.
    """
    audience = _audience(68)
    _hear(audience, 68, 1, NOW_MS)
    promises = {
        word.next_ms: len(word.addresses)
        for word in audience.due(NOW_MS, changed=False, held=frozenset())
    }
    assert promises == {
        audience_lib.USER_SELDOM_MS: 1,
        audience_lib.IDLE_MS: 67,
    }


def test_those_that_wait_are_told_of_a_change_at_once() -> None:
    """A request that waits for a load must not wait for the regular word."""
    audience = _audience(68)
    audience.due(NOW_MS, changed=False, held=frozenset())
    address = ("10.0.0.3", 80)
    audience.heard(
        address,
        "10.0.0.3:90",
        frozenset({"base/a1"}),
        uses=True,
        now_ms=NOW_MS + 1,
    )
    words = audience.due(NOW_MS + 2, changed=True, held=frozenset())
    assert [word.addresses for word in words] == [(address,)]
    words = audience.due(NOW_MS + 3, changed=False, held=frozenset({"base/a1"}))
    assert [word.addresses for word in words] == [(address,)]


def test_one_that_begins_to_use_the_engine_is_told_as_a_user() -> None:
    """Symptom: an engine passes for silent to a gateway that begins to use it.

    Sequence: a gateway that was told a while ago says that it uses the engine.
    Cause: it was told again only when the idle ones were due, after more than
    the 700 ms for which it waits for an answer.
    """
    audience = _audience(68)
    audience.due(NOW_MS, changed=False, held=frozenset())
    assert not audience.due(NOW_MS + 400, changed=False, held=frozenset())
    _hear(audience, 1, 1, NOW_MS + 410)
    (word,) = audience.due(NOW_MS + 410, changed=False, held=frozenset())
    assert word.addresses == (("10.0.0.0", 80),)
    assert word.next_ms == audience_lib.USER_SELDOM_MS


def test_words_name_every_gateway_in_turn() -> None:
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
            names = audience.take_names()
            assert len(names) <= audience_lib.NAMES_PER_WORD
            named.update(names)
        assert len(named) == count


def test_a_gateway_that_is_gone_is_told_no_more() -> None:
    """Its address may belong to another process by then."""
    audience = _audience(3)
    audience.forget(NOW_MS + audience_lib.GATEWAY_MS)
    assert not audience.due(NOW_MS, changed=True, held=frozenset())
