"""The command line's HTTP client.

`call` sends one request and returns the JSON response or raises a typed error.
"""

import dataclasses

import orjson
from tornado import curl_httpclient, httpclient

from brasstrail.core import errors

REQUEST_TIMEOUT_S = 15.0


@dataclasses.dataclass(frozen=True)
class Endpoints:
    """The base URLs that the command line uses, and its bearer token.

    The token is empty if none is sent.
    """

    control_url: str
    entry_url: str
    token: str


class Unreachable(errors.BrasstrailError):
    """No response was received from an address."""

    code = "unreachable"


def call(endpoints, url, body=None):
    """Send a request and return the JSON object of the response.

    Without a body the method is GET, otherwise POST. Raises the typed error that
    the response holds, or `Unreachable` if there is no response.
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
    """Build the HTTP request for a URL; `body` is sent as JSON."""
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
    """Return the JSON of a response, or raise the typed error in it."""
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
    """Return the error for an address from which no response was received."""
    return Unreachable(
        f"No response from {url}: {error}.",
        "Check --control, --entry or --gateway, and that the process is running.",
    )
