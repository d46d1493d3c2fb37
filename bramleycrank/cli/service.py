"""Commands for the configuration of services."""

from __future__ import annotations

from bramleycrank.cli.arguments import command, split_commas
from bramleycrank.cli.context import (
    TIMEOUT_MARGIN_S,
    Context,
    DeferredCommand,
    OperatorClient,
    new_change_id,
)
from bramleycrank.cli.output import message_to_dict, table
from bramleycrank.exceptions import NotFound, UnknownService
from bramleycrank.proto import operator_pb2 as pb
from bramleycrank.proto.log_pb2 import Change, KindConfig, ServiceConfig

CHANGE_TIMEOUT_MS = 5_000


class ServiceCommands:
    """Shows and changes the configuration of services."""

    def __init__(self, context: Context) -> None:
        self._context = context

    @command
    def list(self) -> DeferredCommand:
        """List all services in force on the server."""

        async def run() -> None:
            async with self._context.operator() as client:
                reply = await client.call("ListServices", pb.ListServicesRequest())
            rows = [
                _service_row(service) for service in sorted(reply.services, key=lambda s: s.name)
            ]
            headers = ("NAME", "VERSION", "PINNED", "DEADLINE", "KINDS", "CLASSES")
            text = f"revision {reply.revision}\n{table(headers, rows)}"
            self._context.show(message_to_dict(reply), text)

        return DeferredCommand(run)

    @command
    def get(self, name: str) -> DeferredCommand:
        """Show one service with all its fields.

        Parameters
        ----------
        name : str
            Service name.
        """

        async def run() -> None:
            async with self._context.operator() as client:
                service = await client.call("GetService", pb.GetServiceRequest(name=name))
            data = message_to_dict(service)
            kinds = ", ".join(_format_kind(kind) for kind in service.kinds) or "-"
            fields = {**data, "kinds": kinds, "classes": ", ".join(service.classes) or "all"}
            self._context.show(data, table(("FIELD", "VALUE"), fields.items()))

        return DeferredCommand(run)

    @command
    def create(
        self,
        name: str,
        kinds: str = "",
        idempotent_kinds: str = "",
        pinned_version: int = 0,
        default_deadline_ms: int = 0,
        max_concurrency: int = 0,
        queue_limit: int = 0,
        classes: str = "",
        hedging: bool = True,
        hits_limit: int = 0,
        change_id: str = "",
        timeout_ms: int = CHANGE_TIMEOUT_MS,
    ) -> DeferredCommand:
        """Create a service; fails with VersionConflict if it exists.

        Parameters
        ----------
        name : str
            Service name.
        kinds : str
            Operator-defined kinds that are not idempotent, separated by commas.
        idempotent_kinds : str
            Operator-defined kinds that are idempotent, separated by commas.
        pinned_version : int
            Index version to use; 0: the newest complete one.
        default_deadline_ms : int
            Deadline in ms of requests without one; 0: 1,000 ms.
        max_concurrency : int
            Requests in flight per VM; 0: adaptive only.
        queue_limit : int
            Queued requests per class and VM; 0: the limit of the VM's settings.
        classes : str
            Allowed priority classes, separated by commas; empty: all.
        hedging : bool
            Whether slow sub-requests may be hedged.
        hits_limit : int
            Maximum number of hits that a caller may request; 0: 1,000.
        change_id : str
            Id of an earlier attempt, to resend it; empty: a new one.
        timeout_ms : int
            Timeout of the change in ms.
        """
        config = ServiceConfig(
            name=name,
            kinds=_kind_configs(kinds, idempotent_kinds),
            pinned_version=pinned_version,
            default_deadline_ms=default_deadline_ms,
            max_concurrency=max_concurrency,
            queue_limit=queue_limit,
            classes=split_commas(classes),
            hedging_disabled=not hedging,
            hits_limit=hits_limit,
        )

        async def run() -> None:
            change = Change(change_id=new_change_id(change_id), put_service=config)
            async with self._context.operator() as client:
                await self._apply(client, change, timeout_ms)

        return DeferredCommand(run)

    @command
    def update(
        self,
        name: str,
        kinds: str | None = None,
        idempotent_kinds: str | None = None,
        pinned_version: int | None = None,
        default_deadline_ms: int | None = None,
        max_concurrency: int | None = None,
        queue_limit: int | None = None,
        classes: str | None = None,
        hedging: bool | None = None,
        hits_limit: int | None = None,
        expected_version: int = 0,
        change_id: str = "",
        timeout_ms: int = CHANGE_TIMEOUT_MS,
    ) -> DeferredCommand:
        """Change the given fields of a service; `create --help` describes them.

        Kinds are replaced as a whole: give all of `kinds` and `idempotent_kinds`.

        Parameters
        ----------
        name : str
            Service name.
        kinds, idempotent_kinds, pinned_version, default_deadline_ms, max_concurrency :
            See `create`.
        queue_limit, classes, hedging, hits_limit :
            See `create`.
        expected_version : int
            Fail unless the service has this version; 0: the version in force on the server.
        change_id : str
            Id of an earlier attempt, to resend it; empty: a new one.
        timeout_ms : int
            Timeout of the change in ms.
        """
        new_numbers = {
            "pinned_version": pinned_version,
            "default_deadline_ms": default_deadline_ms,
            "max_concurrency": max_concurrency,
            "queue_limit": queue_limit,
            "hits_limit": hits_limit,
        }

        async def run() -> None:
            async with self._context.operator() as client:
                config = await client.call("GetService", pb.GetServiceRequest(name=name))
                for field, value in new_numbers.items():
                    if value is not None:
                        setattr(config, field, value)
                _replace_lists(config, kinds, idempotent_kinds, classes)
                if hedging is not None:
                    config.hedging_disabled = not hedging
                change = Change(
                    change_id=new_change_id(change_id),
                    expected_version=expected_version or config.version,
                    put_service=config,
                )
                await self._apply(client, change, timeout_ms)

        return DeferredCommand(run)

    @command
    def delete(
        self,
        name: str,
        expected_version: int = 0,
        change_id: str = "",
        timeout_ms: int = CHANGE_TIMEOUT_MS,
    ) -> DeferredCommand:
        """Delete a service.

        Parameters
        ----------
        name : str
            Service name.
        expected_version : int
            Fail unless the service has this version; 0: the version in force on the server.
        change_id : str
            Id of an earlier attempt, to resend it; empty: a new one.
        timeout_ms : int
            Timeout of the change in ms.
        """

        async def run() -> None:
            async with self._context.operator() as client:
                version = expected_version or await _current_version(client, name, bool(change_id))
                change = Change(
                    change_id=new_change_id(change_id),
                    expected_version=version,
                    delete_service=name,
                )
                await self._apply(client, change, timeout_ms)

        return DeferredCommand(run)

    async def _apply(self, client: OperatorClient, change: Change, timeout_ms: int) -> None:
        request = pb.ChangeRequest(change=change, timeout_ms=timeout_ms)
        timeout_s = timeout_ms / 1000 + TIMEOUT_MARGIN_S
        reply = await client.call("ApplyChange", request, timeout_s)
        data = {**message_to_dict(reply), "change_id": change.change_id}
        self._context.show(data, f"accepted: revision {reply.revision}, version {reply.version}")


async def _current_version(client: OperatorClient, name: str, resend: bool) -> int:
    """Return the version in force; 0 if an earlier attempt of a resend deleted the service."""
    try:
        return (await client.call("GetService", pb.GetServiceRequest(name=name))).version
    except (NotFound, UnknownService):
        if resend:
            return 0
        raise


def _replace_lists(
    config: ServiceConfig, kinds: object, idempotent: object, classes: object
) -> None:
    """Replace the list fields that have a new value."""
    if kinds is not None or idempotent is not None:
        del config.kinds[:]
        config.kinds.extend(_kind_configs(kinds, idempotent))
    if classes is not None:
        del config.classes[:]
        config.classes.extend(split_commas(classes))


def _kind_configs(kinds: object, idempotent: object) -> list[KindConfig]:
    return [
        *(KindConfig(name=name) for name in split_commas(kinds)),
        *(KindConfig(name=name, idempotent=True) for name in split_commas(idempotent)),
    ]


def _format_kind(kind: KindConfig) -> str:
    return f"{kind.name} (idempotent)" if kind.idempotent else kind.name


def _service_row(service: ServiceConfig) -> tuple[object, ...]:
    return (
        service.name,
        service.version,
        service.pinned_version or "-",
        f"{service.default_deadline_ms} ms" if service.default_deadline_ms else "1000 ms",
        ", ".join(_format_kind(kind) for kind in service.kinds) or "-",
        ", ".join(service.classes) or "all",
    )
