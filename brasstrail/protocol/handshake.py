"""Mutual authentication of both ends of a connection by the cluster's secret.

The listener sends a nonce. The dialer signs it and sends a nonce of its own, which
the listener signs. The secret itself is never sent. The signature covers the names,
so that a proof is valid for one pair of processes only.
"""

import hashlib
import hmac
import secrets

from brasstrail.core import errors
from brasstrail.protocol import messages

NONCE_BYTES = 16


def make_nonce():
    """Return a new random nonce."""
    return secrets.token_bytes(NONCE_BYTES)


def sign(secret, label, nonce, *signed_fields):
    """Return the proof: a signature of the label, the nonce and `signed_fields`."""
    text = "\0".join([label, *(str(field) for field in signed_fields)]).encode()
    return hmac.new(secret.encode(), nonce + text, hashlib.sha256).digest()


def make_hello(settings, challenge, incarnation, session_id, received):
    """Return the dialer's reply to a challenge.

    `received` is the number of the last message that it received in the session.
    """
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
    """Check the protocol version, the cluster and the proof of a dialer.

    Raises `errors.BadRequest` for another protocol version and
    `errors.Unauthorized` for another cluster or an invalid proof.
    """
    if hello.version != messages.PROTOCOL_VERSION:
        raise errors.BadRequest(
            f"A peer uses protocol version {hello.version}, "
            f"not {messages.PROTOCOL_VERSION}.",
            "Run versions that share a protocol version.",
        )
    proof = sign(secret, "hello", nonce, cluster, hello.name, hello.incarnation)
    if hello.cluster == cluster and hmac.compare_digest(proof, hello.proof):
        return
    raise errors.Unauthorized(
        f"A peer named {hello.name!r} does not belong to cluster {cluster!r}.",
        "Give every host the same cluster name and secret.",
    )


def make_welcome(settings, hello, incarnation, received, resumed):
    """Return the listener's reply to a dialer that it accepts.

    `received` is the number of the last message that it received in the session.
    """
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
    """Raise `errors.Unauthorized` unless the listener proves that it has the secret."""
    signed_fields = (welcome.name, welcome.incarnation)
    proof = sign(secret, "welcome", hello.nonce, *signed_fields)
    if hmac.compare_digest(proof, welcome.proof):
        return
    raise errors.Unauthorized(
        f"The listener named {welcome.name!r} does not have the cluster's secret.",
        "Give every host the same cluster name and secret.",
    )
