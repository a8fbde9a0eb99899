"""Client of one engine: its state, and orders to load and unload adapters."""

import dataclasses
import json

import httpcore
from radishstack import result

from radishd.process import store as store_lib
from radishd.process import whole_response

MS_PER_S = 1000.0
OK = 200
INCARNATION_HEADER = b"x-engine-incarnation"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """State that an engine reports."""

    incarnation: str
    resident: frozenset[str]


class Engine:
    """Client of the HTTP port of one engine."""

    def __init__(
        self,
        pool: httpcore.AsyncConnectionPool,
        url: str,
        *,
        load_timeout_ms: int,
        call_timeout_ms: int,
    ) -> None:
        """Opens no connection yet."""
        self._pool = pool
        self._url = url
        self._load_timeout_s = load_timeout_ms / MS_PER_S
        self._call_timeout_s = call_timeout_ms / MS_PER_S

    async def _call(
        self, method: str, path: str, body: object, timeout_s: float
    ) -> result.Outcome[whole_response.WholeResponse]:
        try:
            return await whole_response.request(
                self._pool,
                method,
                f"{self._url}{path}",
                headers={"Content-Type": "application/json"},
                content=json.dumps(body).encode(),
                timeout_s=timeout_s,
            )
        except store_lib.NETWORK_ERRORS as error:
            return result.Failure(
                result.TARGET_FAILED, f"{path}: {type(error).__name__} {error}"
            )

    async def get_state(self) -> result.Outcome[EngineState]:
        """Returns the resident adapters and the incarnation."""
        response = await self._call(
            "GET", "/v1/models", {}, self._call_timeout_s
        )
        if isinstance(response, result.Failure):
            return response
        if response.status != OK:
            return result.Failure(
                result.TARGET_FAILED, f"/v1/models: {response.status}"
            )
        try:
            listed = json.loads(response.content)["data"]
            names = frozenset(str(one["id"]) for one in listed)
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            return result.Failure(
                result.TARGET_FAILED, f"/v1/models: {error!r}"
            )
        resident = frozenset(name for name in names if "@" in name)
        return EngineState(_incarnation(response), resident)

    async def load(
        self, adapter: str, source: str, order: int
    ) -> result.Outcome[str]:
        """Orders a load.

        Args:
            adapter: ``name@version``, its name at the engine.
            source: Its location in the weight store.
            order: Fencing number.

        Returns:
            The incarnation that answered, or why the order failed.
        """
        body = {
            "lora_name": adapter,
            "lora_path": source,
            "fencing_number": order,
        }
        return await self._order(
            "/v1/load_lora_adapter", body, self._load_timeout_s
        )

    async def unload(self, adapter: str, order: int) -> result.Outcome[str]:
        """Orders an unload.

        Args:
            adapter: ``name@version``.
            order: Fencing number.

        Returns:
            The incarnation that answered, or why the order failed.
        """
        body = {"lora_name": adapter, "fencing_number": order}
        return await self._order(
            "/v1/unload_lora_adapter", body, self._call_timeout_s
        )

    async def raise_fence(self, order: int) -> None:
        """Makes the engine reject orders below a fencing number.

        The order unloads an adapter with an empty name. An engine that checks
        fencing numbers adopts the number; any other engine answers that the
        adapter is not resident.
        """
        await self.unload("", order)

    async def _order(
        self, path: str, body: object, timeout_s: float
    ) -> result.Outcome[str]:
        response = await self._call("POST", path, body, timeout_s)
        if isinstance(response, result.Failure):
            return response
        if response.status != OK:
            return result.Failure(
                result.ORDER_REFUSED,
                f"{path}: {response.status} {response.content[:200]!r}",
            )
        return _incarnation(response)

    async def cancel(self, request_id: str) -> None:
        """Cancels a request's generation; best effort."""
        await self._call(
            "POST",
            "/v1/cancel",
            {"request_id": request_id},
            self._call_timeout_s,
        )


def _incarnation(response: whole_response.WholeResponse) -> str:
    for name, value in response.headers:
        if name.lower() == INCARNATION_HEADER:
            return value.decode("latin-1")
    return "unnamed"
