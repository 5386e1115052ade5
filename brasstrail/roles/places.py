"""The places of requests at backend servers.

A request has a place from when the pool has chosen a server for it, which may be before
its task runs again and after it was cancelled. The place has one owner, which gives it
back on each way out.
"""


class Place:
    """The place of one request at one server, taken until it is released.

    It is a context manager, and may be released more than once:

    >>> with place:
    ...     result = await sending.Attempt(request, place, work).run()

    Parameters
    ----------
    gateway : `gateway.Gateway`.
    choice : `pool.Choice`, the server; the work counts as running there.
    work : `pool.Work` of the request.

    Attributes
    ----------
    start : the identity of the server and when it started.
    is_used : whether the request was written to the server.
    """

    def __init__(self, gateway, choice, work):
        self.gateway = gateway
        self.choice = choice
        self.work = work
        self.start = gateway.pool.servers[choice.identity].start
        self.is_used = False
        self.is_released = False
        gateway.places.add(self)

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self.release()

    def release(self):
        """Give the place back, with its permit if that was not used."""
        if self.is_released:
            return
        self.is_released = True
        gateway = self.gateway
        gateway.places.discard(self)
        gateway.pool.remove_running(self.choice.identity, self.work)
        permit = self.choice.permit
        if permit is not None and not self.is_used:
            gateway.hub.run_callback(
                gateway.limits.give_back, self.start, permit.coordinator
            )
        gateway.gossip.send_soon()
        # What waits may have it; an error there is not one of this request.
        gateway.hub.run_callback(gateway.dispatch_waiting)
