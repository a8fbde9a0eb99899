"""Orders revisions across restores of the platform's store."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """A point in the store's history, ordered by era, then by revision.

    Revisions are comparable within one era only: a store that is restored
    from an older copy begins a new era and reuses revisions.

    Attributes:
        era: Store era, which increases with each restore; 0 if unknown.
        revision: Store revision within the era.
    """

    era: int = 0
    revision: int = 0
