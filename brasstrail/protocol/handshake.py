"""Proof that both ends of a connection know the cluster's secret.

The listener sends a nonce, the dialer signs it and sends its own, and the
listener signs that. The secret itself never crosses the connection. What is
signed includes the names, so that a proof serves for one pair of processes.
"""

import hashlib
import hmac
import secrets

from brasstrail.core import errors
from brasstrail.protocol import messages

NONCE_BYTES = 16


def make_nonce():
    """Return a nonce that is never used again."""
    return secrets.token_bytes(NONCE_BYTES)


def sign(secret, label, nonce, *signed_fields):
    """Return the proof for a nonce and the words that it binds."""
    text = "\0".join([label, *(str(field) for field in signed_fields)]).encode()
    return hmac.new(secret.encode(), nonce + text, hashlib.sha256).digest()


def make_hello(settings, challenge, incarnation, session_id, received):
    """Return the dialer's answer to a challenge."""
    node, cluster = settings.node, settings.cluster
    signed_fields = (cluster.name, node.name, incarnation)
    proof = sign(cluster.secret, "hello", challenge.nonce, *signed_fields)
    return messages.Hello(
        messages.PROTOCOL_VERSION,
        cluster.name,
        node.name,
        incarnation,
        session_id,
        received,
        make_nonce(),
        proof,
        node.region,
        node.data_centre,
    )


def check_hello(secret, cluster, nonce, hello):
    """Raise a typed error unless the dialer belongs to this cluster."""
    if hello.version != messages.PROTOCOL_VERSION:
        raise errors.BadRequest(
            f"A peer speaks protocol version {hello.version}, "
            f"not {messages.PROTOCOL_VERSION}.",
            "Run versions that share a protocol version.",
        )
    proof = sign(secret, "hello", nonce, cluster, hello.name, hello.incarnation)
    if hello.cluster == cluster and hmac.compare_digest(proof, hello.proof):
        return
    raise errors.Unauthorized(
        f"A peer called {hello.name!r} is not of cluster {cluster!r}.",
        "Give every host the same cluster name and secret.",
    )


def make_welcome(settings, hello, incarnation, received, resumed):
    """Return the listener's answer to a dialer that it accepts."""
    node = settings.node
    signed_fields = (node.name, incarnation)
    proof = sign(settings.cluster.secret, "welcome", hello.nonce, *signed_fields)
    return messages.Welcome(
        node.name,
        incarnation,
        received,
        resumed,
        proof,
        node.region,
        node.data_centre,
    )


def check_welcome(secret, hello, welcome):
    """Raise a typed error unless the listener knows the secret."""
    signed_fields = (welcome.name, welcome.incarnation)
    proof = sign(secret, "welcome", hello.nonce, *signed_fields)
    if hmac.compare_digest(proof, welcome.proof):
        return
    raise errors.Unauthorized(
        f"The listener called {welcome.name!r} does not know the secret.",
        "Give every host the same cluster name and secret.",
    )
