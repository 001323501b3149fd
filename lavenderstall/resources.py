"""Resource amounts of workers and tasks."""

from typing import Annotated

import msgspec

# Far above any worker; the arithmetic of placement and usage is exact below it.
MAX_AMOUNT = 10**12
# Differences may be negative.
Amount = Annotated[int, msgspec.Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]


class Resources(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold cores in thousandths, memory in MB, and whole accelerators, slots, connections."""

    cores_milli: Amount = 0
    memory_mb: Amount = 0
    accelerators: Amount = 0
    slots: Amount = 0
    connections: Amount = 0

    def add(self, other: "Resources") -> "Resources":
        """Return the sum of both amounts."""
        return Resources(
            self.cores_milli + other.cores_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
            self.connections + other.connections,
        )

    def subtract(self, other: "Resources") -> "Resources":
        """Return the difference, whose components may be negative."""
        return Resources(
            self.cores_milli - other.cores_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
            self.connections - other.connections,
        )

    def fits(self, available: "Resources") -> bool:
        """Tell whether no component exceeds the available amount."""
        return (
            self.cores_milli <= available.cores_milli
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
            and self.slots <= available.slots
            and self.connections <= available.connections
        )

    def find_shortages(self, available: "Resources") -> tuple[str, ...]:
        """Return the names of the components that exceed the available amounts."""
        return tuple(
            name
            for name in self.__struct_fields__
            if getattr(self, name) > getattr(available, name)
        )


NOTHING = Resources()


def measure_dominant_share(used: Resources, capacity: Resources) -> float:
    """Return the dominant share: the largest used fraction of any resource."""
    share = 0.0
    if capacity.cores_milli:
        share = used.cores_milli / capacity.cores_milli
    if capacity.memory_mb:
        share = max(share, used.memory_mb / capacity.memory_mb)
    if capacity.accelerators:
        share = max(share, used.accelerators / capacity.accelerators)
    if capacity.slots:
        share = max(share, used.slots / capacity.slots)
    return share


def check_not_negative(amounts: Resources) -> None:
    """Raise `ValueError` if a component is negative."""
    if min(msgspec.structs.astuple(amounts)) >= 0:
        return
    negative = [name for name in amounts.__struct_fields__ if getattr(amounts, name) < 0]
    if negative:
        raise ValueError(f"must not be negative: {', '.join(negative)}")
