"""Keys of teams and operators, stored as salted hashes."""

import dataclasses
import hashlib
import hmac
import secrets
import typing as t

import msgspec

from agaterudder import codes
from agaterudder import utils

SECRET_BYTES = 24
SALT_BYTES = 16
_DUMMY_SALT = "00" * SALT_BYTES


class KeyRecord(msgspec.Struct, frozen=True):
    """A team's key as stored in the configuration."""

    key_id: str
    team: str
    salt: str
    hash: str
    withdrawn: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NewKey:
    """A newly created key.

    :ivar presented: what the caller sends, ``<key id>.<secret>``; it is
        shown once and not stored.
    """

    record: KeyRecord
    presented: str


def digest(secret: str, salt: str) -> str:
    """Return the salted hash of a secret in hexadecimal digits.

    Secrets are random and long, so that a fast hash is enough.
    """
    return hashlib.blake2b(
        secret.encode(), key=bytes.fromhex(salt), digest_size=32
    ).hexdigest()


def create(team: str) -> NewKey:
    """Create a key for a team."""
    key_id = utils.new_identifier()
    secret = secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    record = KeyRecord(key_id, team, salt, digest(secret, salt))
    return NewKey(record, f"{key_id}.{secret}")


def matches(secret: str, salt: str, expected: str) -> bool:
    """Compare a secret with its salted hash in constant time."""
    return hmac.compare_digest(digest(secret, salt), expected)


def check(
    known: t.Mapping[str, KeyRecord],
    withdrawn: t.Container[str],
    team: str,
    presented: str,
) -> KeyRecord | codes.Refused:
    """Decide whether a presented key authorizes work for a team.

    A refused key always gets the same text, so that the refusal reveals
    nothing about the key.
    """
    if not presented:
        return codes.Refused(
            codes.Result.KEY_MISSING, "header Agaterudder-Key is missing"
        )
    key_id, _, secret = presented.partition(".")
    record = known.get(key_id)
    salt = record.salt if record else _DUMMY_SALT
    expected = record.hash if record else ""
    genuine = matches(secret, salt, expected)
    authorized = (
        record is not None
        and record.team == team
        and not record.withdrawn
        and key_id not in withdrawn
    )
    if record is None or not (genuine and authorized):
        return codes.Refused(
            codes.Result.KEY_REFUSED,
            "header Agaterudder-Key does not open work for this team",
        )
    return record
