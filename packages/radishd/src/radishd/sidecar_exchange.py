"""Datagrams between a gateway and the sidecars beside engines."""

from collections.abc import Callable
import itertools

import anyio
from radishstack.connection import fleet_wire
from radishstack.process import adapter_keeper
from radishstack.process import incarnation
from radishstack.process import placement as placement_lib
from radishstack.process import roster as roster_lib
from radishstack.version import route_table

from radishd import peers as peers_lib
from radishd import target_evidence
from radishd.process import clock
from radishd.process import decision_log
from radishd.process import fleet_socket
from radishd.process import load_requests as load_requests_lib
from radishd.process import notifier as notifier_lib
from radishd.process import settings as settings_lib

MS_PER_S = 1_000
# A sidecar treats a demand as valid for five times as long.
DEMAND_INTERVAL_MS = 400


class SidecarExchange:
    """Sends demands to sidecars and applies their status updates.

    Attributes:
        load_requests: Uses and load requests of this gateway, by engine.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        table: Callable[[], route_table.RouteTable],
        roster: roster_lib.Roster,
        placement: placement_lib.Placement,
        peers: peers_lib.Peers,
        evidence: target_evidence.TargetEvidence,
        notifier: notifier_lib.Notifier,
        log: decision_log.DecisionLog,
        on_incarnation: Callable[[roster_lib.Member], None],
    ) -> None:
        """Starts without a socket; nothing is sent until one is attached.

        Args:
            settings: Settings of the gateway.
            table: Returns the route table in force.
            roster: Known targets.
            placement: Records which adapters engines hold.
            peers: Records other gateways.
            evidence: Records which engines are draining.
            notifier: Wakes requests that wait for an adapter.
            log: Decision log.
            on_incarnation: Called with a target whose current incarnation
                was not known before.
        """
        self._name = settings.name
        self._own = settings.gateway
        self._table = table
        self._roster = roster
        self._placement = placement
        self._peers = peers
        self._evidence = evidence
        self._notifier = notifier
        self._log = log
        self._on_incarnation = on_incarnation
        self._socket: fleet_socket.FleetSocket | None = None
        self.load_requests = load_requests_lib.LoadRequests(
            placement, log, self.send_demand
        )

    def attach(self, socket: fleet_socket.FleetSocket) -> None:
        """Sets the socket that datagrams are sent through."""
        self._socket = socket

    def _engine_spec(
        self, member: roster_lib.Member
    ) -> route_table.ServiceSpec | None:
        spec = self._table().services.get(member.listing.service)
        if spec is None or not spec.adapter_limit:
            return None
        return spec

    async def send_demand(self, member: roster_lib.Member) -> None:
        """Sends one sidecar the uses and load requests for its engine."""
        spec = self._engine_spec(member)
        if spec is None or self._socket is None or member.gone:
            return
        listing = member.listing
        uses, wants = self.load_requests.collect(listing.address)
        demand = adapter_keeper.Demand(
            gateway=self._name,
            instance=listing.instance,
            adapter_limit=spec.adapter_limit,
            base_models=spec.base_models,
            uses=uses,
            wants=wants,
            announced=self._placement.newer_versions(member),
        )
        if uses or wants:
            self._placement.note_demand_sent(member, clock.boot_ms())
        host, _ = settings_lib.split_address(listing.address)
        datagram = fleet_wire.DemandDatagram(demand, self._own.peers)
        omitted_count = fleet_wire.omitted_count(datagram)
        if omitted_count:
            self._log.write(
                "demand_cut",
                target=listing.instance,
                left_out=omitted_count,
            )
        await self._socket.send((host, self._own.sidecar_port), datagram)

    async def send_demands(self) -> None:
        """Sends the demand to every sidecar at an interval, until cancelled."""
        for turn in itertools.count():
            for member in list(self._roster.members.values()):
                if self.load_requests.is_due(member, turn):
                    await self.send_demand(member)
            await anyio.sleep(DEMAND_INTERVAL_MS / MS_PER_S)

    def handle_status(
        self, datagram: fleet_wire.StatusUpdate, sender: fleet_socket.Address
    ) -> None:
        """Applies the status update of a sidecar."""
        self._peers.record_peers(datagram.peer_addresses)
        self._peers.record_gateway_count(
            datagram.gateway_count, clock.boot_ms()
        )
        member = self._roster.members.get(datagram.instance)
        if member is None:
            return
        host, _ = settings_lib.split_address(member.listing.address)
        if host != sender[0]:
            return
        spec = self._engine_spec(member)
        if spec is None:
            return
        incarnation_id = incarnation.IncarnationId(
            datagram.instance, datagram.born_ms
        )
        restarted_member = self._roster.restarted(
            incarnation_id, datagram.former_born_ms
        )
        if restarted_member is not None:
            member = restarted_member
            self._log.must(
                "target_restarted",
                target=incarnation_id.name,
                born_ms=incarnation_id.born_ms,
                former_born_ms=datagram.former_born_ms,
                told_by="sidecar",
            )
            self._on_incarnation(member)
        if incarnation_id.is_other(member.listing.incarnation_id):
            # The incarnation is not listed yet.
            return
        if datagram.leaving:
            self._evidence.mark_draining(incarnation_id, source="sidecar")
        before = self._placement.views.get(member.listing.address)
        view = placement_lib.View(
            instance=datagram.instance,
            received_at_ms=clock.boot_ms(),
            running=datagram.running,
            queued=datagram.queued,
            residents=datagram.residents,
            pending=datagram.pending,
            own_in_flight=member.health.in_flight,
            load_wait=datagram.load_wait,
            adapter_limit=spec.adapter_limit,
            born_ms=incarnation_id.born_ms,
            next_ms=datagram.next_ms,
            recent=datagram.recent,
        )
        self._placement.handle_update(member.listing.address, view)
        if before is None:
            # This is the first update for the engine, so requests may be
            # waiting for any adapter.
            self._notifier.notify_all()
            return
        for adapter, version in view.residents.items():
            if before.residents.get(adapter) != version:
                self._notifier.notify(adapter)
