"""Packs the tasks of gangs on few workers and racks."""

from lavenderstall.placement.batch import BatchPolicy
from lavenderstall.protocol import Kind


class GangPolicy(BatchPolicy):
    """Choose the racks, then the workers, that fit most tasks of the gang."""

    name = "gang"
    kind = Kind.GANG
    rule = "fewest racks that hold the gang, then fewest workers"
