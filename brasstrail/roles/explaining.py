"""Tells where a request would go now and why, without sending it.

The answer is computed by the code that serves requests, on copies of the parts of the
gateway's state that it would change: nothing is sent, charged, counted or queued.
Whether the content of a request is held back for crashes is not known, since the
question has no body.
"""

import copy
import dataclasses

import cattrs
import orjson

from brasstrail.coordination import pool, zones
from brasstrail.core import calls, clock, errors
from brasstrail.roles import admitting, forwarding, refusals
from brasstrail.settings import settings

# Size limits of a question in bytes, and of each of its texts: hosts and paths of
# ordinary callers have a few hundred characters.
MAX_QUESTION_BYTES = 16_384
MAX_TEXT_CHARACTERS = 4096
# Far above any prompt, output or body that a gateway accepts.
MAX_NUMBER = 1_000_000_000
# Servers in the answer for each service, best first.
MAX_SERVERS = 64


@dataclasses.dataclass(frozen=True)
class Question:
    """A request that is asked about.

    Either `key` or `workspace` names the workspace. Sizes are in tokens and bytes;
    `input_tokens` of 0 means that the request is no generation. `deadline_ms` of 0
    means that the caller states none.
    """

    host: str
    path: str
    method: str = "POST"
    key: str = ""
    workspace: str = ""
    input_tokens: int = 0
    max_output_tokens: int = 0
    body_bytes: int = 0
    deadline_ms: int = 0


def read_question(body):
    """Return the `Question` in a JSON text; raise a typed error if it has none."""
    if len(body) > MAX_QUESTION_BYTES:
        raise errors.TooLarge(
            f"The question has {len(body)} bytes.",
            f"Send at most {MAX_QUESTION_BYTES}.",
        )
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise errors.BadRequest(
            "The question is not JSON.", "Send a JSON object."
        ) from error
    if not isinstance(fields, dict):
        raise errors.BadRequest("The question is no object.", "Send a JSON object.")
    try:
        question = settings.CONVERTER.structure(fields, Question)
    except cattrs.BaseValidationError as error:
        raise errors.BadRequest(
            "The question has missing, unknown or mistyped fields.",
            f"Send {', '.join(each.name for each in dataclasses.fields(Question))}.",
        ) from error
    check_bounds(question)
    return question


def check_bounds(question):
    """Raise `errors.BadRequest` if a field is out of bounds."""
    for name, value in vars(question).items():
        if isinstance(value, str) and len(value) > MAX_TEXT_CHARACTERS:
            raise errors.BadRequest(
                f"{name} is too long.",
                f"Send at most {MAX_TEXT_CHARACTERS} characters.",
            )
        if isinstance(value, int) and not 0 <= value <= MAX_NUMBER:
            raise errors.BadRequest(
                f"{name} is {value}.", f"Send a number from 0 to {MAX_NUMBER}."
            )


def explain(gateway, question):
    """Return the answer to a `Question` as a JSON object."""
    answer = {"gateway": gateway.hub.name, "document": gateway.document_version}
    try:
        explain_admission(gateway, question, answer)
    except refusals.Refused as refusal:
        answer["refusal"] = refusal_fields(refusal)
    return answer


def explain_admission(gateway, question, answer):
    """Add what admission decides to an answer, then the services of the route.

    Raises `refusals.Refused` if the request is not admitted.
    """
    admitting.check_gateway(gateway)
    path = question.path.partition("?")[0]
    route = admitting.find_route(gateway, question.host, path)
    answer["route"] = route.name
    key = question.key or find_key(gateway.catalog, question.workspace)
    access = admitting.find_access(gateway, route, key)
    tier = route.tier
    if access is not None and access.tier is not None:
        tier = access.tier
    rank = (tier, route.tier)
    answer["rank"] = list(rank)
    call = make_call(question, key)
    if access is not None:
        answer["workspace"] = explain_allotment(gateway, access, call, route)
    now_ms = clock.now_ms()
    deadline_ms = now_ms + admitting.request_timeout_ms(route, call)
    answer["services"] = [
        explain_service(
            gateway,
            question,
            call,
            admitting.AdmittedRequest(
                route,
                rank,
                access.workspace if access else None,
                split.service,
                0.0,
                now_ms,
                deadline_ms,
            ),
            split.weight / sum(each.weight for each in route.splits),
        )
        for split in route.splits
        if split.weight > 0
    ]


def find_key(active_catalog, workspace):
    """Return a key of a workspace, or None if none is named.

    Raises `errors.UnknownWorkspace` if there is no such workspace.
    """
    if not workspace:
        return None
    for access in active_catalog.workspaces:
        if access.workspace == workspace and access.keys:
            return access.keys[0]
    raise errors.UnknownWorkspace(
        f"No workspace is named {workspace!r}.", "Name one of the document in force."
    )


def make_call(question, key):
    """Return the `calls.Call` that a question describes."""
    prompt = None
    if question.input_tokens:
        output_tokens = question.max_output_tokens
        prompt = calls.Prompt(question.input_tokens, output_tokens, output_tokens)
    return calls.Call(
        question.method,
        question.path,
        question.host,
        (),
        deadline_ms=question.deadline_ms or None,
        key=key,
        prompt=prompt,
    )


def explain_allotment(gateway, access, call, route):
    """Return the standing of a workspace, with the request's cost.

    Raises `refusals.Refused` if the request is beyond the allotment.
    """
    fields = {"name": access.workspace}
    if not access.allotment.rate:
        return {**fields, "limited": False}
    now_ms = clock.now_ms()
    allotments = copy_allotments(gateway.allotments, access.workspace)
    standing = allotments.standing(access.workspace, now_ms)
    cost = admitting.allotment_cost(call, access.allotment)
    wait_s = allotments.acquire(access.workspace, cost, now_ms, route.tier)
    if wait_s:
        wait_s = max(admitting.MIN_RETRY_S, wait_s)
        raise refusals.Refused(429, "allotment", wait_s)
    return {
        **fields,
        "limited": True,
        "unit": str(access.allotment.unit),
        "cost": cost,
        "left": round(standing.left, 1),
        "capacity": standing.capacity,
        "rate_per_s": standing.rate,
    }


def explain_service(gateway, question, call, admitted, share):
    """Return what would happen to a request at one service of its route."""
    probe = copy_gateway(gateway)
    request = forwarding.ForwardedRequest(probe, None)
    request.call, request.admitted = call, admitted
    work = dataclasses.replace(
        request.work(),
        transfer_bytes=zones.transfer_bytes(
            question.body_bytes, question.max_output_tokens
        ),
    )
    answer = {"service": admitted.service, "share": round(share, 4)}
    answer.update(explain_servers(probe.pool, work, request.arrived_ms))
    wait_ms = probe.pool.expected_wait_ms(work, request.arrived_ms)
    answer["expected_wait_ms"] = round(wait_ms, 1)
    try:
        answer.update(explain_choice(request, work, wait_ms))
    except refusals.Refused as refusal:
        answer["decision"] = "refuse"
        answer["refusal"] = refusal_fields(refusal)
    return answer


def explain_choice(request, work, wait_ms):
    """Return the decision on a request; raise `refusals.Refused` if it is refused.

    The checks are those of `forwarding.ForwardedRequest.acquire_place`.
    """
    probe, now_ms = request.gateway, request.arrived_ms
    latest_ms = request.latest_start_ms(work)
    if now_ms > probe.shutdown.latest_start_ms(work):
        raise request.refusal("stopping", admitting.STOPPING_RETRY_S)
    if probe.pool.has_servers(work) and now_ms + wait_ms > latest_ms:
        rests = probe.pool.rest_wait_ms(work, now_ms)
        reason = "servers_rest" if rests else "overload"
        raise request.refusal(reason, request.retry_after_s())
    openings = pool.Openings(probe.pool, now_ms)
    choice = probe.pool.choose(work, frozenset(), now_ms, openings)
    if choice is None:
        return {"decision": "wait", "wait_at_most_ms": round(latest_ms - now_ms)}
    return {
        "decision": "send",
        "server": choice.identity,
        "distance": str(choice.distance),
        "reason": str(choice.reason),
    }


def explain_servers(server_pool, work, now_ms):
    """Return the servers that may run a work, the lowest score first."""
    rows = [
        explain_server(server_pool, server, work, now_ms)
        for server in server_pool.servers.values()
        if work.may_run_on(server)
    ]
    rows.sort(key=lambda row: (row["state"] != "room", row["score_ms"]))
    return {"servers": rows[:MAX_SERVERS], "server_count": len(rows)}


def explain_server(server_pool, server, work, now_ms):
    """Return the score, the load and the state of a server."""
    announcement = server.announcement
    state = "room"
    if not server_pool.is_accepting(server, now_ms):
        state = "not_accepting"
    elif not server_pool.has_capacity(server, now_ms):
        state = "full"
    elif server.is_limited and not server.has_permit(now_ms):
        state = "no_permit"
    return {
        "server": announcement.identity,
        "version": announcement.version,
        "data_centre": announcement.data_centre,
        "distance": str(server_pool.distance(announcement.data_centre)),
        "state": state,
        "silent": server.silent,
        "score_ms": round(server_pool.score(server, work, now_ms), 1),
        "running": len(server.running),
        "others": server.others.running,
        "capacity": server.capacity,
    }


def refusal_fields(refusal):
    """Return the status, the reason and the Retry-After of a refusal."""
    retry_s = refusal.retry_after_s
    return {
        "status": refusal.status,
        "reason": refusal.reason,
        "retry_after_s": None if retry_s is None else round(retry_s, 3),
    }


# Copies. They share what the decisions only read.


def copy_gateway(gateway):
    """Return a gateway whose pool can be asked without a change of the real one."""
    probe = copy.copy(gateway)
    probe.pool = copy_pool(gateway.pool)
    probe.shutdown = copy.copy(gateway.shutdown)
    probe.shutdown.gateway = probe
    return probe


def copy_pool(server_pool):
    """Return a pool that may choose servers without a change of the real one."""
    probe = copy.copy(server_pool)
    probe.wants, probe.wanted = {}, []
    probe.rank_shares = copy.copy(server_pool.rank_shares)
    probe.estimates = copy.deepcopy(server_pool.estimates)
    probe.rng = copy.deepcopy(server_pool.rng)
    if server_pool.zones is not None:
        probe.zones = copy.copy(server_pool.zones)
        probe.zones.distances = {}
        probe.zones.spills = {
            service: copy.copy(spill)
            for service, spill in server_pool.zones.spills.items()
        }
    return probe


def copy_allotments(allotments, workspace):
    """Return allotments in which one workspace can be charged."""
    probe = copy.copy(allotments)
    probe.buckets = {workspace: copy.copy(allotments.buckets[workspace])}
    probe.spent = {workspace: allotments.spent.get(workspace, 0.0)}
    probe.tiers = copy.deepcopy(allotments.tiers)
    # The real ones look for silent gateways; that sets levels of all buckets aside.
    probe.next_silence_check_ms = float("inf")
    return probe
