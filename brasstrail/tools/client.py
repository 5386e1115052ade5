"""The command line's HTTP client: one call, its JSON or a typed error."""

import dataclasses

import orjson
from tornado import curl_httpclient, httpclient

from brasstrail.core import errors

REQUEST_TIMEOUT_S = 15.0


@dataclasses.dataclass(frozen=True)
class Endpoints:
    """Where the command line calls, and with which token."""

    control_url: str
    entry_url: str
    token: str


class Unreachable(errors.BrasstrailError):
    """Nothing answers at an address."""

    code = "unreachable"


def call(endpoints, url, body=None):
    """Return the JSON object that a call gives.

    Raises the typed error that the other side reported, or `Unreachable`.
    """
    httpclient.AsyncHTTPClient.configure(curl_httpclient.CurlAsyncHTTPClient)
    client = httpclient.HTTPClient(curl_httpclient.CurlAsyncHTTPClient)
    try:
        response = client.fetch(make_request(endpoints, url, body), raise_error=False)
    except (OSError, httpclient.HTTPError) as error:
        raise unreachable_error(url, error) from error
    finally:
        client.close()
    return read_response(url, response)


def make_request(endpoints, url, body):
    """Return the HTTP request of a call."""
    headers = {"Content-Type": "application/json"}
    if endpoints.token:
        headers["Authorization"] = f"Bearer {endpoints.token}"
    return httpclient.HTTPRequest(
        url,
        method="GET" if body is None else "POST",
        headers=headers,
        body=None if body is None else orjson.dumps(body),
        request_timeout=REQUEST_TIMEOUT_S,
    )


def read_response(url, response):
    """Return the JSON of a response, or raise the error that it holds."""
    if response.code == 599:
        raise unreachable_error(url, response.error)
    payload = orjson.loads(response.body)
    if "error" in payload:
        error_fields = payload["error"]
        raise errors.from_code(
            error_fields["code"],
            error_fields["message"],
            error_fields["remedy"],
            error_fields.get("ran"),
        )
    return payload


def unreachable_error(url, error):
    """Return the error for an address that does not answer."""
    return Unreachable(
        f"Nothing answers at {url}: {error}.",
        "Check --control and --entry, and that the process runs.",
    )
