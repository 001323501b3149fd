"""Tests of the configuration of queues."""

import unittest
from itertools import product

from hypothesis import given
from hypothesis import strategies as st

from lavenderstall.pools.work import PoolName, Queue, QueueName, Settings

SEGMENTS = st.lists(st.sampled_from(("a", "b", "ab")), max_size=3)
QUEUES = st.lists(
    st.builds(
        lambda name, host, parts: Queue(
            QueueName(name), host, "/" + "".join(f"{part}/" for part in parts), PoolName("p")
        ),
        st.sampled_from(("q0", "q1", "q2")),
        st.sampled_from(("h0", "h1")),
        SEGMENTS,
    ),
    max_size=8,
)


class CountedText(str):
    """A text that counts how often texts of its kind are compared."""

    comparisons = 0

    __hash__ = str.__hash__

    def __eq__(self, other: object) -> bool:
        CountedText.comparisons += 1
        return str(self) == other


class SettingsTest(unittest.TestCase):
    """Queues of a configuration."""

    @given(QUEUES, SEGMENTS)
    def test_the_queue_of_a_path_has_the_longest_prefix(
        self, queues: list[Queue], parts: list[str]
    ) -> None:
        """Fails if a queue is found that a look at each one wouldn't find."""
        settings = Settings(1, tuple(queues))
        for host, rest in product(("h0", "h1", "h2"), ("", "x", f"{1:016x}")):
            path = "/" + "".join(f"{part}/" for part in parts) + rest
            fitting = [q for q in queues if q.host == host and path.startswith(q.prefix)]
            expected = max(fitting, key=lambda queue: len(queue.prefix), default=None)
            self.assertEqual(settings.find_queue(host, path), expected)

    @given(QUEUES)
    def test_the_first_queue_of_a_name_is_found(self, queues: list[Queue]) -> None:
        settings = Settings(1, tuple(queues))
        for name in map(QueueName, ("q0", "q1", "q2", "q3")):
            expected = next((queue for queue in queues if queue.name == name), None)
            self.assertEqual(settings.find_queue_by_name(name), expected)

    def test_a_large_configuration_slows_no_request(self) -> None:
        """Fails if all queues are looked at for each request and each step of a job."""
        queues = tuple(
            Queue(QueueName(CountedText(f"q{n}")), CountedText("h"), f"/{n:05}/", PoolName("p"))
            for n in range(5000)
        )
        settings = Settings(1, queues)
        settings.find_queue("h", "/00000/")
        settings.find_queue_by_name(QueueName("q0"))
        CountedText.comparisons = 0
        for number in (0, 2500, 4999):
            found = settings.find_queue(CountedText("h"), f"/{number:05}/x")
            self.assertEqual(found, queues[number])
            name = QueueName(CountedText(f"q{number}"))
            self.assertEqual(settings.find_queue_by_name(name), queues[number])
        self.assertLess(CountedText.comparisons, 50)


if __name__ == "__main__":
    unittest.main()
