"""Makes the bounds of the HTTP ports of one process from its settings."""

from __future__ import annotations

import functools

from radishd.process import client_bounds
from radishd.process import metrics as metrics_lib
from radishd.process import settings as settings_lib

CALLERS_PORT = "callers"
CONTROL_PORT = "control"
FRAMES_PORT = "frames"


class ClientPorts:
    """The bounds of a process's HTTP ports, with one account of bytes.

    Attributes:
        account: The bytes that clients' connections hold.
    """

    def __init__(
        self,
        own: settings_lib.ClientSettings,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Starts without connections.

        Args:
            own: The settings of the process.
            metrics: Where refused clients are counted.
        """
        self._own = own
        self._metrics = metrics
        self.account = client_bounds.Account(own.max_held_bytes)

    def control_port(self) -> client_bounds.ClientBounds:
        """Returns the bounds of a port that is not for callers."""
        return self._make(CONTROL_PORT, self._limits(0))

    @functools.cached_property
    def frames_port(self) -> client_bounds.ClientBounds:
        """The bounds of the port for connections of other processes."""
        return self._make(FRAMES_PORT, self._limits(0))

    def callers_port(self, max_header_bytes: int) -> client_bounds.ClientBounds:
        """Returns the bounds of the callers' port.

        Args:
            max_header_bytes: Maximum size of a request's headers.
        """
        return self._make(CALLERS_PORT, self._limits(max_header_bytes))

    def callers_limits(
        self,
        max_header_bytes: int,
        header_timeout_ms: int,
        idle_timeout_ms: int,
    ) -> client_bounds.Limits:
        """Returns the limits of callers with those of a configuration."""
        own = self._own
        return client_bounds.Limits(
            max_header_bytes,
            header_timeout_ms,
            own.body_timeout_ms,
            own.send_timeout_ms,
            idle_timeout_ms,
            client_bounds.max_callers_connections(own.callers_files_fraction),
            own.send_buffer_bytes,
        )

    def refresh(self) -> None:
        """Sets the gauges."""
        self._metrics.client_bytes.set({}, self.account.held_bytes)

    def _limits(self, callers_header_bytes: int) -> client_bounds.Limits:
        own = self._own
        if callers_header_bytes:
            return self.callers_limits(
                callers_header_bytes, own.header_timeout_ms, own.idle_timeout_ms
            )
        return client_bounds.Limits(
            own.max_header_bytes,
            own.header_timeout_ms,
            own.body_timeout_ms,
            own.send_timeout_ms,
            own.idle_timeout_ms,
            own.max_control_connections,
            own.send_buffer_bytes,
        )

    def _make(
        self, port: str, limits: client_bounds.Limits
    ) -> client_bounds.ClientBounds:
        return client_bounds.ClientBounds(
            limits, self.account, functools.partial(self.count_refused, port)
        )

    def count_refused(self, port: str, reason: client_bounds.Reason) -> None:
        """Counts a refused client.

        Args:
            port: Kind of the port.
            reason: Why it was refused.
        """
        self._metrics.clients_refused.inc({"port": port, "reason": str(reason)})
        if reason is client_bounds.Reason.TOO_MANY_CONNECTIONS:
            self._metrics.connections_refused.inc({})
