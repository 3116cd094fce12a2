"""The size that the product is designed for."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["TARGET", "TargetSize"]

DAY_S = 86_400.0


@dataclass(frozen=True, kw_only=True)
class TargetSize:
    """A fleet, its load and what a node may spend on control.

    :param core_share: of one core, for control.
    :param memory_bytes: for control.
    :param control_bytes_per_s: sent and received together.
    :param request_s: how long a request is open, so that the open requests of all
        nodes are the tokens a second times the time between two tokens.
    :param prompt_tokens: assumed; decides how many digests a permit carries.
    """

    nodes: int = 460
    zones: int = 7
    regions: int = 2
    upstreams: int = 6_600
    requests_per_s: float = 10_000.0
    tokens_per_s: float = 4_600_000.0
    between_tokens_s: float = 0.055
    organisations: int = 1_400
    models: int = 9
    tiers: int = 4
    changes_per_day: int = 5_400
    deaths_per_day: int = 96
    restarts_per_day: int = 2_100
    core_share: float = 0.041
    memory_bytes: float = 128e6
    control_bytes_per_s: float = 4_096.0
    store_writes_per_s: float = 300.0
    store_reads_per_s: float = 2_000.0
    cell_size: int = 32
    prompt_tokens: int = 1_000

    @property
    def node_requests_per_s(self) -> float:
        """Requests a second that one entry owns."""
        return self.requests_per_s / self.nodes

    @property
    def node_tokens_per_s(self) -> float:
        """Tokens a second that one entry relays."""
        return self.tokens_per_s / self.nodes

    @property
    def open_requests(self) -> float:
        """Requests open over the whole fleet."""
        return self.tokens_per_s * self.between_tokens_s

    @property
    def upstreams_per_model(self) -> float:
        """Upstreams of one pool."""
        return self.upstreams / self.models

    @property
    def cells(self) -> int:
        """Cells of all pools, each pool rounded up."""
        return self.models * -(-round(self.upstreams_per_model) // self.cell_size)

    @property
    def cells_per_node(self) -> float:
        """Cells whose home a mean node is."""
        return self.cells / self.nodes

    @property
    def cell_requests_per_s(self) -> float:
        """Requests a second that one cell orders."""
        return self.requests_per_s / self.cells

    @property
    def change_every_s(self) -> float:
        """Seconds between two changes of the configuration."""
        return DAY_S / self.changes_per_day

    @property
    def views_per_s(self) -> float:
        """Changes of the view a second: each restart leaves and joins, deaths too."""
        return 2 * (self.restarts_per_day + self.deaths_per_day) / DAY_S


TARGET = TargetSize()
