"""What a hollow-limiter experiment says: the keys of its TOML file, with units and ranges."""

from __future__ import annotations

import msgspec


class HollowExperiment(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind", tag="hollow"
):
    """Many decision modules on one virtual clock."""

    seed: int = 1
