"""Creation and verification of the keys of teams and operators."""

import dataclasses
import hashlib
import hmac
import secrets

from nutmegknot._internal.models import cells

# Random bytes in the id of a key.
KEY_ID_BYTES = 6
# Random bytes in the secret part of a key.
KEY_SECRET_BYTES = 32
# Id of the operator key whose hash stands in the settings of the instances.
BOOTSTRAP_KEY_ID = 'bootstrap'


@dataclasses.dataclass(slots=True, frozen=True)
class NewKey:
    """A newly created key.

    Attributes:
      id: Public part of the key, which identifies it.
      text: The whole key, 'ID.SECRET'. It is shown once to its holder, and not
        stored.
      digest: Hash of the secret part, which is stored.
    """

    id: str
    text: str
    digest: str


def make_key(key_id: str = '') -> NewKey:
    """Returns a new key with a random secret.

    Args:
      key_id: Id of the key; if '', a random one is used.
    """
    key_id = key_id or f'k{secrets.token_hex(KEY_ID_BYTES)}'
    secret = secrets.token_urlsafe(KEY_SECRET_BYTES)
    return NewKey(key_id, f'{key_id}.{secret}', compute_digest(secret))


def compute_digest(secret: str) -> str:
    """Returns the hash of the secret part of a key, which is stored.

    Secrets are random and long, so one round of a cryptographic hash is enough.
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def find_valid_key(
    known: dict[str, cells.Key] | dict[str, cells.OperatorKey], text: str
) -> cells.Key | cells.OperatorKey | None:
    """Returns the key that matches a text 'ID.SECRET'.

    Returns None if no key matches, or if it has been withdrawn.
    """
    key_id, _, secret = text.partition('.')
    key = known.get(key_id)
    if key is None or key.withdrawn or not matches_digest(key.digest, secret):
        return None
    return key


def matches_digest(digest: str, secret: str) -> bool:
    """Tells whether a secret has a given hash.

    The comparison takes the same time wherever the hashes differ, so that
    callers can't learn the hash from the duration.
    """
    computed = compute_digest(secret)
    return hmac.compare_digest(digest.encode(), computed.encode())
