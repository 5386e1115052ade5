"""The command line for operators: `brasstrail`.

Commands show the state of a cluster, read and change its configuration, and read
logs and data folders. Most print a table, or JSON with `--json`. Typed errors are
printed on standard error with their code and remedy; the exit status is then 1.
"""

import dataclasses
import secrets
import sys

import click
import orjson
from click import shell_completion

import brasstrail
from brasstrail.core import errors
from brasstrail.roles import access
from brasstrail.tools import client, datafolder, explanations, logreader
from brasstrail.tools import report as reporting

JSON_OPTIONS = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
SHELLS = ("bash", "zsh", "fish")
TARGET_FIELDS = ("fraction", "within_ms", "first_token_within_ms")
REQUIRED_FIELDS = ("service", "tier", "fraction", "within_ms")
# A first token target of 0 means none.
NEW_CLASS_DEFAULTS = {"idempotent": True, "first_token_within_ms": 0}


class ErrorReportingGroup(click.Group):
    """A group of commands that prints typed errors instead of a traceback."""

    def invoke(self, context):
        """Run a command; on a typed error, print it and exit with status 1."""
        try:
            return super().invoke(context)
        except errors.BrasstrailError as error:
            click.echo(f"{error.code}: {error.message}", err=True)
            click.echo(f"remedy: {error.remedy}", err=True)
            sys.exit(1)


class Session:
    """What every command needs: the addresses to call and the output format."""

    def __init__(self, endpoints, as_json):
        self.endpoints = endpoints
        self.as_json = as_json

    def call_control(self, path, body=None):
        """Send a request to the control host and return its JSON."""
        return client.call(
            self.endpoints, f"{self.endpoints.control_url}/admin/v1{path}", body
        )

    def call_entry(self, path, body=None):
        """Send a request to the entry and return its JSON."""
        return client.call(
            self.endpoints, f"{self.endpoints.entry_url}/admin/v1{path}", body
        )

    def ask_gateway(self, url, question):
        """Send a question to a gateway's metrics port and return its JSON.

        The operator token is not sent: that port asks for none.
        """
        endpoints = dataclasses.replace(self.endpoints, token="")
        return client.call(endpoints, f"{url.rstrip('/')}/explain", question)

    def print_lines(self, reply, lines):
        """Print the whole reply as JSON, or some lines of text."""
        if self.as_json:
            click.echo(orjson.dumps(reply, option=JSON_OPTIONS))
            return
        click.echo("\n".join(lines))

    def print_reply(self, reply, rows, columns):
        """Print the whole reply as JSON, or `rows` as a table with `columns`."""
        if self.as_json:
            click.echo(orjson.dumps(reply, option=JSON_OPTIONS))
            return
        click.echo(format_table(rows, columns))


def format_table(rows, columns):
    """Format rows as a text table with a header line and aligned columns."""
    lines = [[column.upper() for column in columns]]
    for row in rows:
        lines.append([format_cell(row.get(column, "")) for column in columns])
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    )


def format_cell(value):
    """Format a value for a table: lists joined by commas, 3 decimals for floats."""
    if isinstance(value, list):
        return ",".join(map(str, value)) or "-"
    if isinstance(value, float):
        return f"{value:.3f}"
    return str(value)


@click.group(cls=ErrorReportingGroup)
@click.option(
    "--control",
    envvar="BRASSTRAIL_CONTROL",
    default="http://127.0.0.1:7200",
    help="Base URL of a control host's operator port.",
)
@click.option(
    "--entry",
    envvar="BRASSTRAIL_ENTRY",
    default="http://127.0.0.1:8080",
    help="Base URL of an entry's caller port.",
)
@click.option("--token", envvar="BRASSTRAIL_TOKEN", default="", help="Operator token.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
@click.pass_context
def main(context, control, entry, token, as_json):
    """Inspect a brasstrail cluster and change its configuration."""
    endpoints = client.Endpoints(control.rstrip("/"), entry.rstrip("/"), token)
    context.obj = Session(endpoints, as_json)


@main.command()
@click.pass_obj
def status(session):
    """Show the status of the control host, its quorum and the members."""
    reply = session.call_control("/status")
    rows = [{"field": name, "value": value} for name, value in reply.items()]
    session.print_reply(reply, rows, ["field", "value"])


@main.command()
@click.pass_obj
def members(session):
    """List the processes of the cluster."""
    reply = session.call_control("/members")
    columns = ["name", "roles", "region", "data_centre", "service", "address"]
    session.print_reply(reply, reply["members"], columns)


@main.command()
@click.pass_obj
def servers(session):
    """List the backend servers in the view of the entry."""
    reply = session.call_entry("/servers")
    columns = [
        "agent",
        "service",
        "connected",
        "leaving",
        "slots",
        "running",
        "waiting",
        "health",
        "prefill_rate",
        "decode_rate",
    ]
    session.print_reply(reply, reply["servers"], columns)


@main.command()
@click.pass_obj
def requests(session):
    """List the requests in progress at the entry."""
    reply = session.call_entry("/requests")
    columns = ["request", "class", "workspace", "attempts", "age_ms"]
    session.print_reply(reply, reply["requests"], columns)


@main.command()
@click.argument("request", required=False)
@click.option("--gateway", help="Base URL of a gateway's metrics port.")
@click.option("--host", help="Host of the request that is asked about.")
@click.option("--path", help="Path of the request that is asked about.")
@click.option("--method", default="POST", help="Its method.", show_default=True)
@click.option("--key", default="", help="Its API key.")
@click.option("--workspace", default="", help="Its workspace, instead of a key.")
@click.option("--input-tokens", default=0, help="Size of its prompt.")
@click.option("--max-output-tokens", default=0, help="Largest size of its output.")
@click.option("--body-bytes", default=0, help="Size of its body.")
@click.option("--deadline-ms", default=0, help="How long its caller waits.")
@click.pass_obj
def explain(session, request, gateway, **question):
    """Show the decisions of the entry on a REQUEST, with reasons.

    With --gateway, --host and --path instead, show where such a request would go from
    that gateway now and why. Nothing is sent, charged or queued.
    """
    if gateway is not None:
        if request is not None or not (question["host"] and question["path"]):
            raise click.UsageError("With --gateway, specify --host and --path only.")
        reply = session.ask_gateway(gateway, question)
        session.print_lines(reply, explanations.lines(reply))
        return
    if request is None:
        raise click.UsageError("Specify a REQUEST, or --gateway, --host and --path.")
    reply = session.call_entry(f"/decisions?request={request}")
    columns = ["request_id", "decision", "agent", "reason"]
    session.print_reply(reply, reply["decisions"], columns)


@main.command()
@click.argument("workspace")
@click.argument("key")
@click.pass_obj
def key(session, workspace, key):
    """Show the execution record of an idempotency KEY of a WORKSPACE."""
    reply = session.call_control(f"/executions/{workspace}/{key}")
    rows = [{"field": name, "value": value} for name, value in reply.items()]
    session.print_reply(reply, rows, ["field", "value"])


@main.command()
@click.pass_obj
def classes(session):
    """List the classes of work and their targets."""
    reply = session.call_control("/config")
    rows = [
        {**item, **item.pop("target"), "service": item["service"]}
        for item in map(dict, reply["classes"])
    ]
    columns = [
        "name",
        "service",
        "tier",
        "idempotent",
        "fraction",
        "within_ms",
        "first_token_within_ms",
    ]
    session.print_reply(reply, rows, columns)


# Configuration.


@main.group(name="config")
def config_group():
    """Show and change the configuration."""


@config_group.command(name="show")
@click.pass_obj
def config_show(session):
    """Show the whole configuration as JSON."""
    click.echo(orjson.dumps(session.call_control("/config"), option=JSON_OPTIONS))


@config_group.command(name="status")
@click.pass_obj
def config_status(session):
    """Show the configuration version and the members that have not applied it."""
    reply = session.call_control("/config/status")
    session.print_reply(reply, [reply], ["version", "members", "behind"])


@config_group.command(name="apply")
@click.argument("file", type=click.File("rb"))
@click.option(
    "--expected-version",
    type=int,
    help="Version that the change is based on. Default: the current version.",
)
@click.option(
    "--change-id", help="Id of the change. Use the same id to send a change again."
)
@click.pass_obj
def config_apply(session, file, expected_version, change_id):
    """Apply the configuration changes in a JSON FILE."""
    send_change(session, orjson.loads(file.read()), expected_version, change_id)


def send_change(session, fields, expected_version=None, change_id=None):
    """Send a configuration change and print the outcome.

    Without `expected_version` the change is based on the current version. Without
    `change_id` an id is generated; it is printed if the outcome stays unknown, so
    that the change can be sent again with the same id.
    """
    if expected_version is None:
        expected_version = session.call_control("/config")["version"]
    change_id = change_id or secrets.token_hex(8)
    body = {"expected_version": expected_version, "change_id": change_id, **fields}
    try:
        reply = session.call_control("/config", body)
    except (errors.NoQuorum, client.Unreachable):
        click.echo(f"Send the change again with --change-id {change_id}.", err=True)
        raise
    session.print_reply(reply, [reply], ["version", "change_id", "members", "behind"])


@main.group(name="class")
def class_group():
    """Set and remove classes of work and their targets."""


@class_group.command(name="set")
@click.argument("name")
@click.option("--service")
@click.option("--tier", type=int, help="1 is the highest tier.")
@click.option("--idempotent/--not-idempotent", default=None)
@click.option("--fraction", type=float, help="Fraction of requests, 0 to 1.")
@click.option("--within-ms", type=int)
@click.option("--first-token-within-ms", type=int)
@click.option("--expected-version", type=int)
@click.option("--change-id")
@click.pass_obj
def class_set(session, name, expected_version, change_id, **options):
    """Create the class NAME or change it; omitted options keep their values."""
    config = session.call_control("/config")
    current_class = next(
        (item for item in config["classes"] if item["name"] == name), {}
    )
    class_fields = {
        **NEW_CLASS_DEFAULTS,
        **current_class,
        **current_class.get("target", {}),
    }
    class_fields.update(
        {key: value for key, value in options.items() if value is not None}
    )
    missing = [key for key in REQUIRED_FIELDS if class_fields.get(key) is None]
    if missing:
        missing_options = ", ".join(f"--{key.replace('_', '-')}" for key in missing)
        raise click.UsageError(
            f"The class {name!r} does not exist yet; specify {missing_options}."
        )
    target = {key: class_fields.pop(key) for key in TARGET_FIELDS}
    class_fields.update({"name": name, "target": target})
    if expected_version is None:
        expected_version = config["version"]
    send_change(session, {"classes": [class_fields]}, expected_version, change_id)


@class_group.command(name="remove")
@click.argument("name")
@click.option("--expected-version", type=int)
@click.option("--change-id")
@click.pass_obj
def class_remove(session, name, expected_version, change_id):
    """Remove the class NAME."""
    send_change(session, {"removed_classes": [name]}, expected_version, change_id)


# Suspicions and replicas.


@main.group(name="suspicion")
def suspicion_group():
    """List and lift suspicions of requests that crash backend servers."""


@suspicion_group.command(name="list")
@click.pass_obj
def suspicion_list(session):
    """List the suspected requests."""
    reply = session.call_control("/suspicions")
    columns = ["fingerprint", "servers", "updated_ms"]
    session.print_reply(reply, reply["suspicions"], columns)


@suspicion_group.command(name="lift")
@click.argument("fingerprint")
@click.pass_obj
def suspicion_lift(session, fingerprint):
    """Allow the suspected request with this FINGERPRINT to run again."""
    reply = session.call_control("/suspicions", {"fingerprint": fingerprint})
    session.print_reply(reply, [reply], ["lifted"])


@main.group(name="replica")
def replica_group():
    """Change which control hosts replicate the log."""


@replica_group.command(name="remove")
@click.argument("host")
@click.pass_obj
def replica_remove(session, host):
    """Remove the vote of a HOST that is lost for good."""
    reply = session.call_control("/replicas", {"remove": host})
    session.print_reply(reply, [reply], ["voters"])


@replica_group.command(name="promote")
@click.argument("host")
@click.pass_obj
def replica_promote(session, host):
    """Make the learner on a HOST a voter."""
    reply = session.call_control("/replicas", {"promote": host})
    session.print_reply(reply, [reply], ["voters"])


# Commands that send no request.


@main.command()
@click.option("--request", help="Id of a request.")
@click.option("--server", help="Identity of a backend server.")
@click.option("--version", "document", help="Version of a document.")
@click.argument("files", nargs=-1, required=True, type=click.File())
def logs(request, server, document, files):
    """Show the log lines of one request, server or document in FILES.

    The lines of all hosts are sorted by timestamp. For a request, the latest line
    about each server that it was sent to is included, as logged before the end of
    the request by the process that served it.
    """
    lines = logreader.read(files)
    if request:
        matching_lines = logreader.find_request_lines(lines, request)
    elif server:
        matching_lines = logreader.find_lines_by_field(lines, "server", server)
    elif document:
        matching_lines = logreader.find_lines_by_field(lines, "version", document)
    else:
        raise click.UsageError("Specify --request, --server or --version.")
    if not matching_lines:
        raise errors.NotFound(
            "No log line matches.", "Check the value and include the logs of all hosts."
        )
    for line in matching_lines:
        click.echo(logreader.format_line(line))


@main.command()
@click.option("--out", default="report.svg", help="Chart file: .svg, .png or .pdf.")
@click.argument("files", nargs=-1, required=True, type=click.File())
def report(out, files):
    """Chart the outcomes of requests by second and tier from the logs in FILES.

    Prints a summary too. Requires matplotlib, which the `dev` extra installs.
    """
    for row in reporting.make_report(files, out):
        click.echo(row)


@main.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option(
    "--export", type=click.Path(), help="Write the latest document to this file."
)
def state(folder, export):
    """Show and verify the data FOLDER of a control host that is not running."""
    contents = datafolder.read(folder)
    for row in datafolder.describe(contents):
        click.echo(row)
    if export:
        datafolder.export_document(contents, export)


@main.command()
def token():
    """Generate a token and the hash of it for the settings."""
    text, hashed = access.make_token()
    click.echo(f"token:  {text}")
    click.echo(f"sha256: {hashed}")


@main.command()
def version():
    """Print the version of brasstrail."""
    click.echo(brasstrail.__version__)


@main.command()
@click.argument("shell", type=click.Choice(SHELLS))
def completion(shell):
    """Print the completion script for a SHELL."""
    kind = shell_completion.get_completion_class(shell)
    click.echo(kind(main, {}, "brasstrail", "_BRASSTRAIL_COMPLETE").source())


if __name__ == "__main__":
    main()
