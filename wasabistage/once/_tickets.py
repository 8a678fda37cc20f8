"""Tickets: authenticated keys, each bound to the instance that issued it."""

import base64
import hashlib
import hmac
import re
from dataclasses import dataclass

from wasabistage.utils import Sentinel

NOT_A_TICKET = Sentinel("NOT_A_TICKET", "the key is not a ticket")
TICKET_PREFIX = "t1"
NONCE_BYTES = 16
MAX_TICKET_CHARACTERS = 256
SECONDS_PER_MILLISECOND = 0.001
TICKET_PATTERN = re.compile(
    r"t1\.([0-9A-Za-z_-]{1,64})\.([0-9]{1,15})\.([0-9]{1,15})"
    r"\.([0-9A-Za-z_-]{22})\.([0-9A-Za-z_-]{43})"
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """A parsed ticket, not necessarily verified: only its home can verify it.

    :param text: text of the ticket, as the caller sends it.
    :param home: incarnation that issued it, the only one that may run it.
    :param issued_at: wall time of issue, in seconds since the epoch.
    :param issued_at_monotonic: monotonic time of issue at its home, in seconds.
    :param nonce: random part, in base64.
    :param mac: message authentication code, in base64.
    """

    text: str
    home: str
    issued_at: float
    issued_at_monotonic: float
    nonce: str
    mac: str


def parse_ticket(text):
    """Parse a ticket without verifying it.

    :param text: text of the key.
    :return: a :class:`Ticket`, or ``NOT_A_TICKET``.
    """
    match = (
        TICKET_PATTERN.fullmatch(text) if len(text) <= MAX_TICKET_CHARACTERS else None
    )
    if match is None:
        return NOT_A_TICKET
    home, issued, monotonic, nonce, mac = match.groups()
    return Ticket(
        text=text,
        home=home,
        issued_at=int(issued) * SECONDS_PER_MILLISECOND,
        issued_at_monotonic=int(monotonic) * SECONDS_PER_MILLISECOND,
        nonce=nonce,
        mac=mac,
    )


class TicketMint:
    """Issuer and verifier of the tickets of one incarnation.

    :param incarnation: random id of this process since its start, of letters and
        digits.
    :param secret: at least 16 random bytes, which never leave the process.
    """

    def __init__(self, incarnation, secret):
        self.incarnation = incarnation
        self.secret = secret

    def issue(self, account, nonce, wall_time, now):
        """Issue a ticket.

        :param account: client account that the ticket is bound to.
        :param nonce: 16 random bytes.
        :param wall_time: wall time, in seconds since the epoch.
        :param now: monotonic time, in seconds.
        :return: a :class:`Ticket`.
        :raises ValueError: if the nonce is not 16 bytes long.
        """
        if len(nonce) != NONCE_BYTES:
            raise ValueError(f"nonce has {len(nonce)} bytes; pass {NONCE_BYTES}")
        issued, monotonic = (
            int(wall_time / SECONDS_PER_MILLISECOND),
            int(now / SECONDS_PER_MILLISECOND),
        )
        fields = (
            TICKET_PREFIX,
            self.incarnation,
            str(issued),
            str(monotonic),
            _encode_base64(nonce),
        )
        unsigned = ".".join(fields)
        return parse_ticket(f"{unsigned}.{self._mac(account, unsigned)}")

    def verify(self, account, ticket):
        """Return whether this mint issued the ticket to the account.

        :param account: client account that sent the ticket.
        :param ticket: a :class:`Ticket`.
        :return: ``True`` if the message authentication code is right.
        """
        unsigned = ticket.text.rpartition(".")[0]
        return hmac.compare_digest(self._mac(account, unsigned), ticket.mac)

    def _mac(self, account, unsigned):
        message = f"{unsigned}|{account}".encode()
        return _encode_base64(hmac.digest(self.secret, message, hashlib.sha256))


def _encode_base64(data):
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()
