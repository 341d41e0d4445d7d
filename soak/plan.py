"""Draws a run's faults from its seed."""

from __future__ import annotations

import dataclasses
import enum
import itertools
import random

from irisshelf.platform.stand_in import endless
from irisshelf.platform.stand_in import endless_caller

INSTANCES = 3
# From so many on, one instance follows the store for the others; such runs have
# further kinds of faults, and most of those of instances hit that one.
WIDE = 8
SERVERS = 3  # Of each service.
# Of the streaming service, in seeds with herds, so that two of each version
# serve as a rule.
_STREAMING_SERVERS = 8
# From so many instances on they stand in all data centres, in such seeds.
_SPREAD_FROM = 12
DATA_CENTRES = ("a", "b", "c")
# Faults begin in this span; the rest of a run is calm.
FAULTS_FROM_S = 1.0
FAULTS_UNTIL_S = 9.0
LONGEST_S = 4.0
# Partitions last longer, as their effect counts after some time only.
PARTITION_S = 3.0


class Kind(enum.StrEnum):
    """What goes wrong."""

    KILL = "kill"
    TERM = "term"
    PAUSE = "pause"
    HUP = "hup"
    STORE = "store"
    STORE_FORGETS = "store_forgets"
    STORE_LINK = "store_link"
    SERVER_LINK = "server_link"
    CALLER_LINK = "caller_link"
    SERVER_FAULTS = "server_faults"
    SERVER_CRASH = "server_crash"
    SERVER_LEAVES = "server_leaves"
    CONFIGURATION = "configuration"
    WITHDRAW_KEY = "withdraw_key"
    # Of wide runs alone.
    STORE_TURNS_AWAY = "store_turns_away"
    STORE_MUTE = "store_mute"
    SERVER_MUTE = "server_mute"
    HALF_SETTINGS = "half_settings"
    SERVER_RESTARTS = "server_restarts"
    FOREIGN_ENTRIES = "foreign_entries"
    SLEEP = "sleep"
    # Of further seeds alone.
    STORE_COPY = "store_copy"
    EVACUATION = "evacuation"
    SERVER_COLD = "server_cold"
    # Of seeds with reports alone.
    SERVER_SAYS_LEAVING = "server_says_leaving"
    SERVER_RESTS = "server_rests"
    # Of seeds with outdated statements alone.
    LATE_ENTRY = "late_entry"
    STORE_LAGS = "store_lags"
    GONE_WHILE_CUT_OFF = "gone_while_cut_off"
    # Of seeds with partitions alone.
    PARTITION = "partition"
    # Of seeds with versions alone.
    VERSION = "version"
    # Of seeds with herds alone.
    HERD = "herd"
    # Of seeds with hard load alone.
    SERVER_SLOW = "server_slow"
    BURST = "burst"
    SURGE = "surge"
    # Of seeds with extremes alone.
    LAST_KEY = "last_key"
    ENDLESS_SERVER = "endless_server"
    ENDLESS_CALLER = "endless_caller"


WIDE_KINDS = (
    Kind.STORE_TURNS_AWAY,
    Kind.STORE_MUTE,
    Kind.SERVER_MUTE,
    Kind.HALF_SETTINGS,
    Kind.SERVER_RESTARTS,
    Kind.FOREIGN_ENTRIES,
    Kind.SLEEP,
)
_FURTHER_KINDS = (Kind.STORE_COPY, Kind.EVACUATION, Kind.SERVER_COLD)
REPORT_KINDS = (Kind.SERVER_SAYS_LEAVING, Kind.SERVER_RESTS)
OUTDATED_KINDS = (
    Kind.LATE_ENTRY,
    Kind.STORE_LAGS,
    Kind.GONE_WHILE_CUT_OFF,
)
PARTITION_KINDS = (Kind.PARTITION,)
# With instances that are killed, as their streams go on elsewhere.
VERSION_KINDS = (Kind.VERSION, Kind.VERSION, Kind.KILL)
HERD_KINDS = (Kind.HERD,)
HARD_KINDS = (Kind.SERVER_SLOW, Kind.BURST, Kind.SURGE)
EXTREME_KINDS = (Kind.LAST_KEY, Kind.ENDLESS_SERVER, Kind.ENDLESS_CALLER)
# Seeds from this one on have further kinds; those before draw as they always
# did.
FURTHER_FROM = 1000
# Seeds from this one on have servers that tell in answers what they want.
REPORTS_FROM = 2000
# Seeds from this one on have outdated statements about servers that leave.
OUTDATED_FROM = 4000
# Seeds from this one on have instances that lose their links to servers.
PARTITIONS_FROM = 5000
# Seeds from this one on have servers of several software versions.
VERSIONS_FROM = 6000
# Seeds from this one on have a part of prompts that ends servers, and servers
# whose answers end with their connections.
PARTS_FROM = 7000
# Seeds from this one on are for many instances: a large share of them is killed
# at once, and more streams are in flight.
SIZE_FROM = 8000
# Seeds from this one on have more load than the servers can process, and none
# of the further kinds above.
HARD_FROM = 1_000_000_000
# Seeds from this one on have no load to speak of, but what lies at the ends of
# a range: no key is valid, requests last as long as a planned stop, and peers
# send without end.
EXTREMES_FROM = 2_000_000_000
# Seeds from this one on have responses that only the end of their connection
# ends, as servers crash, leave and change their versions, and all instances are
# killed at once.
ENDINGS_FROM = 3_000_000_000
SEEDS_UNTIL = 4_000_000_000
_UNFRAMED_EVERY = 3
# Of so many seeds with herds, one has servers of one version all the time; of
# so many, four have parts that end servers.
_ONE_VERSION_EVERY = 4
_HERD_PARTS_EVERY = 16
SMALL_KINDS = tuple(
    kind
    for kind in Kind
    if kind
    not in (
        *WIDE_KINDS,
        *_FURTHER_KINDS,
        *REPORT_KINDS,
        *OUTDATED_KINDS,
        *PARTITION_KINDS,
        Kind.VERSION,
        Kind.HERD,
        *HARD_KINDS,
        *EXTREME_KINDS,
    )
)
_HARD_SEED_KINDS = (*(4 * HARD_KINDS), Kind.KILL, Kind.TERM, Kind.HUP)
# Seldom what disturbs all instances, as refused streams count at the others.
_SIZE_KINDS = (
    *SMALL_KINDS,
    *WIDE_KINDS,
    *_FURTHER_KINDS,
    *REPORT_KINDS,
    *OUTDATED_KINDS,
    *PARTITION_KINDS,
    *(8 * VERSION_KINDS),
    *(10 * HERD_KINDS),
)
_ENDING_SEED_KINDS = (
    *(6 * (Kind.SERVER_CRASH,)),
    *(3 * (Kind.SERVER_LEAVES,)),
    *(3 * VERSION_KINDS),
    *(2 * HERD_KINDS),
    Kind.TERM,
    Kind.HUP,
)
# How long a herd takes with what comes before and after it, and the share of
# the instances that are killed at once.
_HERD_S = 7.0
_HERD_SHARE = (0.3, 0.9)
# How responses are framed that end with their connection, by number of the
# server: whether the head announces the close, and the version of HTTP.
FRAMINGS = ((False, b"1.1"), (True, b"1.1"), (False, b"1.0"))
# Share of a wide run's faults of instances that hit the first of them.
_FIRST_SHARE = 0.5

# Every so many seeds there is planned work alone, so that its promises, which
# trouble suspends, are seen to hold.
_PLANNED_EVERY = 4
_PLANNED = (
    Kind.TERM,
    Kind.HUP,
    Kind.SERVER_LEAVES,
    Kind.CONFIGURATION,
    Kind.WITHDRAW_KEY,
)
_EXTREME_PLANNED = (
    *(4 * (Kind.TERM,)),
    *(2 * (Kind.LAST_KEY,)),
    Kind.HUP,
    Kind.SERVER_LEAVES,
    Kind.CONFIGURATION,
    Kind.WITHDRAW_KEY,
)
_EXTREME_SEED_KINDS = (
    *_EXTREME_PLANNED,
    *(5 * (Kind.ENDLESS_SERVER,)),
    *(3 * (Kind.ENDLESS_CALLER,)),
    Kind.KILL,
    Kind.STORE_LINK,
)
# Such servers send nothing that a sound one might, so that whatever callers get
# of it is a broken promise.
_ENDLESS_FORMS = tuple(
    form
    for form in endless.Form
    if form
    not in (
        endless.Form.AFTER_ANSWER,
        endless.Form.EVENTS,
        endless.Form.COMMENTS,
    )
)
# Such callers send nothing that may run.
_CALLER_FORMS = tuple(
    form
    for form in endless_caller.Form
    if form
    not in (endless_caller.Form.AFTER_REQUEST, endless_caller.Form.PIPELINED)
)
_LINK_MODES = ("silent", "silent_up", "silent_down", "reset", "slow")
_VARIANTS = {
    Kind.STORE: ("busy", "silent", "reset", "slow"),
    Kind.STORE_LINK: _LINK_MODES,
    Kind.SERVER_LINK: _LINK_MODES,
    Kind.CALLER_LINK: ("reset", "slow"),
    Kind.STORE_TURNS_AWAY: ("silent", "reset"),
    Kind.LAST_KEY: ("no_keys", "null", "no_teams"),
    Kind.ENDLESS_SERVER: tuple(
        f"{form}/{pace}"
        for form, pace in itertools.product(_ENDLESS_FORMS, endless.Pace)
    ),
    Kind.ENDLESS_CALLER: _CALLER_FORMS,
    Kind.PARTITION: ("hang", "reset", "refuse", "hang_new"),
    # Processing time relative to normal, in percent.
    Kind.SERVER_SLOW: ("150", "250", "400"),
    Kind.HERD: ("once", "series", "version_comes", "version_goes"),
    Kind.SERVER_FAULTS: (
        "refuse",
        "fail",
        "bare_503",
        "reset",
        "reset_after_run",
        "hang",
        "garbage",
        "unsigned",
        "other_id",
        "encoded",
        "cut",
        "torn",
        "stray_first",
        "stray_after",
        "unframed",
        "slow",
    ),
}
# Kinds whose targets are servers; those of versions are streaming ones.
_OF_SERVERS = frozenset(
    {
        Kind.SERVER_LINK,
        Kind.SERVER_FAULTS,
        Kind.SERVER_CRASH,
        Kind.SERVER_LEAVES,
        Kind.SERVER_MUTE,
        Kind.SERVER_RESTARTS,
        Kind.SERVER_COLD,
        Kind.SERVER_SAYS_LEAVING,
        Kind.SERVER_RESTS,
        Kind.LATE_ENTRY,
        Kind.VERSION,
        Kind.SERVER_SLOW,
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """One fault.

    Attributes:
        at_s: Seconds from the run's start.
        kind: What goes wrong.
        target: Which instance or server, by number.
        for_s: How long, where it lasts.
        variant: How.
        share: Share of a server's requests, or of the instances, that it
            befalls.
        hits_first: Whether it befalls the first instance, not the target.
    """

    at_s: float
    kind: Kind
    target: int
    for_s: float
    variant: str = ""
    share: float = 1.0
    hits_first: bool = False


def is_planned(seed: int) -> bool:
    """Tells whether a seed's run has planned work alone."""
    return seed % _PLANNED_EVERY == 0 and not is_hard(seed)


def is_hard(seed: int) -> bool:
    """Returns whether callers send more than the servers can process."""
    return HARD_FROM <= seed < EXTREMES_FROM


def has_extremes(seed: int) -> bool:
    """Returns whether keys, times and sizes go to the ends of their ranges."""
    return EXTREMES_FROM <= seed < ENDINGS_FROM


def has_endings(seed: int) -> bool:
    """Returns whether only the end of its connection ends any response."""
    return seed >= ENDINGS_FROM


def overload(seed: int) -> dict[str, object]:
    """Returns a section of the settings, in a part of the seeds."""
    if not is_hard(seed) or not seed % 2:
        return {}
    return {"fleet_admission": "on", "response_buffer_mb": 8}


def is_further(seed: int) -> bool:
    """Tells whether a seed's run has evacuations, cold servers and copies."""
    return FURTHER_FROM <= seed < HARD_FROM


def has_reports(seed: int) -> bool:
    """Tells whether servers leave or rest by what their answers say."""
    return REPORTS_FROM <= seed < HARD_FROM


def has_outdated(seed: int) -> bool:
    """Returns whether something older contradicts that servers leave."""
    return OUTDATED_FROM <= seed < HARD_FROM


def has_partitions(seed: int) -> bool:
    """Returns whether instances lose their links to servers."""
    return PARTITIONS_FROM <= seed < HARD_FROM


def has_versions(seed: int) -> bool:
    """Returns whether servers run several software versions."""
    return VERSIONS_FROM <= seed < HARD_FROM or has_endings(seed)


def has_parts(seed: int) -> bool:
    """Returns whether a part of prompts ends servers, not a whole request."""
    if has_endings(seed):
        return False
    if has_herds(seed):
        return seed % _HERD_PARTS_EVERY >= _HERD_PARTS_EVERY - 4
    return PARTS_FROM <= seed < HARD_FROM


def has_herds(seed: int) -> bool:
    """Returns whether many instances are killed at once."""
    return SIZE_FROM <= seed < HARD_FROM or has_endings(seed)


def has_one_version(seed: int) -> bool:
    """Returns whether all servers of a seed with herds have one version."""
    every = _ONE_VERSION_EVERY
    return has_herds(seed) and seed % every == every // 2


def streaming_servers(seed: int) -> int:
    """Returns how many servers of the streaming service there are."""
    return _STREAMING_SERVERS if has_herds(seed) else SERVERS


def data_centres(seed: int, instances: int) -> tuple[str, ...]:
    """Returns where the instances stand, by turns.

    Args:
        seed: Of the run.
        instances: How many there are.
    """
    if has_herds(seed) and instances >= _SPREAD_FROM:
        return DATA_CENTRES
    return DATA_CENTRES[:1]


def is_unframed(seed: int) -> bool:
    """Returns whether answers of servers have neither a length nor chunks."""
    return has_endings(seed) or (
        has_parts(seed) and seed % _UNFRAMED_EVERY == 0
    )


def draw(seed: int, instances: int = INSTANCES) -> tuple[Fault, ...]:
    """Returns the faults of a seed, by time; several come together or twice.

    Args:
        seed: Draws them.
        instances: How many instances there are.
    """
    rng = random.Random(seed)
    kinds = SMALL_KINDS
    if instances >= WIDE:
        kinds = (*SMALL_KINDS, *WIDE_KINDS)
    if is_further(seed):
        # So often that most runs have each of them.
        kinds = (*kinds, *(3 * _FURTHER_KINDS))
    if has_reports(seed):
        kinds = (*kinds, *(5 * REPORT_KINDS))
    if has_outdated(seed):
        kinds = (*kinds, *(8 * OUTDATED_KINDS))
    if has_partitions(seed):
        kinds = (*kinds, *(20 * PARTITION_KINDS))
    if has_versions(seed):
        kinds = (*kinds, *(20 * VERSION_KINDS))
    if has_herds(seed):
        kinds = _SIZE_KINDS
    if has_endings(seed):
        kinds = _ENDING_SEED_KINDS
    if has_one_version(seed):
        kinds = tuple(kind for kind in kinds if kind is not Kind.VERSION)
    if is_hard(seed):
        kinds = _HARD_SEED_KINDS
    if has_extremes(seed):
        kinds = _EXTREME_SEED_KINDS
    if is_planned(seed):
        kinds = _EXTREME_PLANNED if has_extremes(seed) else _PLANNED
    count = rng.randint(8, 16)
    streaming = streaming_servers(seed)
    faults = [_draw_one(rng, kinds, instances, streaming) for _ in range(count)]
    if has_herds(seed) and not is_planned(seed):
        faults.append(_draw_one(rng, HERD_KINDS, instances, streaming))
    if has_endings(seed):
        faults = [_hit_all(rng, fault) for fault in faults]
    if rng.random() < 0.5:
        twin = rng.choice(faults)
        again_s = min(FAULTS_UNTIL_S, twin.at_s + rng.uniform(0.05, 1.5))
        faults.append(dataclasses.replace(twin, at_s=again_s))
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _hit_all(rng: random.Random, fault: Fault) -> Fault:
    """Returns a fault of many instances that befalls all of them, or not."""
    if fault.kind is Kind.HERD and rng.random() < 0.5:
        return dataclasses.replace(fault, share=1.0)
    return fault


def _draw_one(
    rng: random.Random,
    kinds: tuple[Kind, ...],
    instances: int,
    streaming: int,
) -> Fault:
    kind = rng.choice(kinds)
    targets = instances
    if kind in _OF_SERVERS:
        targets = streaming + (0 if kind is Kind.VERSION else SERVERS)
    variants = _VARIANTS.get(kind, ("",))
    fault = Fault(
        at_s=rng.uniform(FAULTS_FROM_S, FAULTS_UNTIL_S),
        kind=kind,
        target=rng.randrange(targets),
        for_s=rng.uniform(0.3, LONGEST_S),
        variant=rng.choice(variants),
        share=rng.choice((0.3, 1.0)),
    )
    if kind is Kind.PARTITION:
        return dataclasses.replace(fault, for_s=fault.for_s + PARTITION_S)
    if kind is Kind.HERD:
        share = rng.uniform(*_HERD_SHARE)
        return dataclasses.replace(fault, for_s=_HERD_S, share=share)
    if instances < WIDE or kind in _OF_SERVERS:
        return fault
    first = rng.random() < _FIRST_SHARE
    return dataclasses.replace(fault, hits_first=first)
