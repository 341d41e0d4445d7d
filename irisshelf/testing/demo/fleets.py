"""The two fleets that the demo can play."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fleet:
    """One user's places, services and teams.

    Attributes:
        name: The user's name.
        region: Region of all its data centres.
        data_centres: Its data centres.
        model: The model service; its servers have ``engines`` engines each.
        engines: Engines by backend server of the model.
        plain: The plain service.
        plain_servers: Backend servers of the plain service.
        once_path: Path of the plain service's calls that run at most once.
        lookup_path: Path of its calls that may be repeated.
        instances: Entry instances.
        teams: Teams; the first three are large.
    """

    name: str
    region: str
    data_centres: tuple[str, ...]
    model: str
    engines: tuple[int, ...]
    plain: str
    plain_servers: int
    once_path: str
    lookup_path: str
    instances: int = 6
    teams: int = 10
    large_teams: int = 3


def small(
    *,
    instances: int,
    engines: tuple[int, ...],
    data_centres: tuple[str, ...] = ("here",),
) -> Fleet:
    """Returns a small fleet for a test or a bench."""
    return Fleet(
        name="small",
        region="here",
        data_centres=data_centres,
        model="lm",
        engines=engines,
        plain="crew",
        plain_servers=1,
        once_path="/once",
        lookup_path="/get",
        instances=instances,
        teams=1,
        large_teams=1,
    )


PAINEVIRTA = Fleet(
    name="painevirta",
    region="fi-south",
    data_centres=("espoo-a", "espoo-b", "vantaa-c"),
    model="iris-lm",
    engines=(10, 10, 10, 9, 9),
    plain="crew-api",
    plain_servers=3,
    once_path="/alarms",
    lookup_path="/valves",
)
KANU = Fleet(
    name="kanu",
    region="plateau",
    data_centres=("bukuru", "vom", "riyom"),
    model="irisshelf-pool",
    engines=(10, 10, 10, 9, 9),
    plain="rounds-app",
    plain_servers=3,
    once_path="/pickups",
    lookup_path="/weights",
)
FLEETS = {fleet.name: fleet for fleet in (PAINEVIRTA, KANU)}
