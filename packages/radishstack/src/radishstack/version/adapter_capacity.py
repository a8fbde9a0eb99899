"""Capacity of an engine for adapters."""

from collections.abc import Sequence


def adapter_limit(
    slot_count: int,
    capacity_mb: float,
    adapter_sizes_mb: Sequence[float],
    model_sizes_mb: Sequence[float],
) -> int:
    """Returns how many adapters fit next to the largest base model.

    Args:
        slot_count: Number of adapter slots, 0 for none.
        capacity_mb: Memory for the weights of models and adapters.
        adapter_sizes_mb: Size of the adapters of each base model.
        model_sizes_mb: Size of each base model, infinite if unknown.

    Raises:
        ValueError: If adapters take memory and a size is unknown.
    """
    adapter_mb = max(adapter_sizes_mb, default=0.0)
    if not slot_count or not adapter_mb:
        return slot_count
    spare_mb = capacity_mb - max(model_sizes_mb)
    return max(0, min(slot_count, int(spare_mb // adapter_mb)))
