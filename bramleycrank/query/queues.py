"""Queue of one priority class, with round-robin scheduling among services."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterator

from bramleycrank.query.types import Ticket


class ClassQueue:
    """Queue that is FIFO within a service and round-robin among services."""

    def __init__(self) -> None:
        self._services: OrderedDict[str, deque[Ticket]] = OrderedDict()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[Ticket]:
        """Yield the tickets round-robin over the services, roughly in the order of admission."""
        queues = [iter(queue) for queue in self._services.values()]
        while queues:
            non_empty = []
            for queue in queues:
                ticket = next(queue, None)
                if ticket is not None:
                    non_empty.append(queue)
                    yield ticket
            queues = non_empty

    def count(self, service: str) -> int:
        """Return the number of tickets of a service."""
        return len(self._services.get(service, ()))

    def push(self, ticket: Ticket) -> None:
        """Append a ticket."""
        self._services.setdefault(ticket.service, deque()).append(ticket)
        self._count += 1

    def pop(self, may_run: Callable[[Ticket], bool]) -> Ticket | None:
        """Remove and return the next ticket that `may_run` accepts; None if there is none."""
        for service, queue in self._services.items():
            if may_run(queue[0]):
                ticket = queue.popleft()
                self._count -= 1
                self._services.move_to_end(service)
                if not queue:
                    del self._services[service]
                return ticket
        return None

    def remove(self, ticket: Ticket) -> None:
        """Remove a queued ticket."""
        queue = self._services[ticket.service]
        queue.remove(ticket)
        self._count -= 1
        if not queue:
            del self._services[ticket.service]
