"""Tests that one customer's flood lengthens only its own queue."""

from radishstack.process import fair_queue


def _waiting(
    number: int, customer: str, *, rank: int = 1, share: float = 1.0
) -> fair_queue.QueuedAttempt:
    return fair_queue.QueuedAttempt(
        attempt_id=number.to_bytes(16, "big"),
        customer=customer,
        share=share,
        service="s",
        rank=rank,
        stall_weight=0.5,
        adapter="",
        enqueued_at_ms=0,
        deadline_at_ms=10_000,
    )


def _order(queue: fair_queue.FairQueue) -> list[str]:
    served = []
    while (one := queue.pop(lambda _: True, 0)) is not None:
        served.append(one.customer)
    return served


def test_one_customers_flood_does_not_starve_another() -> None:
    """Of the first ten turns the small customer gets its five."""
    queue = fair_queue.FairQueue()
    for number in range(100):
        queue.push(_waiting(number, "flood"))
    for number in range(100, 105):
        queue.push(_waiting(number, "trickle"))
    assert _order(queue)[:10].count("trickle") == 5


def test_turns_are_proportional_to_shares() -> None:
    """A share of three gets three turns for each turn of a share of one."""
    queue = fair_queue.FairQueue()
    for number in range(40):
        queue.push(_waiting(number, "small"))
        queue.push(_waiting(100 + number, "large", share=3.0))
    assert 29 <= _order(queue)[:40].count("large") <= 31


def test_urgent_goes_first_and_background_does_not_starve() -> None:
    """Priority classes come first, and waiting attempts move up in class."""
    queue = fair_queue.FairQueue()
    queue.push(_waiting(1, "a", rank=2))
    queue.push(_waiting(2, "a", rank=0))
    assert queue.pop(lambda _: True, 0).rank == 0
    queue.push(_waiting(3, "a", rank=0))
    aged = queue.pop(lambda _: True, 2 * fair_queue.AGING_MS)
    assert aged.rank == 2 or queue.pop(lambda _: True, 30_000).rank == 2


def test_a_customer_gains_no_turns_from_idle_time() -> None:
    """Otherwise a customer that was idle would starve the others."""
    queue = fair_queue.FairQueue()
    for number in range(50):
        queue.push(_waiting(number, "busy"))
    for _ in range(40):
        queue.pop(lambda _: True, 0)
    for number in range(100, 150):
        queue.push(_waiting(number, "back"))
    assert 8 <= _order(queue)[:20].count("busy") <= 12
