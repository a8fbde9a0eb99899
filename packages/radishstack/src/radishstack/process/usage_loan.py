"""Messages by which gateways lend each other parts of a usage cap."""

import dataclasses

# The longest time from a loan to a send that it pays for.
LOAN_TERM_MS = 700
# A booking pays for a send within this time; a request that waits longer is
# booked anew.
RESERVATION_MS = 200
# How long a loan can be booked, counted from the ask.
LOAN_USABLE_MS = LOAN_TERM_MS - RESERVATION_MS


@dataclasses.dataclass(frozen=True, slots=True)
class LoanRequest:
    """A gateway asks another one for a part of its part of a cap.

    Attributes:
        account: Name of the account.
        number: Number of the ask, which the loan repeats.
        need: Cost that waits for it.
        want: Cost that is expected within the term of a loan, the need
            included.
    """

    account: str
    number: int
    need: float
    want: float


@dataclasses.dataclass(frozen=True, slots=True)
class Loan:
    """The answer to an ask.

    Attributes:
        account: Name of the account.
        number: Number of the ask.
        amount: Cost that the asker may send instead of the lender, 0 for
            none.
        room: What the lender could still lend.
    """

    account: str
    number: int
    amount: float
    room: float


Message = LoanRequest | Loan
