"""Reads the status of running processes from their admin ports."""

import datetime
import json
from typing import Any

import anyio
import httpcore
from radishd.process import store as store_lib

MS_PER_S = 1000.0
STATUS_TIMEOUT_S = 2.0
HEADINGS = ("name", "role", "version", "ready", "queue", "running", "holds")


def format_time(at_ms: int) -> str:
    """Formats a Unix time in milliseconds as ISO 8601 in UTC."""
    at = datetime.datetime.fromtimestamp(at_ms / MS_PER_S, datetime.UTC)
    return at.isoformat(timespec="seconds")


async def collect(admins: tuple[str, ...]) -> list[dict[str, Any]]:
    """Reads the status of several processes concurrently.

    Args:
        admins: Admin addresses, ``ip:port``.

    Returns:
        Their reports in the same order. The report of a process that does not
        answer states so in ``ready``.
    """
    reports: dict[str, dict[str, Any]] = {}

    async def ask(address: str) -> None:
        reports[address] = await _ask(address)

    async with anyio.create_task_group() as tasks:
        for address in admins:
            tasks.start_soon(ask, address)
    return [reports[address] for address in admins]


async def _ask(address: str) -> dict[str, Any]:
    try:
        with anyio.fail_after(STATUS_TIMEOUT_S):
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request("GET", f"http://{address}/status")
        return json.loads(answer.content)
    except (
        *store_lib.NETWORK_ERRORS,
        TimeoutError,
        ValueError,
        RecursionError,
    ) as error:
        return {"name": address, "ready": f"no answer: {type(error).__name__}"}


def row(report: dict[str, Any], newest: int) -> tuple[object, ...]:
    """Renders one process as a row under ``HEADINGS``."""
    version = report.get("config_version", "-")
    if isinstance(version, int) and version < newest:
        version = f"{version} (behind {newest})"
    holds = (
        report.get("resident")
        or report.get("residents")
        or report.get("failures")
        or report.get("refusals")
        or {}
    )
    return (
        report.get("name", "-"),
        report.get("role", "-"),
        version,
        report.get("ready", "-"),
        report.get("queued", "-"),
        report.get("running", report.get("in_flight", "-")),
        " ".join(f"{key}:{value}" for key, value in holds.items()) or "-",
    )
