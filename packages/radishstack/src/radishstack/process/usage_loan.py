"""Messages with which gateways lend each other parts of a usage cap."""

import dataclasses

# Maximum time from a loan to the send of a request that uses it.
LOAN_TERM_MS = 700
# Validity of a reservation. A request that waits longer needs a new one.
RESERVATION_MS = 200
# How long a loan can be used for reservations, counted from the loan request.
LOAN_USABLE_MS = LOAN_TERM_MS - RESERVATION_MS


@dataclasses.dataclass(frozen=True, slots=True)
class LoanRequest:
    """Asks another gateway to lend some of its share of a cap.

    Attributes:
        account: Name of the account.
        number: Number of the request, which the loan repeats.
        need: Cost of the requests that wait for the loan.
        want: Cost that is expected within the term of a loan, including the
            need.
    """

    account: str
    number: int
    need: float
    want: float


@dataclasses.dataclass(frozen=True, slots=True)
class Loan:
    """The reply to a loan request.

    Attributes:
        account: Name of the account.
        number: Number of the loan request.
        amount: Cost that the borrower may send instead of the lender, 0 for no
            loan.
        room: Spare capacity that the lender has left to lend.
    """

    account: str
    number: int
    amount: float
    room: float


Message = LoanRequest | Loan
