"""Numbers in headers, which any peer may set to any text."""

import math

# Longer numbers are out of every range that is used.
_MAX_DIGITS = 15


def decimal(digits: bytes) -> int | None:
    """Returns a whole number, None if it is none or too large."""
    is_number = digits.isdigit() and len(digits) <= _MAX_DIGITS
    return int(digits) if is_number else None


def non_negative(text: bytes) -> float | None:
    """Returns a finite number of 0 or more, None if it is none."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None
