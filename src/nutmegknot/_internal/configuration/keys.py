"""Keys of teams and operators."""

import dataclasses
import hashlib
import hmac
import secrets

from nutmegknot._internal.models import cells

ID_BYTES = 6
SECRET_BYTES = 32
BOOTSTRAP_ID = 'bootstrap'


@dataclasses.dataclass(slots=True, frozen=True)
class NewKey:
    """A key that has just been made.

    Attributes:
      id: Public part.
      text: The whole key, 'ID.SECRET', shown to its holder once.
      digest: What is stored of the secret.
    """

    id: str
    text: str
    digest: str


def make_key(key_id: str = '') -> NewKey:
    """Returns a new random key, with an id of its own unless one is given."""
    key_id = key_id or f'k{secrets.token_hex(ID_BYTES)}'
    secret = secrets.token_urlsafe(SECRET_BYTES)
    return NewKey(key_id, f'{key_id}.{secret}', compute_digest(secret))


def compute_digest(secret: str) -> str:
    """Returns the stored form of the secret part of a key.

    Secrets are random and long, so one round of a cryptographic hash is enough.
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def find_holder(
    known: dict[str, cells.Key] | dict[str, cells.OperatorKey], text: str
) -> cells.Key | cells.OperatorKey | None:
    """Returns the key that a text 'ID.SECRET' proves, if it is in force."""
    key_id, _, secret = text.partition('.')
    key = known.get(key_id)
    if key is None or key.withdrawn or not matches(key.digest, secret):
        return None
    return key


def matches(digest: str, secret: str) -> bool:
    """Tells whether a secret has a digest, in constant time."""
    given = compute_digest(secret)
    return hmac.compare_digest(digest.encode(), given.encode())
