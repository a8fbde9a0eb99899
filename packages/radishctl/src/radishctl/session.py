"""State and helpers of one ``radishctl`` invocation."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import getpass
import sys
from typing import TypeVar

import anyio
import click
from radishd.process import configuration
from radishd.process import exits
from radishd.process import settings as settings_lib
from radishd.process import store as store_lib
from radishstack import result
from radishstack.version import holder as holder_lib
from radishstack.version import operation as operation_lib

from radishctl import output as output_lib

T = TypeVar("T")

EXIT_OF_CODE = {
    result.STORE_UNAVAILABLE: exits.STORE_UNAVAILABLE,
    result.CHANGE_CONFLICT: exits.CONFLICT,
    result.CHANGE_RACED: exits.CONFLICT,
    result.CHANGE_INVALID: exits.DOCUMENT_INVALID,
    result.CHANGE_UNCERTAIN: exits.UNCERTAIN,
    result.SETTINGS_INVALID: exits.SETTINGS_INVALID,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """Options shared by all commands.

    Attributes:
        platform: Settings of the platform's object API.
        operator: Name of the operator, for the audit trail.
        output: Output format of results.
    """

    platform: settings_lib.PlatformSettings
    operator: str
    output: output_lib.Format

    def call(
        self, work: Callable[[store_lib.Store], Awaitable[result.Outcome[T]]]
    ) -> T:
        """Runs a coroutine against the store; exits on a failure."""

        async def run() -> result.Outcome[T]:
            store = store_lib.Store(self.platform)
            try:
                return await work(store)
            finally:
                await store.aclose()

        outcome = anyio.run(run)
        if isinstance(outcome, result.Failure):
            fail(outcome)
        return outcome

    def held(self) -> holder_lib.HeldVersion:
        """Reads the version in force."""
        return self.call(configuration.read_now)

    def propose(
        self,
        operations: tuple[operation_lib.Operation, ...],
        *,
        base: holder_lib.HeldVersion,
        reason: str,
    ) -> None:
        """Proposes a change and prints the version that accepted it."""
        if not operations:
            click.echo(f"nothing to change in version {base.version}")
            return

        accepted = self.call(
            lambda store: configuration.propose(
                store,
                operations=operations,
                base=base,
                operator=self.operator,
                reason=reason,
            )
        )
        click.echo(f"accepted as version {accepted.version}")


def fail(failure: result.Failure) -> None:
    """Prints a failure with its number and exits with its exit code."""
    click.echo(
        f"{failure.code.number} {failure.code.name}: {failure.message}",
        err=True,
    )
    sys.exit(EXIT_OF_CODE.get(failure.code, exits.FAILED))


def default_operator() -> str:
    """Returns the login name, or a placeholder if there is none."""
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return "unknown"
