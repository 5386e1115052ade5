"""The operators' API of an entry: decisions, servers, open requests and view."""

from brasstrail.core import clock
from brasstrail.roles import web


class DecisionsHandler(web.Handler):
    """GET /admin/v1/decisions?request=ID: the decisions on a request.

    `ID` may be the beginning of a request's id; without it all are returned.
    """

    operators_only = True

    def get(self):
        request_id_prefix = self.get_query_argument("request", "")
        found = [
            vars(decision)
            for decision in self.role.decisions
            if decision.request_id.startswith(request_id_prefix)
        ]
        self.write_json({"decisions": found})


class ServersHandler(web.Handler):
    """GET /admin/v1/servers: the state of the backend servers known to this entry."""

    operators_only = True

    def get(self):
        servers = []
        for view in self.role.scheduler.views.values():
            row = {"agent": view.agent, "connected": view.connected}
            if view.state is not None:
                row.update(vars(view.state))
                del row["prefixes"]
            servers.append(row)
        self.write_json({"servers": servers})


class RequestsHandler(web.Handler):
    """GET /admin/v1/requests: the open requests of this entry."""

    operators_only = True

    def get(self):
        requests = [
            {
                "request": item.number,
                "class": item.request.work_class.name,
                "workspace": item.request.workspace,
                "attempts": item.attempts,
                "age_ms": clock.now_ms() - item.arrived_ms,
            }
            for item in self.role.exchanges
        ]
        self.write_json({"requests": requests})


class ViewHandler(web.Handler):
    """GET /admin/v1/view: which configuration version and view this entry has."""

    operators_only = True

    def get(self):
        attachment = self.role.attachment
        self.write_json(
            {
                "version": attachment.view.config.version,
                "index": attachment.view.index,
                "fresh": attachment.fresh,
                "control": attachment.link.name,
                "members": len(attachment.view.members),
            }
        )


ROUTES = [
    (r"/admin/v1/decisions", DecisionsHandler),
    (r"/admin/v1/servers", ServersHandler),
    (r"/admin/v1/requests", RequestsHandler),
    (r"/admin/v1/view", ViewHandler),
]
