"""Tickets: unforgeable names of one call, bound to the instance that runs it."""

import base64
import hashlib
import hmac
import re
from dataclasses import dataclass

from wasabistage.utils import Sentinel

NOT_A_TICKET = Sentinel("NOT_A_TICKET", "the key is no ticket")
PREFIX = "t1"
NONCE_BYTES = 16
LONGEST_TICKET = 256
MILLISECOND = 0.001
PATTERN = re.compile(
    r"t1\.([0-9A-Za-z_-]{1,64})\.([0-9]{1,15})\.([0-9]{1,15})"
    r"\.([0-9A-Za-z_-]{22})\.([0-9A-Za-z_-]{43})"
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """A parsed ticket; not verified, but by its home.

    :param text: the ticket as the caller holds it.
    :param home: incarnation that issued it and alone may run it.
    :param issued: wall time of issue, in seconds since the epoch.
    :param issued_monotonic: the home's monotonic time of issue, in seconds.
    :param nonce: random part.
    :param mac: message authentication code.
    """

    text: str
    home: str
    issued: float
    issued_monotonic: float
    nonce: str
    mac: str


def parse_ticket(text):
    """Parse a ticket without verifying it.

    :param text: text of the key.
    :return: a :class:`Ticket`, or ``NOT_A_TICKET``.
    """
    match = PATTERN.fullmatch(text) if len(text) <= LONGEST_TICKET else None
    if match is None:
        return NOT_A_TICKET
    home, issued, monotonic, nonce, mac = match.groups()
    return Ticket(
        text=text,
        home=home,
        issued=int(issued) * MILLISECOND,
        issued_monotonic=int(monotonic) * MILLISECOND,
        nonce=nonce,
        mac=mac,
    )


class TicketMint:
    """Issue and verify the tickets of one incarnation.

    :param incarnation: random id of this process's life, letters and digits.
    :param secret: at least 16 random bytes, never leaving the process.
    """

    def __init__(self, incarnation, secret):
        self.incarnation = incarnation
        self.secret = secret

    def issue(self, account, nonce, wall, now):
        """Issue a ticket.

        :param account: client account that it is bound to.
        :param nonce: 16 random bytes.
        :param wall: wall time, in seconds since the epoch.
        :param now: monotonic time, in seconds.
        :return: a :class:`Ticket`.
        :raises ValueError: if the nonce has another length.
        """
        if len(nonce) != NONCE_BYTES:
            raise ValueError(f"a nonce has {NONCE_BYTES} bytes")
        issued, monotonic = int(wall / MILLISECOND), int(now / MILLISECOND)
        parts = (PREFIX, self.incarnation, str(issued), str(monotonic), _text(nonce))
        unsigned = ".".join(parts)
        return parse_ticket(f"{unsigned}.{self._mac(account, unsigned)}")

    def verify(self, account, ticket):
        """Tell whether this mint issued the ticket to the account.

        :param account: client account that presents it.
        :param ticket: a :class:`Ticket`.
        :return: ``True`` if it did.
        """
        unsigned = ticket.text.rpartition(".")[0]
        return hmac.compare_digest(self._mac(account, unsigned), ticket.mac)

    def _mac(self, account, unsigned):
        message = f"{unsigned}|{account}".encode()
        return _text(hmac.digest(self.secret, message, hashlib.sha256))


def _text(data):
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()
