"""How long a target may be silent before a request that may is sent elsewhere.

Load pattern: engines that read prompts between the tokens of other requests.
Their streams pause for several hundred milliseconds without being in trouble,
and a run that was left for a neighbour that is full is lost to its caller.
"""

from radishstack.process import roster
from radishstack.version import route_table

# A repeatable request leaves a silent target after this part of its
# objective, while there is time for another answer within the route's.
OBJECTIVE_FRACTION = 0.75
MIN_STALL_MS = 150
# A stream that pauses is moved shortly before the pause counts as late.
GAP_OBJECTIVE_FRACTION = 0.8
# An engine whose other streams go on, or whose streams have paused before, is
# not dead. A silent run is left there only after so many times as long, while
# there is still time before callers give up, or once its silence exceeds the
# engine's usual pauses by this factor.
LIVE_ENGINE_FACTOR = 4.0
USUAL_PAUSE_FACTOR = 1.5


def allowed_ms(
    route: route_table.Route,
    health: roster.Health,
    *,
    begun: bool,
    now_ms: int,
) -> float:
    """Returns how long a target may be silent.

    Args:
        route: The request's route.
        health: What was seen of the target.
        begun: Whether the caller has a part of the answer.
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
