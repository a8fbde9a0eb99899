"""The sidecars beside the engines of each service, as a gateway knows them."""

from collections.abc import Callable
from collections.abc import Iterable

from radishstack.process import hash_ring
from radishstack.process import roster as roster_lib
from radishstack.version import route_table

from radishd.process import fleet_socket
from radishd.process import settings as settings_lib

_EMPTY = hash_ring.HashRing()


class SidecarRing:
    """Places sidecars on hash rings, by the hosts of their engines."""

    def __init__(
        self,
        roster: roster_lib.Roster,
        table: Callable[[], route_table.RouteTable],
        port: int,
    ) -> None:
        """Starts without rings.

        Args:
            roster: Known targets.
            table: Returns the route table in force.
            port: Port of all sidecars.
        """
        self._roster = roster
        self._table = table
        self._port = port
        self._rings: dict[
            str, tuple[list[roster_lib.Member], hash_ring.HashRing]
        ] = {}

    def ring(self, service: str) -> hash_ring.HashRing:
        """Returns the sidecars of a service, none for a plain service."""
        spec = self._table().services.get(service)
        if spec is None or not spec.adapter_limit:
            return _EMPTY
        # The roster replaces this list whenever a target joins or leaves.
        members = self._roster.of_service(service)
        known_members, ring = self._rings.get(service, (None, _EMPTY))
        if members is not known_members:
            hosts = (
                settings_lib.split_address(member.listing.address)[0]
                for member in members
            )
            ring = hash_ring.make_ring(hosts)
            self._rings[service] = (members, ring)
        return ring

    def addresses(self, hosts: Iterable[str]) -> list[fleet_socket.Address]:
        """Returns the datagram addresses of sidecars."""
        return [(host, self._port) for host in hosts]
