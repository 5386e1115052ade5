"""Authentication by bearer tokens, which the settings hold as SHA-256 hashes.

If the settings hold no token, the servers listen on loopback addresses only, and
every caller that can reach them has the rights of an operator.
"""

import hashlib
import hmac
import secrets

from brasstrail.core import data, errors
from brasstrail.settings import settings

BEARER_PREFIX = "Bearer "
TOKEN_BYTES = 24
ANONYMOUS_TOKEN = settings.Token("anyone", "operator", "")


def make_token():
    """Return a new token and its hash."""
    token = secrets.token_urlsafe(TOKEN_BYTES)
    return token, hash_token(token)


def hash_token(token):
    """Return the hash of a token, as the settings hold it."""
    return hashlib.sha256(token.encode()).hexdigest()


def authenticate(tokens, header):
    """Return the `settings.Token` that matches an Authorization header.

    Raises `errors.Unauthorized` if none matches. Without configured tokens every
    caller gets `ANONYMOUS_TOKEN`.
    """
    if not tokens:
        return ANONYMOUS_TOKEN
    hashed = hash_token(header.removeprefix(BEARER_PREFIX))
    matched = None
    for token in tokens:
        if hmac.compare_digest(token.sha256, hashed):
            matched = token
    if matched is None or not header.startswith(BEARER_PREFIX):
        raise errors.not_run(
            errors.Unauthorized,
            "The request carries no known token.",
            "Send 'Authorization: Bearer TOKEN' with a token of this cluster.",
        )
    return matched


def require_operator(token):
    """Raise `errors.Forbidden` unless the scope of a token is operator."""
    if token.scope != "operator":
        raise errors.Forbidden(
            "This call is for operators.",
            "Use a token whose scope is operator.",
            data.RunStatus.NOT_RUN,
        )


def resolve_workspace(token, requested):
    """Return the workspace of a request, or an empty string.

    A token that is bound to a workspace is not valid for any other; this raises
    `errors.Forbidden`.
    """
    if not token.workspace:
        return requested
    if requested not in ("", token.workspace):
        raise errors.not_run(
            errors.Forbidden,
            f"This token is not for workspace {requested!r}.",
            f"Leave the workspace out or name {token.workspace!r}.",
        )
    return token.workspace
