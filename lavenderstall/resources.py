"""Resource amounts of workers and tasks."""

import msgspec


class Resources(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold cores in thousandths, memory in MB, and whole accelerators, slots, connections."""

    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0
    connections: int = 0

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
