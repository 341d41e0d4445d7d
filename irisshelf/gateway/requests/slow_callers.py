"""Limits, log lines and metrics of callers that read slowly."""

from __future__ import annotations

from irisshelf.gateway import instance as instance_module
from irisshelf.transport import response_buffer

_BYTES_PER_MB = 1_000_000


class SlowCallers:
    """Callers of one instance that read their responses slowly.

    Args:
        inst: The instance.

    Attributes:
        buffers: What these callers have not read yet.
    """

    def __init__(self, *, inst: instance_module.Instance):
        self._inst = inst
        self.buffers = response_buffer.ResponseBuffers(
            limits=self._limits, on_ended=self._record_ended, now=inst.now
        )
        inst.metrics.buffered_bytes.set_function(
            lambda: self.buffers.kept_bytes
        )

    def _limits(self) -> response_buffer.BufferLimits:
        overload = self._inst.cfg.overload
        total_bytes = 0
        if overload.response_buffer_mb and self._inst.buffers_responses():
            total_bytes = int(overload.response_buffer_mb * _BYTES_PER_MB)
        return response_buffer.BufferLimits(
            total_bytes=total_bytes, stalled_s=overload.slow_caller_s
        )

    def _record_ended(self, ended: response_buffer.EndedResponse) -> None:
        self._inst.metrics.slow_callers.labels(ended.reason.value).inc()
        self._inst.log.request(
            "slow_caller_ended",
            ended.label,
            reason=ended.reason.value,
            kept_bytes=ended.kept_bytes,
            stalled_s=round(ended.stalled_s, 3),
            all_kept_bytes=self.buffers.kept_bytes,
            responses=self.buffers.count,
        )
