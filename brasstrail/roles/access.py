"""Who may call: bearer tokens, kept as hashes.

Without any token in the settings only loopback addresses are served, and
everybody who can reach them may do everything.
"""

import hashlib
import hmac
import secrets

from brasstrail.core import data, errors
from brasstrail.settings import settings

BEARER = "Bearer "
TOKEN_BYTES = 24
ANYONE = settings.Token("anyone", "operator", "")


def make_token():
    """Return a new token and its hash."""
    token = secrets.token_urlsafe(TOKEN_BYTES)
    return token, hash_token(token)


def hash_token(token):
    """Return the hash under which a token is kept."""
    return hashlib.sha256(token.encode()).hexdigest()


def identify(tokens, header):
    """Return the `settings.Token` that an Authorization header proves.

    Raises `errors.Unauthorized` where it proves none.
    """
    if not tokens:
        return ANYONE
    hashed = hash_token(header.removeprefix(BEARER))
    found = None
    for token in tokens:
        if hmac.compare_digest(token.sha256, hashed):
            found = token
    if found is None or not header.startswith(BEARER):
        raise errors.not_run(
            errors.Unauthorized,
            "The request carries no known token.",
            "Send 'Authorization: Bearer TOKEN' with a token of this cluster.",
        )
    return found


def require_operator(token):
    """Raise `errors.Forbidden` unless a token is an operator's."""
    if token.scope != "operator":
        raise errors.Forbidden(
            "This call is for operators.",
            "Use a token whose scope is operator.",
            data.RunStatus.NOT_RUN,
        )


def choose_workspace(token, named):
    """Return the workspace of a request, or an empty word.

    A token that is bound to a workspace serves for no other.
    """
    if not token.workspace:
        return named
    if named not in ("", token.workspace):
        raise errors.not_run(
            errors.Forbidden,
            f"This token is not for workspace {named!r}.",
            f"Leave the workspace out or name {token.workspace!r}.",
        )
    return token.workspace
