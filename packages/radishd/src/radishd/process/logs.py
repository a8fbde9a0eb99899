"""Logs as JSON lines."""

import logging
import sys
from typing import Any

from pythonjsonlogger import json as json_logger
from radishstack import result

_LOGGER = logging.getLogger("radishstack")


def configure(level: str, **constant_fields: str) -> None:
    """Sends JSON lines to standard error.

    Args:
        level: Lowest level that is logged.
        **constant_fields: Fields of every line, for example ``name``.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        json_logger.JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            rename_fields={"asctime": "at", "levelname": "level"},
            static_fields=constant_fields,
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    _LOGGER.setLevel(level)


def info(message: str, **fields: Any) -> None:
    """Logs an ordinary event."""
    _LOGGER.info(message, extra=fields)


def warn(message: str, **fields: Any) -> None:
    """Logs an event that an operator may have to check."""
    _LOGGER.warning(message, extra=fields)


def exception(message: str, **fields: Any) -> None:
    """Logs the exception being handled, with its traceback."""
    _LOGGER.exception(message, extra=fields)


def error(message: str, code: result.Code, **fields: Any) -> None:
    """Logs a failure with the number and name of its result code."""
    fields |= {"code": code.number, "code_name": code.name}
    _LOGGER.error(message, extra=fields)
