"""The configuration: services, VMs, domains and the route table, changed by compare-and-set."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from bramleycrank.proto.log_pb2 import (
    Change,
    CommandResult,
    ConfigDelta,
    ConfigImage,
    DomainConfig,
    ResultCode,
    RouteTable,
    ServiceConfig,
    VmConfig,
)
from bramleycrank.routing.packing import same_content
from bramleycrank.state.types import MAX_DELTAS
from bramleycrank.state.validation import MAX_DOMAINS, MAX_SERVICES, MAX_VMS, change_problem


class ConfigState:
    """Holds the configuration objects, the revision and the newest deltas.

    Objects are replaced and never changed in place, so readers may keep references to them.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.services: dict[str, ServiceConfig] = {}
        self.vms: dict[str, VmConfig] = {}
        self.domains: dict[str, DomainConfig] = {}
        self.routes = RouteTable()
        self._deltas: deque[ConfigDelta] = deque(maxlen=MAX_DELTAS)

    @classmethod
    def from_image(cls, image: ConfigImage, deltas: Iterable[ConfigDelta] = ()) -> ConfigState:
        """Build the configuration from an image and the deltas that led to it."""
        config = cls()
        config.revision = image.revision
        config.services = {service.name: service for service in image.services}
        config.vms = {vm.vm_id: vm for vm in image.vms}
        config.domains = {item.domain: item for item in image.domains}
        config.routes = image.routes
        config._deltas.extend(deltas)
        return config

    def image(self) -> ConfigImage:
        """Return a copy of all objects, sorted by name."""
        return ConfigImage(
            revision=self.revision,
            services=[service for _, service in sorted(self.services.items())],
            vms=[vm for _, vm in sorted(self.vms.items())],
            routes=self.routes,
            domains=[item for _, item in sorted(self.domains.items())],
        )

    def deltas(self) -> list[ConfigDelta]:
        """Return the newest deltas, oldest first."""
        return list(self._deltas)

    def deltas_since(self, revision: int) -> list[ConfigDelta] | None:
        """Return the deltas after a revision.

        Returns
        -------
        list of ConfigDelta or None
            Empty if ``revision`` is the current or a higher one; ``None`` if the deltas after it
            are no longer stored.
        """
        missing = self.revision - revision
        if missing <= 0:
            return []
        if missing > len(self._deltas):
            return None
        return list(self._deltas)[-missing:]

    def apply_change(self, change: Change) -> CommandResult:
        """Apply a change if it is valid and the object has the expected version."""
        if problem := change_problem(change):
            return self._result(ResultCode.RESULT_CODE_INVALID, 0, problem)
        body_kind = change.WhichOneof("body")
        if body_kind == "put_routes":
            return self._put_routes(change)
        version = self._object_version(change)
        if body_kind == "delete_service" and not version:
            return self._result(ResultCode.RESULT_CODE_NOT_FOUND, 0, "there is no such service")
        if version != change.expected_version:
            message = f"the object has version {version}, not {change.expected_version}"
            return self._result(ResultCode.RESULT_CODE_VERSION_CONFLICT, version, message)
        if not version and self._is_full(body_kind):
            return self._result(ResultCode.RESULT_CODE_INVALID, 0, "there are too many objects")
        self.apply_delta(ConfigDelta(revision=self.revision + 1, change=change))
        return self._result(ResultCode.RESULT_CODE_OK, self.revision)

    def _put_routes(self, change: Change) -> CommandResult:
        """Apply a route table if its version is higher than the current one.

        An older version changes nothing and is not an error, so that an operator can resend a
        change that was accepted earlier. Other content under the current version is a conflict, so
        that a version identifies one table.
        """
        current, offered = self.routes, change.put_routes
        if offered.version == current.version and not same_content(offered, current):
            message = f"version {current.version} is held with other content"
            return self._result(ResultCode.RESULT_CODE_VERSION_CONFLICT, current.version, message)
        if offered.version > current.version:
            self.apply_delta(ConfigDelta(revision=self.revision + 1, change=change))
        return self._result(ResultCode.RESULT_CODE_OK, self.routes.version)

    def apply_delta(self, delta: ConfigDelta) -> None:
        """Apply an accepted change.

        Raises
        ------
        ValueError
            If the delta is not the one after the current revision.
        """
        if delta.revision != self.revision + 1:
            raise ValueError(f"delta {delta.revision} does not follow {self.revision}")
        change = delta.change
        match change.WhichOneof("body"):
            case "put_service":
                service = ServiceConfig()
                service.CopyFrom(change.put_service)
                service.version = delta.revision
                self.services[service.name] = service
            case "delete_service":
                self.services.pop(change.delete_service, None)
            case "put_vm":
                vm = VmConfig()
                vm.CopyFrom(change.put_vm)
                vm.version = delta.revision
                self.vms[vm.vm_id] = vm
            case "put_domain":
                domain = DomainConfig()
                domain.CopyFrom(change.put_domain)
                domain.version = delta.revision
                self.domains[domain.domain] = domain
            case "put_routes":
                self.routes = change.put_routes
                # Followers that are behind get the image, which has only the newest route table.
                self._deltas.clear()
        self.revision = delta.revision
        self._deltas.append(delta)

    def advance(self, deltas: Iterable[ConfigDelta], image: ConfigImage | None) -> bool:
        """Advance to a higher revision.

        Deltas that are already applied are skipped, and those after a gap are ignored. An image
        replaces all objects if its revision is higher than the one that the deltas lead to.

        Returns
        -------
        bool
            Whether the revision increased.
        """
        old_revision = self.revision
        for delta in sorted(deltas, key=lambda delta: delta.revision):
            if delta.revision == self.revision + 1:
                self.apply_delta(delta)
        if image is not None and image.revision > self.revision:
            newer = ConfigState.from_image(image)
            self.revision, self.services, self.vms = newer.revision, newer.services, newer.vms
            self.domains, self.routes = newer.domains, newer.routes
            self._deltas.clear()
        return self.revision > old_revision

    def _object_version(self, change: Change) -> int:
        """Return the version of the object that the change refers to; 0 if it does not exist."""
        match change.WhichOneof("body"):
            case "put_service":
                found = self.services.get(change.put_service.name)
            case "delete_service":
                found = self.services.get(change.delete_service)
            case "put_domain":
                found = self.domains.get(change.put_domain.domain)
            case _:
                found = self.vms.get(change.put_vm.vm_id)
        return found.version if found is not None else 0

    def _is_full(self, body_kind: str) -> bool:
        if body_kind == "put_service":
            return len(self.services) >= MAX_SERVICES
        if body_kind == "put_domain":
            return len(self.domains) >= MAX_DOMAINS
        return len(self.vms) >= MAX_VMS

    def _result(self, code: ResultCode, version: int, message: str = "") -> CommandResult:
        return CommandResult(code=code, revision=self.revision, version=version, message=message)
