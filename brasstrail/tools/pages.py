"""Writes the generated pages: settings, errors, commands, metrics and capacity.

A test fails if a committed page differs from what this module writes.
"""

import dataclasses
import inspect
import pathlib

import click

from brasstrail.core import errors
from brasstrail.roles import measures, metrics
from brasstrail.settings import settings
from brasstrail.tools import capacity, cli

SETTINGS_PATH = pathlib.Path("docs/SETTINGS.md")
ERRORS_PATH = pathlib.Path("docs/ERRORS.md")
METRICS_PATH = pathlib.Path("docs/METRICS.md")
PAGE_WIDTH = 80
COMMANDS_PATH = pathlib.Path("docs/COMMANDS.md")
SETTINGS_TABLES = (
    ("node", settings.Node),
    ("cluster", settings.Cluster),
    ("entry", settings.EntryRole),
    ("agent", settings.AgentRole),
    ("control", settings.ControlRole),
    ("gateway", settings.GatewayRole),
    ("gateway.link_cost_ms_per_kb", settings.LinkCost),
    ("intake", settings.Intake),
    ("metrics", settings.MetricsPage),
    ("auth.tokens", settings.Token),
    ("log", settings.Log),
    ("shaping", settings.Shaping),
)
SETTINGS_HEAD = """\
# Settings

This page is generated from the settings records by
`python -m brasstrail.tools.pages`. `brasstraild --settings FILE --check` reports
all problems of a file in one run. Times are in the unit that ends their key, `_ms`
or `_s`; sizes are in bytes if their key ends in `_bytes`.
"""
COMMANDS_HEAD = """\
# Commands

This page is generated from the help texts of the command line by
`python -m brasstrail.tools.pages`.

"""
ERRORS_HEAD = """\
# Errors

This page is generated from the error classes by
`python -m brasstrail.tools.pages`. Each error that a caller or an operator receives
is a JSON object with `code`, `message` and `remedy`. Errors that end a caller's
request also have `ran`, which is `not_run` only if that is certain, otherwise
`ran` or `unknown`. Overload errors carry the header `Retry-After`.

| code | status | meaning |
|---|---|---|
"""
METRICS_HEAD = """\
# Metrics

This page is generated from `roles/measures.py` by
`python -m brasstrail.tools.pages`. `GET /metrics` on the port of `[metrics]` returns
them as text. A latency is exported as the quantiles 0.5, 0.95 and 0.99 since the
start of the process, with a count. A metric is exported after it has a value.

| metric | kind | unit | labels | meaning |
|---|---|---|---|---|
"""


def format_default(field):
    """Return the default of a field as it is written in a settings file."""
    if field.default is dataclasses.MISSING:
        return "required"
    if isinstance(field.default, tuple):
        return "`[]`"
    if dataclasses.is_dataclass(field.default):
        return "its own table"
    return f"`{field.default!r}`".replace("'", '"')


def type_name(annotation):
    """Return the name of a field's type for the settings page."""
    if "tuple" in str(annotation):
        return "list of str"
    return getattr(annotation, "__name__", str(annotation))


def settings_page():
    """Return the page of all settings."""
    lines = [SETTINGS_HEAD]
    for name, record in SETTINGS_TABLES:
        lines.append(f"## `[{name}]`\n")
        lines.append(inspect.getdoc(record) + "\n")
        lines.append("| key | type | default |")
        lines.append("|---|---|---|")
        for field in dataclasses.fields(record):
            kind = (
                "list of str" if "tuple" in str(field.type) else type_name(field.type)
            )
            lines.append(f"| `{field.name}` | {kind} | {format_default(field)} |")
        lines.append("")
    return "\n".join(lines)


def errors_page():
    """Return the page of all errors."""
    rows = [
        f"| `{code}` | {kind.status} | {inspect.getdoc(kind)} |"
        for code, kind in sorted(errors.ERROR_CLASSES.items())
    ]
    return ERRORS_HEAD + "\n".join(rows) + "\n"


def command_lines(command, name):
    """Yield the reference lines of a command and its subcommands."""
    context = click.Context(command, info_name=name, terminal_width=PAGE_WIDTH)
    if not isinstance(command, click.Group) or name == "brasstrail":
        yield f"## `{name}`\n"
        yield "```"
        yield command.get_help(context).rstrip()
        yield "```\n"
    if isinstance(command, click.Group):
        for child in command.list_commands(context):
            subcommand = command.get_command(context, child)
            yield from command_lines(subcommand, f"{name} {child}")


def commands_page():
    """Return the page of all commands."""
    lines = command_lines(cli.main, "brasstrail")
    return COMMANDS_HEAD + "\n".join(lines) + "\n"


def metrics_page():
    """Return the page of all metrics."""
    rows = [
        f"| `{metrics.PREFIX}_{each.exported_name}` | {each.kind} | {each.unit} | "
        f"{', '.join(each.labels)} | {each.help_text} |"
        for each in measures.MEASURES
    ]
    return METRICS_HEAD + "\n".join(rows) + "\n"


PAGES = {
    METRICS_PATH: metrics_page,
    SETTINGS_PATH: settings_page,
    ERRORS_PATH: errors_page,
    COMMANDS_PATH: commands_page,
    capacity.PAGE_PATH: capacity.render_file,
}


@click.command()
def main():
    """Write all generated pages."""
    for path, render in PAGES.items():
        path.write_text(render())
        click.echo(f"Wrote {path}.")


if __name__ == "__main__":
    main()
