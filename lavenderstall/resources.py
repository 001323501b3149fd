"""Amounts of what a worker has and a task needs."""

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
        """Return the difference; a component may be negative."""
        return Resources(
            self.cores_milli - other.cores_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
            self.connections - other.connections,
        )

    def fits(self, room: "Resources") -> bool:
        """Tell whether each component is at most that of the room."""
        return (
            self.cores_milli <= room.cores_milli
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
            and self.slots <= room.slots
            and self.connections <= room.connections
        )

    def find_shortages(self, room: "Resources") -> tuple[str, ...]:
        """Return the names of the components that exceed the room."""
        return tuple(
            name for name in self.__struct_fields__ if getattr(self, name) > getattr(room, name)
        )


NOTHING = Resources()
