"""Computes how long a response may stall before its request is moved.

Only a request that may be sent to another target is moved. Engines read
prompts between the tokens of other requests, so healthy streams stall for
several hundred milliseconds. A run that is abandoned although the other target
is full is lost to its caller.
"""

from radishstack.process import roster
from radishstack.version import route_table

# A request that may be repeated is moved after this fraction of its latency
# objective, so that another target can still answer within the route's time.
OBJECTIVE_FRACTION = 0.75
MIN_STALL_MS = 150
# A stream that stalls is moved shortly before the stall exceeds the gap
# objective.
GAP_OBJECTIVE_FRACTION = 0.8
# An engine whose other streams progress, or whose streams have stalled before,
# is assumed alive. While its other streams progress, the stall timeout is
# multiplied by ``LIVE_ENGINE_FACTOR``, which still leaves time before callers
# disconnect. Otherwise it is ``USUAL_PAUSE_FACTOR`` times the usual pause of
# its streams, up to the same limit.
LIVE_ENGINE_FACTOR = 4.0
USUAL_PAUSE_FACTOR = 1.5


def allowed_ms(
    route: route_table.Route,
    health: roster.Health,
    *,
    begun: bool,
    now_ms: int,
) -> float:
    """Returns how long a response may stall before its request is moved.

    Args:
        route: The request's route.
        health: Observed health of the target.
        begun: Whether the caller has received a part of the response.
        now_ms: Now.
    """
    if not begun:
        return max(MIN_STALL_MS, route.objective_ms * OBJECTIVE_FRACTION)
    objective_ms = route.gap_objective_ms or route.objective_ms
    stall_ms = max(MIN_STALL_MS, objective_ms * GAP_OBJECTIVE_FRACTION)
    max_stall_ms = LIVE_ENGINE_FACTOR * stall_ms
    if now_ms - health.progressed_at_ms < stall_ms:
        return max_stall_ms
    usual_stall_ms = USUAL_PAUSE_FACTOR * health.pause_ms
    return min(max(stall_ms, usual_stall_ms), max_stall_ms)
