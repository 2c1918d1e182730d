"""The versioned configuration and its changes."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import TypeVar

from attrs import evolve, field, frozen

from fireflydeck.core.entities import (
    DataCentre,
    Entity,
    EntityKey,
    MaintenanceWindow,
    Member,
    Organisation,
    Pool,
    Queue,
    Vm,
    VmState,
)

__all__ = ["ENTITY_TYPES", "Configuration", "ConfigurationChange", "VersionGapError"]

ENTITY_TYPES: Mapping[str, type[Entity]] = MappingProxyType(
    {
        cls.kind: cls
        for cls in (DataCentre, MaintenanceWindow, Member, Pool, Queue, Organisation, Vm)
    }
)

E = TypeVar("E", bound=Entity)


class VersionGapError(ValueError):
    """Error for a change whose version is not the successor of the current version."""


@frozen(kw_only=True)
class ConfigurationChange:
    """An accepted change, which turns version ``version - 1`` into version `version`.

    Parameters
    ----------
    change_id
        Identity of the attempt to commit. If the store's answer is lost, reading the stored
        change back and comparing this id resolves whether the attempt was committed.
    puts
        Entities created or replaced.
    removes
        Keys of the removed entities.
    origin
        Source of the change: ``operator``, ``sheet``, ``controller`` or ``member``.
    rule
        Name of the rule that caused the change, for explanations.
    wall_ms
        Wall time of the change, in milliseconds since the Unix epoch.
    """

    version: int
    change_id: str
    puts: tuple[Entity, ...] = ()
    removes: tuple[EntityKey, ...] = ()
    origin: str = ""
    rule: str = ""
    wall_ms: int = 0


@frozen(kw_only=True)
class Configuration:
    """Immutable snapshot of the whole configuration at one version.

    Examples
    --------
    >>> change = ConfigurationChange(version=1, change_id="a", puts=(Pool(name="records"),))
    >>> configuration = Configuration().apply(change)
    >>> configuration.version, configuration.get(Pool, "records").max_unavailable
    (1, 1)
    """

    version: int = 0
    _entities: Mapping[str, Mapping[str, Entity]] = field(factory=dict, alias="entities")
    _versions: Mapping[EntityKey, int] = field(factory=dict, alias="entity_versions")

    def get(self, cls: type[E], name: str) -> E | None:
        """Return the entity of the given type and name, or `None`."""
        return self._entities.get(cls.kind, {}).get(name)  # type: ignore[return-value]

    def all(self, cls: type[E]) -> Iterable[E]:
        """Return all entities of the given type, in no particular order."""
        return self._entities.get(cls.kind, {}).values()  # type: ignore[return-value]

    def find(self, key: EntityKey) -> Entity | None:
        """Return the entity with the given key, or `None`."""
        return self._entities.get(key.kind, {}).get(key.name)

    def entity_version(self, key: EntityKey) -> int:
        """Return the version at which the entity last changed; 0 if it does not exist."""
        return self._versions.get(key, 0)

    def vms_in_pool(self, pool: str) -> list[Vm]:
        """Return the VMs that belong to the pool."""
        return [vm for vm in self.all(Vm) if vm.pool == pool]

    def accepts_work(self, vm: Vm) -> bool:
        """Return whether new work may start on the VM.

        Both the VM and its data centre must be in service.
        """
        data_centre = self.get(DataCentre, vm.data_centre)
        is_in_service = data_centre is not None and data_centre.in_service
        return is_in_service and vm.state is VmState.IN_SERVICE

    def apply(self, change: ConfigurationChange) -> "Configuration":
        """Return the configuration after the change.

        Raises
        ------
        VersionGapError
            If the version of the change is not the successor of this version.
        """
        if change.version != self.version + 1:
            raise VersionGapError(f"change {change.version} does not follow {self.version}")
        changed_kinds = {key.kind for key in change.removes} | {
            entity.kind for entity in change.puts
        }
        entities = dict(self._entities)
        for kind in changed_kinds:
            entities[kind] = dict(entities.get(kind, {}))
        versions = dict(self._versions)
        for key in change.removes:
            entities[key.kind].pop(key.name, None)  # type: ignore[attr-defined]
            versions.pop(key, None)
        for entity in change.puts:
            entities[entity.kind][entity.name] = entity  # type: ignore[index]
            versions[entity.key] = change.version
        return evolve(self, version=change.version, entities=entities, entity_versions=versions)

    def entities(self) -> Iterable[tuple[Entity, int]]:
        """Return every entity with the version at which it last changed."""
        for entities_by_name in self._entities.values():
            for entity in entities_by_name.values():
                yield entity, self._versions[entity.key]
