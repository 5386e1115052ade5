"""Load and spending in the states that gateways send to each other.

A state has both as records or as columns; see `messages.GatewayState`.
"""

import itertools
import math

from brasstrail.coordination import allotments, loadreports, pool, waits
from brasstrail.core import errors, servers
from brasstrail.protocol import messages


def load_fields(shares, as_columns):
    """Return the fields of a state for `pool.LoadShare`s by server identity.

    >>> load_fields({"a": pool.LoadShare(1, 20, 3)}, as_columns=True)["running"]
    (1,)
    """
    if not as_columns:
        records = tuple(
            messages.ServerShare(
                identity, share.running, share.input_tokens, share.output_tokens
            )
            for identity, share in shares.items()
        )
        return {"shares": records}
    return {
        "shares": (),
        "identities": tuple(shares),
        "running": tuple(share.running for share in shares.values()),
        "input_tokens": tuple(share.input_tokens for share in shares.values()),
        "output_tokens": tuple(share.output_tokens for share in shares.values()),
    }


def spending_fields(spent, as_columns):
    """Return the fields of a state for the amounts spent, by workspace."""
    if not as_columns:
        return {"spent": tuple(messages.Spent(*item) for item in spent.items())}
    return {
        "spent": (),
        "workspaces": tuple(spent),
        "amounts": tuple(spent.values()),
    }


def read_load(state):
    """Return the `pool.LoadShare`s of a `messages.GatewayState` by server identity.

    Raises `errors.BadRequest` if its columns differ in length.
    """
    if state.shares:
        return {
            share.identity: pool.LoadShare(
                share.running, share.input_tokens, share.output_tokens
            )
            for share in state.shares
        }
    columns = state.running, state.input_tokens, state.output_tokens
    check_lengths(state, state.identities, *columns)
    return dict(zip(state.identities, map(pool.LoadShare, *columns), strict=True))


def read_spending(state):
    """Return the amounts spent of a `messages.GatewayState`, by workspace.

    Raises `errors.BadRequest` if its columns differ in length.
    """
    if state.spent:
        spent = {each.workspace: each.amount for each in state.spent}
    else:
        check_lengths(state, state.workspaces, state.amounts)
        spent = dict(zip(state.workspaces, state.amounts, strict=True))
    check_finite(state, spent.values())
    return spent


def level_fields(levels):
    """Return the fields of a state for the levels of buckets; None are not told."""
    if levels is None:
        return {}
    return {
        "tells_levels": True,
        "level_workspaces": tuple(levels),
        "levels": tuple(levels.values()),
    }


def read_report(state):
    """Return the `allotments.Report` in a `messages.GatewayState`.

    Raises `errors.BadRequest` if columns differ in length, or hold what is no number.
    """
    spent = read_spending(state)
    if not state.tells_levels:
        return allotments.Report(spent or None)
    check_lengths(state, state.level_workspaces, state.levels)
    levels = dict(zip(state.level_workspaces, state.levels, strict=True))
    check_finite(state, levels.values())
    return allotments.Report(spent, levels)


def report_fields(shared, as_columns):
    """Return the fields of a state for some `loadreports.SharedReport`s."""
    if not as_columns or not shared:
        return {}
    reports = [each.report for each in shared]
    return {
        "report_identities": tuple(each.start[0] for each in shared),
        "report_born_ms": tuple(each.start[1] for each in shared),
        "report_running": tuple(each.running for each in reports),
        "report_waiting": tuple(each.waiting for each in reports),
        "report_slots": tuple(each.slots for each in reports),
        "report_host_percents": tuple(
            round(100 * each.host_factor) for each in reports
        ),
        "report_ages_ms": tuple(round(each.age_ms) for each in shared),
    }


def read_load_reports(state):
    """Return the `loadreports.SharedReport`s in a `messages.GatewayState`.

    Raises `errors.BadRequest` if its columns differ in length. Rows with figures that
    no report has are left out.
    """
    columns = (
        state.report_identities,
        state.report_born_ms,
        state.report_running,
        state.report_waiting,
        state.report_slots,
        state.report_host_percents,
        state.report_ages_ms,
    )
    check_lengths(state, *columns)
    rows = zip(*columns, strict=True)
    return [
        loadreports.SharedReport(
            (identity, born_ms), servers.LoadReport(*counts, percent / 100), age_ms
        )
        for identity, born_ms, *counts, percent, age_ms in rows
        if percent > 0 and age_ms >= 0 and min(counts) >= 0
    ]


def wait_fields(rows):
    """Return the fields of a state for `waits.Row`s by service and rank."""
    return {
        "tells_waits": True,
        "wait_services": tuple(service for service, _ in rows),
        "wait_tiers": tuple(rank[0] for _, rank in rows),
        "wait_route_tiers": tuple(rank[1] for _, rank in rows),
        "wait_queued": tuple(row.queued for row in rows.values()),
        "wait_running": tuple(row.running for row in rows.values()),
        "wait_places": tuple(row.demand.slot_ms for row in rows.values()),
        "wait_prefill": tuple(row.demand.prefill_ms for row in rows.values()),
    }


def read_waits(state):
    """Return the `waits.Row`s of a `messages.GatewayState` by service and rank.

    None if it is of a version that tells none. Raises `errors.BadRequest` if columns
    differ in length, or hold what is no number.
    """
    if not state.tells_waits:
        return None
    columns = (
        state.wait_services,
        state.wait_tiers,
        state.wait_route_tiers,
        state.wait_queued,
        state.wait_running,
        state.wait_places,
        state.wait_prefill,
    )
    check_lengths(state, *columns)
    check_finite(state, (*state.wait_places, *state.wait_prefill))
    rows = itertools.islice(zip(*columns, strict=True), waits.MAX_ROWS)
    return {
        (service, (tier, route_tier)): waits.Row(
            queued, running, waits.Need(places, prefill)
        )
        for service, tier, route_tier, queued, running, places, prefill in rows
    }


def check_finite(state, amounts):
    """Raise `errors.BadRequest` if amounts of a state are no numbers."""
    if not all(map(math.isfinite, amounts)):
        raise errors.BadRequest(
            f"The state of {state.name!r} has an amount that is no number.",
            "Run the same version on every host.",
        )


def check_lengths(state, *columns):
    """Raise `errors.BadRequest` if columns of a state differ in length."""
    if len({len(column) for column in columns}) > 1:
        raise errors.BadRequest(
            f"The columns of the state of {state.name!r} differ in length.",
            "Run the same version on every host.",
        )
