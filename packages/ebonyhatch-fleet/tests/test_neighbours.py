from __future__ import annotations

import pytest
from ebonyhatch.fleet import neighbours


def _names(count: int) -> list[str]:
    return [f"e{number:03}" for number in range(count)]


@pytest.mark.parametrize(
    ("count", "expected"), [(1, 0), (2, 1), (3, 2), (40, 6), (97, 7), (121, 7)]
)
def test_number_of_neighbours_hardly_grows_with_the_number_of_entries(count, expected):
    names = _names(count)
    for name in names:
        chosen = neighbours.neighbours(name, names)
        assert len(chosen) == len(set(chosen)) == expected
        assert name not in chosen


@pytest.mark.parametrize("count", [2, 5, 40, 97, 121])
def test_each_entry_is_the_neighbour_of_as_many_others(count):
    names = _names(count)
    chosen = [other for name in names for other in neighbours.neighbours(name, names)]
    assert len({chosen.count(name) for name in names}) == 1


@pytest.mark.parametrize("count", [3, 40, 97, 121])
def test_news_of_any_entry_reaches_all_others_over_neighbours(count):
    names = _names(count)
    links = {name: neighbours.neighbours(name, names) for name in names}
    reached, steps = {names[count // 2]}, 0
    while len(reached) < count:
        reached |= {other for name in reached for other in links[name]}
        steps += 1
    assert steps <= len(links[names[0]])


@pytest.mark.parametrize("lost", range(5))
def test_a_third_of_the_entries_in_a_row_does_not_cut_the_others_off(lost):
    names = _names(97)
    alive = [name for number, name in enumerate(names) if number * 5 // 97 not in (lost, lost + 1)]
    links = {name: set(neighbours.neighbours(name, names)) & set(alive) for name in alive}
    reached: set[str] = {alive[0]}
    for _ in alive:
        reached |= {other for name in reached for other in links[name]}
    assert reached == set(alive)


def test_entry_that_the_others_do_not_list_has_neighbours():
    assert neighbours.neighbours("x", ["a", "b"]) == ("a", "b")
