"""Shows a gateway's answer to where a request would go, as lines of text."""

SERVER_FIELDS = (
    "data_centre",
    "distance",
    "version",
    "state",
    "score_ms",
    "running",
    "others",
    "capacity",
)


def lines(answer):
    """Return the lines that describe an answer of `roles.explaining`."""
    return [
        *field_lines(answer, ("gateway", "document", "route", "rank")),
        *workspace_lines(answer.get("workspace")),
        *refusal_lines(answer),
        *(line for each in answer.get("services", ()) for line in service_lines(each)),
    ]


def field_lines(fields, names):
    """Return a line for each named field that is there."""
    return [f"{name:<12} {fields[name]}" for name in names if name in fields]


def workspace_lines(workspace):
    """Return the line of the standing of a workspace, if there is one."""
    if workspace is None:
        return []
    standing = "no limit"
    if workspace["limited"]:
        standing = "left {left} of {capacity} {unit}, {rate_per_s}/s, costs {cost}"
        standing = standing.format(**workspace)
    return [f"{'workspace':<12} {workspace['name']}: {standing}"]


def refusal_lines(fields):
    """Return the line of a refusal, if there is one."""
    if "refusal" not in fields:
        return []
    refusal = fields["refusal"]
    retry_after = ""
    if refusal["retry_after_s"] is not None:
        retry_after = f", Retry-After {refusal['retry_after_s']} s"
    return [f"{'refused':<12} {refusal['status']} {refusal['reason']}{retry_after}"]


def service_lines(service):
    """Return the lines of what would happen at one service."""
    names = ("service", "share", "decision", "server", "distance", "reason")
    return [
        "",
        *field_lines(service, (*names, "expected_wait_ms", "wait_at_most_ms")),
        *refusal_lines(service),
        *(
            " ".join(
                [
                    f"  {row['server']}",
                    *(f"{name}={row[name]}" for name in SERVER_FIELDS),
                ]
            )
            for row in service["servers"]
        ),
    ]
