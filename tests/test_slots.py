"""Tests of calls on the owner's side."""

import unittest

from lavenderstall.errors import Outcome
from standins.faults import TableFaults
from tests.cells import Cell


class OutageTest(unittest.TestCase):
    """The store is down while callers go on."""

    def test_calls_to_bind_leave_slots_to_others(self) -> None:
        # Calls with their callers' own ids waited for the store with a slot each, so that
        # idempotent calls found none and timed out.
        cell = Cell(entries=2, zones=1)
        cell.run(5)
        cell.declare_service(2)
        cell.run(5)
        cell.table.faults = TableFaults(down=True)
        cell.run(1)
        calls = {True: [], False: []}
        for _ in range(100):
            for idempotent, told in calls.items():
                told.append(cell.call(idempotent=idempotent))
            cell.run(0.05)
        cell.run(6)
        late = [told for told in calls[True] if told.ended_at - told.sent_at > 0.5]
        self.assertEqual([told.name for told in late], [])
        self.assertEqual({told.outcome for told in calls[True]}, {Outcome.DONE})
        self.assertEqual({told.outcome for told in calls[False]}, {Outcome.NOT_RUN})
        slow = [told for told in calls[False][10:] if told.ended_at - told.sent_at > 0.5]
        self.assertLess(len(slow), 10)


if __name__ == "__main__":
    unittest.main()
